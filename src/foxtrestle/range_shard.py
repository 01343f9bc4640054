"""Operation range as a shard, and the choice of its witnesses."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Final

from foxtrestle.operations import Witness
from foxtrestle.ranges import OwnedRange
from foxtrestle.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.ranges import RangeContext
    from foxtrestle.records import MemberRecord

MAX_WITNESSES: Final = 5
"""Maximum number of witnesses of an operation range."""
WITNESS_REFRESH_S: Final = 1.0
"""Interval between two updates of the witnesses, seconds."""


class RangeShard:
    """Work of the holder of an operation range."""

    def __init__(self, number: int, context: RangeContext) -> None:
        """Create the work for a range."""
        self.range = OwnedRange(number, context)
        """The range."""

    async def run(self) -> None:
        """Take the range over and serve it until it is lost."""
        await self.range.take_over()
        async with asyncio.TaskGroup() as group:
            group.create_task(self.range.serve())
            group.create_task(self._refresh())

    async def release(self) -> None:
        """Release the range cleanly."""
        await self.range.release()

    async def _refresh(self) -> None:
        while True:
            await asyncio.sleep(WITNESS_REFRESH_S)
            with suppress(StoreError):
                await self.range.refresh_witnesses()


def choose_witnesses(peers: Iterable[MemberRecord]) -> list[Witness]:
    """Choose peers as witnesses, spread over availability zones."""
    by_zone: dict[str, list[MemberRecord]] = {}
    for peer in sorted(peers, key=lambda peer: peer.incarnation):
        by_zone.setdefault(peer.zone, []).append(peer)
    chosen: list[MemberRecord] = []
    while len(chosen) < MAX_WITNESSES and any(by_zone.values()):
        for zone in sorted(by_zone):
            if by_zone[zone] and len(chosen) < MAX_WITNESSES:
                chosen.append(by_zone[zone].pop(0))
    witnesses = [Witness(peer.incarnation, peer.peer_address) for peer in chosen]
    return sorted(witnesses, key=lambda witness: witness.incarnation)
