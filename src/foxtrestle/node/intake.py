"""What clients ask of a node: hand a job in, ask for its state, cancel it, count a queue."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Final, Literal

import msgspec

from foxtrestle.control.keys import CANCELS, ENDED, JOBS, PENDING, PROGRESS
from foxtrestle.control.log import log
from foxtrestle.platform.operators import CONFIGURATION
from foxtrestle.scheduling.model import Job
from foxtrestle.scheduling.progress import decode_progress
from foxtrestle.store import ABSENT, Conflict, OutcomeUnknown, StoreError, Transaction

if TYPE_CHECKING:
    from foxtrestle.node.operators import OperatorMirror
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.model import JobSpec, JobState, Queue

Acceptance = Literal["accepted", "refused", "unknown", "no-queue"]
"""Outcome of handing a job in: `unknown` if a write was sent and its answer was lost."""
ATTEMPTS: Final = 4
"""How often a write is sent before its outcome is called unknown."""
RETRY_S: Final = 0.05
"""Mean pause before a write is sent again, seconds."""


class Intake:
    """Carries out clients' requests against the store."""

    def __init__(self, store: PlatformStore, operators: OperatorMirror) -> None:
        """Create the intake of a node."""
        self._store = store
        self._operators = operators

    async def submit(self, queue: Queue, job_id: str, spec: JobSpec) -> Acceptance:
        """Keep a job, on the condition that the configuration is still the newest."""
        sent = False
        value = b""
        for _ in range(ATTEMPTS):
            configuration = self._operators.configuration
            if configuration is None:
                return "refused"
            value = value or _encode_job(queue, job_id, spec)
            transaction = Transaction(
                conditions={
                    CONFIGURATION: configuration.revision,
                    JOBS + job_id: ABSENT,
                    ENDED + job_id: ABSENT,
                },
                puts={JOBS + job_id: value},
            )
            try:
                await self._store.commit(transaction)
            except Conflict as conflict:
                if conflict.records.keys() & {JOBS + job_id, ENDED + job_id}:
                    return "accepted"
                found = await self._find_again(queue)
                if found is None:
                    return "unknown" if sent else "no-queue"
                queue = found
                continue
            except OutcomeUnknown as error:
                sent = True
                log("job.write-unanswered", job=job_id, reason=error.reason)
            except StoreError as error:
                log("job.write-failed", job=job_id, reason=error.reason)
                if not sent:
                    return "refused"
            else:
                log("job.accepted", job=job_id, queue=queue.name, version=configuration.version)
                return "accepted"
            await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
        return "unknown" if sent else "refused"

    async def _find_again(self, queue: Queue) -> Queue | None:
        """Find a queue in the newest configuration."""
        try:
            await self._operators.refresh()
        except StoreError as error:
            log("operators.refresh-failed", reason=error.reason)
            return queue
        return self._operators.find_queue(queue.host, queue.prefix)

    async def read_state(self, job_id: str) -> JobState | None:
        """Return a job's state as recorded; None if there is no such job."""
        # An end is final, so a cheap read that may be old tells the truth if it finds one.
        ended = await self._store.get(ENDED + job_id, stale=True)
        if ended is not None:
            return decode_progress(ended.value).state
        progress = await self._store.get(PROGRESS + job_id)
        if progress is not None:
            return decode_progress(progress.value).state
        if await self._store.get(JOBS + job_id) is not None:
            return "queued"
        # It may have ended between the reads.
        ended = await self._store.get(ENDED + job_id)
        return decode_progress(ended.value).state if ended is not None else None

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job; False if there is none."""
        job = await self._store.get(JOBS + job_id)
        if job is None:
            return await self._store.get(ENDED + job_id) is not None
        for _ in range(ATTEMPTS):
            transaction = Transaction(
                conditions={JOBS + job_id: job.revision, CANCELS + job_id: ABSENT},
                puts={CANCELS + job_id: str(int(time.time() * 1000)).encode()},
            )
            try:
                await self._store.commit(transaction)
            except Conflict as conflict:
                # It was cancelled before, or has ended since.
                if CANCELS + job_id in conflict.records:
                    return True
                return await self._store.get(ENDED + job_id) is not None
            except OutcomeUnknown as error:
                log("cancel.unanswered", job=job_id, reason=error.reason)
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
            else:
                log("cancel.accepted", job=job_id)
                return True
        raise OutcomeUnknown("the store does not answer", step="intake.cancel", peer=job_id)

    async def count_pending(self, queue: Queue) -> int:
        """Return how many jobs of a queue have not begun."""
        record = await self._store.get(PENDING)
        if record is None:
            return 0
        counts = msgspec.json.decode(record.value, type=dict[str, int])
        return counts.get(queue.name, 0)


def _encode_job(queue: Queue, job_id: str, spec: JobSpec) -> bytes:
    job = Job(
        id=job_id,
        queue=queue.name,
        pool=queue.pool,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        target_ms=queue.target_ms,
        spec=spec,
        accepted_ms=int(time.time() * 1000),
    )
    return msgspec.msgpack.encode(job)
