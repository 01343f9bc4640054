"""Hosts of a region, their states and pools, and incrementally maintained counts of them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final, Literal

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from foxtrestle.declaration import Pool

HostState = Literal["up", "draining", "rebooting", "lost", "leaving", "quarantined"]
"""States of `charts/host.toml`."""
SPARE: Final = ""
"""Pool name of spare hosts, which are in no pool."""
UNUSABLE_STATES: Final = frozenset({"lost", "leaving", "quarantined"})
"""States in which a host does not count as usable capacity."""
MAINTENANCE_STATES: Final = frozenset({"draining", "rebooting"})
"""States of a host that a wave maintains and that is expected to return."""


class Shape(msgspec.Struct, frozen=True, order=True):
    """Resources of a host; ordered so that the scarcest resource compares first."""

    accelerators: int
    """Number of accelerators."""
    cores: int
    """Number of processor cores."""
    memory_gb: int
    """Memory, GB."""

    def fits(self, pool: Pool) -> bool:
        """Return whether a host of this shape may serve a pool."""
        return (
            self.accelerators >= pool.min_accelerators
            and self.cores >= pool.min_cores
            and self.memory_gb >= pool.min_memory_gb
        )


class Host(msgspec.Struct, frozen=True):
    """Properties of a host that never change."""

    name: str
    """Unique name."""
    address: str
    """IP address."""
    rack: str
    """Name of the rack, unique in the fleet."""
    zone: str
    """Availability zone."""
    region: str
    """Region."""
    shape: Shape
    """Resources."""


class PoolCount:
    """Counts of one pool's hosts, kept up to date by `Fleet`."""

    __slots__ = ("in_maintenance", "largest_domain", "members", "racks", "up", "zones")

    def __init__(self) -> None:
        self.members: set[str] = set()
        """Names of the hosts in the pool, in any state."""
        self.up = 0
        """Number of members that are up."""
        self.in_maintenance = 0
        """Number of members that are draining or rebooting."""
        self.racks: Counter[str] = Counter()
        """Number of members up, by rack."""
        self.zones: Counter[str] = Counter()
        """Number of members up, by availability zone."""
        self.largest_domain: tuple[int, int] | None = None
        """Members up in the largest failure domain and number of such domains; None if stale."""


class Fleet:
    """Hosts of one region with their states and pools; each is in exactly one pool or is spare."""

    def __init__(self, pools: Iterable[Pool] = (), levels: dict[str, int] | None = None) -> None:
        """Create a fleet without hosts.

        Args:
            pools: The region's pools.
            levels: Priority level of each team.
        """
        self.hosts: dict[str, Host] = {}
        """Hosts by name."""
        self.states: dict[str, HostState] = {}
        """State of each host."""
        self.pool_of: dict[str, str] = {}
        """Pool of each host; `SPARE` for none."""
        self.pools: dict[str, Pool] = {}
        """Pools by name."""
        self.counts: dict[str, PoolCount] = {}
        """Counts by pool."""
        self.spare: dict[Shape, dict[str, set[str]]] = {}
        """Spare hosts that are up, by shape and rack."""
        self.spare_up_count = 0
        """Number of spare hosts that are up."""
        self.change_count = 0
        """Number of changes of a host's state or pool so far."""
        self.membership_change_count = 0
        """Number of hosts added or removed so far."""
        self.usable_by_shape: Counter[Shape] = Counter()
        """Number of usable hosts (in no state of `UNUSABLE_STATES`), by shape."""
        self.rack_zones: dict[str, str] = {}
        """Availability zone of each rack."""
        self.by_state: dict[str, set[str]] = {}
        """Names of the hosts in each state."""
        self._levels: dict[str, int] = {}
        self._pools_by_level: list[str] = []
        self.set_pools(pools, levels or {})

    def set_pools(self, pools: Iterable[Pool], levels: dict[str, int]) -> None:
        """Replace the set of pools; hosts of removed pools become spare."""
        self.pools = {pool.name: pool for pool in pools}
        for name in [name for name in self.counts if name not in self.pools]:
            for host in sorted(self.counts[name].members):
                self.move(host, SPARE)
            del self.counts[name]
        for name in self.pools:
            self.counts.setdefault(name, PoolCount()).largest_domain = None
        self._levels = {pool.name: levels.get(pool.team, 0) for pool in self.pools.values()}
        self._pools_by_level = sorted(self.pools, key=lambda name: (self._levels[name], name))

    def level(self, pool: str) -> int:
        """Return the priority level of a pool's team."""
        return self._levels[pool]

    def pools_by_level(self) -> list[str]:
        """Return the names of the pools, lowest level first; equal levels by name."""
        return self._pools_by_level

    def add(self, host: Host, state: HostState = "up", pool: str = SPARE) -> None:
        """Add a host."""
        self.membership_change_count += 1
        self.hosts[host.name] = host
        self.states[host.name] = state
        self.pool_of[host.name] = pool
        self.rack_zones[host.rack] = host.zone
        self._update_counts(host.name, +1)

    def remove(self, name: str) -> None:
        """Remove a host."""
        self.membership_change_count += 1
        self._update_counts(name, -1)
        del self.hosts[name], self.states[name], self.pool_of[name]

    def set_state(self, name: str, state: HostState) -> None:
        """Change the state of a host."""
        self._update_counts(name, -1)
        self.states[name] = state
        self._update_counts(name, +1)

    def move(self, name: str, pool: str) -> None:
        """Move a host to a pool, or to the spare hosts (`SPARE`)."""
        self._update_counts(name, -1)
        self.pool_of[name] = pool
        self._update_counts(name, +1)

    def count_worst_loss(self, pool: str) -> int:
        """Return the number of a pool's hosts that are up in its largest failure domain."""
        return self._find_largest_domain(pool)[0]

    def slack(self, pool: str) -> int:
        """Return how many hosts a pool could lose besides its largest domain, within its budget.

        A negative slack means that the loss of one domain would break the budget now.
        """
        return (
            self.counts[pool].up
            - self._find_largest_domain(pool)[0]
            - self.pools[pool].min_available
        )

    def slack_without(self, pool: str, name: str) -> int:
        """Return the slack that a pool would have if one of its hosts were taken down."""
        largest, number = self._find_largest_domain(pool)
        if self.pools[pool].survive == "host":
            return self.slack(pool) - 1
        is_only_largest = number == 1 and self._domains(pool)[self.domain(pool, name)] == largest
        return self.slack(pool) - (0 if is_only_largest else 1)

    def can_release_host(self, pool: str) -> bool:
        """Return whether some host of a pool may be taken down while its slack stays at least 0."""
        slack = self.slack(pool)
        return slack > 0 or (slack == 0 and self._find_largest_domain(pool)[1] == 1)

    def domain(self, pool: str, name: str) -> str:
        """Return the zone or rack of a host, depending on the domain that a pool must survive."""
        host = self.hosts[name]
        return host.zone if self.pools[pool].survive == "zone" else host.rack

    def _domains(self, pool: str) -> Counter[str]:
        count = self.counts[pool]
        return count.zones if self.pools[pool].survive == "zone" else count.racks

    def _find_largest_domain(self, pool: str) -> tuple[int, int]:
        """Return the number of hosts up in a pool's largest domain, and of domains of that size."""
        count = self.counts[pool]
        if count.largest_domain is None:
            if self.pools[pool].survive == "host":
                count.largest_domain = (min(1, count.up), count.up)
            else:
                numbers = list(self._domains(pool).values())
                largest = max(numbers, default=0)
                count.largest_domain = (largest, numbers.count(largest))
        return count.largest_domain

    def in_state(self, *states: HostState) -> list[str]:
        """Return the names of the hosts that are in one of the given states, sorted."""
        return sorted(name for state in states for name in self.by_state.get(state, ()))

    def count_missing(self, pool: str) -> int:
        """Return how many hosts a pool lacks to its minimum of hosts up; 0 if its budget holds."""
        return max(0, self.pools[pool].min_available - self.counts[pool].up)

    def spare_hosts(self) -> Iterator[str]:
        """Iterate over the names of the spare hosts that are up."""
        for racks in self.spare.values():
            for names in racks.values():
                yield from names

    def _update_counts(self, name: str, sign: int) -> None:
        host, state, pool = self.hosts[name], self.states[name], self.pool_of[name]
        self.change_count += 1
        if state not in UNUSABLE_STATES:
            self.usable_by_shape[host.shape] += sign
        if sign > 0:
            self.by_state.setdefault(state, set()).add(name)
        else:
            self.by_state[state].discard(name)
        if pool == SPARE:
            if state == "up":
                self._update_spare(host, sign)
            return
        count = self.counts.setdefault(pool, PoolCount())
        count.largest_domain = None
        if sign > 0:
            count.members.add(name)
        else:
            count.members.discard(name)
        if state == "up":
            count.up += sign
            _add_to_counter(count.racks, host.rack, sign)
            _add_to_counter(count.zones, host.zone, sign)
        elif state in MAINTENANCE_STATES:
            count.in_maintenance += sign

    def _update_spare(self, host: Host, sign: int) -> None:
        self.spare_up_count += sign
        racks = self.spare.setdefault(host.shape, {})
        if sign > 0:
            racks.setdefault(host.rack, set()).add(host.name)
            return
        racks[host.rack].discard(host.name)
        if not racks[host.rack]:
            del racks[host.rack]


def _add_to_counter(counter: Counter[str], key: str, number: int) -> None:
    counter[key] += number
    if not counter[key]:
        del counter[key]
