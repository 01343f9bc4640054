"""Limits on how many hosts are powered off, and when."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.scheduling.load import RecentPeak

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.pool_needs import PoolNeed

POWER_OFF_DELAY_S: Final = 2.0
"""Seconds for which a host must be surplus to all pools before it is powered off. Its two moves
cost as much as 2.2 s of a host in a pool, and the host is unavailable for 4 to 5 s: 1.5 s each way,
and 1 to 2 s until the host list shows it as powered off. Keeping a host for about as long as the
power-off would cost never costs more than twice the optimum. If the pools' loads alternate, the
surplus host of one pool is the one that the next pool lacks."""
POWER_OFF_SHARE_PER_S: Final = 0.1
"""Fraction of all hosts that may be powered off per second, in case the load returns. An idle host
can be moved at once, but a host that was just powered off can be moved only when the host list
shows it, 2 to 3 s later; if all hosts were powered off at once, the next jobs would have to
wait until then."""


class PowerOffBudget:
    """Rate limit of power-offs: only hosts that have been surplus for a while, a few at a time."""

    __slots__ = ("_credit", "_load_known_at", "_updated_at", "_wanted_peak")

    def __init__(self) -> None:
        """Create a budget that allows no power-offs before the load is known."""
        self._credit = 0.0
        self._updated_at = 0.0
        self._load_known_at: float | None = None
        self._wanted_peak = RecentPeak(POWER_OFF_DELAY_S)

    def count(self, hosts: int, needs: Iterable[PoolNeed], now: float) -> int:
        """Return how many hosts may be powered off now; to be called once the load is known.

        Args:
            hosts: Number of all hosts.
            needs: Hosts that the pools have and need.
            now: Monotonic time, seconds.
        """
        if self._load_known_at is None:
            self._load_known_at = self._updated_at = now
        needs = list(needs)
        self._wanted_peak.note(now, sum(need.wanted for need in needs))
        if now - self._load_known_at < POWER_OFF_DELAY_S:
            self._updated_at = now
            return 0
        per_s = hosts * POWER_OFF_SHARE_PER_S
        self._credit = min(self._credit + per_s * (now - self._updated_at), max(1.0, per_s))
        self._updated_at = now
        surplus = sum(need.have for need in needs) - self._wanted_peak.find(now)
        return max(0, min(int(self._credit), int(surplus)))

    def take(self, hosts: int) -> None:
        """Charge the budget for hosts that are powered off."""
        self._credit -= hosts


class IdleDrainedHosts:
    """Idle times of hosts in drained zones, which take no tasks and are powered off once idle."""

    __slots__ = ("_idle_since",)

    def __init__(self) -> None:
        """Create a tracker without hosts."""
        self._idle_since: dict[str, float] = {}

    def list_idle(self, views: dict[str, HostView], reserve: str, now: float) -> list[str]:
        """Return the names of the hosts of drained zones that have been idle for long enough.

        Args:
            views: All hosts.
            reserve: Name of the pool of powered-off hosts; empty if there is none.
            now: Monotonic time, seconds.
        """
        idle = [name for name, view in views.items() if reserve and _may_power_off(view, reserve)]
        self._idle_since = {name: self._idle_since.get(name, now) for name in idle}
        return [
            name for name, since in self._idle_since.items() if now - since >= POWER_OFF_DELAY_S
        ]


def _may_power_off(view: HostView, reserve: str) -> bool:
    """Return whether a host of a drained zone serves a pool and runs no tasks."""
    worker = view.worker
    return (
        view.drained
        and view.plan is None
        and view.pool != reserve
        and view.is_serving()
        and view.is_idle()
        and worker is not None
        and not worker.unknown_runs
    )
