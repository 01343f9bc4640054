"""What a controller has learned of tasks and workers, stored for the next one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.control.log import Outage
from foxtrestle.control.stored import decode_json, decode_or_skip
from foxtrestle.scheduling.durations import DurationEstimate  # noqa: TC001 - msgspec reads annotations
from foxtrestle.scheduling.share_limits import SharesRecord
from foxtrestle.scheduling.unsettled_acknowledgements import (
    UnsettledAcknowledgement,  # noqa: TC001 - msgspec reads annotations
)
from foxtrestle.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.control.guarded_record import GuardedRecord
    from foxtrestle.store import Record

SAVE_INTERVAL_S: Final = 1.0
"""Seconds between two checks for changes; if there are any, each costs one call of the store."""


class StatisticsRecord(msgspec.Struct, frozen=True):
    """What a controller has learned, as stored."""

    durations: dict[str, DurationEstimate] = {}
    """How long tasks take, by queue."""
    shares: SharesRecord = SharesRecord()
    """State of the organisations that have excess jobs, that is jobs beyond their share."""
    acknowledgements: dict[str, UnsettledAcknowledgement] = {}
    """Acknowledgements of ends that had no answer, by worker id."""


def decode_statistics(record: Record | None) -> StatisticsRecord:
    """Decode the record; one that cannot be decoded counts as missing."""
    if record is None:
        return StatisticsRecord()
    decoded = decode_or_skip(record, decode_json(StatisticsRecord), "learned.unreadable")
    return decoded or StatisticsRecord()


async def save_statistics(stored: GuardedRecord, describe: Callable[[], StatisticsRecord]) -> None:
    """Save changed statistics in the store until cancelled.

    Args:
        stored: The record.
        describe: Returns the current statistics.
    """
    outage = Outage("store", "learned")
    saved = StatisticsRecord()
    while True:
        await asyncio.sleep(SAVE_INTERVAL_S)
        record = describe()
        if record == saved:
            continue
        try:
            await stored.write(msgspec.json.encode(record))
        except StoreError as error:
            outage.note_failure(error)
        else:
            outage.note_success()
            saved = record
