"""Migration of runs out of drained zones, and the progress of zone drains."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.draining import find_zone
from foxtrestle.scheduling.maintenance_waves import (
    DisruptionBudget,
    list_alternative_workers,
    list_confirmed_runs,
)
from foxtrestle.scheduling.runs import StopOrder

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from foxtrestle.scheduling.jobs import Run, Task
    from foxtrestle.scheduling.model import Step
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

MAX_STOPS_PER_ROUND: Final = 4
"""Maximum number of runs stopped in one round: the runs belong to any job, and other waiting tasks
may take the free places before the tasks of the stopped runs do."""
MIN_REMAINING_S: Final = 2.0
"""Minimum remaining work, in seconds, besides the restore of the checkpoint, for which a task is
migrated: about as long as the task waits for its next start where little capacity is free."""


class MigrationLimits(msgspec.Struct, frozen=True):
    """Time limits for migrating a run out of a drained zone, all in seconds."""

    min_drain_age_s: float
    """Age of the drain from which runs are migrated; until then, the request may be withdrawn."""
    stop_s: float
    """Time for which a run may continue after its stop was ordered."""
    save_s: float
    """Running time after which a task with checkpoints has saved one."""
    restore_s: float
    """Time that a task takes to restore its checkpoint."""


def choose_migrations(
    fleet: Fleet, ages_s: Mapping[str, float], limits: MigrationLimits, now: float
) -> list[StopOrder]:
    """Choose the runs to stop in drained zones so that their tasks start elsewhere.

    A drain does not require any run to be stopped. Tasks that are neither long-running nor save
    checkpoints run to their end. The others are stopped only if another worker has capacity for
    them: long-running tasks within their step's disruption budget, tasks with checkpoints if
    migrating them is worthwhile. At most `MAX_STOPS_PER_ROUND` are stopped.

    Args:
        fleet: The state.
        ages_s: Seconds since the request to drain each zone was observed, by zone.
        limits: Time limits for migrating a run.
        now: Monotonic time, seconds.
    """
    stops: list[StopOrder] = []
    budget = DisruptionBudget(fleet, limits.stop_s, now)
    claimed_by_pool = _count_stopping(fleet)
    steps_without_place: set[tuple[str, int, int]] = set()
    for worker in _list_drained_workers(fleet, ages_s, limits.min_drain_age_s):
        pool = worker.info.pool
        for task, run in list_confirmed_runs(fleet, worker):
            if len(stops) == MAX_STOPS_PER_ROUND:
                return stops
            step_key, lasting = task.key[:3], task.step.lasting
            may_stop = (
                budget.allows_stop(task)
                if lasting
                else _is_worth_migrating(fleet, task, run, limits, now)
            )
            if not may_stop or step_key in steps_without_place:
                continue
            # Long-running tasks of the step that are already absent take free places first.
            claimed = claimed_by_pool[pool] + (
                budget.count_absent_or_stopped(task) if lasting else 0
            )
            if not _has_free_place(fleet, worker, task, claimed, now):
                steps_without_place.add(step_key)
                continue
            budget.record_stop(task)
            claimed_by_pool[pool] += 1
            stops.append(StopOrder(worker.info.id, task.key, run.number))
    return stops


def _list_drained_workers(
    fleet: Fleet, ages_s: Mapping[str, float], min_drain_age_s: float
) -> list[Worker]:
    """List workers of zones drained for longer than `min_drain_age_s`.

    Cordoned workers are left out, as they are emptied anyway.
    """
    workers = [
        worker
        for worker in fleet.workers.values()
        if worker.drained
        and worker.runs
        and not worker.entry_gone
        and not worker.cordoned
        and ages_s.get(find_zone(fleet, worker), 0.0) > min_drain_age_s
    ]
    return sorted(workers, key=lambda worker: worker.info.id)


def _has_free_place(fleet: Fleet, worker: Worker, task: Task, claimed: int, now: float) -> bool:
    """Return whether there are more free places for a task than are claimed.

    For a long-running task, a worker counts as one place, whatever its free capacity.
    """
    free_places = 0
    for alternative in list_alternative_workers(fleet, worker, task, now):
        free_places += 1 if task.step.lasting else _count_fitting(task.step, alternative)
        if free_places > claimed:
            return True
    return False


def _count_fitting(step: Step, worker: Worker) -> int:
    """Return how many tasks of a step fit on a worker that can take at least one."""
    free, per_task = worker.info.capacity.minus(worker.used), step.reserved_shape
    parts = [
        (free.cpu, per_task.cpu),
        (free.memory_mb, per_task.memory_mb),
        (free.gpu, per_task.gpu),
    ]
    counts = [whole // part for whole, part in parts if part]
    return min([*counts, step.max_per_worker or step.count, step.count])


def _count_stopping(fleet: Fleet) -> Counter[str]:
    """Count, by pool, the tasks that are being stopped in drained zones and need a place elsewhere.

    A run continues for a while after its stop was ordered, and its task takes a place only after
    that. Long-running tasks are left out, as they count as absent tasks of their step.
    """
    stopping: Counter[str] = Counter()
    for worker in fleet.workers.values():
        if not worker.drained:
            continue
        for key, number in worker.runs:
            task_and_run = fleet.find_run(key, number)
            if (
                task_and_run is not None
                and task_and_run[1].state == "stopping"
                and not task_and_run[0].step.lasting
            ):
                stopping[worker.info.pool] += 1
    return stopping


def _is_worth_migrating(
    fleet: Fleet, task: Task, run: Run, limits: MigrationLimits, now: float
) -> bool:
    """Return whether a task has a checkpoint and much work left.

    Return False for the task of a gang: if one member is stopped, the whole gang ends.
    """
    if not task.step.checkpoints or task.step.gang or now - run.confirmed_at <= limits.save_s:
        return False
    return estimate_remaining_s(fleet, task, run) > limits.restore_s + MIN_REMAINING_S


def estimate_remaining_s(fleet: Fleet, task: Task, run: Run) -> float:
    """Return the remaining seconds of a run, by the mean task duration of its queue."""
    entry = fleet.jobs[task.key.job]
    mean_s = fleet.durations.estimate(entry.job.queue, task.step.estimate_ms).mean_s
    return mean_s * (100 - max(0, run.percent)) / 100


class ZoneDrainProgress(msgspec.Struct, frozen=True):
    """Progress of a zone drain."""

    runs: int = 0
    """Remaining runs in the zone."""
    lasting: int = 0
    """Remaining runs of long-running tasks."""
    hosts: int = 0
    """Hosts that still have a worker."""
    remaining_s: float = 0.0
    """Estimated seconds until the last run ends, without those of long-running tasks."""


def measure_drain_progress(fleet: Fleet, zones: Collection[str]) -> dict[str, ZoneDrainProgress]:
    """Return the progress of each zone drain, counting only workers of this controller."""
    workers: dict[str, list[Worker]] = {zone: [] for zone in zones}
    for worker in fleet.workers.values():
        if worker.drained:
            workers.get(find_zone(fleet, worker), []).append(worker)
    return {zone: _sum_progress(fleet, zone_workers) for zone, zone_workers in workers.items()}


def _sum_progress(fleet: Fleet, workers: list[Worker]) -> ZoneDrainProgress:
    remaining_s_per_run = [
        estimate_remaining_s(fleet, *task_and_run)
        for worker in workers
        for key, run in worker.runs
        if (task_and_run := fleet.find_run(key, run)) is not None
        and not task_and_run[0].step.lasting
    ]
    return ZoneDrainProgress(
        runs=sum(len(worker.runs) for worker in workers),
        lasting=sum(worker.lasting_count for worker in workers),
        hosts=sum(1 for worker in workers if not worker.entry_gone),
        remaining_s=round(max(remaining_s_per_run, default=0.0), 1),
    )
