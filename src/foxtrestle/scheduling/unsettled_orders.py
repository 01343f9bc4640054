"""Host orders that had no answer and may still be carried out, late."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from foxtrestle.scheduling.hosts import HostPlan
    from foxtrestle.scheduling.state import Fleet

MAX_ORDER_DELAY_S: Final = 12.0
"""Seconds after which an order without an answer is no longer expected to be carried out."""


class UnsettledOrder(msgspec.Struct, frozen=True):
    """An order whose outcome is unknown."""

    pool: str
    """Target pool of a move; for maintenance, the pool that the host stays in."""
    wave: int
    """Number of the maintenance wave; 0 for a move."""
    sent_at: float
    """Monotonic time at which the order was last sent, seconds."""


def note_unsettled(fleet: Fleet, plan: HostPlan, now: float) -> None:
    """Note that an attempt to send a plan's order had no answer."""
    fleet.unsettled_orders[plan.host] = UnsettledOrder(plan.pool, plan.wave, now)


def note_settled(fleet: Fleet, plan: HostPlan) -> None:
    """Note that a plan's order is carried out; a late copy of it would change nothing."""
    order = fleet.unsettled_orders.get(plan.host)
    if order is not None and (order.pool, order.wave) == (plan.pool, plan.wave):
        del fleet.unsettled_orders[plan.host]


def remove_expired(fleet: Fleet, now: float) -> None:
    """Forget the orders that are no longer expected to be carried out."""
    fleet.unsettled_orders = {
        host: order
        for host, order in fleet.unsettled_orders.items()
        if now - order.sent_at <= MAX_ORDER_DELAY_S
    }
