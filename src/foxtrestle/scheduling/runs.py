"""State transitions of jobs for starts, reports and ends of runs, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from foxtrestle.scheduling.crashes import LostRun, describe_loss, note_crash, update_probation
from foxtrestle.scheduling.jobs import Run, Task
from foxtrestle.scheduling.model import TaskKey
from foxtrestle.scheduling.unsettled_starts import note_listed

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.model import EndedRun, Job, RunningTask
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker


class StopOrder(msgspec.Struct, frozen=True):
    """An order to stop one run."""

    worker: str
    """Id of the worker."""
    key: TaskKey
    """The task."""
    run: int
    """Number of the run."""


def compute_age(job: Job, wall_ms: float) -> float:
    """Return the seconds since a job was accepted; 0 if clocks differ and that is in the future."""
    return max(0.0, (wall_ms - job.accepted_ms) / 1000)


def add_job(fleet: Fleet, entry: JobEntry) -> None:
    """Add a job to the state."""
    fleet.jobs[entry.job.id] = entry
    if not entry.ended:
        fleet.active[entry.job.id] = entry


def release_steps(entry: JobEntry, wall_ms: float, now: float) -> None:
    """Add the tasks of steps whose dependencies are completed and whose repetition is due."""
    if entry.ended:
        return
    steps = entry.job.spec.steps
    for repetition in range(entry.count_repetitions()):
        if wall_ms < compute_due_ms(entry.job, repetition):
            break
        for number, step in enumerate(steps):
            if (repetition, number) in entry.released:
                continue
            if not all(
                _is_step_done(entry, repetition, dependency) for dependency in step.depends_on
            ):
                continue
            entry.released.add((repetition, number))
            entry.open_tasks[repetition, number] = step.count
            for index in range(step.count):
                key = TaskKey(entry.job.id, repetition, number, index)
                task = Task(key, step, now)
                entry.tasks[key] = task
                entry.ready[key] = task


def compute_due_ms(job: Job, repetition: int) -> float:
    """Return the wall-clock time at which a repetition may start, milliseconds."""
    if not job.spec.repeat_count:
        return 0.0
    return job.spec.first_due_ms + repetition * job.spec.interval_ms


def _is_step_done(entry: JobEntry, repetition: int, step: int) -> bool:
    return entry.open_tasks.get((repetition, step)) == 0


def place_run(fleet: Fleet, task: Task, worker: Worker, number: int, now: float) -> Run:
    """Add a run that is to be started on a worker."""
    entry = fleet.jobs[task.key.job]
    run = Run(number, worker.info.id, worker.info.host, now)
    task.starts = max(task.starts, number)
    attach_run(task, run, worker)
    entry.ready.pop(task.key, None)
    entry.placed = True
    fleet.mark_dirty(task.key.job)
    return run


def begin_job(fleet: Fleet, entry: JobEntry, now: float) -> None:
    """Note that a worker has reported a run of a job."""
    if entry.begun:
        return
    entry.begun = True
    if entry.state == "queued":
        entry.state = "running"
        fleet.unrecorded_begins[entry.job.id] = now


def attach_run(task: Task, run: Run, worker: Worker) -> None:
    """Add a run to its task and to its worker."""
    task.runs[run.number] = run
    worker.runs[task.key, run.number] = run
    worker.add_usage(task.step)
    if task.probation:
        worker.probation_runs.add((task.key, run.number))


def reconcile_runs(
    fleet: Fleet, worker: Worker, running: Iterable[RunningTask], now: float
) -> list[StopOrder]:
    """Reconcile the state with all runs that a worker lists as active.

    A run without a record, such as one of a job that ended under an earlier controller, uses an
    unknown amount of resources until it has stopped; until then, the worker gets no new runs.

    Returns:
        Orders to stop the runs that should not be active.
    """
    stops = []
    unknown = 0
    for listed in running:
        stop = confirm_run(fleet, listed, worker, now)
        if stop is not None:
            stops.append(stop)
        unknown += (listed.key, listed.run) not in worker.runs
    worker.unknown_runs = unknown
    return stops


def confirm_run(fleet: Fleet, listed: RunningTask, worker: Worker, now: float) -> StopOrder | None:
    """Update the state for one run that a worker lists as active.

    Returns:
        An order to stop the run if it should not be active.
    """
    task_and_run = fleet.find_run(listed.key, listed.run)
    if task_and_run is None or task_and_run[1].worker != worker.info.id:
        return StopOrder(worker.info.id, listed.key, listed.run)
    task, run = task_and_run
    note_listed(fleet, task, worker.info.id)
    begin_job(fleet, fleet.jobs[listed.key.job], now)
    if run.state != "stopping" and (task.done or fleet.jobs[listed.key.job].ended):
        return StopOrder(worker.info.id, listed.key, listed.run)
    run.apply_event("confirm")
    run.confirmed_at = run.confirmed_at or now
    if run.percent != listed.percent:
        run.percent = listed.percent
        run.progressed_at = now
    run.usage = listed.usage
    if (
        update_probation(task, now - run.confirmed_at)
        and (listed.key, listed.run) in worker.probation_runs
    ):
        task.probation = False
        worker.probation_runs.discard((listed.key, listed.run))
    _note_checkpoint(fleet.jobs[listed.key.job], task, listed.checkpoint)
    return None


def record_end(fleet: Fleet, worker: Worker, end: EndedRun, now: float) -> list[StopOrder]:
    """Update the state for a run that has ended.

    Returns:
        Orders to stop the runs that are no longer needed.
    """
    entry = fleet.jobs.get(end.key.job)
    task = entry.tasks.get(end.key) if entry else None
    if entry is None or task is None:
        return []
    run = task.runs.get(end.run)
    note_listed(fleet, task, worker.info.id)
    begin_job(fleet, entry, now)
    drop_run(task, end.run, worker)
    fleet.mark_dirty(end.key.job)
    _note_checkpoint(entry, task, end.checkpoint)
    if end.kind in {"done", "failed"}:
        # The run ended by itself and its worker still runs, so the task has not crashed the worker.
        task.probation = False
    if end.kind == "done":
        worker.successes += 1
        worker.failed_jobs.clear()
        if run is not None and run.confirmed_at:
            fleet.durations.add_sample(entry.job.queue, now - run.confirmed_at)
    if entry.ended or task.done:
        return []
    if end.kind == "done" and not task.step.lasting:
        return _complete_task(fleet, entry, task, now)
    # Long-running tasks may fail at any time and never succeed, so a failure of one is no
    # evidence against its worker.
    if end.kind == "failed" and run is not None and not task.step.lasting:
        _note_failure(fleet, task, worker, now)
        task.failures += 1
        if task.failures >= entry.job.max_attempts:
            return end_job(fleet, entry, "failed")
    requeue(entry, task, now)
    return []


def _note_checkpoint(entry: JobEntry, task: Task, checkpoint: str) -> None:
    """Note a checkpoint that a run has reported; that of one member serves its whole gang."""
    if not checkpoint:
        return
    for member in _list_members(entry, task) if task.step.gang else [task]:
        member.checkpoint = checkpoint


def _list_members(entry: JobEntry, task: Task) -> list[Task]:
    """List the tasks of the gang that a task belongs to."""
    step_key = task.key[:3]
    return [member for member in entry.tasks.values() if member.key[:3] == step_key]


def share_checkpoint(members: Collection[Task]) -> None:
    """Give all members of a gang one checkpoint; they could not begin with different ones.

    They differ only if an earlier version of foxtrestle recorded them.
    """
    checkpoint = next((member.checkpoint for member in members if member.checkpoint), "")
    for member in members:
        member.checkpoint = checkpoint


def _note_failure(fleet: Fleet, task: Task, worker: Worker, now: float) -> None:
    """Attribute a failure to the worker, or to the task once it has failed on two workers."""
    worker.failed_at = now
    task.failed_on.add(worker.info.id)
    if len(task.failed_on) == 1:
        worker.failed_jobs.add(task.key.job)
        return
    for worker_id in task.failed_on:
        failed_worker = fleet.workers.get(worker_id)
        if failed_worker is not None:
            failed_worker.failed_jobs.discard(task.key.job)


def drop_run(task: Task, number: int, worker: Worker | None) -> None:
    """Remove a run that has certainly ended."""
    run = task.runs.pop(number, None)
    if run is not None:
        run.apply_event("end")
    if worker is not None and worker.runs.pop((task.key, number), None) is not None:
        worker.remove_usage(task.step)
        worker.probation_runs.discard((task.key, number))


def requeue(entry: JobEntry, task: Task, now: float) -> None:
    """Have a task wait for its next start, if it has no run left and may be started again."""
    if task.runs or task.done or task.given_up or entry.ended:
        return
    task.waiting_since = now
    entry.ready[task.key] = task


def _complete_task(fleet: Fleet, entry: JobEntry, task: Task, now: float) -> list[StopOrder]:
    """Mark a task as done, or all members of its gang."""
    key = task.key
    members = _list_members(entry, task) if task.step.gang else [task]
    stops: list[StopOrder] = []
    for member in members:
        if member.done:
            continue
        member.done = True
        entry.ready.pop(member.key, None)
        entry.open_tasks[key.repetition, key.step] -= 1
        stops += list_stops(member)
    if _is_job_done(entry):
        entry.state = "completed"
        fleet.active.pop(entry.job.id, None)
    return stops


def _is_job_done(entry: JobEntry) -> bool:
    expected = entry.count_repetitions() * len(entry.job.spec.steps)
    return len(entry.open_tasks) == expected and not any(entry.open_tasks.values())


def list_stops(task: Task) -> list[StopOrder]:
    """Return orders to stop all runs of a task."""
    return [StopOrder(run.worker, task.key, run.number) for run in task.runs.values()]


def end_job(fleet: Fleet, entry: JobEntry, state: str) -> list[StopOrder]:
    """End a job as `failed` or `cancelled`.

    Returns:
        Orders to stop all of its runs.
    """
    if entry.ended:
        return []
    entry.state = "failed" if state == "failed" else "cancelled"
    entry.ready.clear()
    fleet.active.pop(entry.job.id, None)
    fleet.mark_dirty(entry.job.id)
    return [order for task in entry.tasks.values() for order in list_stops(task)]


class Release(msgspec.Struct, frozen=True):
    """Result of releasing a worker."""

    lost: list[LostRun]
    """Runs that were lost with the worker."""
    given_up: list[Task]
    """Tasks that are never started again."""
    stops: list[StopOrder]
    """Orders to stop the other runs of the jobs that failed because of these tasks."""


def release_worker(
    fleet: Fleet,
    worker: Worker,
    now: float,
    *,
    crashed: bool = False,
    kept_runs: Collection[tuple[TaskKey, int]] = (),
    runs_stopped: bool = True,
) -> Release:
    """Release all runs of a worker incarnation that is certainly over.

    Args:
        fleet: The state.
        worker: The worker.
        now: Monotonic time, seconds.
        crashed: Whether the worker crashed, which one of its tasks may have caused. A run that ends
            with a crash does not count as failed; without a separate count of crashes, a task that
            crashes its workers was started more than 100 times.
        kept_runs: Runs that are not released, because the next incarnation has them.
        runs_stopped: Whether none of the other runs can still be active. If not, they are marked
            as lost and kept until that is certain.
    """
    lost = [
        lost_run
        for lost_run in _list_lost(fleet, worker)
        if _get_run_key(lost_run) not in kept_runs
    ]
    given_up = note_crash(lost) if crashed else []
    for lost_run in lost:
        key = lost_run.task.key
        fleet.mark_dirty(key.job)
        if not runs_stopped:
            lost_run.run.mark_lost()
            continue
        drop_run(lost_run.task, lost_run.run.number, worker)
        requeue(fleet.jobs[key.job], lost_run.task, now)
    for tickets in fleet.tickets.values():
        # Tickets are valid for one incarnation of a worker.
        tickets.pop(worker.info.id, None)
    worker.runs.clear()
    worker.probation_runs.clear()
    stops: list[StopOrder] = []
    for task in given_up:
        entry = fleet.jobs[task.key.job]
        # Workers have crashed under the task, so it has begun, whether or not they reported it.
        begin_job(fleet, entry, now)
        stops += _give_up(fleet, entry, task)
    return Release(lost, given_up, stops)


def _give_up(fleet: Fleet, entry: JobEntry, task: Task) -> list[StopOrder]:
    """Give up a task permanently, and fail its job unless other tasks can continue without it.

    The other tasks of a long-running step are independent and continue until the client cancels
    the job. Ending them with the given-up task would remove healthy tasks at once, and more of
    them than the step may have absent.

    Returns:
        Orders to stop the other runs of the job if it has failed.
    """
    task.given_up = True
    entry.ready.pop(task.key, None)
    fleet.mark_dirty(entry.job.id)
    independent = task.step.lasting and not task.step.gang
    if independent and _has_startable_tasks(entry):
        return []
    return end_job(fleet, entry, "failed")


def _has_startable_tasks(entry: JobEntry) -> bool:
    """Return whether a job has a task that may run now or once its repetition is due."""
    if any(not (task.done or task.given_up) for task in entry.tasks.values()):
        return True
    return any(
        (repetition, number) not in entry.released
        and all(_is_step_done(entry, repetition, dependency) for dependency in step.depends_on)
        for repetition in range(entry.count_repetitions())
        for number, step in enumerate(entry.job.spec.steps)
    )


def _get_run_key(lost: LostRun) -> tuple[TaskKey, int]:
    return lost.task.key, lost.run.number


def _list_lost(fleet: Fleet, worker: Worker) -> list[LostRun]:
    lost = []
    for key, run in fleet.list_runs(worker.info.id):
        entry = fleet.jobs.get(key.job)
        task = entry.tasks.get(key) if entry else None
        if task is not None:
            lost.append(describe_loss(worker, task, run))
    return lost
