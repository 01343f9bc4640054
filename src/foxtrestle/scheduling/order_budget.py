"""Rate limit of a controller's orders for hosts, and the sequence in which they are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.hosts import HostPlan

ORDER_SHARE: Final = 0.8
"""Fraction of the platform's rate limit that all controllers use together. The rest is for orders
that are sent again because they had no answer."""
BURST_S: Final = 5.0
"""Burst size, as seconds at the full rate: the platform accepts bursts (76 orders in one second for
272 hosts, none refused), and the first order refused for the rate limit ends the burst."""


class OrderBudget:
    """Token bucket for orders of one controller.

    Without the budget, four controllers with 1,470 hosts sent 400 orders a second to a platform
    that accepts 64: it refused 7,117 orders in 22 s, each of them was first recorded in the store,
    and hosts were emptied, released and chosen again.
    """

    __slots__ = ("_credit", "_per_s", "_updated_at")

    def __init__(self, per_s: float, controllers: int) -> None:
        """Create a budget with a full burst.

        Args:
            per_s: Orders per second that the platform accepts from all nodes together.
            controllers: Number of controllers that send orders.
        """
        self._per_s = per_s * ORDER_SHARE / controllers
        self._credit = self._max_credit
        self._updated_at: float | None = None

    @property
    def _max_credit(self) -> float:
        return max(1.0, self._per_s * BURST_S)

    def count_soon(self, now: float, seconds: float) -> int:
        """Return how many orders may be sent until some seconds from now."""
        self._earn(now)
        return int(self._credit + seconds * self._per_s)

    def _earn(self, now: float) -> None:
        if self._updated_at is not None:
            self._credit = min(
                self._max_credit, self._credit + (now - self._updated_at) * self._per_s
            )
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Return whether an order may be sent now; if so, charge the budget for it."""
        self._earn(now)
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def note_refusal(self) -> None:
        """Empty the budget after an order was refused for the rate limit of the platform."""
        self._credit = 0.0


def sort_by_urgency(plans: Iterable[HostPlan], reserve: str) -> list[HostPlan]:
    """Sort plans by urgency: moves into serving pools and maintenance before power-offs."""
    return sorted(plans, key=lambda plan: plan.pool == reserve and not plan.wave)
