"""The progress record of a job in the store, and restoring the state from it."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import msgspec

from foxtrestle.scheduling.jobs import Run, Task
from foxtrestle.scheduling.model import Job, JobState, TaskKey
from foxtrestle.scheduling.runs import attach_run, release_steps
from foxtrestle.scheduling.unsettled_starts import assume_unsettled, restore_start

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

FindWorker: TypeAlias = "Callable[[str, str], Worker]"
"""Returns a worker, given its id and its host."""


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of a task that has been started at least once."""

    repetition: int
    """Number of the repetition."""
    step: int
    """Number of the step."""
    number: int
    """Number of the task within the step."""
    starts: int
    """Number of runs so far."""
    failures: int
    """Number of runs that ended `failed`."""
    done: bool
    """Whether a run ended `done`."""
    runs: list[tuple[int, str, str]]
    """Runs that may be active: number, worker id and host."""
    checkpoint: str = ""
    """Newest checkpoint."""
    crashes: int = 0
    """Number of worker crashes that the task may have caused."""
    suspected_crashes: int = 0
    """Number of these crashes of which the task was one of the most likely causes."""
    probation: bool = False
    """Whether the task may have caused a crash and has not been cleared since."""
    crash_age_s: float = 0.0
    """Greatest age of a run of the task at a crash, seconds."""
    given_up: bool = False
    """Whether the task is never started again, because it crashes workers."""
    unsettled_starts: list[tuple[str, str, int, bool]] = []
    """Starts without an answer: worker id, host, wall-clock time at which it was last sent,
    milliseconds, and whether the worker has answered another call since."""
    placed_ms: list[int] = []
    """Wall-clock time of the placement of each of `runs`, milliseconds; 0 if unknown."""


class Progress(msgspec.Struct, frozen=True):
    """Progress record of a job."""

    state: JobState
    """State of the job."""
    tasks: list[TaskRecord]
    """Tasks that have been started at least once."""
    ended_ms: int = 0
    """Wall-clock time of the end, milliseconds; 0 before."""
    owner: str = ""
    """Organisation that submitted the job; empty if no key was required."""
    queue: str = ""
    """Name of the job's queue."""


def encode_progress(entry: JobEntry) -> bytes:
    """Encode the progress of a job; the tasks of an ended job are left out."""
    tasks = [_to_record(task) for task in entry.tasks.values() if task.starts and not entry.ended]
    job = entry.job
    progress = Progress(entry.state, tasks, entry.ended_ms, job.owner, job.queue)
    return msgspec.msgpack.encode(progress)


def decode_progress(value: bytes) -> Progress:
    """Decode the progress of a job.

    Raises:
        ValueError: The value is not a progress record.
    """
    return msgspec.msgpack.decode(value, type=Progress)


def decode_job(value: bytes) -> Job:
    """Decode an accepted job.

    Raises:
        ValueError: The value is not a job.
    """
    return msgspec.msgpack.decode(value, type=Job)


def _to_record(task: Task) -> TaskRecord:
    key = task.key
    runs = [(run.number, run.worker, run.host) for run in task.runs.values()]
    checkpoint = "" if task.done else task.checkpoint
    return TaskRecord(
        key.repetition,
        key.step,
        key.number,
        task.starts,
        task.failures,
        task.done,
        runs,
        checkpoint,
        task.crashes,
        task.suspected_crashes,
        task.probation,
        task.crash_age_s,
        task.given_up,
        _list_unsettled_starts(task),
        [run.placed_ms for run in task.runs.values()],
    )


def _list_unsettled_starts(task: Task) -> list[tuple[str, str, int, bool]]:
    """List the starts without an answer; for the assumed ones, the run itself is in the record."""
    running_on = {run.worker for run in task.runs.values()}
    return [
        (worker, start.host, start.sent_ms, start.heard)
        for worker, start in task.unsettled_starts.items()
        if not (start.assumed and worker in running_on)
    ]


def restore(
    fleet: Fleet,
    entry: JobEntry,
    progress: Progress,
    wall_ms: float,
    now: float,
    find_worker: FindWorker,
) -> None:
    """Restore a job from its progress record.

    Args:
        fleet: State whose workers the runs are added to.
        entry: The job, without tasks.
        progress: The record.
        wall_ms: Wall-clock time, milliseconds.
        now: Monotonic time, seconds.
        find_worker: Returns a worker by its id and host, including one that is no longer listed.
    """
    entry.ended_ms = progress.ended_ms
    records = {(row.repetition, row.step, row.number): row for row in progress.tasks}
    entry.placed = bool(records) or progress.state != "queued"
    entry.begun = progress.state != "queued"
    previous_count = -1
    # Each pass may release steps whose dependencies were restored as done in the previous pass.
    while len(entry.tasks) != previous_count:
        previous_count = len(entry.tasks)
        release_steps(entry, wall_ms, now)
        for key, task in entry.tasks.items():
            record = records.pop((key.repetition, key.step, key.number), None)
            if record is not None:
                _restore_task(fleet, entry, task, record, wall_ms, now, find_worker)
    # The remaining records are of steps that are not due by this node's clock, or of an ended job.
    for record in records.values():
        _restore_unreleased(fleet, entry, record, wall_ms, now, find_worker)
    entry.state = progress.state
    if entry.ended:
        entry.ready.clear()
        fleet.active.pop(entry.job.id, None)


def _restore_task(
    fleet: Fleet,
    entry: JobEntry,
    task: Task,
    record: TaskRecord,
    wall_ms: float,
    now: float,
    find_worker: FindWorker,
) -> None:
    task.starts = record.starts
    task.failures = record.failures
    task.checkpoint = record.checkpoint
    task.crashes = record.crashes
    task.suspected_crashes = record.suspected_crashes
    task.probation = record.probation
    task.crash_age_s = record.crash_age_s
    if record.given_up:
        task.given_up = True
        entry.ready.pop(task.key, None)
    if record.done:
        task.done = True
        entry.open_tasks[record.repetition, record.step] -= 1
        entry.ready.pop(task.key, None)
    for worker_id, host, sent_ms, heard in record.unsettled_starts:
        restore_start(fleet, task, worker_id, host, sent_ms, wall_ms, now, heard=heard)
    unknown_ms = [0] * (len(record.runs) - len(record.placed_ms))
    placed_ms = [*record.placed_ms, *unknown_ms]
    for (number, worker_id, host), run_placed_ms in zip(record.runs, placed_ms, strict=False):
        worker = find_worker(worker_id, host)
        run = Run(number, worker_id, host, now)
        run.placed_ms = run_placed_ms
        run.sending = False
        # The earlier controller may or may not have sent the start, and had an answer or none.
        run.sent_at = now
        assume_unsettled(fleet, task, run, wall_ms, now)
        attach_run(task, run, worker)
        entry.ready.pop(task.key, None)


def _restore_unreleased(
    fleet: Fleet,
    entry: JobEntry,
    record: TaskRecord,
    wall_ms: float,
    now: float,
    find_worker: FindWorker,
) -> None:
    key = TaskKey(entry.job.id, record.repetition, record.step, record.number)
    task = Task(key, entry.job.spec.steps[record.step], now)
    entry.tasks[key] = task
    entry.released.add((record.repetition, record.step))
    entry.open_tasks.setdefault((record.repetition, record.step), task.step.count)
    _restore_task(fleet, entry, task, record, wall_ms, now, find_worker)
