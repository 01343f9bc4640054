"""Decision about the number of partitions at the first start of a fleet.

One node reads the host list on behalf of all. With 300 readers of a list of seven pages, of which
the platform serves 64 a second to all nodes together, no node had the whole list after 5 s.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import msgspec

from foxtrestle.scheduling.partitions import count_partitions

CLAIM_TIMEOUT_S: Final = 3.0
"""Seconds after which a reader that has not decided may be replaced: the longest list takes 1.8 s
at 64 pages a second. Two concurrent readers only cost calls: both reach the same decision, or only
one decides."""


class ReaderClaim(msgspec.Struct, frozen=True):
    """Stored claim of the node that reads the host list on behalf of all."""

    reader: str
    """Random name of the reader."""


class ObservedClaim(msgspec.Struct, frozen=True):
    """A claim as observed by a node."""

    reader: str
    """Random name of the reader."""
    revision: int
    """Store revision at which the claim was written."""
    unchanged_s: float
    """Seconds for which this node has observed the claim unchanged."""


class ReaderAction(StrEnum):
    """Next action of a node that does not know the number of partitions."""

    READ = "read"
    """Read the host list and decide the number of partitions."""
    CLAIM = "claim"
    """Try to become the reader."""
    WAIT = "wait"
    """Wait for the reader's decision and check again."""


class LayoutProposal(msgspec.Struct, frozen=True):
    """Number of partitions that a node proposes, with the basis of the proposal."""

    partitions: int
    """Proposed number of partitions."""
    counted: int
    """Number of hosts or workers that were counted; 0 if none were."""
    basis: str
    """Source of the count."""


def choose_reader_action(observed: ObservedClaim | None, own: str) -> ReaderAction:
    """Return the next action of a node.

    Args:
        observed: The claim in the store; None if there is none.
        own: Random name of this node as a reader.
    """
    if observed is None:
        return ReaderAction.CLAIM
    if observed.reader == own:
        return ReaderAction.READ
    return ReaderAction.CLAIM if observed.unchanged_s > CLAIM_TIMEOUT_S else ReaderAction.WAIT


def propose_by_hosts(hosts: int) -> LayoutProposal:
    """Propose a number of partitions by the number of listed hosts."""
    return LayoutProposal(count_partitions(hosts), hosts, "host list")


def propose_by_workers(workers: int) -> LayoutProposal:
    """Propose a number of partitions by the workers' entries, if the host list is unavailable.

    Powered-off hosts have no entries, so the count may be lower than the number of hosts.
    """
    return LayoutProposal(count_partitions(workers), workers, "workers' entries")


def propose_undivided() -> LayoutProposal:
    """Propose one partition for a fleet whose state was stored undivided by a former release."""
    return LayoutProposal(1, 0, "former release")
