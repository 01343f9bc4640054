"""Tasks that crash their workers, and how they are distinguished from tasks beside them.

A crash ends all runs of the worker without listing any of their ends, so the task that causes it
has no failed run. Each task therefore counts the worker crashes that it may have caused. The tasks
that may have caused a crash are put on probation: they are placed on separate workers, with tasks
of one job only, until a run has reached a minimum age. The next crash then identifies its cause,
and tasks that only ran beside it are cleared.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from foxtrestle.scheduling.jobs import Run, Task
    from foxtrestle.scheduling.workers import Worker

MAX_CRASHES: Final = 4
"""Number of crashes after which a task is given up, whatever ran beside it. The platform allows two
starts after the third crash, which leaves one for a crash that no controller observed."""
MAX_SUSPECTED_CRASHES: Final = 3
"""Number of crashes with the task among the most likely causes after which it is given up."""
PROVEN_CRASHES: Final = 3
"""Number of crashes after which a task is given up if no other task can have caused the last one.
Each crash costs a worker for some seconds and the other runs on it. But hosts also crash by chance:
with a limit of two, two chance crashes within half a second ended a harmless long-running task. The
platform allows three."""
FRESH_S: Final = 0.25
"""Seconds after its start during which a run is a likely cause of its task's first crash; an older
run is a likely cause only from the second crash on. Tasks that crash a worker do so after about
10 ms; of the tasks that take 0.6 s, six in ten are older than this limit at any time."""
ALIVE_BEFORE_START_S: Final = 0.1
"""Seconds after a worker's last answer within which a start counts as having reached it."""
PROBATION_S: Final = 0.5
"""Minimum age of a run on probation at which its task is cleared, seconds. Until then the worker
gets no other runs, which costs a pool of 8 workers a sixteenth of the starts of one second."""
PROBATION_FACTOR: Final = 2.0
"""Multiple of its age at a crash that a run must reach for its task to be cleared."""
MAX_PROBATION_S: Final = 2.0
"""Maximum duration of probation, seconds; the pool cannot spare a worker for longer."""
LONG_RUNNING_SUSPECT_S: Final = 10.0
"""Age in seconds from which a run of a long-running task is not suspected of a crash, and earlier
crashes of the task no longer count. Such a task runs for weeks, goes through many host crashes, and
would be given up because of them."""


class LostRun(msgspec.Struct, frozen=True):
    """A run that was lost with its worker."""

    task: Task
    """Task of the run."""
    run: Run
    """The run."""
    lived_s: float
    """Seconds for which the run is known to have been active; 0 if it may not have started."""
    certainly_active: bool
    """Whether the run was certainly active on the worker when the worker crashed."""


def describe_loss(worker: Worker, task: Task, run: Run) -> LostRun:
    """Describe a run whose worker incarnation is over."""
    since = run.confirmed_at or run.sent_at
    lived_s = max(0.0, worker.last_alive_at - since) if since else 0.0
    return LostRun(task, run, lived_s, certainly_active=_was_active(worker, run))


def _was_active(worker: Worker, run: Run) -> bool:
    """Return whether a run was certainly active on its worker when the worker crashed.

    The run was active if its start was answered, or if a connection to the worker broke after the
    start was sent. If the crash was noted before any call to the worker had failed, the run was
    active if its start was sent just after an answer. A start that timed out does not count,
    because the worker may have been down for 1.5 s when the start was sent: a task that had never
    run was given up after two such starts.
    """
    if run.confirmed_at or run.state == "running":
        return True
    contact_loss = worker.contact_loss
    if contact_loss is None:
        alive_at = max(worker.last_answer_at, worker.last_alive_at)
        return bool(run.sent_at) and run.sent_at - alive_at <= ALIVE_BEFORE_START_S
    return contact_loss.connection_lost and 0 < run.sent_at <= contact_loss.since


def note_crash(lost: list[LostRun]) -> list[Task]:
    """Count the crash of a worker for the tasks that may have caused it.

    Every task that was active on the worker may have caused the crash. The most likely causes are
    tasks with an earlier crash that have not been cleared since; if there are none, the tasks whose
    runs started less than `FRESH_S` before the crash.

    Returns:
        Tasks to give up.
    """
    suspects = [
        lost_run for lost_run in lost if lost_run.certainly_active and not _is_exempt(lost_run)
    ]
    repeated = [lost_run for lost_run in suspects if _is_uncleared(lost_run)]
    proven = _are_isolated(repeated)
    likely = repeated or [lost_run for lost_run in suspects if lost_run.lived_s < FRESH_S]
    for lost_run in suspects:
        lost_run.task.crashes += 1
        lost_run.task.crash_age_s = max(lost_run.task.crash_age_s, lost_run.lived_s)
    for lost_run in likely:
        lost_run.task.suspected_crashes += 1
    for lost_run in suspects:
        lost_run.task.probation = lost_run.task.crashes > 1 or lost_run in likely
    proven_causes = repeated if proven else []
    return [
        lost_run.task
        for lost_run in suspects
        if not lost_run.task.given_up
        and _is_limit_reached(lost_run.task, proven=lost_run in proven_causes)
    ]


def _are_isolated(repeated: list[LostRun]) -> bool:
    """Return whether only tasks of one job can have caused a crash.

    Tasks on probation are isolated from those of other jobs; any other task runs beside tasks that
    were placed there by chance.
    """
    jobs = {lost_run.task.key.job for lost_run in repeated}
    return len(jobs) == 1 and all(lost_run.task.probation for lost_run in repeated)


def _is_limit_reached(task: Task, *, proven: bool) -> bool:
    if proven and task.crashes >= PROVEN_CRASHES:
        return True
    return task.suspected_crashes >= MAX_SUSPECTED_CRASHES or task.crashes >= MAX_CRASHES


def _is_exempt(lost_run: LostRun) -> bool:
    return lost_run.task.step.lasting and lost_run.lived_s > LONG_RUNNING_SUSPECT_S


def _is_uncleared(lost_run: LostRun) -> bool:
    """Return whether a task has an earlier crash and its run was not old enough to clear it."""
    return lost_run.task.crashes > 0 and lost_run.lived_s < _compute_clearing_age(lost_run.task)


def _compute_clearing_age(task: Task) -> float:
    """Return the age in seconds that a run must reach for its task to be cleared."""
    return min(max(PROBATION_S, PROBATION_FACTOR * task.crash_age_s), MAX_PROBATION_S)


def update_probation(task: Task, age_s: float) -> bool:
    """Update the crash counts of a task for the age of an active run.

    Returns:
        Whether the run is old enough to clear the task.
    """
    if task.step.lasting and age_s > LONG_RUNNING_SUSPECT_S:
        task.crashes = 0
        task.suspected_crashes = 0
        task.crash_age_s = 0.0
    return age_s >= _compute_clearing_age(task)
