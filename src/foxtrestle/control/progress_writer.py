"""Writes of jobs' progress to the store: batched transactions, fenced by the lock.

Transactions in flight at one time are for different jobs, so they cannot conflict. At most one is
in flight for a job, so its records take effect in order.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.keys import ENDED_JOB_PREFIX
from foxtrestle.control.log import Outage, log
from foxtrestle.scheduling.progress import encode_progress
from foxtrestle.store import ABSENT, StoreError, Transaction, TransactionConflict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.control.keys import Keys
    from foxtrestle.control.leader_election import Term
    from foxtrestle.control.node_metrics import NodeMetrics
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.store import Record

MAX_ENTRIES: Final = 29
"""Maximum conditions, writes and removals for jobs in one transaction: the platform allows 32, and
the lock and the numbers of pending jobs take the other three."""
PROGRESS_ENTRIES: Final = 2
"""Entries of a job's progress: a condition and a write."""
ARCHIVE_ENTRIES: Final = 5
"""Entries of a job's end: a condition, a write and three removals."""
BATCH_DELAY_S: Final = 0.004
"""Seconds for which a batch waits for further changes; about the store's response time."""
RETRY_S: Final = 0.1
"""Mean pause after a failed transaction, seconds."""
OVERLAP_DELAY_S: Final = 0.02
"""Seconds after which the next batch is sent although others are in flight: five times the store's
response time, so that batches overlap only while the store is slow."""
MAX_IN_FLIGHT: Final = 8
"""Maximum transactions in flight at once. At a response time of 0.3 s they carry 400 jobs a second;
with one at a time it would be 50, fewer than change under load."""
MAX_IDLE_S: Final = 0.5
"""Maximum seconds between two checks for changes that are not written at once."""
MAX_LAG_S: Final = 0.5
"""Seconds for which the numbers of pending jobs, and that a job has begun, wait for a batch that is
sent anyway; together with the pause between two checks, half of what the platform allows."""


class _Batch:
    """Content of one transaction."""

    __slots__ = ("_keys", "conditions", "ended", "pending", "puts", "removals", "waiting")

    def __init__(self, keys: Keys) -> None:
        self._keys = keys
        self.waiting: dict[str, list[asyncio.Future[None]]] = {}
        """Jobs that are written, each with the futures of its waiting callers."""
        self.ended: list[JobEntry] = []
        """Jobs whose final state is written."""
        self.pending: bytes | None = None
        """Encoded numbers of pending jobs of each queue; None if the batch omits them."""
        self.conditions: dict[str, int] = {}
        self.puts: dict[str, bytes] = {}
        self.removals: list[str] = []

    def add(self, entry: JobEntry) -> None:
        """Add the current state of a job."""
        job = entry.job.id
        keys = self._keys
        self.conditions[keys.progress + job] = entry.progress_revision
        if not entry.ended:
            self.puts[keys.progress + job] = encode_progress(entry)
            return
        entry.ended_ms = entry.ended_ms or int(time.time() * 1000)
        self.ended.append(entry)
        self.puts[ENDED_JOB_PREFIX + job] = encode_progress(entry)
        self.removals += [keys.progress + job, keys.jobs + job, keys.cancels + job]

    @property
    def transaction(self) -> Transaction:
        """The transaction that writes the batch."""
        return Transaction(self.conditions, self.puts, tuple(self.removals))


class ProgressWriter:
    """Writes changed jobs in batches, and lets callers wait until a job is recorded."""

    def __init__(
        self, store: PlatformStore, fleet: Fleet, term: Term, metrics: NodeMetrics
    ) -> None:
        """Create the writer of a term."""
        self.unavailable_since = 0.0
        """Monotonic time since which the store has not answered; 0 while it does."""
        self._store = store
        self._fleet = fleet
        self._term = term
        self._keys = term.keys
        self._metrics = metrics
        self._outage = Outage("store", "ledger")
        self._changed = asyncio.Event()
        self._waiting: dict[str, list[asyncio.Future[None]]] = {}
        self._pending: bytes = b""
        self._pending_revision = ABSENT
        self._pending_sent_at = -MAX_LAG_S
        self._pending_in_flight = False
        self._jobs_in_flight: set[str] = set()
        self._writes: set[asyncio.Task[None]] = set()

    def adopt_pending(self, record: Record | None) -> None:
        """Continue from the numbers of pending jobs that an earlier controller has written."""
        if record is not None:
            self._pending = record.value
            self._pending_revision = record.revision

    def wake(self) -> None:
        """Start writing the jobs that are marked in the fleet soon."""
        self._changed.set()

    async def record(self, jobs: Iterable[str]) -> None:
        """Wait until the current state of some jobs is in the store."""
        loop = asyncio.get_running_loop()
        futures = []
        for job in jobs:
            self._fleet.mark_dirty(job)
            future = loop.create_future()
            self._waiting.setdefault(job, []).append(future)
            futures.append(future)
        self._changed.set()
        if futures:
            await asyncio.gather(*futures)

    async def run(self) -> None:
        """Write batches until the term is lost."""
        try:
            while not self._term.lost.is_set():
                if not self._has_work():
                    self._changed.clear()
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), MAX_IDLE_S)
                    await asyncio.sleep(BATCH_DELAY_S)
                if self._has_work():
                    batch = self._build_batch()
                    if batch.puts:
                        self._writes.add(asyncio.create_task(self._write(batch)))
                        await self._wait_for_slot()
        finally:
            for write in self._writes:
                write.cancel()

    def _has_work(self) -> bool:
        """Return whether there is anything to write that is not in flight."""
        now = read_clock()
        self._queue_begins(now)
        if self._fleet.dirty.keys() - self._jobs_in_flight:
            return True
        # The writes that have finished stay in the set until the next one is sent.
        idle = all(write.done() for write in self._writes)
        due = now - self._pending_sent_at >= MAX_LAG_S
        return idle and due and self._count_pending() != self._pending

    def _queue_begins(self, now: float) -> None:
        """Queue the jobs that have begun and that no batch has included since."""
        for job, begun_at in list(self._fleet.unrecorded_begins.items()):
            if now - begun_at < MAX_LAG_S:
                return
            del self._fleet.unrecorded_begins[job]
            self._fleet.mark_dirty(job)

    async def _wait_for_slot(self) -> None:
        """Wait until the next batch may be sent; re-raises an exception of a write."""
        done, _ = await asyncio.wait(self._writes, timeout=OVERLAP_DELAY_S)
        limit = 1 if self.unavailable_since else MAX_IN_FLIGHT
        while len(self._writes) - len(done) >= limit:
            newly_done, _ = await asyncio.wait(
                self._writes - done, return_when=asyncio.FIRST_COMPLETED
            )
            done |= newly_done
        self._writes -= done
        for write in done:
            write.result()

    async def _write(self, batch: _Batch) -> None:
        try:
            revision = await self._store.commit(batch.transaction)
        except TransactionConflict as conflict:
            self._adopt(batch, conflict)
            self._requeue(batch)
        except StoreError as error:
            self.unavailable_since = self.unavailable_since or read_clock()
            self._outage.note_failure(error)
            self._requeue(batch)
            await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
        else:
            self._outage.note_success()
            self.unavailable_since = 0.0
            self._apply_success(batch, revision)
        finally:
            self._jobs_in_flight.difference_update(batch.waiting)
            if batch.pending is not None:
                self._pending_in_flight = False
            self._changed.set()

    def _apply_success(self, batch: _Batch, revision: int) -> None:
        if batch.pending is not None:
            self._pending = batch.pending
            self._pending_revision = revision
        for job in batch.waiting:
            self._fleet.jobs[job].progress_revision = revision
        for entry in batch.ended:
            self._archive(entry)
        for futures in batch.waiting.values():
            _resolve(futures)

    def _build_batch(self) -> _Batch:
        """Build a batch of the oldest changes that fit into one transaction.

        Jobs are encoded now, because a job that ends later takes more entries; callers that wait
        for a job's record wait for this batch.
        """
        batch = _Batch(self._keys)
        entries = 0
        for job in [job for job in self._fleet.dirty if job not in self._jobs_in_flight]:
            entry = self._fleet.jobs.get(job)
            size = 0
            if entry is not None and not entry.archived:
                size = ARCHIVE_ENTRIES if entry.ended else PROGRESS_ENTRIES
            if entries + size > MAX_ENTRIES:
                break
            entries += size
            del self._fleet.dirty[job]
            futures = self._waiting.pop(job, [])
            if entry is not None and size:
                batch.waiting[job] = futures
                batch.add(entry)
                self._fleet.unrecorded_begins.pop(job, None)
                continue
            # The job's final state is already in the store.
            _resolve(futures)
            if entry is not None and not entry.has_runs():
                self._fleet.jobs.pop(job)
        self._add_pending(batch)
        batch.conditions[self._keys.lock] = self._term.lock.revision
        self._jobs_in_flight.update(batch.waiting)
        return batch

    def _add_pending(self, batch: _Batch) -> None:
        """Add the numbers of pending jobs of each queue to a batch if they have changed."""
        pending = self._count_pending()
        # Of two writes in flight at once, the older might take effect last.
        if pending != self._pending and not self._pending_in_flight:
            batch.pending = batch.puts[self._keys.pending] = pending
            # A write that got no answer may take effect after this one, unless that is excluded.
            batch.conditions[self._keys.pending] = self._pending_revision
            self._pending_sent_at = read_clock()
            self._pending_in_flight = True

    def _requeue(self, batch: _Batch) -> None:
        """Queue a batch to be written again; callers keep waiting for their own jobs only."""
        self._fleet.dirty = dict.fromkeys(batch.waiting) | self._fleet.dirty
        for job, futures in batch.waiting.items():
            self._waiting[job] = futures + self._waiting.get(job, [])

    def _archive(self, entry: JobEntry) -> None:
        for step_key in [
            step_key for step_key in self._fleet.tickets if step_key[0] == entry.job.id
        ]:
            del self._fleet.tickets[step_key]
        entry.archived = True
        self._fleet.note_ended(entry.job.id)
        took_s = read_clock() - entry.created_at
        self._metrics.note_job(entry.job.queue, entry.state, took_s)
        log("job.ended", job=entry.job.id, queue=entry.job.queue, state=entry.state,
            took_s=round(took_s, 3))  # fmt: skip
        if not entry.has_runs():
            self._fleet.jobs.pop(entry.job.id, None)

    def _adopt(self, batch: _Batch, conflict: TransactionConflict) -> None:
        """Adopt the revisions of an earlier write of this term whose answer was lost."""
        lock = conflict.records.get(self._keys.lock)
        if lock is None or lock.revision != self._term.lock.revision:
            self._term.lose("lock is no longer held by this term")
            return
        if batch.pending is not None:
            stored = conflict.records.get(self._keys.pending)
            self._pending_revision = stored.revision if stored is not None else ABSENT
            self._pending = stored.value if stored is not None else b""
        for job in batch.waiting:
            entry = self._fleet.jobs[job]
            record = conflict.records.get(self._keys.progress + job)
            if record is None and entry.ended and entry.progress_revision:
                # This term removed the record: no other node writes under this lock.
                self._archive(entry)
            entry.progress_revision = record.revision if record else 0
        log("ledger.lost-answer", jobs=len(batch.waiting))

    def _count_pending(self) -> bytes:
        counts = Counter(
            entry.job.queue for entry in self._fleet.active.values() if not entry.begun
        )
        return msgspec.json.encode(dict(sorted(counts.items())))


def _resolve(futures: list[asyncio.Future[None]]) -> None:
    for future in futures:
        if not future.done():
            future.set_result(None)
