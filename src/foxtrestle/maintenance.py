"""When each host is maintained: how many spare hosts pay off, and which hosts start next.

A host may be taken down if its pool would still survive the loss of its worst failure domain.
Where a pool cannot give a host, a spare one may take its place first (a swap, one move).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from foxtrestle.assignment import Move, choose_spare_host
from foxtrestle.fleet import SPARE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.declaration import Pool, Weights
    from foxtrestle.fleet import Fleet


class WaveLoad(msgspec.Struct, frozen=True):
    """One pool as a wave sees it."""

    hosts: int
    """Hosts to maintain."""
    parallel: int
    """Hosts that may be down at once without a swap."""


class SpareChoice(msgspec.Struct, frozen=True):
    """How many hosts to hold spare, and how waves use them."""

    spare: int
    """Hosts held out of pools."""
    eager: bool
    """Whether waves swap for speed, or only where a pool can give no host at all."""
    batches: int
    """Batches that a wave over the whole fleet takes at best."""
    moves: int
    """Swaps that such a wave makes."""


class WaveStart(msgspec.Struct, frozen=True):
    """Hosts to take down now."""

    hosts: list[str]
    """Hosts to drain."""
    moves: list[Move]
    """Swaps to make before draining, in order."""


def compute_parallel(pool: Pool, target: int, domains: int) -> int:
    """Compute how many hosts of a full pool may be down at once and keep its budget safe.

    Args:
        pool: The pool.
        target: Hosts the pool has up when full.
        domains: Racks or zones (whichever `survive` names) over which they are spread.

    Returns:
        Number of hosts, 0 if every maintenance needs a swap.
    """
    if pool.floor == 0:
        return target
    for down in range(target, -1, -1):
        up = target - down
        worst = min(1, up) if pool.survive == "host" else -(-up // max(1, domains))
        if up - worst >= pool.floor:
            return down
    return 0


def compute_batches(loads: Iterable[WaveLoad], spare: int) -> int | None:
    """Compute the least batches in which any schedule can maintain the loads and the spare hosts.

    In `t` batches a pool maintains at most `t * parallel` of its hosts by itself; the rest need
    a spare host for one batch each, and so does each spare host's own maintenance.

    Returns:
        The least number of batches, or None if there is none (no spare and a pool needs swaps).
    """
    loads = list(loads)
    total = sum(load.hosts for load in loads) + spare
    if total == 0:
        return 0
    low, high = 1, total
    if _swaps_needed(loads, high) + spare > high * spare:
        return None
    while low < high:
        middle = (low + high) // 2
        if _swaps_needed(loads, middle) + spare <= middle * spare:
            high = middle
        else:
            low = middle + 1
    return low


def choose_spare(
    loads: list[WaveLoad], weights: Weights, *, most: int, down: int = 0
) -> SpareChoice:
    """Choose the number of spare hosts by the deployment's weights.

    Args:
        loads: The pools.
        weights: What the deployment cares about.
        most: Most hosts that can be spare.
        down: Spare hosts that stand in for failed ones on an ordinary day.

    Returns:
        The cheapest choice; without any feasible one, all that can be spare.
    """
    best: tuple[float, SpareChoice] | None = None
    for lendable in range(max(0, most - down) + 1):
        for eager in (False, True):
            choice = _evaluate(loads, lendable, down, eager=eager)
            if choice is None:
                continue
            cost = (
                weights.buffer * choice.spare
                + weights.rollout * choice.batches
                + weights.moves * choice.moves
            )
            if best is None or cost < best[0]:
                best = (cost, choice)
    if best is None:
        return SpareChoice(most, True, 0, 0)
    return best[1]


def choose_hosts(
    fleet: Fleet,
    pending: Iterable[str],
    maintained: frozenset[str],
    *,
    eager: bool,
    keep: int = 0,
    limit: int = 1_000_000,
) -> WaveStart:
    """Choose the hosts of a wave to take down now, whole racks together where that is safe.

    Args:
        fleet: The fleet; swaps and drains are applied to it.
        pending: Hosts not yet maintained.
        maintained: Hosts already maintained, taken first as stand-ins.
        eager: Whether to swap for speed.
        keep: Spare hosts that must stay up.
        limit: Most hosts to start.

    Returns:
        Hosts to drain and the swaps that go before.
    """
    hosts: list[str] = []
    moves: list[Move] = []
    waiting = frozenset(pending)
    for rack in _order_racks(fleet, waiting):
        later: list[str] = []
        for name in rack:
            if len(hosts) >= limit:
                return WaveStart(hosts, moves)
            if _may_start(fleet, name, keep):
                fleet.set_state(name, "draining")
                hosts.append(name)
            else:
                later.append(name)
        for name in later:
            if len(hosts) >= limit:
                break
            move = _swap(fleet, name, maintained, waiting, eager=eager, keep=keep)
            if move is not None:
                moves.extend(move)
                fleet.set_state(name, "draining")
                hosts.append(name)
    return WaveStart(hosts, moves)


def _swaps_needed(loads: Iterable[WaveLoad], batches: int) -> int:
    return sum(max(0, load.hosts - batches * load.parallel) for load in loads)


def _evaluate(
    loads: list[WaveLoad], lendable: int, down: int, *, eager: bool
) -> SpareChoice | None:
    if eager:
        batches = compute_batches(loads, lendable)
        if batches is None:
            return None
        return SpareChoice(lendable + down, True, batches, _swaps_needed(loads, batches))
    alone = [load for load in loads if load.parallel]
    swapped = [load for load in loads if not load.parallel]
    batches = compute_batches(swapped, lendable)
    if batches is None:
        return None
    longest = max((-(-load.hosts // load.parallel) for load in alone), default=0)
    swaps = sum(load.hosts for load in swapped)
    return SpareChoice(lendable + down, False, max(batches, longest), swaps)


def _order_racks(fleet: Fleet, waiting: frozenset[str]) -> list[list[str]]:
    """Group waiting hosts that are up by rack: most startable first, spare hosts before all."""
    racks: dict[str, list[str]] = {}
    for name in sorted(waiting):
        if fleet.states.get(name) == "up":
            racks.setdefault(fleet.hosts[name].rack, []).append(name)
    for names in racks.values():
        names.sort(key=lambda name: (fleet.pool_of[name] != SPARE, name))
    return sorted(
        racks.values(),
        key=lambda names: (
            -sum(fleet.pool_of[name] == SPARE for name in names),
            -len(names),
            names[0],
        ),
    )


def _may_start(fleet: Fleet, name: str, keep: int) -> bool:
    pool = fleet.pool_of[name]
    if pool == SPARE:
        return fleet.spare_up > keep
    return fleet.slack_without(pool, [name]) >= 0


def _swap(
    fleet: Fleet,
    name: str,
    maintained: frozenset[str],
    waiting: frozenset[str],
    *,
    eager: bool,
    keep: int,
) -> list[Move] | None:
    """Put a spare host in a host's place, if one fits and the pool is then safe without it."""
    pool = fleet.pool_of[name]
    if pool == SPARE or fleet.spare_up <= keep:
        return None
    if not eager and _gives_by_itself(fleet, pool):
        return None
    rack = fleet.hosts[name].rack
    stand_in = choose_spare_host(fleet, pool, avoid_racks=frozenset([rack]), prefer=maintained)
    if stand_in is None or stand_in in waiting:
        return None
    fleet.move(stand_in, pool)
    if fleet.slack_without(pool, [name]) < 0:
        fleet.move(stand_in, SPARE)
        return None
    fleet.move(name, SPARE)
    return [Move(stand_in, SPARE, pool, "swap"), Move(name, pool, SPARE, "swap")]


def _gives_by_itself(fleet: Fleet, pool: str) -> bool:
    """Tell whether a pool can maintain a host without a swap once its others are back."""
    count = fleet.counts[pool]
    if count.returning:
        return True
    domains = count.zones if fleet.pools[pool].survive == "zone" else count.racks
    return compute_parallel(fleet.pools[pool], count.up, max(1, len(domains))) > 0
