"""Urgency of jobs: whether they can still meet their latency objective, and their age."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.runs import compute_due_ms

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.durations import Durations
    from foxtrestle.scheduling.jobs import JobEntry

LATE_FACTOR: Final = 3.0
"""Multiple of the latency objective up to which a late result is still useful; set by the platform.
"""


class DeadlineStatus(IntEnum):
    """Whether a job can still meet its latency objective; lower values go first.

    Under overload, first-come first-served order makes every job late. Jobs that can still be on
    time therefore go first, so that some jobs are on time; the others follow when there is
    capacity.
    """

    ON_TIME = 0
    """The job meets its objective if it continues now."""
    LATE = 1
    """The job misses its objective, but its result is still useful."""
    OVERDUE = 2
    """Its result is no longer useful; it runs when nothing else waits."""


class Urgency(msgspec.Struct, frozen=True, order=True):
    """Rank of a job among those of its priority; the lowest goes first."""

    deadline_status: DeadlineStatus
    """Whether it can still meet its latency objective."""
    began_at: float
    """Monotonic time from which its latency counts, seconds; older jobs go first."""


def order_jobs(entries: Iterable[JobEntry], durations: Durations, now: float) -> list[JobEntry]:
    """Order jobs by priority, then excess, deadline status and age.

    Excess jobs, which exceed the guaranteed rate of their organisation, follow the others.
    """
    return [entry for _, entry in rank_jobs(entries, durations, now)]


def rank_jobs(
    entries: Iterable[JobEntry], durations: Durations, now: float
) -> list[tuple[Urgency, JobEntry]]:
    """Order the jobs with waiting tasks and return each with its urgency.

    The urgency is returned because it is expensive to compute.
    """

    def rank(ranked: tuple[Urgency, JobEntry]) -> tuple[int, bool, Urgency, str]:
        urgency, entry = ranked
        return entry.job.priority, entry.excess, urgency, entry.job.id

    ready = (entry for entry in entries if entry.ready)
    return sorted(((compute_urgency(entry, durations, now), entry) for entry in ready), key=rank)


def compute_urgency(entry: JobEntry, durations: Durations, now: float) -> Urgency:
    """Return a job's urgency."""
    steps = entry.job.spec.steps
    if any(step.lasting for step in steps):
        # Never late: every second without a long-running task counts, however old the job is.
        return Urgency(DeadlineStatus.ON_TIME, entry.created_at)
    repetition = min((key.repetition for key in entry.ready), default=0)
    began_at = entry.created_at + _compute_due_offset(entry, repetition)
    # The objective is `stretch` times the estimated duration of the job plus a fixed time.
    target_s = entry.job.target_ms / 1000
    objective_s = entry.job.stretch * _measure_chain(entry, durations) + target_s
    done_at = now + _measure_chain(entry, durations, repetition)
    if done_at <= began_at + objective_s:
        deadline_status = DeadlineStatus.ON_TIME
    elif done_at <= began_at + LATE_FACTOR * objective_s:
        deadline_status = DeadlineStatus.LATE
    else:
        deadline_status = DeadlineStatus.OVERDUE
    return Urgency(deadline_status, began_at)


def _compute_due_offset(entry: JobEntry, repetition: int) -> float:
    """Return the seconds from a job's acceptance to the due time of a repetition."""
    due_ms = compute_due_ms(entry.job, repetition)
    return max(0.0, (due_ms - entry.job.accepted_ms) / 1000)


def _measure_chain(entry: JobEntry, durations: Durations, repetition: int | None = None) -> float:
    """Return the duration of the longest chain of steps, seconds.

    With a repetition, only its steps that are not done count.
    """
    ends_s: list[float] = []
    for number, step in enumerate(entry.job.spec.steps):
        begin_s = max((ends_s[dependency] for dependency in step.depends_on), default=0.0)
        done = repetition is not None and entry.open_tasks.get((repetition, number)) == 0
        duration_s = 0.0 if done else durations.estimate(entry.job.queue, step.estimate_ms).long_s
        ends_s.append(begin_s + duration_s)
    return max(ends_s, default=0.0)
