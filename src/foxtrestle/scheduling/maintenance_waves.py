"""Choice of the hosts of a maintenance wave to empty next, and of the runs to stop there."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from foxtrestle.scheduling.draining import is_drained
from foxtrestle.scheduling.eligibility import (
    ANSWER_OVERDUE_S,
    has_capacity_for,
    is_suspect,
    is_usable,
)
from foxtrestle.scheduling.model import TaskKey
from foxtrestle.scheduling.runs import StopOrder

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.jobs import Run, Task
    from foxtrestle.scheduling.model import FleetConfiguration
    from foxtrestle.scheduling.state import Fleet, WaveEntry
    from foxtrestle.scheduling.workers import Worker

EVACUATION_GRACE_S: Final = 4.0
"""Seconds for which tasks without checkpoints may continue on a host that is being emptied."""
MAINTENANCE_CYCLE_S: Final = 5.0
"""Approximate seconds from the choice of a host until the host serves again: the time to empty it,
two seconds of maintenance, and the time until its new worker has answered."""
ALTERNATIVE_WAIT_S: Final = 8.0
"""Seconds for which a host that is being emptied waits for another worker with capacity for its
last long-running task: a further host is chosen after 2 s, emptied within 3 s and moved in 2 s."""
POSTPONE_S: Final = 5.0
"""Seconds after which a host that cannot be emptied serves again, and seconds until its maintenance
is tried again. If the only host of its kind in a pool stayed cordoned, jobs that can run nowhere
else would wait for as long."""
DEADLINE_MARGIN_S: Final = 3.0
"""Seconds before a wave's deadline at which all of its hosts should have been maintained."""


def choose_wave_hosts(
    entry: WaveEntry,
    views: dict[str, HostView],
    spare: dict[str, float],
    elapsed_s: float,
    postponed: Collection[str] = (),
) -> list[HostView]:
    """Choose hosts of a wave to empty now.

    Hosts of drained zones, which serve no tasks, are chosen first, then those that are powered off
    or idle, then those that their pool can spare; if little time is left, any host.

    Args:
        entry: The wave.
        views: All hosts.
        spare: Capacity that each pool can spare, in hosts.
        elapsed_s: Seconds since operators requested the wave.
        postponed: Hosts that could not be emptied and are not to be tried again yet.
    """
    wave = entry.wave
    pending = _list_pending(entry, views, postponed)
    in_progress = sum(1 for name in wave.hosts if _holds_slot(views.get(name), wave.number))
    free_slots = max(0, wave.max_parallel - in_progress)
    rounds_left = -(-len(pending) // max(1, wave.max_parallel))
    time_left = wave.within_s - DEADLINE_MARGIN_S - elapsed_s
    deadline_near = time_left < (rounds_left + 1) * MAINTENANCE_CYCLE_S
    chosen: list[HostView] = []
    spare_left = dict(spare)
    for view in sorted(pending, key=_rank_for_maintenance):
        # A host whose maintenance may still begin by an earlier order holds its slot already.
        needs_slot = not _holds_slot(view, wave.number)
        if needs_slot and not free_slots:
            continue
        if view.info.state in {"moving", "upkeep", "down"}:
            continue
        cost = 1.0 if view.is_serving() and not view.drained else 0.0
        if not deadline_near and cost and spare_left.get(view.pool, 0.0) < cost:
            continue
        spare_left[view.pool] = spare_left.get(view.pool, 0.0) - cost
        free_slots -= needs_slot
        chosen.append(view)
    return chosen


def _list_pending(
    entry: WaveEntry, views: dict[str, HostView], postponed: Collection[str]
) -> list[HostView]:
    """List the hosts of a wave that are still to be maintained and may be chosen now."""
    return [
        views[name]
        for name in entry.wave.hosts
        if name in views
        and name not in entry.done
        and name not in postponed
        and views[name].plan is None
    ]


def _rank_for_maintenance(view: HostView) -> tuple[bool, bool, int, int, str]:
    """Return the sort key: hosts with long-running tasks take longest to empty and come first."""
    worker, in_open_zone = view.worker, not view.drained
    if worker is None:
        return in_open_zone, view.is_serving(), 0, 0, view.info.name
    return in_open_zone, view.is_serving(), -worker.lasting_count, worker.used.cpu, view.info.name


def _is_under_way(view: HostView, wave: int) -> bool:
    return view.plan is not None and view.plan.wave == wave


def _may_begin_late(view: HostView, wave: int) -> bool:
    """Return whether a host's maintenance may still begin by an order that had no answer."""
    return view.unsettled is not None and view.unsettled.wave == wave


def _holds_slot(view: HostView | None, wave: int) -> bool:
    """Return whether a host counts towards the limit of a wave."""
    return view is not None and (_is_under_way(view, wave) or _may_begin_late(view, wave))


def count_in_maintenance(entry: WaveEntry, views: dict[str, HostView], besides: str = "") -> int:
    """Count the hosts of a wave that are, or may be, in maintenance.

    Args:
        entry: The wave.
        views: All hosts.
        besides: Name of a host that is not counted unless its order is being sent.
    """
    in_maintenance = 0
    wave = entry.wave.number
    for name in entry.wave.hosts:
        view = views.get(name)
        if view is None:
            continue
        ordered = view.plan is not None and view.plan.state in {"ordering", "changing"}
        if (
            view.info.state == "upkeep"
            or (ordered and _is_under_way(view, wave))
            or (name != besides and _may_begin_late(view, wave))
        ):
            in_maintenance += 1
    return in_maintenance


def choose_evacuation_stops(
    fleet: Fleet, worker: Worker, emptying_s: float, save_s: float, stop_s: float, now: float
) -> list[StopOrder]:
    """Choose the runs to stop on a worker whose host is being emptied.

    Long-running tasks are stopped within their step's disruption budget and if another worker has
    capacity for them; tasks with checkpoints as soon as one is saved; others after
    `EVACUATION_GRACE_S`.

    Args:
        fleet: The state.
        worker: The worker to empty.
        emptying_s: Seconds for which the worker has been emptied.
        save_s: Seconds of work after which a task with checkpoints has saved one.
        stop_s: Seconds for which a stopped run may continue.
        now: Monotonic time, seconds.
    """
    stops: list[StopOrder] = []
    budget = DisruptionBudget(fleet, stop_s, now)
    for task, run in list_confirmed_runs(fleet, worker):
        if task.step.lasting:
            if not budget.allows_stop(task):
                continue
            if not _has_alternative(fleet, worker, task, now) and not _may_stop_without_alternative(
                fleet, worker, task, emptying_s
            ):
                continue
            budget.record_stop(task)
        elif not _may_stop_finite(task, run, emptying_s, save_s, now):
            continue
        stops.append(StopOrder(worker.info.id, task.key, run.number))
    return stops


def list_confirmed_runs(fleet: Fleet, worker: Worker) -> list[tuple[Task, Run]]:
    """List the confirmed runs of a worker that are not being stopped, sorted by task."""
    tasks_and_runs = [
        fleet.find_run(key, run.number) for (key, _), run in sorted(worker.runs.items())
    ]
    return [pair for pair in tasks_and_runs if pair is not None and pair[1].state == "running"]


class DisruptionBudget:
    """Disruption budgets of long-running steps (`Step.max_absent`) during one round.

    Tasks that are stopped in the round count as absent.
    """

    __slots__ = ("_fleet", "_now", "_stop_s", "_stopped")

    def __init__(self, fleet: Fleet, stop_s: float, now: float) -> None:
        """Create a budget for one round of host decisions.

        Args:
            fleet: The state.
            stop_s: Seconds for which a stopped run may continue.
            now: Monotonic time, seconds.
        """
        self._fleet = fleet
        self._stop_s = stop_s
        self._now = now
        self._stopped: Counter[tuple[str, int, int]] = Counter()

    def count_absent_or_stopped(self, task: Task) -> int:
        """Count the tasks of the same step that are absent or are stopped in this round."""
        absent = count_absent(self._fleet, task.key, self._stop_s, self._now)
        return absent + self._stopped[task.key[:3]]

    def allows_stop(self, task: Task) -> bool:
        """Return whether a task may be stopped; a step without a budget allows one at a time."""
        return self.count_absent_or_stopped(task) < max(1, task.step.max_absent)

    def record_stop(self, task: Task) -> None:
        """Record that a task is stopped in this round."""
        self._stopped[task.key[:3]] += 1


def is_emptying_blocked(fleet: Fleet, worker: Worker, emptying_s: float, now: float) -> bool:
    """Return whether the maintenance of a host should be postponed.

    Maintenance is postponed if after `POSTPONE_S` only long-running tasks are left on the host, and
    no other worker can take one of them.
    """
    if emptying_s < POSTPONE_S or not worker.runs or len(worker.runs) > worker.lasting_count:
        return False
    tasks = [found[0] for key, run in worker.runs if (found := fleet.find_run(key, run))]
    return not all(
        _has_alternative(fleet, worker, task, now)
        or _may_stop_without_alternative(fleet, worker, task, emptying_s)
        for task in tasks
    )


def _has_alternative(fleet: Fleet, worker: Worker, task: Task, now: float) -> bool:
    """Return whether another worker of the pool could take a long-running task now.

    If the task were stopped without such a worker, it would wait while its host is idle, and as an
    absent task it would keep other tasks of its step from being stopped.
    """
    return any(True for _ in list_alternative_workers(fleet, worker, task, now))


def list_alternative_workers(
    fleet: Fleet, worker: Worker, task: Task, now: float
) -> Iterator[Worker]:
    """List the other workers of the pool that could take a task now."""
    step = task.step
    for other in fleet.workers.values():
        if other is worker or other.info.pool != worker.info.pool:
            continue
        if not is_usable(other, now) or is_suspect(other):
            continue
        if not has_capacity_for(step, other.info.labels, other.info.capacity.minus(other.used)):
            continue
        on_worker = sum(1 for key, _ in other.runs if key[:3] == task.key[:3])
        if not step.max_per_worker or on_worker < step.max_per_worker:
            yield other


def _may_stop_without_alternative(
    fleet: Fleet, worker: Worker, task: Task, emptying_s: float
) -> bool:
    """Return whether a long-running task may be stopped although no other worker can take it.

    The task must be the last one on its host, which is then maintained at once and serves again
    within seconds. In addition, either no other host can take the task, or none has become
    available within `ALTERNATIVE_WAIT_S`.
    """
    if len(worker.runs) > 1 or worker.drained:
        # In a drained zone, the task could not start on its host again.
        return False
    if emptying_s > ALTERNATIVE_WAIT_S:
        return True
    return not any(
        host.name != worker.info.host
        and not is_drained(fleet, host.zone)
        and has_capacity_for(task.step, host.labels, host.capacity)
        for host in fleet.hosts.values()
    )


def _may_stop_finite(task: Task, run: Run, emptying_s: float, save_s: float, now: float) -> bool:
    if task.step.checkpoints:
        return now - run.confirmed_at > save_s
    return emptying_s > EVACUATION_GRACE_S


def count_absent(fleet: Fleet, key: TaskKey, stop_s: float, now: float) -> int:
    """Count the tasks of a long-running step that are not certainly at work."""
    entry = fleet.jobs[key.job]
    absent = 0
    for number in range(entry.job.spec.steps[key.step].count):
        task = entry.tasks.get(TaskKey(key.job, key.repetition, key.step, number))
        runs = task.runs.values() if task is not None else ()
        absent += not any(_is_at_work(fleet, run, stop_s, now) for run in runs)
    return absent


def _is_at_work(fleet: Fleet, run: Run, stop_s: float, now: float) -> bool:
    """Return whether a run is certainly at work.

    A run counts as at work once it is ready (100 %) on a worker that answers. A run that an
    unresponsive worker last reported may have ended. A run in a worker's first report to a new
    controller may end as well, as stops that the former controller ordered may still take effect.
    """
    worker = fleet.workers.get(run.worker)
    return (
        run.state == "running"
        and run.percent >= 100
        and worker is not None
        and not worker.entry_gone
        and not worker.info.draining
        and now - worker.last_answer_at < ANSWER_OVERDUE_S
        and now - worker.runs_known_at > stop_s
    )


def list_open_waves(
    waves: Iterable[WaveEntry], configuration: FleetConfiguration | None
) -> list[WaveEntry]:
    """List the waves that are not completed, oldest first."""
    if configuration is None:
        return []
    return sorted(
        (entry for entry in waves if not entry.completed), key=lambda entry: entry.wave.number
    )
