"""Lost workers: the reason for which a worker counts as lost, and whether it crashed."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import HostState
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker


class LossReason(StrEnum):
    """Evidence that no run placed on a worker is active any more."""

    LAPSED = "lease lapsed"
    """The worker has been out of contact for longer than its lease. Unlike with all other reasons,
    the worker may answer again."""
    ORDERED_AWAY = "its host was ordered away"
    """This controller has ordered a move or the maintenance of the worker's host."""
    ADDRESS_REUSED = "another life at its address"
    """Another worker process answered a call to the worker's address."""
    RESTARTED = "another life under its id"
    """A later incarnation answered a call to the worker."""
    NEW_WORKER = "its host has a new worker"
    """The host list names another worker for the host."""
    HOST_DOWN = "its host is down"
    """The host list shows the host as down."""
    HOST_MOVING = "its host is moving"
    """The host list shows the host as moving, ordered by an earlier controller."""
    HOST_MAINTAINED = "its host is upkeep"
    """The host list shows the host as in maintenance, ordered by an earlier controller."""
    HOST_GONE = "its host is gone"
    """The host is missing in two host lists in a row."""


HOST_LOSS_REASONS: Final[dict[HostState, LossReason]] = {
    "down": LossReason.HOST_DOWN,
    "moving": LossReason.HOST_MOVING,
    "upkeep": LossReason.HOST_MAINTAINED,
}
"""Loss reason of an unresponsive worker, by the state of its host."""
CRASH_REASONS: Final = frozenset(
    {
        LossReason.ADDRESS_REUSED,
        LossReason.RESTARTED,
        LossReason.NEW_WORKER,
        LossReason.HOST_DOWN,
    }
)
"""Reasons that show a crash, unless the worker was about to leave. A lapsed lease shows none,
because the worker may be running and only disconnected. A host that is missing from the lists has
been removed."""


RESTART_REASONS: Final = frozenset(
    {LossReason.ADDRESS_REUSED, LossReason.RESTARTED, LossReason.NEW_WORKER}
)
"""Reasons for which a worker is lost that a late order has as well: its host has another one."""


def is_crash(fleet: Fleet, worker: Worker, reason: LossReason) -> bool:
    """Return whether a worker has certainly crashed, rather than left by itself or by an order.

    A worker that leaves reports itself as draining, or its entry disappears first; after a crash
    the entry stays for some seconds. A worker that is known to this controller only from records of
    runs has no entry and is not counted as crashed.
    """
    plan = fleet.plans.get(worker.info.host)
    ordered = plan is not None and plan.state != "emptying"
    ordered = ordered or _is_ordered_late(fleet, worker, reason)
    contact_loss = worker.contact_loss
    leaving = worker.is_leaving() if contact_loss is None else contact_loss.leaving
    return reason in CRASH_REASONS and not leaving and not ordered


def _is_ordered_late(fleet: Fleet, worker: Worker, reason: LossReason) -> bool:
    """Return whether an order that had no answer, rather than a crash, explains a worker's loss.

    A move shows in the pool of the host's next worker, or of the list's entry. Maintenance leaves
    the host in its pool, so that another worker there may be the result of it or of a crash.
    """
    order = fleet.unsettled_orders.get(worker.info.host)
    if order is None or reason not in RESTART_REASONS:
        return False
    if order.wave:
        return True
    host = fleet.hosts.get(worker.info.host)
    pools = {worker.info.pool} if host is None else {worker.info.pool, host.pool}
    return order.pool in pools
