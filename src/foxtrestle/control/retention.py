"""Deletion of the final states of jobs after their retention time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from foxtrestle.control.keys import ENDED_JOB_PREFIX
from foxtrestle.control.log import Outage, log
from foxtrestle.control.stored import decode_or_skip
from foxtrestle.scheduling.progress import decode_progress
from foxtrestle.store import StoreError, Transaction

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.store import Record

KEEP_FACTOR: Final = 1.5
"""Multiple of the promised time for which an ended job is kept."""
SCAN_INTERVAL_S: Final = 60.0
"""Seconds between two scans for old records; a fraction of the time for which they are kept."""
BATCH_SIZE: Final = 15
"""Records deleted in one transaction."""


def find_expired(records: Iterable[Record], limit_ms: float) -> list[Record]:
    """Return the records of jobs that ended before a wall time; unreadable ones are kept."""
    return [record for record in records if _has_ended_before(record, limit_ms)]


def _has_ended_before(record: Record, limit_ms: float) -> bool:
    progress = decode_or_skip(record, decode_progress, "job.unreadable")
    return progress is not None and progress.ended_ms < limit_ms


async def delete_expired(store: PlatformStore, retention_s: float) -> None:
    """Delete the final states of jobs some time after clients can no longer rely on them.

    Args:
        store: The platform's store.
        retention_s: Seconds for which the state of an ended job must be available.
    """
    outage = Outage("store", "retention")
    while True:
        await asyncio.sleep(SCAN_INTERVAL_S)
        limit_ms = (time.time() - retention_s * KEEP_FACTOR) * 1000
        try:
            listing = await store.scan(ENDED_JOB_PREFIX, stale=True)
            expired = find_expired(listing.records, limit_ms)
            for first in range(0, len(expired), BATCH_SIZE):
                await _delete(store, expired[first : first + BATCH_SIZE])
            outage.note_success()
        except StoreError as error:
            outage.note_failure(error)


async def _delete(store: PlatformStore, records: list[Record]) -> None:
    conditions = {record.key: record.revision for record in records}
    await store.commit(Transaction(conditions, removals=tuple(conditions)))
    for record in records:
        log("job.forgotten", job=record.key.removeprefix(ENDED_JOB_PREFIX))
