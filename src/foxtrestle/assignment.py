"""Assignment of hosts to pools: fills pools that are short, by priority, with the fewest moves.

The functions depend only on the `Fleet` that they are given; they return decisions and apply them
to it, so that the daemon, the `plan` command and the benches share the code.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import msgspec

from foxtrestle.fleet import SPARE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.declaration import Pool
    from foxtrestle.fleet import Fleet, Shape

MoveCause = Literal["fill", "budget", "priority", "surplus", "replaced", "swap", "unwanted"]


class Move(msgspec.Struct, frozen=True):
    """Move of one host to another pool or to the spare hosts."""

    host: str
    """Name of the host."""
    source: str
    """Pool that the host leaves; empty if the host was spare."""
    target: str
    """Pool that the host joins; empty if the host becomes spare."""
    cause: MoveCause
    """Reason of the move."""


class Shortage(msgspec.Struct, frozen=True):
    """Pool that has fewer hosts than it should have, with the reason."""

    pool: str
    """Name of the pool."""
    hosts: int
    """Number of missing hosts."""
    reason: str
    """Reason of the shortage, shown to the pool's team."""


class Assignment(msgspec.Struct, frozen=True):
    """Outcome of one round of assignment."""

    moves: list[Move]
    """Moves, in the order in which they must be made."""
    shortages: list[Shortage]
    """Pools that remain short of hosts."""


def compute_target(pool: Pool, domains: int) -> int:
    """Compute how many hosts a pool must have up to survive the loss of its largest domain.

    Args:
        pool: The pool.
        domains: Number of racks or zones (whichever `survive` names) that its hosts may be in.

    Returns:
        The smallest number, at least `pool.hosts`, that leaves `pool.min_available` hosts up after
        the loss.
    """
    if pool.min_available == 0:
        return pool.hosts
    if pool.survive == "host":
        return max(pool.hosts, pool.min_available + 1)
    if domains <= 1:
        return pool.hosts
    number = max(pool.hosts, pool.min_available)
    while number - -(-number // domains) < pool.min_available:
        number += 1
    return number


def count_domains(fleet: Fleet) -> dict[str, int]:
    """Count for each pool the racks or zones that contain hosts that fit the pool."""
    racks: dict[Shape, set[str]] = {}
    for host in fleet.hosts.values():
        racks.setdefault(host.shape, set()).add(host.rack)
    counts = {}
    for name, pool in fleet.pools.items():
        fitting = {rack for shape in racks if shape.fits(pool) for rack in racks[shape]}
        zones = {fleet.rack_zones[rack] for rack in fitting}
        counts[name] = len(zones if pool.survive == "zone" else fitting)
    return counts


def compute_targets(fleet: Fleet) -> dict[str, int]:
    """Compute the target of every pool of a fleet from the domains that its hosts may be in."""
    domains = count_domains(fleet)
    return {name: compute_target(pool, domains[name]) for name, pool in fleet.pools.items()}


def find_shape(pool: Pool, shapes: Iterable[Shape]) -> Shape | None:
    """Return the smallest of the given shapes that fits a pool; its hosts fill the pool first."""
    return min((shape for shape in shapes if shape.fits(pool)), default=None)


def assign(
    fleet: Fleet,
    targets: dict[str, int],
    pool_names: Iterable[str],
    replaceable: frozenset[str],
    surplus_pools: frozenset[str] = frozenset(),
) -> Assignment:
    """Bring the given pools to their targets as far as hosts and priorities allow.

    Args:
        fleet: The fleet; the moves are applied to it.
        targets: Number of hosts that each pool should have.
        pool_names: Pools to process; pools that lose hosts to them are processed too.
        replaceable: Hosts to replace, which are leaving or have been lost for too long.
        surplus_pools: Pools whose surplus over their target has lasted long enough to be released.

    Returns:
        The moves made and the pools that remain short.
    """
    moves: list[Move] = []
    shortages: list[Shortage] = []
    queue = sorted(set(pool_names), key=lambda name: (-fleet.level(name), name))
    seen: set[str] = set()
    while queue:
        pool = queue.pop(0)
        if pool in seen:
            continue
        seen.add(pool)
        moves.extend(_release_replaced(fleet, pool, replaceable))
        made, shortage = _fill(fleet, pool, targets)
        moves.extend(made)
        moves.extend(_swap_oversized(fleet, pool))
        if pool in surplus_pools:
            moves.extend(_release_surplus(fleet, pool, targets[pool]))
        source_pools = {move.source for move in made if move.source != SPARE}
        queue.extend(sorted(source_pools - seen, key=lambda name: (-fleet.level(name), name)))
        if shortage:
            shortages.append(shortage)
    return Assignment(moves, shortages)


def _release_replaced(fleet: Fleet, pool: str, replaceable: frozenset[str]) -> list[Move]:
    """Remove quarantined and replaceable hosts from a pool, which can then be filled again."""
    removed = sorted(
        name
        for name in fleet.counts[pool].members
        if fleet.states[name] == "quarantined" or name in replaceable
    )
    for name in removed:
        fleet.move(name, SPARE)
    return [Move(name, pool, SPARE, "replaced") for name in removed]


def _count_lacking(fleet: Fleet, pool: str, target: int) -> int:
    """Count the hosts that a pool lacks; hosts absent for a short time count as members."""
    count = fleet.counts[pool]
    return target - len(count.members)


def _fill(fleet: Fleet, pool: str, targets: dict[str, int]) -> tuple[list[Move], Shortage | None]:
    moves: list[Move] = []
    limit = 2 * targets[pool] + 8
    while len(moves) < limit:
        at_risk = fleet.slack(pool) < 0
        lacking = _count_lacking(fleet, pool, targets[pool])
        if lacking <= 0 and not at_risk:
            return moves, None
        move = _choose_spare_move(fleet, pool)
        if move is None:
            move = _choose_surplus_move(fleet, pool, targets)
        if move is None:
            move = _choose_lower_level_move(fleet, pool, targets, at_risk=at_risk)
        if move is None:
            return moves, _explain_shortage(fleet, pool, max(lacking, 1))
        if lacking <= 0 and not _adds_slack(fleet, pool, move):
            return moves, _explain_shortage(fleet, pool, 1)
        fleet.move(move.host, pool)
        moves.append(move)
    return moves, _explain_shortage(fleet, pool, 1)


def _adds_slack(fleet: Fleet, pool: str, move: Move) -> bool:
    """Return whether a move would add slack: its host must not be in the pool's largest domain."""
    host, count = fleet.hosts[move.host], fleet.counts[pool]
    survive = fleet.pools[pool].survive
    if survive == "host":
        return True
    if survive == "rack":
        return count.racks[host.rack] < fleet.count_worst_loss(pool)
    return count.zones[host.zone] < fleet.count_worst_loss(pool)


def choose_spare_host(
    fleet: Fleet,
    pool: str,
    *,
    leaving: str = "",
    prefer: frozenset[str] = frozenset(),
) -> str | None:
    """Choose the most suitable spare host for a pool.

    The smallest shape that fits is tried first. Within a shape, the host that best keeps the pool
    spread over its failure domains is chosen, from the rack with the most spare hosts.

    Args:
        fleet: The fleet.
        pool: The pool.
        leaving: Member that is about to leave the pool and is no longer counted; its substitute has
            no larger shape, so that swaps take no accelerators that other pools need.
        prefer: Hosts to choose before others of equal spread.

    Returns:
        Name of the host, or None if no spare host fits.
    """
    wanted, count = fleet.pools[pool], fleet.counts[pool]
    by_zone = wanted.survive == "zone"
    leaving_host = fleet.hosts[leaving] if leaving else None
    for shape in _list_spare_shapes(fleet, wanted):
        if leaving_host is not None and shape > leaving_host.shape:
            break
        best: tuple[int, int, int, int, str] | None = None
        chosen = None
        for rack, names in fleet.spare[shape].items():
            in_rack = count.racks[rack] - (leaving_host is not None and leaving_host.rack == rack)
            zone = fleet.rack_zones[rack]
            in_zone = count.zones[zone] - (leaving_host is not None and leaving_host.zone == zone)
            in_zone = in_zone if by_zone else 0
            name = min(names, key=lambda item: (item not in prefer, item))
            key = (in_zone, in_rack, int(name not in prefer), -len(names), name)
            if best is None or key < best:
                best, chosen = key, name
        if chosen is not None:
            return chosen
    return None


def _list_spare_shapes(fleet: Fleet, pool: Pool) -> list[Shape]:
    return sorted(shape for shape, racks in fleet.spare.items() if racks and shape.fits(pool))


def _choose_spare_move(fleet: Fleet, pool: str) -> Move | None:
    host = choose_spare_host(fleet, pool)
    if host is None:
        return None
    return Move(host, SPARE, pool, "budget" if fleet.slack(pool) < 0 else "fill")


def _choose_surplus_move(fleet: Fleet, pool: str, targets: dict[str, int]) -> Move | None:
    """Choose a host from a pool of any level whose number of hosts exceeds its target."""
    for name in fleet.pools_by_level():
        if name == pool or len(fleet.counts[name].members) <= targets[name]:
            continue
        host = _choose_donor_host(fleet, name, pool)
        if host is not None and fleet.slack_without(name, host) >= 0:
            return Move(host, name, pool, "surplus")
    return None


def _choose_lower_level_move(
    fleet: Fleet, pool: str, targets: dict[str, int], *, at_risk: bool
) -> Move | None:
    """Choose a host of the pool of the lowest level that can release one.

    A pool whose budget is broken may take any host of a pool of a lower level. A pool whose budget
    holds, but would not survive the loss of a domain, takes no host whose removal would break the
    lower pool's budget immediately. Any other pool takes only hosts without which the lower pool's
    budget would still survive the loss of a domain.
    """
    level, broken = fleet.level(pool), fleet.count_missing(pool) > 0
    for donor in fleet.pools_by_level():
        if fleet.level(donor) >= level:
            return None
        host = _choose_donor_host(fleet, donor, pool)
        if host is None:
            continue
        stays_safe = fleet.slack_without(donor, host) >= 0
        stays_in_budget = fleet.counts[donor].up - 1 >= fleet.pools[donor].min_available
        if broken or stays_safe or (at_risk and stays_in_budget):
            return Move(host, donor, pool, "priority")
    return None


def _choose_donor_host(fleet: Fleet, donor: str, pool: str) -> str | None:
    """Choose the host whose removal affects the donor least: from its most crowded domain."""
    wanted, donor_count, receiver_count = fleet.pools[pool], fleet.counts[donor], fleet.counts[pool]
    fitting = [
        host
        for host in (fleet.hosts[name] for name in donor_count.members)
        if fleet.states[host.name] == "up" and host.shape.fits(wanted)
    ]
    if not fitting:
        return None
    best = min(
        fitting,
        key=lambda host: (
            receiver_count.racks[host.rack],
            -donor_count.racks[host.rack],
            host.shape,
            host.name,
        ),
    )
    return best.name


def _release_surplus(fleet: Fleet, pool: str, target: int) -> list[Move]:
    """Make the hosts of a pool beyond its target spare, most crowded rack first."""
    moves: list[Move] = []
    count = fleet.counts[pool]
    while len(count.members) > target:
        up = [name for name in count.members if fleet.states[name] == "up"]
        if not up:
            break
        host = max(up, key=lambda name: (count.racks[fleet.hosts[name].rack], name))
        if fleet.slack_without(pool, host) < 0:
            break
        fleet.move(host, SPARE)
        moves.append(Move(host, pool, SPARE, "surplus"))
    return moves


def list_oversized(fleet: Fleet, pool: str) -> list[str]:
    """List the members of a pool that are up and larger than the smallest shape that fits it."""
    shape = find_shape(fleet.pools[pool], fleet.usable_by_shape)
    return sorted(
        name
        for name in fleet.counts[pool].members
        if shape is not None and fleet.states[name] == "up" and fleet.hosts[name].shape > shape
    )


def _swap_oversized(fleet: Fleet, pool: str) -> list[Move]:
    """Swap hosts of a scarcer shape for spare hosts of a smaller shape that fits as well."""
    moves: list[Move] = []
    for name in list_oversized(fleet, pool):
        host = choose_spare_host(fleet, pool, leaving=name)
        if host is None or fleet.hosts[host].shape >= fleet.hosts[name].shape:
            break
        swap = swap_hosts(fleet, pool, host, name)
        if swap is None:
            break
        moves += swap
    return moves


def swap_hosts(fleet: Fleet, pool: str, substitute: str, name: str) -> list[Move] | None:
    """Replace a member that is up by a spare host, if the pool's budget is safe without the member.

    Returns:
        The two moves, or None if the fleet is left unchanged.
    """
    fleet.move(substitute, pool)
    if fleet.slack_without(pool, name) < 0:
        fleet.move(substitute, SPARE)
        return None
    fleet.move(name, SPARE)
    return [Move(substitute, SPARE, pool, "swap"), Move(name, pool, SPARE, "swap")]


def _explain_shortage(fleet: Fleet, pool: str, lacking: int) -> Shortage:
    wanted, level = fleet.pools[pool], fleet.level(pool)
    fitting = [host for host in fleet.hosts.values() if host.shape.fits(wanted)]
    if not fitting:
        reason = (
            f"no host of the fleet has {wanted.min_cores} cores, {wanted.min_memory_gb} GB and "
            f"{wanted.min_accelerators} accelerators"
        )
        return Shortage(pool, lacking, reason)
    holders: dict[str, int] = {}
    not_up = 0
    for host in fitting:
        owner = fleet.pool_of[host.name]
        if fleet.states[host.name] != "up":
            not_up += 1
        elif owner not in (SPARE, pool):
            holders[owner] = holders.get(owner, 0) + 1
    higher = sum(number for name, number in holders.items() if fleet.level(name) >= level)
    lower = sum(holders.values()) - higher
    reason = (
        f"of {len(fitting)} hosts that fit, {higher} are kept by pools of level {level} or above, "
        f"{lower} by lower pools that have none beyond their budgets, {not_up} are not up"
    )
    return Shortage(pool, lacking, reason)
