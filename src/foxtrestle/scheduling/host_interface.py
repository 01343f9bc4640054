"""Health of the platform's interface for hosts, as the answers to calls show it.

A host is emptied only for an order that can be sent. While the interface does not answer, no order
is sent and no host is emptied; reads of the host list go on and show when it answers again. Then a
few orders are sent first, and any number once enough of them were answered. An interface that
answers slowly is given more time, and is used as before.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

SLOW_FACTOR: Final = 3.0
"""Multiple of the recent answer time after which an answer is overdue."""
MIN_OVERDUE_S: Final = 0.25
"""Seconds after which an answer is overdue at the earliest; the interface usually answers within a
few milliseconds."""
MIN_TIMEOUT_S: Final = 0.8
"""Time-out of a call while answers are fast, seconds."""
MAX_TIMEOUT_S: Final = 2.0
"""Time-out of a call while answers are slow, and of reads while there are none, seconds. An order
that is held up is given up before the next controller may order the same host."""
ANSWER_TIME_DECAY: Final = 0.5
"""Fraction of a slow answer's time that still counts after the next answer."""
FIRST_ORDERS: Final = 4
"""Orders allowed at a time once the interface answers again."""
MAX_LIMITED_ORDERS: Final = 16
"""Orders allowed at a time from which on their number is not limited any more; it doubles with each
answer."""


class InterfaceState(StrEnum):
    """What is known of the interface."""

    ANSWERING = "answering"
    """It answers, and so it did for a while."""
    OVERDUE = "overdue"
    """The answer to an order is overdue."""
    AWAY = "away"
    """A call failed, and none that was sent later has been answered."""
    RECOVERING = "recovering"
    """It answers after it was away, but has not answered enough orders since."""


class HostInterface:
    """Health of the interface, updated with the outcome of each call.

    All times are monotonic, in seconds.
    """

    __slots__ = (
        "_answer_s",
        "_answered_call_at",
        "_away",
        "_max_orders",
        "_open_orders",
        "_order_count",
    )

    def __init__(self) -> None:
        """Create the health of an interface of which no call has failed."""
        self._away = False
        # Orders allowed at a time; None if their number is not limited.
        self._max_orders: int | None = None
        # Times at which the orders that await their answers were sent, by the number of the order.
        self._open_orders: dict[int, float] = {}
        self._order_count = 0
        # Time at which the latest call that was answered was sent.
        self._answered_call_at = float("-inf")
        # Recent time from a call to its answer.
        self._answer_s = 0.0

    def begin_order(self, now: float) -> int:
        """Note that an order is sent; return a number by which its outcome is noted."""
        self._order_count += 1
        self._open_orders[self._order_count] = now
        return self._order_count

    def note_order_answer(self, number: int, now: float) -> None:
        """Note that an order was confirmed, or refused for a reason of its own."""
        was_away = self._away
        sent_at = self._open_orders.pop(number)
        self.note_answer(sent_at, now - sent_at)
        if self._max_orders is not None and not was_away:
            doubled = 2 * self._max_orders
            self._max_orders = doubled if doubled < MAX_LIMITED_ORDERS else None

    def note_order_failure(self, number: int) -> None:
        """Note that an order had no answer, or that the interface could not serve it."""
        self.note_failure(self._open_orders.pop(number))

    def end_order(self, number: int) -> None:
        """Note the end of an order that shows nothing, such as one over the rate limit."""
        del self._open_orders[number]

    def note_answer(self, sent_at: float, answer_s: float) -> None:
        """Note that a call sent at a time was answered, and after how many seconds."""
        self._answered_call_at = max(self._answered_call_at, sent_at)
        self._answer_s = max(answer_s, self._answer_s * ANSWER_TIME_DECAY)
        if self._away:
            self._away = False
            self._max_orders = FIRST_ORDERS

    def note_failure(self, sent_at: float) -> bool:
        """Note that a call sent at a time failed.

        Returns:
            Whether it counts: a later call that was answered outweighs it.
        """
        counts = sent_at >= self._answered_call_at
        self._away = self._away or counts
        return counts

    def find_state(self, now: float) -> InterfaceState:
        """Return what is known of the interface."""
        if self._away:
            return InterfaceState.AWAY
        overdue_s = max(MIN_OVERDUE_S, SLOW_FACTOR * self._answer_s)
        if any(now - sent_at > overdue_s for sent_at in self._open_orders.values()):
            return InterfaceState.OVERDUE
        return InterfaceState.ANSWERING if self._max_orders is None else InterfaceState.RECOVERING

    def choose_timeout(self) -> float:
        """Return the time-out of the next call, seconds.

        Reads while the interface is away are given the most time: it may only be slow.
        """
        if self._away:
            return MAX_TIMEOUT_S
        return min(max(MIN_TIMEOUT_S, SLOW_FACTOR * self._answer_s), MAX_TIMEOUT_S)

    def count_further_orders(self, waiting: int, now: float) -> int | None:
        """Return how many further orders may be sent or prepared now; None for any number.

        Args:
            waiting: Number of orders that are prepared and have not been sent yet.
            now: Monotonic time, seconds.
        """
        state = self.find_state(now)
        if state is InterfaceState.ANSWERING:
            return None
        if state is InterfaceState.RECOVERING and self._max_orders is not None:
            return max(0, self._max_orders - len(self._open_orders) - waiting)
        return 0
