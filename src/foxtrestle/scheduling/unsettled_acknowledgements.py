"""Acknowledgements of ends without an answer, which a worker's next incarnation may carry out.

An incarnation numbers its ends from 1. If it carries out what was acknowledged to the former one,
it discards its own first ends without listing them, and nobody learns how these runs have ended. No
call shows whether it has done so; only an end that it lists does, since then all later ones have
higher numbers. Until then, its lease is not extended, and it gets one run at a time, under a lease
that lapses before any task can be completed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.unsettled_orders import MAX_ORDER_DELAY_S
from foxtrestle.scheduling.unsettled_starts import MAX_CLOCK_DIFFERENCE_S

if TYPE_CHECKING:
    from foxtrestle.scheduling.jobs import Task
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

MAX_WORKERS: Final = 1_000
"""Maximum number of workers whose unsettled acknowledgement is remembered, the newest ones."""
GANG_TRIAL_WAIT_S: Final = 5.0
"""Seconds that a gang has waited before it is placed on a worker that may lack ends."""


class UnsettledAcknowledgement(msgspec.Struct, frozen=True):
    """The newest acknowledgement that was sent to a worker and has had no answer."""

    started_ms: int
    """Wall-clock time at which the incarnation started that it was meant for, milliseconds."""
    sent_ms: int
    """Wall-clock time at which it was sent, milliseconds."""
    sent_at: float
    """Monotonic time of the same moment by the clock of this controller, seconds."""


def note_sent(fleet: Fleet, worker: Worker, now: float, wall_ms: float) -> None:
    """Note that an acknowledgement is about to be sent to a worker."""
    unsettled = fleet.unsettled_acknowledgements
    # Removed first, so that the dictionary stays in the order of sending.
    unsettled.pop(worker.info.id, None)
    unsettled[worker.info.id] = UnsettledAcknowledgement(
        worker.incarnation_started_ms, int(wall_ms), now
    )
    if len(unsettled) > MAX_WORKERS:
        del unsettled[next(iter(unsettled))]


def note_answered(fleet: Fleet, worker: Worker, former: UnsettledAcknowledgement | None) -> None:
    """Note that an acknowledgement was answered, or certainly not carried out.

    Args:
        fleet: The state.
        worker: Worker that it was sent to.
        former: The worker's unsettled acknowledgement from before, which remains.
    """
    if former is None:
        fleet.unsettled_acknowledgements.pop(worker.info.id, None)
    else:
        fleet.unsettled_acknowledgements[worker.info.id] = former


def may_lack_ends(fleet: Fleet, worker: Worker) -> bool:
    """Return whether a worker may discard its first ends, as far as acknowledgements show it."""
    acknowledgement = fleet.unsettled_acknowledgements.get(worker.info.id)
    if acknowledgement is None:
        return False
    started_ms = worker.incarnation_started_ms
    if not started_ms or started_ms == acknowledgement.started_ms:
        return False
    longest_ms = (MAX_ORDER_DELAY_S + MAX_CLOCK_DIFFERENCE_S) * 1000
    return started_ms <= acknowledgement.sent_ms + longest_ms


def note_first_report(fleet: Fleet, worker: Worker) -> None:
    """Note that a worker has sent its first complete report to this controller.

    If an earlier controller has placed runs there, the worker has listed an end to that one.
    """
    in_use = any(run.state == "running" for run in worker.runs.values())
    worker.may_lack_ends = may_lack_ends(fleet, worker) and not in_use


def note_end_listed(fleet: Fleet, worker: Worker) -> None:
    """Note that a worker lists an end, which shows that it will list all later ones."""
    worker.may_lack_ends = False
    if may_lack_ends(fleet, worker):
        del fleet.unsettled_acknowledgements[worker.info.id]


def may_try(task: Task, now: float) -> bool:
    """Return whether a task may be started under a lease that lapses, to have an end listed.

    The whole gang is broken if the run of a member lapses, so other tasks are preferred.
    """
    return not task.step.gang or now - task.waiting_since > GANG_TRIAL_WAIT_S


def remove_settled(fleet: Fleet, now: float) -> None:
    """Forget acknowledgements that no incarnation can carry out any more.

    That is certain once the one that they were meant for has answered after the longest delay.
    """
    unsettled = fleet.unsettled_acknowledgements
    for worker_id, acknowledgement in list(unsettled.items()):
        worker = fleet.workers.get(worker_id)
        if worker is None or not worker.runs_known or may_lack_ends(fleet, worker):
            continue
        if worker.last_answer_at > acknowledgement.sent_at + MAX_ORDER_DELAY_S:
            del unsettled[worker_id]


def restore(
    acknowledgements: dict[str, UnsettledAcknowledgement], now: float
) -> dict[str, UnsettledAcknowledgement]:
    """Return an earlier controller's unsettled acknowledgements as of a takeover at `now`."""
    return {
        worker: msgspec.structs.replace(acknowledgement, sent_at=now)
        for worker, acknowledgement in acknowledgements.items()
    }
