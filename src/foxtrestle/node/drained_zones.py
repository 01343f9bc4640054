"""Cache of the availability zones that operators drain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.log import log

if TYPE_CHECKING:
    from collections.abc import Collection

START_MARGIN_S: Final = 0.3
"""Seconds before the drain deadline at which the cached requests already count as stale: an order
takes up to 0.2 s to reach its worker, and a client's request is answered in a few hundredths of a
second."""
MAX_WAIT_FRACTION: Final = 1 / 3
"""Maximum wait of a watch call as a fraction of the time for which the cached requests are fresh:
if the answer is lost, the answer to the next call still arrives before they become stale."""
MIN_WATCH_WAIT_S: Final = 0.1
"""Minimum wait of a watch call, seconds; the platform charges for each call."""


class Drain(msgspec.Struct, frozen=True):
    """An operator's request to place nothing new in a zone."""

    zone: str
    """Name of the zone."""
    revision: int
    """Store revision at which the request was written."""
    seen_at: float
    """Monotonic time at which this node first saw the request, seconds."""


class DrainedZones:
    """The drain requests in force, kept up to date by the watch on the operators' keys."""

    def __init__(
        self, deployment_zones: Collection[str] = (), drain_s: float | None = None
    ) -> None:
        """Create an empty cache.

        Args:
            deployment_zones: All zones of the deployment; empty if the settings do not list them.
            drain_s: Seconds after the request by which nothing may start in a drained zone any
                more; None if operators cannot drain zones.
        """
        self.drains: dict[str, Drain] = {}
        """Requests in force, by zone."""
        self._deployment_zones = frozenset(deployment_zones)
        self._drain_s = drain_s
        self._is_fresh = True

    def add(self, zone: str, revision: int, sync_age_s: float) -> None:
        """Add a drain request.

        Args:
            zone: Name of the zone.
            revision: Store revision at which the request was written.
            sync_age_s: Seconds since the time up to which the cache is complete.
        """
        drain = self.drains.get(zone)
        if drain is not None and revision <= drain.revision:
            return
        self.drains[zone] = Drain(zone, revision, read_clock())
        log("zone.draining", zone=zone, revision=revision, known_s=round(sync_age_s, 3))
        if self._deployment_zones and zone not in self._deployment_zones:
            log("zone.unknown", zone=zone, revision=revision, named=sorted(self._deployment_zones))

    def remove(self, zone: str, revision: int, sync_age_s: float) -> None:
        """Remove a withdrawn drain request; changes must be applied in store order."""
        drain = self.drains.pop(zone, None)
        if drain is None:
            return
        log("zone.open", zone=zone, revision=revision, known_s=round(sync_age_s, 3),
            took_s=round(read_clock() - drain.seen_at, 2))  # fmt: skip

    def retain(self, zones: Collection[str], revision: int) -> None:
        """Remove all requests that are missing from a full listing."""
        for zone in self.drains.keys() - set(zones):
            self.remove(zone, revision, 0.0)

    def find_drained(self, synced_until: float, now: float) -> frozenset[str] | None:
        """Return the drained zones; None if the cache is stale and may lack a drained zone.

        Args:
            synced_until: Monotonic time up to which the cache is complete, seconds.
            now: Monotonic time, seconds.
        """
        age_s = now - synced_until
        fresh = self._drain_s is None or age_s < self._drain_s - START_MARGIN_S
        if fresh is not self._is_fresh:
            self._is_fresh = fresh
            log("zones.known" if fresh else "zones.unknown", age_s=round(min(age_s, 1e6), 3))
        return frozenset(self.drains) if fresh else None

    def limit_watch_wait(self, wait_s: float) -> float:
        """Return how long a watch call may wait without the cache becoming stale, seconds."""
        if self._drain_s is None:
            return wait_s
        return min(
            wait_s, max(MIN_WATCH_WAIT_S, (self._drain_s - START_MARGIN_S) * MAX_WAIT_FRACTION)
        )

    def are_all_drained(self) -> bool:
        """Return whether every zone of the deployment is drained."""
        return bool(self._deployment_zones) and self._deployment_zones <= self.drains.keys()

    def compute_age(self, zone: str, now: float) -> float:
        """Return the seconds since the drain of a zone was first seen; 0 if it is not drained."""
        drain = self.drains.get(zone)
        return now - drain.seen_at if drain is not None else 0.0
