"""Account of what every host is used for, and why hosts that could serve take no tasks."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

from foxtrestle.scheduling.eligibility import Ineligibility, find_ineligibility

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.hosts import HostView


class HostUse(StrEnum):
    """What a host is used for, if its worker is not ineligible."""

    WORKING = "working"
    """It takes tasks and has some."""
    IDLE = "idle"
    """It takes tasks and has none."""
    EMPTYING = "emptying"
    """It takes no tasks, so that it can be ordered away."""
    ORDERING = "ordering"
    """Its order is being sent."""
    UNANSWERED = "unanswered"
    """Its order had no answer and may or may not be carried out."""
    CHANGING = "changing"
    """Its order was confirmed and has not been observed yet."""
    OFF = "off"
    """It is powered off."""
    AWAY = "away"
    """The platform lists it as moving, in maintenance or down, without a plan of this controller's
    for it."""
    WITHOUT_WORKER = "without worker"
    """It is listed as up and has no worker."""


Use: TypeAlias = HostUse | Ineligibility
"""What a host is used for; of a host without a plan whose worker takes no tasks, the reason."""


def account_hosts(views: Iterable[HostView], reserve: str, now: float) -> Counter[Use]:
    """Count the hosts by their use; every host counts once.

    Args:
        views: All hosts.
        reserve: Name of the pool of powered-off hosts; empty if there is none.
        now: Monotonic time, seconds.
    """
    return Counter(find_use(view, reserve, now) for view in views)


def find_use(view: HostView, reserve: str, now: float) -> Use:
    """Return what a host is used for now."""
    if view.plan is not None:
        if view.plan.state != "emptying" and view.plan.unanswered:
            return HostUse.UNANSWERED
        return HostUse(view.plan.state)
    if reserve and view.pool == reserve:
        return HostUse.OFF
    worker = view.worker
    if worker is None or worker.entry_gone:
        return HostUse.WITHOUT_WORKER if view.info.state == "up" else HostUse.AWAY
    return find_ineligibility(worker, now) or (HostUse.WORKING if worker.runs else HostUse.IDLE)
