"""Pending update of a region's fleet record, in which decisions are made before the commit.

`foxtrestle.observation` applies observed states of hosts and workers, functions here assign hosts
to pools, and `foxtrestle.waves` advances waves. None of them reads a clock or does I/O;
`foxtrestle.fleet_shard` passes them their input and commits the result.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.assignment import (
    Assignment,
    assign,
    compute_target,
    count_domains,
    find_shape,
    list_oversized,
)
from foxtrestle.chart import load_chart
from foxtrestle.fleet import SPARE, Fleet, Host, Shape
from foxtrestle.maintenance import (
    MAX_SPARE_HOSTS,
    SpareChoice,
    WaveLoad,
    choose_spare_count,
    compute_parallelism,
)
from foxtrestle.records import FleetRecord, HostEntry, WaveEntry, replace

if TYPE_CHECKING:
    from collections.abc import Iterator

    from foxtrestle.declaration import Declaration

REPLACE_AFTER_S: Final = 30.0
"""Seconds for which a lost host remains a member of its pool."""
RELEASE_AFTER_S: Final = 600.0
"""Seconds for which a pool keeps surplus hosts, so that a flapping host causes no moves."""


class UpdateEvent(msgspec.Struct, frozen=True):
    """Event of a fleet update, for the timeline."""

    kind: str
    """Kind of event, for example `host.draining`."""
    subject: str
    """Name of the host, pool or wave."""
    detail: str = ""
    """Further details."""


class FleetUpdate:
    """Working copy of one region's fleet record."""

    def __init__(self, region: str, record: FleetRecord, declaration: Declaration) -> None:
        """Create an update of a record under the declaration in force."""
        self.region = region
        """Name of the region."""
        self.record = record
        """Record on which the update is based: the one it was created from, or last committed."""
        self.declaration = declaration
        """Declaration in force."""
        self.entries: dict[str, HostEntry] = dict(record.hosts)
        """Host entries; `to_record` replaces their pools and states by those in `fleet`."""
        self.waves: dict[str, WaveEntry] = dict(record.waves)
        """Wave entries by name."""
        self.moves = record.moves
        """Number of moves of hosts into a pool since the record was first created."""
        self.shortages: dict[str, str] = dict(record.shortages)
        """Pools that are short of hosts, with the reason."""
        self.dirty_pools: set[str] = set()
        """Pools whose hosts have changed since the last assignment."""
        self.events: list[UpdateEvent] = []
        """Events since the last commit."""
        levels = {team.name: team.level for team in declaration.teams}
        pools = [pool for pool in declaration.pools if pool.region == region]
        self.fleet = Fleet(pools, levels)
        for name, entry in record.hosts.items():
            pool = entry.pool if entry.pool in self.fleet.pools else SPARE
            self.fleet.add(_to_host(name, region, entry), entry.state, pool)
        self.surplus_since: dict[str, float] = {}
        """Wall time since which a pool has had more hosts than its target, seconds."""
        self.oversized: set[str] = set()
        """Pools that have hosts of a larger shape than they need."""
        self.assigned_at_change = -1
        """`fleet.change_count` when pools that are short were last processed."""
        self.stalled_at_change: dict[str, int] = {}
        """`fleet.change_count` when a wave was last unable to start any host, by wave."""
        self.targets: dict[str, int] = {}
        """Number of hosts that each pool should have."""
        self._loads: dict[Shape, list[WaveLoad]] = {}
        self._domains: tuple[dict[str, int], frozenset[Shape]] | None = None
        self._targets_by_shape: dict[Shape, int] = {}
        self._membership_change_count = -1
        self._evaluated_choices: dict[Shape, tuple[int, SpareChoice]] = {}
        self.spare = SpareChoice(0, False, 0, 0)
        """Number of spare hosts to hold of all shapes together, and whether waves swap eagerly."""
        self.spare_by_shape: dict[Shape, SpareChoice] = {}
        """The same for each shape."""
        self.eager: frozenset[str] = frozenset()
        """Pools in which waves swap to finish sooner."""
        self._last_surplus: dict[Shape, int] | None = None
        self.refresh_targets()

    def apply_host_event(self, name: str, event: str, now: float, note: str = "") -> None:
        """Apply an event of the state chart to a host and record the transition."""
        state = load_chart("host").apply_event(self.fleet.states[name], event)
        self.fleet.set_state(name, state)  # type: ignore[arg-type]
        self.entries[name] = replace(self.entries[name], state=state, since=now, note=note)
        self.dirty_pools.add(self.fleet.pool_of[name])
        self.events.append(UpdateEvent(f"host.{state}", name, note))

    def to_record(self, holder: str, epoch: int, configuration: int) -> FleetRecord:
        """Build the record, with `sequence` incremented by one."""
        hosts = {
            name: replace(entry, pool=self.fleet.pool_of[name], state=self.fleet.states[name])
            for name, entry in self.entries.items()
        }
        return FleetRecord(
            epoch=epoch,
            holder=holder,
            sequence=self.record.sequence + 1,
            configuration=configuration,
            hosts=hosts,
            waves=self.waves,
            moves=self.moves,
            spare=self.spare.spare,
            shortages=self.shortages,
        )

    def refresh_targets(self) -> None:
        """Recompute targets and spare hosts if the racks or the usable hosts have changed."""
        if self.fleet.membership_change_count != self._membership_change_count:
            self._membership_change_count = self.fleet.membership_change_count
            self._refresh_domains()
        surplus = self._count_surplus()
        if surplus == self._last_surplus:
            return
        self._last_surplus = surplus
        choices = {
            shape: self._choose_for_shape(shape, max_spare) for shape, max_spare in surplus.items()
        }
        self.spare_by_shape = choices
        fixed_spare = self.declaration.spare
        self.spare = SpareChoice(
            sum(choice.spare for choice in choices.values())
            if fixed_spare is None
            else fixed_spare,
            any(choice.eager for choice in choices.values()),
            max((choice.batches for choice in choices.values()), default=0),
            sum(choice.moves for choice in choices.values()),
        )
        self.eager = frozenset(
            name
            for name, pool in self.fleet.pools.items()
            if (shape := find_shape(pool, choices)) is not None and choices[shape].eager
        )

    def _choose_for_shape(self, shape: Shape, max_spare: int) -> SpareChoice:
        """Choose the number of spare hosts of one shape, at most `max_spare`.

        The best choice under a higher maximum is also the best under a lower one that allows it, so
        that it is evaluated again only if needed.
        """
        evaluated_max, choice = self._evaluated_choices.get(shape, (-1, None))
        if choice is None or max_spare > evaluated_max or choice.spare > max_spare:
            choice = choose_spare_count(
                self._loads[shape], self.declaration.weights, max_spare=max_spare
            )
            self._evaluated_choices[shape] = (max_spare, choice)
        return choice

    def _refresh_domains(self) -> None:
        """Recompute targets and wave loads if added or removed hosts have changed the domains."""
        domains = count_domains(self.fleet)
        current = (domains, frozenset(self.fleet.usable_by_shape))
        if current == self._domains:
            return
        self._domains, self._last_surplus = current, None
        self._evaluated_choices = {}
        self.targets = {
            name: compute_target(pool, domains[name]) for name, pool in self.fleet.pools.items()
        }
        self._loads = self._list_loads(domains)
        self._targets_by_shape = dict.fromkeys(self._loads, 0)
        for name, pool in self.fleet.pools.items():
            shape = find_shape(pool, self._loads)
            if shape is not None:
                self._targets_by_shape[shape] += self.targets[name]
        self.dirty_pools.update(self.fleet.pools)

    def _count_surplus(self) -> dict[Shape, int]:
        """Count the usable hosts of each shape beyond the targets of the pools filled with it."""
        return {
            shape: min(max(0, self.fleet.usable_by_shape[shape] - target), MAX_SPARE_HOSTS)
            for shape, target in self._targets_by_shape.items()
        }

    def _list_loads(self, domains: dict[str, int]) -> dict[Shape, list[WaveLoad]]:
        """List the work of a wave over all hosts, by the shape of the hosts."""
        loads: dict[Shape, list[WaveLoad]] = {host.shape: [] for host in self.fleet.hosts.values()}
        for name, pool in self.fleet.pools.items():
            shape = find_shape(pool, loads)
            if shape is not None:
                target = self.targets[name]
                parallel = compute_parallelism(pool, target, domains[name])
                loads[shape].append(WaveLoad(target, parallel))
        return loads


def _to_host(name: str, region: str, entry: HostEntry) -> Host:
    return Host(name, entry.address, entry.rack, entry.zone, region, Shape(*entry.shape))


def assign_dirty_pools(update: FleetUpdate, now: float) -> None:
    """Assign hosts to the pools whose hosts have changed and to those that were short."""
    for _ in assign_in_slices(update, now):
        pass


def assign_in_slices(update: FleetUpdate, now: float) -> Iterator[None]:
    """Do the same as `assign_dirty_pools`, yielding after each pool so that a caller can pause."""
    update.refresh_targets()
    replaceable = _find_replaceable(update, now)
    pools = (update.dirty_pools | {update.fleet.pool_of[name] for name in replaceable}) - {SPARE}
    surplus_pools = _find_surplus_pools(update, pools, now)
    # A pool that is short, or has larger hosts than it needs, remains so until some host changes.
    if update.fleet.change_count != update.assigned_at_change:
        pools |= update.shortages.keys() | update.oversized
    pools = (pools | surplus_pools) & update.fleet.pools.keys()
    update.dirty_pools = set()
    for pool in update.shortages.keys() - update.fleet.pools.keys():
        del update.shortages[pool]
    for pool in sorted(pools, key=lambda name: (-update.fleet.level(name), name)):
        _apply_outcome(
            update, pool, assign(update.fleet, update.targets, [pool], replaceable, surplus_pools)
        )
        yield
    update.assigned_at_change = update.fleet.change_count


def _apply_outcome(update: FleetUpdate, pool: str, outcome: Assignment) -> None:
    for move in outcome.moves:
        update.moves += move.target != SPARE
        update.events.append(
            UpdateEvent(f"move.{move.cause}", move.host, f"{move.source}>{move.target}")
        )
    (update.oversized.add if list_oversized(update.fleet, pool) else update.oversized.discard)(pool)
    update.shortages.pop(pool, None)
    for shortage in outcome.shortages:
        update.shortages[shortage.pool] = f"{shortage.hosts} short: {shortage.reason}"


def _find_surplus_pools(update: FleetUpdate, pools: set[str], now: float) -> frozenset[str]:
    """Find pools that have had more hosts than their target for `RELEASE_AFTER_S`."""
    for pool in (pools | update.surplus_since.keys()) & update.fleet.pools.keys():
        if len(update.fleet.counts[pool].members) > update.targets[pool]:
            update.surplus_since.setdefault(pool, now)
        else:
            update.surplus_since.pop(pool, None)
    return frozenset(
        pool for pool, since in update.surplus_since.items() if now - since >= RELEASE_AFTER_S
    )


def _find_replaceable(update: FleetUpdate, now: float) -> frozenset[str]:
    """Find members of pools that are leaving, or have been lost for `REPLACE_AFTER_S`."""
    replaceable = set()
    for name in update.fleet.in_state("lost", "leaving"):
        if update.fleet.pool_of[name] == SPARE:
            continue
        absent_s = now - update.entries[name].since
        if update.fleet.states[name] == "leaving" or absent_s >= REPLACE_AFTER_S:
            replaceable.add(name)
    return frozenset(replaceable)


def find_violations(update: FleetUpdate) -> list[UpdateEvent]:
    """Check before a commit that the hosts newly taken down by an update break no budget.

    Returns:
        An event for each pool that the update itself, and not a failure, takes below its minimum of
        hosts up, and for each host that is in more than one pool.
    """
    taken_down: Counter[str] = Counter()
    for name in update.fleet.in_state("draining"):
        former = update.record.hosts.get(name)
        if former is not None and former.state == "up":
            taken_down[former.pool] += 1
    violations = [
        UpdateEvent("budget-holds", pool, f"{number} hosts taken down below the floor")
        for pool, number in taken_down.items()
        if pool in update.fleet.pools and update.fleet.count_missing(pool)
    ]
    members = sum(len(count.members) for count in update.fleet.counts.values())
    assigned = sum(pool != SPARE for pool in update.fleet.pool_of.values())
    if members != assigned:
        violations.append(UpdateEvent("one-pool-a-host", f"{members} members, {assigned} hosts"))
    return violations


def list_in_maintenance(update: FleetUpdate) -> list[tuple[str, HostEntry]]:
    """List the hosts in maintenance, whose workers must be polled."""
    names = update.fleet.in_state("draining", "rebooting")
    return [(name, update.entries[name]) for name in names]
