"""Division of hosts among the pools, and moves of hosts between them."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import msgspec

from foxtrestle.scheduling.host_requirements import (
    FORCED_MOVE_AFTER_S,
    count_matching_hosts,
    has_host_in_transit,
    list_retained_hosts,
)
from foxtrestle.scheduling.movable_hosts import MovableHosts

if TYPE_CHECKING:
    from collections.abc import Sequence

    from foxtrestle.scheduling.host_requirements import HostRequirement
    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.pool_needs import PoolNeed
    from foxtrestle.scheduling.reservations import HostReservation


class HostMove(msgspec.Struct, frozen=True):
    """A decision to move a host."""

    host: str
    """Name of the host."""
    pool: str
    """Target pool."""


def divide_hosts(needs: dict[str, PoolNeed], total: int) -> dict[str, int]:
    """Divide hosts among pools: first for their present demand, then for their further needs.

    Args:
        needs: What the pools need.
        total: Number of available hosts.

    Returns:
        Hosts of each pool; the remaining hosts can be powered off.
    """
    base = {name: max(1, ceil(need.demand)) for name, need in needs.items()}
    if sum(base.values()) > total:
        return _divide_proportionally(base, total)
    extra = {name: max(0, need.wanted - base[name]) for name, need in needs.items()}
    remaining = total - sum(base.values())
    if sum(extra.values()) > remaining:
        extra = _divide_proportionally(extra, remaining)
    return {name: base[name] + extra[name] for name in needs}


def count_available(views: dict[str, HostView]) -> int:
    """Count hosts that can serve soon: not down, in maintenance, or in a drained zone."""
    return sum(
        1
        for view in views.values()
        if view.info.state not in {"down", "upkeep"}
        and not (view.plan and view.plan.wave)
        and not view.drained
    )


def _divide_proportionally(requests: dict[str, int], total: int) -> dict[str, int]:
    """Divide a total in proportion to requests, by the largest remainder method."""
    requested_total = sum(requests.values())
    if not requested_total:
        return dict.fromkeys(requests, 0)
    exact = {name: request * total / requested_total for name, request in requests.items()}
    shares = {name: int(share) for name, share in exact.items()}
    by_remainder = sorted(requests, key=lambda name: (shares[name] - exact[name], name))
    for name in by_remainder[: total - sum(shares.values())]:
        shares[name] += 1
    return shares


def choose_moves(
    needs: dict[str, PoolNeed],
    views: dict[str, HostView],
    reserve: str,
    now: float,
    excluded: frozenset[str] = frozenset(),
    max_power_offs: int = 1_000_000,
    requirements: Sequence[HostRequirement] = (),
    reservation: HostReservation | None = None,
    *,
    spread_zones: bool = False,
) -> list[HostMove]:
    """Choose hosts to move: into pools that have too few, out of pools that have too many.

    Hosts that particular tasks require are moved first, and are not moved out of their pools.

    Args:
        needs: What the pools need.
        views: All hosts.
        reserve: Name of the pool of powered-off hosts; empty if there is none.
        now: Monotonic time, seconds.
        excluded: Hosts that may not be ordered yet; if they were planned, they would only be idle.
        max_power_offs: Maximum number of hosts that may be powered off now.
        requirements: Hosts that particular tasks require.
        reservation: Reservation of hosts for a step that waits, if there is one.
        spread_zones: Whether each pool's hosts are spread over zones, to tolerate the loss of a
            zone.
    """
    targets = divide_hosts(needs, count_available(views))
    have = {name: need.have for name, need in needs.items()}
    moves = _choose_reserved_hosts(reservation, have, views, excluded)
    excluded = excluded | reservation.hosts if reservation is not None else excluded
    movable = MovableHosts(
        views,
        reserve,
        excluded,
        now,
        list_retained_hosts(requirements, views, now),
        spread_zones=spread_zones,
    )
    moves += _choose_required_hosts(requirements, targets, have, movable, views, now)
    short_pools = sorted(
        (name for name in needs if have[name] < targets[name]),
        # Pools without any host come first, as their tasks cannot run at all.
        key=lambda name: (have[name] > 0, have[name] - targets[name], name),
    )
    for name in short_pools:
        while have[name] < targets[name]:
            view = movable.take_powered_off(name) or movable.take_powering_off(name)
            if view is None:
                view = _take_surplus(targets, have, movable)
            if view is None and have[name] == 0:
                view = _take_surplus(dict.fromkeys(targets, 1), have, movable)
            if view is None:
                break
            have[name] += 1
            if view.pool in have and view.plan is None:
                have[view.pool] -= 1
            moves.append(HostMove(view.info.name, name))
    power_offs: list[HostMove] = []
    for name in needs if reserve else ():
        while have[name] > targets[name] and len(power_offs) < max_power_offs:
            view = movable.take_serving(name, idle=True)
            if view is None:
                break
            have[name] -= 1
            power_offs.append(HostMove(view.info.name, reserve))
    return moves + power_offs


def _choose_reserved_hosts(
    reservation: HostReservation | None,
    have: dict[str, int],
    views: dict[str, HostView],
    excluded: frozenset[str],
) -> list[HostMove]:
    """Choose moves of the reserved hosts that are not in the pool of the reservation yet."""
    moves: list[HostMove] = []
    for name in sorted(reservation.hosts - excluded) if reservation is not None else ():
        view = views[name]
        pool = view.pool if view.plan is None else view.plan.pool
        if (
            reservation is None
            or pool == reservation.pool
            or (view.plan and view.plan.state != "emptying")
        ):
            continue
        if reservation.pool in have:
            have[reservation.pool] += 1
        if pool in have:
            have[pool] -= 1
        moves.append(HostMove(name, reservation.pool))
    return moves


def _choose_required_hosts(
    requirements: Sequence[HostRequirement],
    targets: dict[str, int],
    have: dict[str, int],
    movable: MovableHosts,
    views: dict[str, HostView],
    now: float,
) -> list[HostMove]:
    """Choose hosts for waiting tasks that not every host can run.

    The first such host of a pool is taken from any pool, and so is one more for tasks that have
    waited for `FORCED_MOVE_AFTER_S`; further hosts come only from pools that do not need them.
    """
    moves: list[HostMove] = []
    for requirement in requirements:
        if requirement.waited_s < 0 or requirement.pool not in have:
            continue
        arriving = [move for move in moves if move.pool == requirement.pool]
        matching = count_matching_hosts(requirement, views.values(), now)
        matching += sum(requirement.is_satisfied_by(views[move.host]) for move in arriving)
        force_one = (
            requirement.waited_s > FORCED_MOVE_AFTER_S
            and not arriving
            and not has_host_in_transit(requirement, views.values())
        )
        while matching < requirement.hosts or force_one:
            surplus_pools = {name for name in have if have[name] > targets[name]}
            view = movable.take_matching(
                requirement, surplus_pools, forced=matching == 0 or force_one
            )
            force_one = False
            if view is None:
                break
            matching += 1
            have[requirement.pool] += 1
            if view.pool in have and view.plan is None:
                have[view.pool] -= 1
            moves.append(HostMove(view.info.name, requirement.pool))
    return moves


def _take_surplus(
    targets: dict[str, int], have: dict[str, int], movable: MovableHosts
) -> HostView | None:
    """Take a host of a pool with a surplus: an idle one if there is any, otherwise the least busy.

    Pools with a larger surplus are tried first. An idle host can be ordered at once, a busy one
    only when its tasks have ended, 1 to 3 s later.
    """
    names = sorted(targets, key=lambda name: (targets[name] - have[name], name))
    surplus_pools = [name for name in names if have[name] > targets[name]]
    for idle in (True, False):
        for name in surplus_pools:
            view = movable.take_serving(name, idle=idle)
            if view is not None:
                return view
    return None


def choose_cancelled_moves(
    needs: dict[str, PoolNeed],
    views: dict[str, HostView],
    reserve: str,
    now: float,
    requirements: Sequence[HostRequirement] = (),
    reservation: HostReservation | None = None,
) -> list[str]:
    """Return the names of hosts whose planned move is no longer needed."""
    retained = list_retained_hosts(requirements, views, now)
    retained = retained | reservation.hosts if reservation is not None else retained
    targets = divide_hosts(needs, count_available(views))
    have = {name: need.have for name, need in needs.items()}
    cancelled: list[str] = []
    for name, view in views.items():
        plan = view.plan
        if plan is None or plan.wave or plan.state != "emptying" or name in retained:
            continue
        if view.drained:
            # The host counts for no pool and could not serve another; it may only be powered off.
            if plan.pool != reserve:
                cancelled.append(name)
            continue
        if plan.pool == reserve:
            unneeded = view.pool in have and have[view.pool] < targets[view.pool]
        else:
            unneeded = have.get(plan.pool, 0) > targets.get(plan.pool, 0)
        if unneeded:
            cancelled.append(name)
            if plan.pool in have:
                have[plan.pool] -= 1
            if view.pool in have:
                have[view.pool] += 1
    return cancelled
