"""Hosts that can be moved now, sorted once a round by the cost of moving them."""

from __future__ import annotations

from collections import Counter, deque
from itertools import chain
from typing import TYPE_CHECKING

from foxtrestle.scheduling.eligibility import is_usable

if TYPE_CHECKING:
    from collections.abc import Collection

    from foxtrestle.scheduling.host_requirements import HostRequirement
    from foxtrestle.scheduling.hosts import HostView


class MovableHosts:
    """Hosts that a round of decisions may still move; each host is returned only once."""

    def __init__(
        self,
        views: dict[str, HostView],
        reserve: str,
        excluded: frozenset[str],
        now: float,
        retained: frozenset[str] = frozenset(),
        *,
        spread_zones: bool = False,
    ) -> None:
        """Sort the hosts.

        Args:
            views: All hosts.
            reserve: Name of the pool of powered-off hosts; empty if there is none.
            excluded: Hosts that must not be moved.
            now: Monotonic time, seconds.
            retained: Hosts that particular tasks of their pool require.
            spread_zones: Whether each pool's hosts are spread over zones, to tolerate the loss of a
                zone.
        """
        self._spreads = spread_zones
        # Hosts by pool and zone; a planned move counts for its target.
        self._host_counts = Counter(
            (view.pool if view.plan is None else view.plan.pool, view.info.zone)
            for view in views.values()
        )
        self._retained: dict[str, list[HostView]] = {}
        self._powered_off: deque[HostView] = deque()
        self._powering_off: list[HostView] = []
        self._serving: dict[str, list[HostView]] = {}
        self._group_hosts(views, reserve, excluded, now, retained)
        for pool_views in self._serving.values():
            # The last host of the list is returned first: an idle one, else the least busy; of
            # equally busy hosts, the one listed first.
            pool_views.reverse()
            pool_views.sort(key=_rank_by_load, reverse=True)

    def _group_hosts(
        self,
        views: dict[str, HostView],
        reserve: str,
        excluded: frozenset[str],
        now: float,
        retained: frozenset[str],
    ) -> None:
        """Group the hosts by their present state, without those that must not be moved."""
        for name, view in views.items():
            if name in excluded or view.drained:
                continue
            if view.plan is not None:
                if _is_powering_off(view, reserve) and name not in retained:
                    self._powering_off.append(view)
            elif reserve and view.pool == reserve:
                # A powered-off host is listed as `up` in the reserve pool.
                if view.info.state == "up":
                    self._powered_off.append(view)
            elif not _is_movable(view, now):
                continue
            elif name in retained:
                self._retained.setdefault(view.pool, []).append(view)
            else:
                self._serving.setdefault(view.pool, []).append(view)

    def take_powered_off(self, target_pool: str) -> HostView | None:
        """Take a powered-off host for a pool.

        If pools are spread over zones, the host is from the zone where the pool has fewest hosts.
        """
        if not self._powered_off:
            return None
        view = self._powered_off[0]
        if self._spreads:
            view = min(
                self._powered_off,
                key=lambda candidate: self._host_counts[target_pool, candidate.info.zone],
            )
            self._host_counts[target_pool, view.info.zone] += 1
        self._powered_off.remove(view)
        return view

    def take_powering_off(self, target_pool: str) -> HostView | None:
        """Take a host of another pool that is being emptied for power-off; this saves a move."""
        for index, view in enumerate(self._powering_off):
            if view.pool != target_pool:
                return self._powering_off.pop(index)
        return None

    def take_serving(self, source_pool: str, *, idle: bool) -> HostView | None:
        """Take the least busy host of a pool among those without long-running tasks.

        If `idle`, only an idle host is taken.
        """
        views = self._serving.get(source_pool)
        if not views or (idle and not views[-1].is_idle()):
            return None
        if not self._spreads:
            return views.pop()
        return self._take_from_largest_zone(source_pool, views)

    def _take_from_largest_zone(self, source_pool: str, views: list[HostView]) -> HostView:
        """Take one of the least busy hosts, from the zone with most hosts of the pool."""
        least_load = _rank_by_load(views[-1])
        least_busy = [view for view in reversed(views) if _rank_by_load(view) == least_load]
        view = max(
            least_busy, key=lambda candidate: self._host_counts[source_pool, candidate.info.zone]
        )
        views.remove(view)
        self._host_counts[source_pool, view.info.zone] -= 1
        return view

    def take_matching(
        self, requirement: HostRequirement, surplus_pools: Collection[str], *, forced: bool
    ) -> HostView | None:
        """Take a host that satisfies a requirement: a powered-off one, else a serving one.

        Hosts that are being emptied for power-off count as powered off.

        Args:
            requirement: The requirement.
            surplus_pools: Pools with more hosts than their targets.
            forced: Whether the host may also be busy, come from a pool without a surplus or, if no
                other host matches, be one of several that another pool retains for its own tasks.
                Without this exception, the pool that requires most hosts of a scarce kind would
                keep all of them.
        """
        for group in (self._powered_off, self._powering_off):
            for index, view in enumerate(group):
                if view.pool != requirement.pool and requirement.is_satisfied_by(view):
                    del group[index]
                    return view
        pools = [name for name in self._serving if name != requirement.pool]
        pools = [name for name in pools if forced or name in surplus_pools]
        matching = [
            view
            for view in chain.from_iterable(self._serving[name] for name in pools)
            if requirement.is_satisfied_by(view) and (forced or view.is_idle())
        ]
        by_pool = self._serving
        if not matching and forced:
            by_pool = self._retained
            for name in by_pool.keys() - {requirement.pool}:
                pool_matching = [
                    view for view in by_pool[name] if requirement.is_satisfied_by(view)
                ]
                # A pool's only such host would be moved back and forth and serve neither pool.
                matching += pool_matching if len(pool_matching) > 1 else []
        if not matching:
            return None
        chosen = min(
            matching,
            key=lambda view: (view.pool not in surplus_pools, *_rank_by_load(view), view.info.name),
        )
        by_pool[chosen.pool].remove(chosen)
        return chosen


def _is_powering_off(view: HostView, reserve: str) -> bool:
    """Return whether a host is being emptied for power-off."""
    plan = view.plan
    return (
        plan is not None
        and bool(reserve)
        and not plan.wave
        and plan.state == "emptying"
        and plan.pool == reserve
    )


def _is_movable(view: HostView, now: float) -> bool:
    worker = view.worker
    return worker is not None and is_usable(worker, now) and not worker.lasting_count


def _rank_by_load(view: HostView) -> tuple[bool, int]:
    used = view.worker.used.cpu if view.worker is not None else 0
    return not view.is_idle(), used
