"""Control loop of a region's job shard: places, monitors and stops the tasks of its pools.

Each pool has one record in the store with its tasks. Any daemon appends and cancels jobs there by
compare-and-swap; the holder of the shard advances the tasks. A task runs under a lease that its
worker enforces: the task is placed again only when the worker reports that it has ended, or when
its lease has certainly expired on an unresponsive worker.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.chart import load_chart
from foxtrestle.errors import FoxtrestleError
from foxtrestle.fleet import Shape
from foxtrestle.host_client import TaskOrder
from foxtrestle.placement import (
    ACTIVE_TASK_STATES,
    FINAL_TASK_STATES,
    Decision,
    Job,
    PlacementState,
    Task,
    decide_job,
    record_failure,
    record_success,
    record_task_loss,
    sort_waiting_jobs,
)
from foxtrestle.records import (
    FLEET_PREFIX,
    JOB_PREFIX,
    FleetRecord,
    decode_record,
    encode_record,
    replace,
)
from foxtrestle.store import ABSENT, StoreError, swap_with_retry
from foxtrestle.usage import Usage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from foxtrestle.fleet_shard import ShardContext
    from foxtrestle.host_client import TaskReport, WorkerStatus
    from foxtrestle.store import Store

LEASE_S: Final = 15.0
"""Seconds a task may run without a renewal of its lease."""
RENEWAL_PERIOD_S: Final = 4.0
"""Seconds between two renewals of a task's lease."""
POLL_PERIOD_S: Final = 2.0
"""Seconds between two status requests to a worker whose tasks are all running; other workers with
tasks are polled in each round."""
LEASE_MARGIN_S: Final = 5.0
"""Seconds after the end of the lease before the task of an unresponsive worker is placed again;
covers the drift of the worker's clock during one lease."""
MAX_ENDED_TASKS: Final = 50
"""Maximum number of ended tasks that a pool's record keeps for users to inspect."""
MAX_TASKS: Final = 2000
"""Maximum number of tasks in a pool's record, in any state."""


class JobRecord(msgspec.Struct, frozen=True):
    """Tasks of one pool."""

    epoch: int = 0
    """Incremented with each change of holder."""
    sequence: int = 0
    """Incremented with each write."""
    writer: str = ""
    """Incarnation of the daemon that wrote the record."""
    tasks: dict[str, Task] = {}
    """Tasks by job id."""
    cancelled: list[str] = []
    """Jobs whose cancellation the holder has not carried out yet."""


class JobError(FoxtrestleError):
    """A job was rejected, or another daemon has taken over the job shard."""


async def submit_job(store: Store, job: Job, writer: str, now: float) -> Task:
    """Append a job to its pool's record.

    Returns:
        The new task, or the existing one if the same job was submitted before.

    Raises:
        JobError: Another job has the same id, or the pool has too many jobs.
        StoreError: The store does not respond.
    """

    def change(record: JobRecord) -> JobRecord:
        stored = record.tasks.get(job.id)
        if stored is not None and stored.job != job:
            raise JobError("another job has this name", step="jobs.submit", peer=job.id)
        if stored is not None:
            return record
        if len(record.tasks) >= MAX_TASKS:
            raise JobError(f"pool has {MAX_TASKS} jobs", step="jobs.submit", peer=job.pool)
        return replace(record, tasks={**record.tasks, job.id: Task(job, now, since=now)})

    record = await _update_record(store, job.pool, writer, change)
    return record.tasks[job.id]


async def cancel_jobs(store: Store, pool: str, jobs: Iterable[str], writer: str) -> list[str]:
    """Request the cancellation of jobs of a pool, all in one write.

    Returns:
        Requested jobs that exist and had not ended.
    """
    requested = set(jobs)

    def change(record: JobRecord) -> JobRecord:
        unfinished = {
            name
            for name in requested & record.tasks.keys()
            if record.tasks[name].state not in FINAL_TASK_STATES
        }
        return replace(record, cancelled=sorted({*record.cancelled, *unfinished}))

    record = await _update_record(store, pool, writer, change)
    return sorted(requested & set(record.cancelled))


async def _update_record(
    store: Store, pool: str, writer: str, change: Callable[[JobRecord], JobRecord]
) -> JobRecord:
    """Change a pool's record by compare-and-swap, retrying when another writer was faster."""
    key = JOB_PREFIX + pool
    while True:
        stored = await store.get(key)
        former = decode_record(stored.value, JobRecord, key) if stored else JobRecord()
        record = change(former)
        if record is former or record == former:
            return former
        record = replace(record, sequence=former.sequence + 1, writer=writer)
        revision = stored.revision if stored else ABSENT
        swap = await swap_with_retry(store, key, encode_record(record), revision)
        if swap.done:
            return record


class JobShard:
    """Control loop of one region's jobs, run by the daemon that holds the shard."""

    def __init__(self, region: str, context: ShardContext) -> None:
        """Create the control loop of a region."""
        self.region = region
        """The region."""
        self.placement = PlacementState()
        """Workers and tasks of the region."""
        self._context = context
        self._epochs: dict[str, int] = {}
        self._revisions: dict[str, int] = {}
        self._cancelled: dict[str, set[str]] = {}
        self._sequences: dict[str, int] = {}
        self._dirty_pools: set[str] = set()
        self._last_status_at: dict[str, float] = {}
        self._lease_renewed_at: dict[str, float] = {}
        self._addresses: dict[str, str] = {}
        self._fleet_revision = -1
        self._created_at = context.wall_clock()

    async def run(self) -> None:
        """Run until cancelled.

        Raises:
            JobError: Another daemon has taken over the shard.
        """
        while True:
            try:
                await self._run_round()
            except StoreError as error:
                # Tasks continue under their leases, whose renewal needs the workers, not the store.
                self._context.timeline.add("jobs.store-away", self.region, error.reason)
            await asyncio.sleep(self._context.period_s)

    async def release(self) -> None:
        """Do nothing: all state is in the stored records, so there is nothing to hand over."""

    async def _run_round(self) -> None:
        context = self._context
        if not context.configuration.version:
            return
        now = context.wall_clock()
        self.placement.teams = {team.name: team for team in context.configuration.declaration.teams}
        self._load_workers()
        await self._load_records()
        await self._monitor_tasks(now)
        if not context.mirror.synced:
            if context.has_quorum():
                await self._send_orders(now)
            return
        self._apply_cancellations(now)
        self._place_waiting(now)
        await self._commit()
        await self._send_orders(now)

    def _list_pools(self) -> list[str]:
        declaration = self._context.configuration.declaration
        return [pool.name for pool in declaration.pools if pool.region == self.region]

    def _load_workers(self) -> None:
        """Load the hosts that are up from the region's fleet record."""
        stored = self._context.mirror.records.get(FLEET_PREFIX + self.region)
        if stored is None or stored.revision == self._fleet_revision:
            return
        self._fleet_revision = stored.revision
        record = decode_record(stored.value, FleetRecord, stored.key)
        self._addresses = {name: entry.address for name, entry in record.hosts.items()}
        up = {
            name: entry
            for name, entry in record.hosts.items()
            if entry.state == "up" and entry.pool
        }
        for name in self.placement.workers.keys() - up.keys():
            self.placement.remove_worker(name)
        for name, entry in up.items():
            self.placement.add_worker(name, entry.pool, Shape(*entry.shape))

    async def _load_records(self) -> None:
        """Load the jobs that other daemons appended and the cancellations they requested."""
        for pool in self._list_pools():
            stored = self._context.mirror.records.get(JOB_PREFIX + pool)
            if stored is None or stored.revision <= self._revisions.get(pool, 0):
                continue
            record = decode_record(stored.value, JobRecord, stored.key)
            if pool not in self._epochs:
                record, revision = await self._take_over(pool, record, stored.revision)
            elif record.epoch != self._epochs[pool]:
                raise JobError("another daemon holds the shard", step="jobs.load", peer=pool)
            else:
                revision = stored.revision
            self._revisions[pool] = revision
            self._sequences[pool] = record.sequence
            self._cancelled[pool] = set(record.cancelled)
            for name, task in record.tasks.items():
                if name not in self.placement.tasks:
                    self.placement.set_task(task)

    async def _take_over(
        self, pool: str, record: JobRecord, revision: int
    ) -> tuple[JobRecord, int]:
        record = replace(
            record,
            epoch=record.epoch + 1,
            sequence=record.sequence + 1,
            writer=self._context.incarnation,
        )
        swap = await swap_with_retry(
            self._context.store, JOB_PREFIX + pool, encode_record(record), revision
        )
        if not swap.done or swap.record is None:
            raise StoreError(
                "the job record was changed concurrently", step="jobs.take-over", peer=pool
            )
        self._context.mirror.apply_record(swap.record)
        self._epochs[pool] = record.epoch
        return record, swap.record.revision

    async def _monitor_tasks(self, now: float) -> None:
        """Read the status of workers and update their tasks.

        A worker whose tasks are all running is polled every `POLL_PERIOD_S` seconds, a worker with
        a task that is starting or being stopped in every round.
        """
        tasks_by_worker: dict[str, list[Task]] = {}
        for task in self.placement.tasks.values():
            if task.state in ACTIVE_TASK_STATES:
                tasks_by_worker.setdefault(task.worker, []).append(task)
        tasks_by_worker = {
            worker: tasks
            for worker, tasks in tasks_by_worker.items()
            if self._is_due(worker, tasks, now)
        }
        statuses = await asyncio.gather(*(self._read_status(worker) for worker in tasks_by_worker))
        for (worker, tasks), status in zip(tasks_by_worker.items(), statuses, strict=True):
            if status is not None:
                self._last_status_at[worker] = now
                reports = {report.id: report for report in status.tasks}
                for task in tasks:
                    self._apply_report(task, reports.get(_attempt_id(task)), now)
            else:
                for task in tasks:
                    self._expire_lease(task, now)

    def _is_due(self, worker: str, tasks: list[Task], now: float) -> bool:
        settled = all(task.state == "running" for task in tasks)
        return not settled or now - self._last_status_at.get(worker, 0.0) >= POLL_PERIOD_S

    async def _read_status(self, worker: str) -> WorkerStatus | None:
        address = self._addresses.get(worker)
        if address is None:
            return None
        try:
            return await self._context.workers.read_status(address)
        except FoxtrestleError:
            return None

    def _apply_report(self, task: Task, report: TaskReport | None, now: float) -> None:
        if report is None:
            # A worker that answers without listing the task has lost it, unless the order to start
            # the task may still be in flight.
            if task.state != "starting" or now - task.since > LEASE_S + LEASE_MARGIN_S:
                self._handle_task_loss(task, now)
            return
        if report.state == "running":
            usage = Usage(report.cores_used, report.memory_gb_used)
            self.placement.usage.add_sample(task.job.kind, task.job.declared, usage)
            if task.state == "starting":
                self._apply_event(task, "started", now)
        elif report.state == "done":
            record_success(self.placement, task.worker)
            if task.state == "starting":
                task = self._apply_event(task, "started", now)
            self._apply_event(task, "finish", now)
        elif report.state == "failed" and task.state in ("starting", "running"):
            verdict = record_failure(self.placement, task.job.id, task.worker)
            task = self.placement.tasks[task.job.id]
            event = "condemn" if verdict == "condemn-job" else "fail"
            self._apply_event(task, event, now, f"failed on {task.worker}")
        elif task.state in ("evicting", "stopping"):
            self._apply_event(task, "stopped", now)
        else:
            self._apply_event(task, "lost", now, "its lease ran out")

    def _handle_task_loss(self, task: Task, now: float) -> None:
        """Handle a task that its responding worker no longer lists."""
        verdict = record_task_loss(self.placement, task.job.id, now)
        task = self.placement.tasks[task.job.id]
        condemned = verdict == "condemn-job" and task.state in ("starting", "running")
        event = "condemn" if condemned else "lost"
        self._apply_event(task, event, now, f"worker {task.worker} lost it, {task.losses} have")

    def _expire_lease(self, task: Task, now: float) -> None:
        """Mark an unresponsive worker's task as lost once its lease has certainly expired there."""
        # The former holder of the shard may have renewed the lease until this holder started.
        last_renewed_at = max(
            self._lease_renewed_at.get(_attempt_id(task), 0.0), task.since, self._created_at
        )
        if now - last_renewed_at > LEASE_S + LEASE_MARGIN_S:
            self._apply_event(task, "lost", now, f"worker {task.worker} is silent")

    def _apply_event(self, task: Task, event: str, now: float, note: str = "") -> Task:
        state = load_chart("task").apply_event(task.state, event)
        on_worker = state in ACTIVE_TASK_STATES
        changed = replace(
            task,
            state=state,
            since=now,
            note=note,
            worker=task.worker if on_worker else "",
            reserved=task.reserved if on_worker else Usage(0.0, 0.0),
        )
        self.placement.set_task(changed)
        self._dirty_pools.add(task.job.pool)
        if not on_worker:
            self._lease_renewed_at.pop(_attempt_id(task), None)
        self._context.timeline.add(f"job.{state}", task.job.id, note or task.worker)
        return changed

    def _apply_cancellations(self, now: float) -> None:
        for pool, names in self._cancelled.items():
            for name in names:
                task = self.placement.tasks.get(name)
                if task is not None and load_chart("task").allows(task.state, "cancel"):
                    self._apply_event(task, "cancel", now, "cancelled by its team")
            if names:
                self._dirty_pools.add(pool)
            names.clear()

    def _place_waiting(self, now: float) -> None:
        for name in sort_waiting_jobs(self.placement):
            if self.placement.tasks[name].state == "waiting":
                for decision in decide_job(self.placement, name, now):
                    self._apply_decision(decision, now)

    def _apply_decision(self, decision: Decision, now: float) -> None:
        task = self.placement.tasks[decision.job]
        if decision.action == "place":
            need = self.placement.usage.estimate(task.job.kind, task.job.declared)
            placed = replace(
                task,
                attempt=task.attempt + 1,
                worker=decision.worker,
                reserved=need,
                borrowed=decision.borrowed,
                started=now,
            )
            self.placement.set_task(placed)
            self._apply_event(placed, "place", now)
        elif decision.action == "preempt":
            if task.state == "starting":
                task = self._apply_event(task, "started", now)
            self._apply_event(task, "preempt", now, decision.note)
        elif decision.action == "refuse":
            self._apply_event(task, "refuse", now, decision.note)
        elif task.note != decision.note:
            self.placement.set_task(replace(task, note=decision.note))

    async def _commit(self) -> None:
        """Write the records of pools that have changed, before any order is sent."""
        for pool in sorted(self._dirty_pools):
            tasks = {
                name: task for name, task in self.placement.tasks.items() if task.job.pool == pool
            }
            for name in _find_surplus_ended(tasks):
                del tasks[name]
                self.placement.remove_task(name)
            sequence = self._sequences.get(pool, 0) + 1
            record = JobRecord(self._epochs[pool], sequence, self._context.incarnation, tasks)
            swap = await swap_with_retry(
                self._context.store, JOB_PREFIX + pool, encode_record(record), self._revisions[pool]
            )
            if swap.record is not None:
                self._context.mirror.apply_record(swap.record)
            if not swap.done:
                # A job was appended concurrently: the next round loads it and writes again.
                self._revisions[pool] = 0
                continue
            assert swap.record is not None
            self._revisions[pool], self._sequences[pool] = swap.record.revision, sequence
            self._dirty_pools.discard(pool)

    async def _send_orders(self, now: float) -> None:
        """Start, renew and stop tasks as their committed states require."""
        orders = []
        for task in self.placement.tasks.values():
            if task.state not in ACTIVE_TASK_STATES or task.job.pool in self._dirty_pools:
                continue
            name = _attempt_id(task)
            if task.state in ("evicting", "stopping"):
                orders.append(self._stop_task(task))
            elif now - self._lease_renewed_at.get(name, 0.0) >= RENEWAL_PERIOD_S:
                self._lease_renewed_at[name] = now
                orders.append(self._start_task(task))
        await asyncio.gather(*orders)

    async def _start_task(self, task: Task) -> None:
        job = task.job
        order = TaskOrder(
            self._epochs[job.pool],
            JOB_PREFIX + job.pool,
            LEASE_S,
            job.cores,
            job.memory_gb,
            job.accelerators,
            job.command,
        )
        try:
            address = self._addresses[task.worker]
            await self._context.workers.start_task(address, _attempt_id(task), order)
        except (FoxtrestleError, KeyError):
            self._context.counters["order-failures"] += 1

    async def _stop_task(self, task: Task) -> None:
        pool = task.job.pool
        try:
            await self._context.workers.stop_task(
                self._addresses[task.worker],
                _attempt_id(task),
                JOB_PREFIX + pool,
                self._epochs[pool],
                checkpoint=task.state == "evicting",
            )
        except (FoxtrestleError, KeyError):
            self._context.counters["order-failures"] += 1


def _attempt_id(task: Task) -> str:
    return f"{task.job.id}.{task.attempt}"


def _find_surplus_ended(tasks: dict[str, Task]) -> list[str]:
    """Find the oldest ended tasks beyond the number that is kept."""
    ended = sorted(
        (name for name, task in tasks.items() if task.state in FINAL_TASK_STATES),
        key=lambda name: tasks[name].since,
    )
    return ended[: max(0, len(ended) - MAX_ENDED_TASKS)]
