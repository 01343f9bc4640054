"""The recorded progress of jobs: batched transactions, one at a time, fenced by the lock."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.control.keys import LOCK, PENDING, PROGRESS
from foxtrestle.control.log import log
from foxtrestle.scheduling.progress import encode_progress
from foxtrestle.store import Conflict, StoreError, Transaction

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.control.ownership import Term
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.state import Fleet

MAX_JOBS: Final = 15
"""Jobs in one transaction: a condition and a write each, beside the lock and the queues' counts;
the platform allows 32 entries."""
GATHER_S: Final = 0.004
"""Seconds a batch waits for further changes; about one answer of the store."""
RETRY_S: Final = 0.1
"""Mean pause after a failed transaction, seconds."""
PENDING_S: Final = 0.7
"""Most seconds for which the queues' counts may lag; the platform allows 2."""


class Ledger:
    """Writes what has changed about jobs, and tells when it is recorded."""

    def __init__(self, store: PlatformStore, fleet: Fleet, term: Term) -> None:
        """Create the ledger of a term."""
        self.away_since = 0.0
        """Monotonic time since which the store has not answered; 0 while it does."""
        self._store = store
        self._fleet = fleet
        self._term = term
        self._changed = asyncio.Event()
        self._waiting: dict[str, list[asyncio.Future[None]]] = {}
        self._pending: bytes = b""
        self._pending_at = 0.0

    def wake(self) -> None:
        """Have what is marked in the fleet written soon."""
        self._changed.set()

    async def record(self, jobs: Iterable[str]) -> None:
        """Wait until the present state of some jobs is in the store."""
        loop = asyncio.get_running_loop()
        futures = []
        for job in jobs:
            self._fleet.mark(job)
            future = loop.create_future()
            self._waiting.setdefault(job, []).append(future)
            futures.append(future)
        self._changed.set()
        if futures:
            await asyncio.gather(*futures)

    async def run(self) -> None:
        """Write batches until the term is lost."""
        while not self._term.lost.is_set():
            if not self._fleet.dirty:
                self._changed.clear()
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), PENDING_S)
                await asyncio.sleep(GATHER_S)
            if self._fleet.dirty or self._count_pending() != self._pending:
                await self._write()

    async def _write(self) -> None:
        jobs = list(self._fleet.dirty)[:MAX_JOBS]
        waiting: list[asyncio.Future[None]] = []
        for job in jobs:
            del self._fleet.dirty[job]
            waiting += self._waiting.pop(job, [])
        try:
            await self._commit(jobs)
        except Conflict as conflict:
            self._adopt(jobs, conflict)
        except StoreError as error:
            self.away_since = self.away_since or time.monotonic()
            log("ledger.write-failed", jobs=len(jobs), step=error.step, reason=error.reason)
            self._put_back(jobs, waiting)
            await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
            return
        else:
            if self.away_since:
                log("store.regained", away_s=round(time.monotonic() - self.away_since, 3))
            self.away_since = 0.0
            for future in waiting:
                if not future.done():
                    future.set_result(None)
            return
        self._put_back(jobs, waiting)

    def _put_back(self, jobs: list[str], waiting: list[asyncio.Future[None]]) -> None:
        later = self._fleet.dirty
        self._fleet.dirty = dict.fromkeys(jobs) | later
        if jobs:
            self._waiting.setdefault(jobs[0], []).extend(waiting)

    async def _commit(self, jobs: list[str]) -> None:
        conditions = {LOCK: self._term.lock.revision}
        puts: dict[str, bytes] = {}
        for job in jobs:
            entry = self._fleet.jobs[job]
            if entry.ended and not entry.ended_ms:
                entry.ended_ms = int(time.time() * 1000)
            conditions[PROGRESS + job] = entry.progress_revision
            puts[PROGRESS + job] = encode_progress(entry)
        pending = self._count_pending()
        if pending != self._pending:
            puts[PENDING] = pending
        revision = await self._store.commit(Transaction(conditions, puts))
        self._pending = pending
        for job in jobs:
            self._fleet.jobs[job].progress_revision = revision

    def _adopt(self, jobs: list[str], conflict: Conflict) -> None:
        """Take over revisions that a write of ours with a lost answer has left."""
        lock = conflict.records.get(LOCK)
        if lock is None or lock.revision != self._term.lock.revision:
            self._term.lose("lock is another's")
            return
        for job in jobs:
            record = conflict.records.get(PROGRESS + job)
            self._fleet.jobs[job].progress_revision = record.revision if record else 0
        log("ledger.lost-answer", jobs=len(jobs))

    def _count_pending(self) -> bytes:
        counts = Counter(
            entry.job.queue for entry in self._fleet.active.values() if not entry.begun
        )
        return msgspec.json.encode(dict(sorted(counts.items())))
