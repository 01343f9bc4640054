"""Eligibility of workers for new runs."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

    from foxtrestle.scheduling.model import Shape, Step
    from foxtrestle.scheduling.workers import Worker

SUSPECT_JOBS: Final = 2
"""Number of jobs that failed on a worker, without a success in between, from which the worker is
suspect and avoided. One failure may be the fault of the job; that two jobs fail in a row by chance
is rare (0.2 % x 0.2 %)."""
SUSPECT_S: Final = 2.0
"""Seconds after a failure for which a suspect worker gets no runs; then it gets one task at a time
until one succeeds. A worker on which tasks fail immediately always has free capacity and would get
all waiting tasks. Replacing it by another host takes about this long."""
RENEWAL_WAIT_S: Final = 1.0
"""Seconds for which a lease renewal, which is a long poll, waits at a worker for the end of a run.
A longer wait delays the detection of disconnected workers."""
ANSWER_OVERDUE_S: Final = RENEWAL_WAIT_S + 0.7
"""Seconds without an answer after which a worker gets no new runs: the wait of one lease renewal
and its time-out."""


def has_capacity_for(step: Step, labels: Collection[str], capacity: Shape) -> bool:
    """Return whether a task of a step could run on an empty worker.

    Args:
        step: The step.
        labels: Labels of the worker or its host.
        capacity: Its total resources.
    """
    if step.label and step.label not in labels:
        return False
    return capacity.holds(step.shape, fills=step.fills)


class Ineligibility(StrEnum):
    """Reason why a worker gets no new runs."""

    UNKNOWN = "runs unknown"
    """The worker has not sent a complete report yet."""
    GONE = "entry gone"
    """The worker's entry has disappeared from the store."""
    UNREADABLE = "entry unreadable"
    """Another writer has made the worker's entry unreadable."""
    OTHER_INCARNATION = "entry of another incarnation"
    """The worker's entry describes another incarnation than the one that answers."""
    CORDONED = "cordoned"
    """The worker's host is being emptied or has been ordered away."""
    DRAINED = "zone drained"
    """The worker's zone is drained, or may be."""
    UNKNOWN_RUNS = "unknown runs"
    """The worker reports runs that the controller does not know."""
    LEAVING = "leaving"
    """The worker reports that it is about to leave."""
    FULL = "full"
    """The worker has just refused a run for lack of capacity."""
    MAY_LACK_ENDS = "may lack ends"
    """The worker may discard ends without listing them, and its lease may not have lapsed yet."""
    SILENT = "silent"
    """The worker has not answered for `ANSWER_OVERDUE_S`."""
    SUSPECT = "suspect"
    """Tasks of several jobs have just failed on the worker."""


def find_ineligibility(  # noqa: PLR0911 - one return for each reason
    worker: Worker, now: float
) -> Ineligibility | None:
    """Return why a worker gets no new runs; None if it may get some."""
    if not worker.runs_known:
        return Ineligibility.UNKNOWN
    if worker.entry_gone:
        return Ineligibility.GONE
    if not worker.info.readable:
        return Ineligibility.UNREADABLE
    if not worker.is_entry_current():
        return Ineligibility.OTHER_INCARNATION
    if worker.cordoned:
        return Ineligibility.CORDONED
    if worker.drained:
        return Ineligibility.DRAINED
    if worker.unknown_runs:
        return Ineligibility.UNKNOWN_RUNS
    if worker.info.draining:
        return Ineligibility.LEAVING
    if now < worker.full_until:
        return Ineligibility.FULL
    if worker.may_lack_ends and now <= worker.lease_expires_at:
        return Ineligibility.MAY_LACK_ENDS
    if now - worker.last_answer_at >= ANSWER_OVERDUE_S:
        return Ineligibility.SILENT
    if is_suspect(worker) and now - worker.failed_at < SUSPECT_S:
        return Ineligibility.SUSPECT
    return None


def is_usable(worker: Worker, now: float) -> bool:
    """Return whether a worker may get new runs."""
    return find_ineligibility(worker, now) is None


def is_less_suitable(worker: Worker) -> bool:
    """Return whether other workers are preferred.

    The worker is still warming up, according to its entry, a late order may end its runs, or its
    lease is about to lapse because it may lack ends.
    """
    return worker.info.warmup_left_s > 0 or worker.may_be_ordered_away or worker.may_lack_ends


def is_suspect(worker: Worker) -> bool:
    """Return whether a worker is suspected of causing the failures of its tasks."""
    return len(worker.failed_jobs) >= SUSPECT_JOBS
