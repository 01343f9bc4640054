"""Worker incarnations: a restarted worker process may keep its id but has lost all of its state.

A new incarnation numbers its ends from 1, its monotonic clock starts again, it accepts any fencing
token, and it does not reject runs that ended or were stopped on the former one. A call identifies
the worker by its id alone, so a later incarnation than the intended one may execute it. A new
incarnation is therefore treated like a worker taken over from an earlier controller: all state of
the former incarnation is discarded, and calls to the new one carry a higher fencing token, which
fences off the calls to the former one that are still in flight.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.scheduling.runs import attach_run, release_worker

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import WorkerReport
    from foxtrestle.scheduling.runs import Release
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

FRESH_ANSWER_S: Final = 0.2
"""Seconds after a call for which its answer shows which incarnation is running. A process takes
longer to restart, and an end is recorded within a tenth of this time while the store is healthy."""


YOUNG_S: Final = 30.0
"""Seconds after an incarnation's start within which an earlier controller's call that was meant for
its predecessor may have reached it. A late call arrives up to 12 s after it was sent, and a lease
lasts 10 s at most; the rest allows for differing clocks."""


def may_have_predecessor(started_ms: int, wall_ms: float) -> bool:
    """Return whether a worker that was running at a takeover may hold its predecessor's lease.

    Args:
        started_ms: Wall-clock time at which its incarnation started, milliseconds; 0 if unknown.
        wall_ms: Wall-clock time of the takeover, milliseconds.
    """
    return started_ms == 0 or wall_ms - started_ms < YOUNG_S * 1000


def is_other_incarnation(worker: Worker, report: WorkerReport) -> bool:
    """Return whether a report comes from another incarnation than the one that answered before."""
    return report.incarnation_started_ms != 0 and worker.incarnation_started_ms not in {
        0,
        report.incarnation_started_ms,
    }


def choose_end_acknowledgement(worker: Worker, now: float) -> int:
    """Choose the end up to which the next call acknowledges ends to a worker; 0 for none.

    A number is sent only right after a call that was answered at once, and not again once a call
    with it was answered. A later incarnation that received it would discard ends that no controller
    has processed, so that completed tasks would be started again. The age of an answer counts from
    its call, because the answer may have waited for a frozen or busy node, or on its way. For the
    same reason, a call with an acknowledgement must not wait at the worker.
    """
    acknowledgeable = worker.acknowledgeable_end
    if acknowledgeable <= worker.discarded_end or worker.contact_loss is not None:
        return 0
    called_at = worker.last_answer_at - worker.last_answer_wait_s
    return acknowledgeable if now - called_at <= FRESH_ANSWER_S else 0


def begin_next_incarnation(
    fleet: Fleet,
    worker: Worker,
    report: WorkerReport,
    sent_at: float,
    now: float,
    *,
    crashed: bool,
) -> Release:
    """Release a worker's former incarnation after the first answer of the next one.

    A start that was intended for the former incarnation may have reached the next one, or may still
    reach it until it has received a higher fencing token. All runs therefore stay counted until the
    next incarnation has answered a call with a higher token; runs that this answer does not list
    are placed again.

    Args:
        fleet: The state.
        worker: The worker.
        report: The first answer of the next incarnation.
        sent_at: Monotonic time at which the answered call was sent, seconds.
        now: Monotonic time, seconds.
        crashed: Whether the former incarnation crashed, which one of its tasks may have caused.
    """
    present_runs = {(listed.key, listed.run) for listed in report.running}
    present_runs |= {(end.key, end.run) for end in report.ends}
    # Runs that were confirmed after the call was sent may be missing from its report.
    present_runs |= {run_key for run_key, run in worker.runs.items() if run.confirmed_at >= sent_at}
    former_runs = [fleet.find_run(*run_key) for run_key in worker.runs]
    release = release_worker(
        fleet, worker, now, crashed=crashed, kept_runs=present_runs, runs_stopped=False
    )
    worker.begin_incarnation(report.incarnation_started_ms, now)
    for task_and_run in former_runs:
        if task_and_run is not None:
            attach_run(*task_and_run, worker)
    worker.expect_new_incarnation()
    return release
