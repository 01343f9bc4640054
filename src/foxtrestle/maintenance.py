"""Planning of maintenance: the number of spare hosts, and the hosts that a wave takes down next.

A host may be taken down if its pool would still survive the loss of its largest failure domain.
Where a pool cannot release a host, a spare host may replace it first (a swap, which counts as one
move).
"""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.assignment import Move, choose_spare_host, swap_hosts
from foxtrestle.fleet import SPARE

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from foxtrestle.declaration import Pool, Weights
    from foxtrestle.fleet import Fleet

MAX_EXCHANGES: Final = 300
"""Maximum number of exchanges through a third pool that are tried in one round."""
MAX_SPARE_HOSTS: Final = 64
"""Maximum number of spare hosts of one shape that the choice of spare hosts considers."""


class _Exchange(msgspec.Struct, frozen=True):
    """Exchange in which a third pool takes a spare host and releases one of its own to a pool."""

    host: str
    pool: str
    substitute: str
    third_pool: str
    released_host: str


class WaveLoad(msgspec.Struct, frozen=True):
    """Work of a wave in one pool."""

    hosts: int
    """Number of hosts to maintain."""
    parallel: int
    """Number of hosts that may be down at once without a swap."""


class SpareChoice(msgspec.Struct, frozen=True):
    """Number of hosts to hold spare, and the swaps and batches of waves that use them."""

    spare: int
    """Number of hosts kept out of pools."""
    eager: bool
    """Whether waves swap to finish sooner, and not only where a pool can release no host at all."""
    batches: int
    """Minimum number of batches of a wave over the whole fleet."""
    moves: int
    """Number of swaps of such a wave."""


class WaveStart(msgspec.Struct, frozen=True):
    """Hosts to take down now, with the swaps to make first."""

    hosts: list[str]
    """Hosts to drain."""
    moves: list[Move]
    """Swaps to make before draining, in order."""


def compute_parallelism(pool: Pool, target: int, domains: int) -> int:
    """Compute how many hosts of a full pool may be down at once while its budget stays safe.

    Args:
        pool: The pool.
        target: Number of hosts up when the pool is full.
        domains: Number of racks or zones (whichever `survive` names) over which they are spread.

    Returns:
        The number of hosts; 0 if the maintenance of each host needs a swap.
    """
    if pool.min_available == 0:
        return target
    for down in range(target, -1, -1):
        up = target - down
        worst = min(1, up) if pool.survive == "host" else -(-up // max(1, domains))
        if up - worst >= pool.min_available:
            return down
    return 0


def compute_batches(loads: Iterable[WaveLoad], spare: int) -> int | None:
    """Compute the minimum number of batches in which the loads and spare hosts can be maintained.

    In `t` batches a pool maintains at most `t * parallel` of its hosts without swaps; each other
    host occupies a spare host for one batch, and so does the maintenance of each spare host.

    Returns:
        The minimum number of batches, or None if no number is enough (a pool needs swaps and there
        is no spare host).
    """
    groups = loads if isinstance(loads, Counter) else Counter(loads)
    total = sum(load.hosts * number for load, number in groups.items()) + spare
    if total == 0:
        return 0
    low, high = 1, total
    if _count_swaps(groups, high) + spare > high * spare:
        return None
    while low < high:
        middle = (low + high) // 2
        if _count_swaps(groups, middle) + spare <= middle * spare:
            high = middle
        else:
            low = middle + 1
    return low


def choose_spare_count(loads: list[WaveLoad], weights: Weights, *, max_spare: int) -> SpareChoice:
    """Choose the number of spare hosts that costs least by the deployment's weights.

    Args:
        loads: Work of a wave in each pool.
        weights: Cost weights of the deployment.
        max_spare: Maximum number of spare hosts.

    Returns:
        The choice of least cost; if none is feasible, all hosts that can be spare.
    """
    best: tuple[float, SpareChoice] | None = None
    groups = Counter(loads)
    for spare in range(min(MAX_SPARE_HOSTS, max(0, max_spare)) + 1):
        for eager in (False, True):
            choice = _evaluate_choice(groups, spare, eager=eager)
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
        return SpareChoice(max_spare, True, 0, 0)
    return best[1]


def choose_hosts(
    fleet: Fleet,
    pending: Iterable[str],
    maintained: frozenset[str],
    *,
    eager: frozenset[str],
    limit: int = 1_000_000,
) -> WaveStart:
    """Choose the hosts of a wave to take down now, whole racks together where that is safe.

    Args:
        fleet: The fleet; swaps and drains are applied to it.
        pending: Hosts not yet maintained.
        maintained: Hosts already maintained, preferred as substitutes.
        eager: Pools in which to swap to finish sooner, and not only if they can release no host.
        limit: Maximum number of hosts to start.

    Returns:
        The hosts to drain and the swaps to make first.
    """
    hosts: list[str] = []
    moves: list[Move] = []
    waiting = frozenset(pending)
    for rack in _order_racks(fleet, waiting, _list_swappable(fleet, eager)):
        swap_candidates: list[str] = []
        for name in rack:
            if len(hosts) < limit and _may_start(fleet, name):
                fleet.set_state(name, "draining")
                hosts.append(name)
            else:
                swap_candidates.append(name)
        for name in swap_candidates:
            if len(hosts) >= limit or not fleet.spare_up_count:
                break
            swap = _swap_host(fleet, name, maintained, waiting, eager)
            if swap is not None:
                moves.extend(swap)
                fleet.set_state(name, "draining")
                hosts.append(name)
    return WaveStart(hosts, moves)


def start_by_exchange(fleet: Fleet, pending: Iterable[str]) -> WaveStart:
    """Start one host of a wave for which `choose_hosts` finds none, through a third pool.

    If all spare hosts are in domains that the host's pool already fills, a third pool takes a spare
    host and releases one of its own hosts that is in a more suitable domain.
    """
    waiting = frozenset(pending)
    for exchange in itertools.islice(_list_exchanges(fleet, waiting), MAX_EXCHANGES):
        moves = _try_exchange(fleet, exchange)
        if moves:
            fleet.set_state(exchange.host, "draining")
            return WaveStart([exchange.host], moves)
    return WaveStart([], [])


def _count_swaps(groups: Counter[WaveLoad], batches: int) -> int:
    return sum(
        number * max(0, load.hosts - batches * load.parallel) for load, number in groups.items()
    )


def _evaluate_choice(groups: Counter[WaveLoad], spare: int, *, eager: bool) -> SpareChoice | None:
    if eager:
        batches = compute_batches(groups, spare)
        if batches is None:
            return None
        return SpareChoice(spare, True, batches, _count_swaps(groups, batches))
    unswapped = [load for load in groups if load.parallel]
    swapped = Counter({load: number for load, number in groups.items() if not load.parallel})
    batches = compute_batches(swapped, spare)
    if batches is None:
        return None
    longest = max((-(-load.hosts // load.parallel) for load in unswapped), default=0)
    swaps = _count_swaps(swapped, 0)
    return SpareChoice(spare, False, max(batches, longest), swaps)


def _order_racks(fleet: Fleet, waiting: frozenset[str], swappable: set[str]) -> list[list[str]]:
    """Group the waiting hosts that are up by rack.

    Racks with the most spare hosts come first, then those with the most hosts.

    Hosts of pools that can neither release nor swap a host are left out, so that the cost depends
    on the pools that can and not on the size of the fleet.
    """
    eligible_pools = {
        name for name in fleet.pools if name in swappable or fleet.can_release_host(name)
    }
    eligible_pools.add(SPARE)
    racks: dict[str, list[str]] = {}
    for name in waiting:
        if fleet.pool_of.get(name) in eligible_pools and fleet.states[name] == "up":
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


def _list_swappable(fleet: Fleet, eager: frozenset[str]) -> set[str]:
    """List the pools that may swap now: eager ones, and others without a host in maintenance."""
    if not fleet.spare_up_count:
        return set()
    return {
        name for name, count in fleet.counts.items() if name in eager or not count.in_maintenance
    }


def _may_start(fleet: Fleet, name: str) -> bool:
    pool = fleet.pool_of[name]
    if pool == SPARE:
        return True
    return fleet.slack_without(pool, name) >= 0


def _swap_host(
    fleet: Fleet,
    name: str,
    maintained: frozenset[str],
    waiting: frozenset[str],
    eager: frozenset[str],
) -> list[Move] | None:
    """Replace a host by a spare one, if one fits and the pool's budget is safe without the host."""
    pool = fleet.pool_of[name]
    if pool == SPARE:
        return None
    if pool not in eager and fleet.counts[pool].in_maintenance:
        # The pool releases hosts without swaps; the next one can start once these have returned.
        return None
    substitute = choose_spare_host(fleet, pool, leaving=name, prefer=maintained)
    if substitute is None or substitute in waiting:
        return None
    return swap_hosts(fleet, pool, substitute, name)


def _list_exchanges(fleet: Fleet, waiting: frozenset[str]) -> Iterator[_Exchange]:
    """Iterate over the possible exchanges that release a waiting host through a third pool."""
    spare = sorted(set(fleet.spare_hosts()) - waiting)
    for name in sorted(waiting):
        pool = fleet.pool_of.get(name, SPARE)
        if pool == SPARE or fleet.states[name] != "up":
            continue
        for substitute in spare:
            shape = fleet.hosts[substitute].shape
            for third_pool in fleet.pools_by_level():
                if third_pool == pool or not shape.fits(fleet.pools[third_pool]):
                    continue
                for released_host in sorted(fleet.counts[third_pool].members):
                    yield _Exchange(name, pool, substitute, third_pool, released_host)


def _try_exchange(fleet: Fleet, exchange: _Exchange) -> list[Move]:
    """Carry out an exchange if the budgets of both pools stay safe; otherwise change nothing."""
    pool, third_pool, released_host = exchange.pool, exchange.third_pool, exchange.released_host
    shape = fleet.hosts[released_host].shape
    fits = shape.fits(fleet.pools[pool]) and shape <= fleet.hosts[exchange.host].shape
    if fleet.states[released_host] != "up" or not fits:
        return []
    if fleet.hosts[exchange.substitute].shape > shape:
        return []
    fleet.move(exchange.substitute, third_pool)
    if fleet.slack_without(third_pool, released_host) >= 0:
        fleet.move(released_host, pool)
        if fleet.slack_without(pool, exchange.host) >= 0:
            fleet.move(exchange.host, SPARE)
            return [
                Move(exchange.substitute, SPARE, third_pool, "swap"),
                Move(released_host, third_pool, pool, "swap"),
                Move(exchange.host, pool, SPARE, "swap"),
            ]
        fleet.move(released_host, third_pool)
    fleet.move(exchange.substitute, SPARE)
    return []
