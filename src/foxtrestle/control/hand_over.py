"""Hand-over of control: the former controller's record, and the probes of a candidate."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.control.stored import decode_json, decode_or_skip
from foxtrestle.scheduling.reachability import find_unreachable_zones

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from foxtrestle.store import Record

PROBE_TIMEOUT_S: Final = 0.25
"""Seconds for a worker to answer a candidate's probe. A round trip takes 2 to 4 ms, and the
partition has no controller in the meantime."""


class HandOver(msgspec.Struct, frozen=True):
    """Record that a controller writes when it releases control for another node to take."""

    node: str
    """Name of the controller's node."""
    zone: str
    """Availability zone of the controller's node."""
    term: int
    """Number of the controller's term."""
    unreachable_zones: tuple[str, ...] = msgspec.field(default=(), name="apart")
    """Zones that the controller does not reach."""
    probe_addresses: dict[str, tuple[str, ...]] = msgspec.field(default_factory=dict, name="looks")
    """Addresses of some workers of each zone, for candidates to probe."""
    reserved: int = 0
    """Highest number reserved by the term; the record is valid until a higher one is reserved."""


def decode_hand_over(record: Record | None, highest_reserved: int) -> HandOver | None:
    """Return the hand-over record of the newest term's controller; None if there is none.

    Each term's record replaces the previous one, and a term begins by reserving higher numbers.
    Until a higher number is reserved, the record has not been used, however old it is.

    Args:
        record: Hand-over record in the store.
        highest_reserved: Highest number that is reserved.
    """
    if record is None:
        return None
    hand_over = decode_or_skip(record, decode_json(HandOver), "control.hand-over-unreadable")
    if hand_over is None or hand_over.reserved != highest_reserved:
        return None
    return hand_over


async def probe_zones(
    hand_over: HandOver, probe: Callable[[str, float], Awaitable[bool]]
) -> frozenset[str]:
    """Probe workers of all zones concurrently, and return the zones of which none answers.

    Args:
        hand_over: Record with the addresses to probe.
        probe: Returns whether a worker's address answers within a number of seconds.
    """
    addresses = [address for group in hand_over.probe_addresses.values() for address in group]
    results = await asyncio.gather(*(probe(address, PROBE_TIMEOUT_S) for address in addresses))
    reached = [address for address, answered in zip(addresses, results, strict=True) if answered]
    return find_unreachable_zones(hand_over.probe_addresses, reached)
