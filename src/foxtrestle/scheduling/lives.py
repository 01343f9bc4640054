"""Lives of a worker: one id may name several, and the next knows nothing of the one before.

A life numbers its ends from 1, its clock begins anew, and it has seen no fencing token and barred
no run. A call names the worker by its id alone, so it may be carried out by a later life than the
one that it was meant for. What is known of a life is therefore forgotten as a whole when another
one answers, and nothing is told to a worker that would be wrong for its next life, unless an answer
has just shown which one is there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.runs import StopOrder, attach_run, release_worker

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import TaskKey, WorkerReport
    from foxtrestle.scheduling.runs import Release
    from foxtrestle.scheduling.state import Fleet, Run, Worker

LATE_S: Final = 12.0
"""Seconds after which a call without an answer is not carried out any more: on the users' platform
late ones come 2 to 12 s after they were sent."""
MOST_UNANSWERED: Final = 64
"""Starts without an answer that a worker may have before old ones are looked for and dropped; a
worker carries about ten runs at a time."""
FRESH_ANSWER_S: Final = 0.2
"""Seconds for which an answer shows which life is there; a process needs longer to start again."""


class Doubts(msgspec.Struct, frozen=True):
    """What was sent to a life and had no answer, so that a later one may carry it out."""

    born_ms: int
    """When that life began; 0 if it did not say."""
    starts: dict[tuple[TaskKey, int], float]
    """Starts, each with the monotonic time at which it was sent, seconds."""
    acknowledged_until: float
    """Monotonic time until which an acknowledgement of ends may come, seconds."""


def is_other_life(worker: Worker, report: WorkerReport) -> bool:
    """Tell whether an answer comes from another life than the one that answered before."""
    return report.born_ms != 0 and worker.born_ms not in {0, report.born_ms}


def note_start(worker: Worker, place: tuple[TaskKey, int], now: float) -> None:
    """Note that a start is being sent; until it is answered, a later life may carry it out."""
    if len(worker.unanswered) >= MOST_UNANSWERED:
        worker.unanswered = _find_recent(worker, now)
    worker.unanswered[place] = now


def _find_recent(worker: Worker, now: float) -> dict[tuple[TaskKey, int], float]:
    return {place: at for place, at in worker.unanswered.items() if now - at < LATE_S}


def choose_acknowledgement(worker: Worker, now: float) -> int:
    """Choose up to which end the next call lets a worker forget; 0 for none.

    Each number is told once, and only just after an answer. A number that is told to a later life
    has it forget ends that nobody has seen: tasks that had ended well were then started again, up
    to three times each.
    """
    if worker.acknowledged <= worker.forgotten or worker.silence is not None:
        return 0
    return worker.acknowledged if now - worker.contact_at <= FRESH_ANSWER_S else 0


def list_doubts(worker: Worker, now: float) -> Doubts:
    """List what a life that is given up may leave to the next."""
    until = max(worker.unsure_until, worker.doubtful_until)
    return Doubts(worker.born_ms, _find_recent(worker, now), until)


def adopt_doubts(worker: Worker, doubts: Doubts) -> None:
    """Take over what was sent to a worker before it was given up."""
    worker.unanswered = dict(doubts.starts)
    if worker.born_ms == doubts.born_ms:
        worker.unsure_until = doubts.acknowledged_until
    else:
        worker.doubtful_until = doubts.acknowledged_until


def list_bars(worker: Worker, now: float) -> list[StopOrder]:
    """List the stops that bar starts which were given up and may still be carried out.

    A life that has barred them forgets so when it ends.
    """
    return [
        StopOrder(worker.info.id, key, number)
        for key, number in _find_recent(worker, now)
        if (key, number) not in worker.runs
    ]


def begin_next_life(
    fleet: Fleet,
    worker: Worker,
    report: WorkerReport,
    sent_at: float,
    now: float,
    *,
    crashed: bool,
) -> Release:
    """Give up a worker's former life, as an answer of the next one has come.

    A start may have been meant for the former life and come to the next: what that lists stays, and
    what may still come is stopped there before its task is placed anew.

    Args:
        fleet: The state.
        worker: The worker.
        report: The first answer of its next life.
        sent_at: Monotonic time at which the call was sent that has this answer, seconds.
        now: Monotonic time, seconds.
        crashed: Whether the former life ended with a crash, for which a task may be at fault.
    """
    listed = {(seen.key, seen.run) for seen in report.running} | {
        (end.key, end.run) for end in report.ends
    }
    staying = {
        place
        for place, run in worker.runs.items()
        if place in listed or _is_of_next_life(run, sent_at)
    }
    barred = {
        place
        for place, run in worker.runs.items()
        if place not in staying and _may_come(worker, place, run, now)
    }
    doubts = list_doubts(worker, now)
    release = release_worker(fleet, worker, now, crashed=crashed, staying=staying, barred=barred)
    kept = [fleet.find_run(*place) for place in staying | barred]
    worker.begin_life(report.born_ms, now)
    adopt_doubts(worker, doubts)
    for found in kept:
        if found is not None:
            attach_run(*found, worker)
    return release


def _is_of_next_life(run: Run, sent_at: float) -> bool:
    """Tell whether a start has not been sent, or may have come after the report was made."""
    return not run.sent_at or run.sent_at >= sent_at or run.confirmed_at >= sent_at


def _may_come(worker: Worker, place: tuple[TaskKey, int], run: Run, now: float) -> bool:
    """Tell whether a start that a former life was sent may be carried out by the next.

    What an earlier controller sent is refused, as the answer has shown this one's token.
    """
    if not worker.known:
        return False
    return not run.confirmed_at or now - worker.unanswered.get(place, -LATE_S) < LATE_S
