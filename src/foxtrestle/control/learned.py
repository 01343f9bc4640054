"""What a controller has learned about load, kept for the next one: losing it costs a slow start."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.control.keys import LEARNED, LOCK
from foxtrestle.control.log import Outage, log
from foxtrestle.scheduling.durations import Typical  # noqa: TC001 - msgspec reads annotations
from foxtrestle.scheduling.turns import Rise
from foxtrestle.store import StoreError, Transaction

if TYPE_CHECKING:
    from foxtrestle.control.ownership import Term
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.durations import Durations
    from foxtrestle.scheduling.turns import Turns
    from foxtrestle.store import Record

SAVE_S: Final = 1.0
"""Seconds between two looks for what is new; one call of the store each, if there is anything."""
OLDEST_S: Final = 300.0
"""Seconds after which a rise tells nothing of the next one; also bounds what a clock that has
stepped can do."""


class LearnedRecord(msgspec.Struct, frozen=True):
    """What was learned, in wall time, as another node reads it."""

    durations: dict[str, Typical] = {}
    """How long tasks take, by queue."""
    levels: dict[str, float] = {}
    """Load of each pool while it was high, hosts."""
    rises: list[tuple[str, int]] = []
    """Pools whose load rose, and the wall time, milliseconds."""


def describe(durations: Durations, turns: Turns, wall_s: float, now: float) -> LearnedRecord:
    """Describe what is known now."""
    offset_s = wall_s - now
    return LearnedRecord(
        durations.describe(),
        {pool: round(level, 2) for pool, level in turns.levels.items()},
        [(rise.pool, int((rise.at + offset_s) * 1000)) for rise in turns.rises],
    )


def adopt(
    record: LearnedRecord, durations: Durations, turns: Turns, wall_s: float, now: float
) -> None:
    """Go on from what another controller has learned."""
    durations.adopt(record.durations)
    turns.levels.update(record.levels)
    for pool, at_ms in record.rises:
        age_s = wall_s - at_ms / 1000
        if 0 <= age_s <= OLDEST_S:
            turns.rises.append(Rise(pool, now - age_s))


def decode_learned(record: Record | None) -> LearnedRecord:
    """Decode the record; one that cannot be read is as good as none."""
    if record is None:
        return LearnedRecord()
    try:
        return msgspec.json.decode(record.value, type=LearnedRecord)
    except msgspec.DecodeError as error:
        log("learned.unreadable", key=record.key, reason=str(error))
        return LearnedRecord()


async def follow_learned(
    store: PlatformStore, term: Term, durations: Durations, turns: Turns
) -> None:
    """Keep what is learned in the store, until cancelled."""
    outage = Outage("store", "learned")
    held = LearnedRecord()
    while True:
        await asyncio.sleep(SAVE_S)
        record = describe(durations, turns, time.time(), time.monotonic())
        if (record.durations, len(record.rises)) == (held.durations, len(held.rises)):
            continue
        puts = {LEARNED: msgspec.json.encode(record)}
        try:
            await store.commit(Transaction({LOCK: term.lock.revision}, puts))
        except StoreError as error:
            outage.note_failure(error)
        else:
            outage.note_success()
            held = record
