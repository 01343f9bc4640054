"""Clients' requests: submit a job, read its state, cancel it, count a queue's pending jobs."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Final, Literal

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.keys import ENDED_JOB_PREFIX, build_keys
from foxtrestle.control.log import log
from foxtrestle.control.stored import decode_json, decode_stored
from foxtrestle.node.pressure_cache import PressureCache
from foxtrestle.platform.operators import CONFIGURATION_KEY
from foxtrestle.scheduling.access import AccessGrant, Denial, authorise_request
from foxtrestle.scheduling.fair_share import has_weights
from foxtrestle.scheduling.model import Job
from foxtrestle.scheduling.partitions import compute_partition_limits
from foxtrestle.scheduling.pressure import Refusal, choose_refusal
from foxtrestle.scheduling.progress import decode_job, decode_progress
from foxtrestle.scheduling.quotas import find_oversized_gang
from foxtrestle.store import ABSENT, OutcomeUnknown, StoreError, Transaction, TransactionConflict

if TYPE_CHECKING:
    from collections.abc import Mapping

    from foxtrestle.control.keys import Keys
    from foxtrestle.control.layout import Layout
    from foxtrestle.node.operators import OperatorMirror
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.access import RequestTarget
    from foxtrestle.scheduling.model import FleetConfiguration, JobSpec, JobState, Queue
    from foxtrestle.scheduling.partitions import Partition
    from foxtrestle.store import Record

SubmissionOutcome = (
    Literal["accepted", "refused", "unknown", "taken", "too-large", "drained", "full"]
    | Denial
    | Refusal
)
"""Outcome of a submission: `unknown` if a write was sent and its answer was lost, `taken` if the id
belongs to another organisation, `too-large` if the organisation's limit prevents a gang from ever
starting, `drained` if operators drain every zone, so that the job could not start, `full` if too
many jobs are unfinished, a `Refusal` if the job cannot be served in time."""
MAX_WRITE_ATTEMPTS: Final = 4
"""Maximum number of attempts to write a submission or a cancellation. After that the outcome is
reported as unknown, or as refused if the job was certainly not stored."""
MAX_PRESSURE_CHANGES: Final = 3
"""Writes of one job that may fail because the pressure has changed; the next write is made without
regard to the pressure."""
MAX_UNSETTLED: Final = 1000
"""Maximum number of remembered job ids whose write outcome is unknown; the oldest are dropped."""
RETRY_S: Final = 0.05
"""Mean pause before a write is retried, seconds."""


class _Submission(msgspec.Struct):
    """A job that is being submitted."""

    job_id: str
    spec: JobSpec
    accepted_ms: int
    outcome_unknown: bool = False
    """Whether a write of the job had no answer."""
    attempts: int = 0
    """Writes that count towards `MAX_WRITE_ATTEMPTS`."""
    pressure_changes: int = 0
    """Writes refused because the pressure had changed."""


class JobService:
    """Carries out clients' requests against the store."""

    def __init__(self, store: PlatformStore, operators: OperatorMirror, layout: Layout) -> None:
        """Create the job service of a node."""
        self._store = store
        self._operators = operators
        self._layout = layout
        self._pressures = PressureCache()
        self._unsettled: dict[str, None] = {}

    async def submit(self, target: RequestTarget, job_id: str, spec: JobSpec) -> SubmissionOutcome:
        """Store a submitted job, unless it is denied or refused.

        Args:
            target: Host, path and API key of the request.
            job_id: Id chosen by the client.
            spec: The job as described by the client.
        """
        submission = _Submission(job_id, spec, int(time.time() * 1000))
        if self._operators.zones.are_all_drained() and job_id not in self._unsettled:
            return await self._refuse_drained(target, job_id)
        while submission.attempts < MAX_WRITE_ATTEMPTS:
            configuration = self._operators.configuration
            # The cached configuration may be stale; the commit fails if it is not the newest.
            grant = authorise_request(configuration, target)
            if configuration is None or not isinstance(grant, AccessGrant):
                return "unknown" if submission.outcome_unknown else _to_denial(grant)
            partition = self._layout.find_partition(job_id)
            if _is_too_large(configuration, grant, spec, partition):
                return "unknown" if submission.outcome_unknown else "too-large"
            check_pressure = (
                has_weights(configuration) and submission.pressure_changes < MAX_PRESSURE_CHANGES
            )
            refusal = self._choose_refusal(partition, grant, submission) if check_pressure else None
            if refusal is not None:
                return await self._refuse(grant, job_id, refusal)
            outcome = await self._write(
                submission, configuration, grant, check_pressure=check_pressure
            )
            if outcome is not None:
                return outcome
        return "unknown" if submission.outcome_unknown else "refused"

    async def _write(
        self,
        submission: _Submission,
        configuration: FleetConfiguration,
        grant: AccessGrant,
        *,
        check_pressure: bool,
    ) -> SubmissionOutcome | None:
        """Try once to store a job; None if the submission has to be decided again.

        Args:
            submission: The job.
            configuration: The configuration under which the request was authorised.
            grant: Queue and organisation of the request.
            check_pressure: Whether the write requires that the cached pressure is still current.
        """
        job_id = submission.job_id
        partition = self._layout.find_partition(job_id).number
        keys = build_keys(partition)
        transaction = _build_submission(configuration, keys, grant, submission)
        if check_pressure:
            transaction.conditions[keys.pressure] = self._pressures.find(partition).revision
        try:
            await self._store.commit(transaction)
        except TransactionConflict as conflict:
            owner_and_queue = _find_owner_and_queue(conflict.records, keys, job_id)
            if owner_and_queue is not None:
                return "accepted" if grant.may_access_job(*owner_and_queue) else "taken"
            if keys.backlog in conflict.records:
                return "unknown" if submission.outcome_unknown else "full"
            pressure_changed = check_pressure and self._update_pressure(
                submission, partition, conflict.records
            )
            if not pressure_changed or _has_configuration_changed(configuration, conflict.records):
                submission.attempts += 1
                await self._refresh()
            return None
        except OutcomeUnknown as error:
            submission.outcome_unknown = True
            self._record_unsettled(job_id)
            log("job.write-unanswered", job=job_id, reason=error.reason)
        except StoreError as error:
            log("job.write-failed", job=job_id, reason=error.reason)
            if not submission.outcome_unknown:
                return "refused"
        else:
            if check_pressure:
                self._pressures.confirm(partition)
            log("job.accepted", job=job_id, queue=grant.queue.name,
                org=grant.organisation, version=configuration.version)  # fmt: skip
            return "accepted"
        submission.attempts += 1
        await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
        return None

    def _update_pressure(
        self, submission: _Submission, partition: int, records: Mapping[str, Record]
    ) -> bool:
        """Cache the pressure record from a conflict; return whether it had changed."""
        if not self._pressures.update(partition, records.get(build_keys(partition).pressure)):
            return False
        submission.pressure_changes += 1
        return True

    def _choose_refusal(
        self, partition: Partition, grant: AccessGrant, submission: _Submission
    ) -> Refusal | None:
        """Decide by the cached pressure whether to refuse a job.

        A job whose earlier write has an unknown outcome is never refused.
        """
        cached = self._pressures.find_fresh(partition.number)
        if cached is None or submission.outcome_unknown or submission.job_id in self._unsettled:
            return None
        return choose_refusal(
            cached.pressure, grant.queue, grant.organisation, submission.job_id, submission.spec
        )

    async def _refuse(self, grant: AccessGrant, job_id: str, refusal: Refusal) -> SubmissionOutcome:
        """Refuse a job unless it is already stored.

        The client may not have received the answer to an earlier submission that was accepted.
        """
        existing = await self._find_existing(grant, job_id)
        if existing is not None:
            return existing
        partition = self._layout.find_partition(job_id)
        cached = self._pressures.find(partition.number)
        log("job.refused", job=job_id, org=grant.organisation, queue=grant.queue.name,
            pool=grant.queue.pool, reason=refusal.reason, wait_s=refusal.wait_s,
            retry_after_s=refusal.retry_after_s,
            known_s=round(read_clock() - cached.confirmed_at, 2))  # fmt: skip
        return refusal

    def _record_unsettled(self, job_id: str) -> None:
        """Remember that a job may or may not have been stored."""
        self._unsettled.pop(job_id, None)
        self._unsettled[job_id] = None
        if len(self._unsettled) > MAX_UNSETTLED:
            del self._unsettled[next(iter(self._unsettled))]

    async def _refuse_drained(self, target: RequestTarget, job_id: str) -> SubmissionOutcome:
        """Refuse a new job while every zone is drained, unless the job is already stored."""
        grant = authorise_request(self._operators.configuration, target)
        if not isinstance(grant, AccessGrant):
            return grant
        return await self._find_existing(grant, job_id) or "drained"

    async def _find_existing(self, grant: AccessGrant, job_id: str) -> SubmissionOutcome | None:
        """Return the outcome for a job that is already stored; None if it is not stored."""
        keys = self._layout.find_keys(job_id)
        try:
            # The reads are sequential: if the job is not open any more, its end is recorded before
            # the second read. Two concurrent reads could both miss a job that ends between them.
            open_job = await self._store.get(keys.jobs + job_id)
            ended = await self._store.get(ENDED_JOB_PREFIX + job_id) if open_job is None else None
        except StoreError as error:
            log("job.refusal-unsure", job=job_id, reason=error.reason)
            return "unknown"
        records = {record.key: record for record in (open_job, ended) if record is not None}
        owner_and_queue = _find_owner_and_queue(records, keys, job_id)
        if owner_and_queue is None:
            return None
        return "accepted" if grant.may_access_job(*owner_and_queue) else "taken"

    async def _refresh(self) -> None:
        """Read the newest configuration."""
        try:
            await self._operators.refresh()
        except StoreError as error:
            log("operators.refresh-failed", reason=error.reason)

    async def read_state(self, grant: AccessGrant, job_id: str) -> JobState | None:
        """Return a job's recorded state; None if there is no job that the caller may access."""
        keys = self._layout.find_keys(job_id)
        # A final state never changes, so it is valid even from a cheaper, possibly stale read.
        record = await self._store.get(ENDED_JOB_PREFIX + job_id, stale=True)
        if record is None:
            record = await self._store.get(keys.progress + job_id)
        if record is not None:
            return _read_accessible_state(grant, record)
        job = await self._store.get(keys.jobs + job_id)
        if job is not None:
            return "queued" if grant.may_access_job(*_read_owner_and_queue(job)) else None
        # The job may have ended between the reads.
        record = await self._store.get(ENDED_JOB_PREFIX + job_id)
        return _read_accessible_state(grant, record) if record is not None else None

    async def cancel(self, grant: AccessGrant, job_id: str) -> bool:
        """Cancel a job; False if there is no job that the caller may access."""
        keys = self._layout.find_keys(job_id)
        cancel_key = keys.cancels + job_id
        job = await self._store.get(keys.jobs + job_id)
        if job is None:
            return await self._has_ended(grant, job_id)
        if not grant.may_access_job(*_read_owner_and_queue(job)):
            return False
        for _ in range(MAX_WRITE_ATTEMPTS):
            transaction = Transaction(
                conditions={keys.jobs + job_id: job.revision, cancel_key: ABSENT},
                puts={cancel_key: str(int(time.time() * 1000)).encode()},
            )
            try:
                await self._store.commit(transaction)
            except TransactionConflict as conflict:
                # The job was cancelled already, or has ended since the read.
                if cancel_key in conflict.records:
                    return True
                return await self._has_ended(grant, job_id)
            except OutcomeUnknown as error:
                log("cancel.unanswered", job=job_id, reason=error.reason)
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
            else:
                log("cancel.accepted", job=job_id)
                return True
        raise OutcomeUnknown("the store does not answer", step="intake.cancel", peer=job_id)

    async def _has_ended(self, grant: AccessGrant, job_id: str) -> bool:
        """Return whether a job has ended and the caller may access it."""
        record = await self._store.get(ENDED_JOB_PREFIX + job_id)
        return record is not None and _read_accessible_state(grant, record) is not None

    async def count_pending(self, queue: Queue) -> int:
        """Return the number of jobs of a queue that have not begun."""
        pending = [
            self._store.get(build_keys(partition.number).pending)
            for partition in self._layout.list_partitions()
        ]
        return sum(_read_pending(record, queue) for record in await asyncio.gather(*pending))


def _to_denial(grant: AccessGrant | Denial) -> SubmissionOutcome:
    return grant if isinstance(grant, Denial) else Denial.NO_CONFIGURATION


def _is_too_large(
    configuration: FleetConfiguration, grant: AccessGrant, spec: JobSpec, partition: Partition
) -> bool:
    """Return whether a gang of a job can never start.

    A job runs in a single partition, so the partition's part of the organisation's limit applies.
    """
    organisation = configuration.organisations.get(grant.organisation)
    if organisation is None:
        return False
    return (
        find_oversized_gang(spec, compute_partition_limits(partition, organisation).limit)
        is not None
    )


def _has_configuration_changed(
    configuration: FleetConfiguration, records: Mapping[str, Record]
) -> bool:
    """Return whether the records of a conflict contain another configuration."""
    newest = records.get(CONFIGURATION_KEY)
    return newest is None or newest.revision != configuration.revision


def _read_pending(record: Record | None, queue: Queue) -> int:
    if record is None:
        return 0
    return decode_stored(record, decode_json(dict[str, int])).get(queue.name, 0)


def _find_owner_and_queue(
    records: Mapping[str, Record], keys: Keys, job_id: str
) -> tuple[str, str] | None:
    """Return the owner and queue of a stored job, open or ended; None if no record describes it."""
    if keys.jobs + job_id in records:
        return _read_owner_and_queue(records[keys.jobs + job_id])
    if ENDED_JOB_PREFIX + job_id in records:
        ended = decode_stored(records[ENDED_JOB_PREFIX + job_id], decode_progress)
        return ended.owner, ended.queue
    return None


def _read_owner_and_queue(record: Record) -> tuple[str, str]:
    job = decode_stored(record, decode_job)
    return job.owner, job.queue


def _read_accessible_state(grant: AccessGrant, record: Record) -> JobState | None:
    """Return the recorded state of a job; None if the caller may not access the job."""
    progress = decode_stored(record, decode_progress)
    return progress.state if grant.may_access_job(progress.owner, progress.queue) else None


def _build_submission(
    configuration: FleetConfiguration,
    keys: Keys,
    grant: AccessGrant,
    submission: _Submission,
) -> Transaction:
    """Build the write that stores a job if the configuration is still the newest."""
    queue = grant.queue
    job = Job(
        id=submission.job_id,
        queue=queue.name,
        pool=queue.pool,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        target_ms=queue.target_ms,
        spec=submission.spec,
        accepted_ms=submission.accepted_ms,
        owner=grant.organisation,
    )
    return Transaction(
        conditions={
            CONFIGURATION_KEY: configuration.revision,
            keys.backlog: ABSENT,
            keys.jobs + submission.job_id: ABSENT,
            ENDED_JOB_PREFIX + submission.job_id: ABSENT,
        },
        puts={keys.jobs + submission.job_id: msgspec.msgpack.encode(job)},
    )
