"""Access control: queue and organisation of a request, and the jobs its caller may access."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import FleetConfiguration, Queue


class RequestTarget(msgspec.Struct, frozen=True):
    """Target and key of a client's request."""

    host: str
    """Host header, without a port."""
    path: str
    """Path."""
    key: bytes = b""
    """Digest of the API key in the request; empty without one."""


class AccessGrant(msgspec.Struct, frozen=True):
    """Permission for a request."""

    queue: Queue
    """Queue of the request."""
    organisation: str = ""
    """Organisation of the caller; empty if no key is required."""

    def may_access_job(self, owner: str, queue: str) -> bool:
        """Return whether the caller may read, cancel or resubmit a job.

        Args:
            owner: Organisation that submitted the job; empty if no key was required.
            queue: Name of the job's queue; empty for jobs recorded by an earlier release.
        """
        if self.queue.public:
            # Callers of a public queue may access all its jobs, including those submitted before
            # the queue became public.
            return not owner or queue == self.queue.name
        return owner in {"", self.organisation}


class Denial(Enum):
    """Reason why a request is denied."""

    NO_CONFIGURATION = "no configuration"
    """The node has no configuration yet, or one that may be stale."""
    NO_QUEUE = "no such queue"
    """No queue's prefix matches."""
    UNKNOWN_KEY = "unknown key"
    """The queue requires a key, and no organisation has the key of the request."""


def authorise_request(
    configuration: FleetConfiguration | None, target: RequestTarget
) -> AccessGrant | Denial:
    """Decide whether a request is allowed under a configuration."""
    if configuration is None:
        return Denial.NO_CONFIGURATION
    queue = find_queue(configuration, target.host, target.path)
    if queue is None:
        return Denial.NO_QUEUE
    if queue.public or not configuration.requires_keys:
        return AccessGrant(queue)
    owner = configuration.owners.get(target.key)
    return Denial.UNKNOWN_KEY if owner is None else AccessGrant(queue, owner)


def find_queue(configuration: FleetConfiguration, host: str, path: str) -> Queue | None:
    """Find the queue with the longest prefix of a path."""
    matching = [
        queue
        for queue in configuration.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(matching, key=lambda queue: len(queue.prefix), default=None)
