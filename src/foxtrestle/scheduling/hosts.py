"""Host views and plans: the host list joined with the workers and with ordered changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.chart import load_chart
from foxtrestle.scheduling.draining import is_drained
from foxtrestle.scheduling.eligibility import ANSWER_OVERDUE_S, RENEWAL_WAIT_S
from foxtrestle.scheduling.host_list_polling import is_list_newer_than
from foxtrestle.scheduling.losses import HOST_LOSS_REASONS, LossReason
from foxtrestle.scheduling.model import Shape

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import HostInfo
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.unsettled_orders import UnsettledOrder
    from foxtrestle.scheduling.workers import Worker

PLAN_CHART: Final = load_chart("plan")
"""State chart of a plan."""
UNANSWERED_CALL_S: Final = 1.0
"""Seconds without an answer after which the host list decides whether a worker is lost, if a call
to the worker had no answer."""
UNANSWERED_RENEWAL_S: Final = RENEWAL_WAIT_S + 0.3
"""Seconds without an answer after which the host list decides whether a worker is lost, if no call
has failed: a lease renewal waits at the worker for up to a second, so a healthy worker with nothing
to report does not answer for that second, the network round trip and any lag of the event loop."""
LIST_LAG_S: Final = 2.5
"""Seconds after an order for which the host list may still show the state before the order: the lag
of the list of about 0.8 s, the second between two reads, and a margin."""
ORDER_EFFECT_S: Final = 0.2
"""Seconds after an order within which answers may arrive that its host's worker sent before it."""
WORKER_OVERDUE_S: Final = 0.4
"""Seconds beyond the platform's own time for an order after which a missing worker is overdue;
recording the order and starting the worker take 0.15 s."""


class HostPlan:
    """A planned change of one host: a move to another pool, or planned maintenance."""

    __slots__ = (
        "awaiting_answer",
        "changed_at",
        "host",
        "old_started_ms",
        "old_worker",
        "pool",
        "sent_at",
        "state",
        "unanswered",
        "wave",
    )

    def __init__(self, host: str, pool: str, wave: int, old_worker: str, now: float) -> None:
        """Create a plan in its start state, in which the host is emptied."""
        self.host = host
        """Name of the host."""
        self.pool = pool
        """Target pool of a move; for maintenance, the pool that the host stays in."""
        self.wave = wave
        """Number of the maintenance wave; 0 for a move."""
        self.old_worker = old_worker
        """Id of the host's worker before the order; empty if there was none."""
        self.old_started_ms = 0
        """Wall time at which the incarnation of that worker began, milliseconds; 0 if unknown."""
        self.state = PLAN_CHART.start
        """State in the state chart `plan`."""
        self.changed_at = now
        """Monotonic time of the last change of state, seconds."""
        self.sent_at = now
        """Monotonic time at which the order was last sent, seconds; first, that of the plan."""
        self.awaiting_answer = False
        """Whether the order was sent and its answer may still arrive."""
        self.unanswered = False
        """Whether an attempt to send the order had no answer, so that its outcome is unknown."""

    def record_worker(self, worker: Worker) -> None:
        """Record the incarnation of the host's worker before the order."""
        self.old_worker = worker.info.id
        self.old_started_ms = worker.incarnation_started_ms

    def is_old_incarnation(self, worker: Worker) -> bool:
        """Return whether a worker is still the incarnation before the order, as far as is known."""
        if worker.info.id != self.old_worker:
            return False
        return self.old_started_ms in {0, worker.incarnation_started_ms}

    def apply_event(self, event: str, now: float) -> None:
        """Change the state by an event of the state chart."""
        self.state = PLAN_CHART.apply_event(self.state, event)
        self.changed_at = now

    def bars(self, worker: Worker) -> bool:
        """Return whether a worker of the host gets no new runs because of this plan.

        Once the order is sent, only the incarnation before it is barred: any other shows that the
        order is over.
        """
        return self.state == "emptying" or self.is_old_incarnation(worker)


class HostView(msgspec.Struct, frozen=True):
    """A listed host joined with its worker and its plan."""

    info: HostInfo
    """Entry of the host list."""
    worker: Worker | None
    """Newest worker of the host; None if there is none."""
    plan: HostPlan | None
    """Planned change; None if there is none."""
    pool: str
    """Current pool: the worker's if its entry still exists, otherwise the listed one."""
    drained: bool = False
    """Whether its zone is drained: as recorded for the worker if its entry still exists, otherwise
    by the listed zone. A drained host takes no tasks."""
    unsettled: UnsettledOrder | None = None
    """Order that had no answer and may still be carried out; None if there is none."""

    @property
    def capacity(self) -> Shape:
        """Capacity that the worker reports, as the list lags behind changes; else as listed."""
        reported = self.worker.info.capacity if self.worker is not None else Shape()
        return reported if reported != Shape() else self.info.capacity

    def is_serving(self) -> bool:
        """Return whether the host serves its pool now."""
        return self.worker is not None and not self.worker.entry_gone and self.worker.runs_known

    def is_idle(self) -> bool:
        """Return whether no task is known to run on the host."""
        return self.worker is None or not self.worker.runs


def update_cordon(fleet: Fleet, worker: Worker) -> None:
    """Cordon a worker while a plan for its host bars it, and only that long."""
    plan = fleet.plans.get(worker.info.host)
    worker.cordoned = plan is not None and plan.bars(worker)
    worker.may_be_ordered_away = worker.info.host in fleet.unsettled_orders


def is_unresponsive(worker: Worker, now: float) -> bool:
    """Return whether a worker has not answered for so long that the host list decides its loss."""
    if worker.contact_loss is not None:
        return now - worker.last_answer_at > UNANSWERED_CALL_S
    # `last_alive_at` includes answers to starts, which also arrive while a lease renewal waits at
    # the worker.
    return now - max(worker.last_answer_at, worker.last_alive_at) > UNANSWERED_RENEWAL_S


def has_unresponsive_worker(fleet: Fleet, now: float) -> bool:
    """Return whether a worker with tasks has not answered for a while.

    This check is less strict than `is_unresponsive`, as no worker counts as lost because of it. A
    positive result only causes more reads of the host list, and a newer list also shows sooner
    which hosts are powered off and can be moved.
    """
    return any(
        worker.runs and not worker.entry_gone and now - worker.last_answer_at > UNANSWERED_CALL_S
        for worker in fleet.workers.values()
    )


def find_lost_workers(fleet: Fleet, now: float) -> list[tuple[Worker, LossReason]]:
    """Find workers that are certainly lost because of the state of their hosts.

    The list lags, so it is not applied to workers that answer or that were first seen only just
    now. A list that is old, as the platform returns no newer one, is not applied to workers first
    seen after it: a host that was down in it may be up again, and the tasks that run there would be
    started a second time.

    Returns:
        The lost workers, each with the reason.
    """
    if fleet.previous_host_names is None:
        return []
    lost = []
    for worker in fleet.workers.values():
        list_applies = now - worker.first_seen > LIST_LAG_S and is_list_newer_than(
            fleet, worker.first_seen
        )
        if list_applies and worker.info.host and is_unresponsive(worker, now):
            reason = _find_loss_reason(fleet, worker)
            if reason:
                lost.append((worker, reason))
    return lost


def _find_loss_reason(fleet: Fleet, worker: Worker) -> LossReason | None:
    """Return why an unresponsive worker is lost; None if it may still run."""
    name = worker.info.host
    host = fleet.hosts.get(name)
    if host is None:
        # A host can be missing from one list if it changed while the list's pages were read.
        return None if name in (fleet.previous_host_names or ()) else LossReason.HOST_GONE
    if host.state != "up":
        return HOST_LOSS_REASONS[host.state]
    if host.worker and host.worker != worker.info.id:
        return LossReason.NEW_WORKER
    return None


def build_host_views(fleet: Fleet) -> dict[str, HostView]:
    """Join the host list with the workers and the plans; return the views by host name."""
    newest: dict[str, Worker] = {}
    for worker in fleet.workers.values():
        host = worker.info.host
        current = newest.get(host)
        if not host or not _is_pool_configured(fleet, worker):
            continue
        # An entry of an earlier incarnation may be written late; the current incarnation is the one
        # that answered last.
        if current is None or _rank_worker(worker) > _rank_worker(current):
            newest[host] = worker
    views = {}
    for name, info in fleet.hosts.items():
        newest_worker = newest.get(name)
        registered_worker = (
            newest_worker if newest_worker is not None and not newest_worker.entry_gone else None
        )
        pool = registered_worker.info.pool if registered_worker is not None else info.pool
        drained = (
            registered_worker.drained
            if registered_worker is not None
            else is_drained(fleet, info.zone)
        )
        plan, unsettled = fleet.plans.get(name), fleet.unsettled_orders.get(name)
        views[name] = HostView(info, newest_worker, plan, pool, drained, unsettled)
    return views


def _is_pool_configured(fleet: Fleet, worker: Worker) -> bool:
    """Return whether a worker's pool is configured; entries of other writers may name any pool."""
    pool = worker.info.pool
    return not pool or fleet.configuration is None or pool in fleet.configuration.pools


def _rank_worker(worker: Worker) -> tuple[float, int]:
    return worker.last_answer_at, worker.revision


def is_order_complete(
    view: HostView, order_s: float, now: float, *, list_is_newer: bool = True
) -> bool:
    """Return whether a host's order is over, so that its plan can be removed.

    An order is over once the host has a new worker. Without a new worker, a move is over when the
    platform has had `order_s` for it and lists the host as `up` in the target pool, as it also
    lists a powered-off host in the reserve pool. Any order is over when a list newer than the order
    shows the host as `up` in any pool after `order_s` and `LIST_LAG_S`.

    Args:
        view: The host.
        order_s: Seconds that the platform needs for the order.
        now: Monotonic time, seconds.
        list_is_newer: Whether the host list is newer than the order.
    """
    plan = view.plan
    if plan is None:
        return True
    worker = view.worker
    if worker is not None and not worker.entry_gone and not plan.is_old_incarnation(worker):
        return True
    if not plan.wave and view.info.pool == plan.pool and view.info.state == "up":
        # `LIST_LAG_S` is not added: the list's own lag of about 0.8 s is less than a move takes,
        # and the host is already listed in the target pool, so this state is newer than the order.
        return now - plan.changed_at > order_s
    return (
        list_is_newer and now - plan.changed_at > order_s + LIST_LAG_S and view.info.state == "up"
    )


def has_outlived_order(plan: HostPlan, worker: Worker, now: float) -> bool:
    """Return whether an order has had no effect: the worker from before it has answered since.

    An order ends everything on its host as soon as it is carried out. One that had no answer may
    still be carried out later; one that was confirmed had been carried out before. The worker must
    have been called after a confirmation, as an answer from before it may arrive late, and a wave's
    limit depends on it.
    """
    if plan.awaiting_answer or not _may_answer(plan, worker):
        return False
    if plan.unanswered and plan.state in {"ordering", "changing"}:
        return plan.sent_at + ORDER_EFFECT_S < worker.last_answer_at <= now
    called_at = worker.last_answer_at - worker.last_answer_wait_s
    return plan.state == "changing" and plan.changed_at < called_at <= now


def may_outlive_order(plan: HostPlan, worker: Worker | None, now: float) -> bool:
    """Return whether an answer of the worker may soon show that an order has had no effect."""
    overdue = now - plan.sent_at > ANSWER_OVERDUE_S
    return worker is not None and not overdue and _may_answer(plan, worker)


def _may_answer(plan: HostPlan, worker: Worker) -> bool:
    """Return whether the incarnation from before an order is, as far as is known, still there."""
    return plan.is_old_incarnation(worker) and not worker.entry_gone and worker.contact_loss is None


def is_overtaken(plan: HostPlan, worker: Worker | None) -> bool:
    """Return whether a host has a new worker while its order, which had no answer, is sent again.

    The new worker is the result of the order, or of a crash.
    """
    return (
        plan.state == "ordering"
        and plan.unanswered
        and not plan.awaiting_answer
        and worker is not None
        and not worker.entry_gone
        and not plan.is_old_incarnation(worker)
    )


def is_worker_overdue(plan: HostPlan, reserve: str, order_s: float, now: float) -> bool:
    """Return whether a host should have a new worker by now, after an order, and has none.

    Args:
        plan: The ordered change.
        reserve: Name of the pool of powered-off hosts, which have no workers.
        order_s: Seconds that the platform needs for the order.
        now: Monotonic time, seconds.
    """
    if plan.state != "changing" or plan.pool == reserve:
        return False
    return now - plan.changed_at > order_s + WORKER_OVERDUE_S
