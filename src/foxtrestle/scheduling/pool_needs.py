"""Number of hosts that each pool has and needs."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.eligibility import has_capacity_for, is_usable
from foxtrestle.scheduling.load import PoolLoad, compute_load_deviation
from foxtrestle.scheduling.model import Shape
from foxtrestle.scheduling.share_limits import justifies_scale_up
from foxtrestle.scheduling.unsettled_starts import is_restricted

if TYPE_CHECKING:
    from collections.abc import Sequence

    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

HEADROOM_SHARE: Final = 0.35
"""Headroom for new jobs as a fraction of a pool's load, besides capacity for its largest recent
job: the headroom absorbs a rise in load for the 2 s until more hosts serve. Less headroom saves
hosts but makes jobs late. No headroom is kept while the arrival rate certainly falls, as another
pool whose load rises needs those hosts."""
MAX_HEADROOM_DEVIATIONS: Final = 1.5
"""Upper bound of the headroom, in standard deviations of the load of independent jobs: one second
in fifteen needs more. The load of a large pool varies less in proportion and needs less."""
LEAD_MARGIN_S: Final = 0.4
"""Seconds added to the platform's own time for a move, until the moved host serves: recording the
order and the worker's first answer take 0.15 s, the next round of host decisions up to 0.1 s."""
DEMAND_WINDOW_S: Final = 1.0
"""Window of a pool's present demand, seconds; about the length of one task."""
EXTRA_HOST_WAIT_S: Final = 0.4
"""Seconds that a task waits before its pool gets one host more than its load requires: the free
capacity may be fragmented, or on hosts where the task must not run, and the pool would not grow
otherwise. Placement rounds are 0.1 s apart."""
FURTHER_HOST_WAIT_S: Final = 2.0
"""Seconds of further waiting for each further host, about the time that a host takes to arrive: a
gang, or tasks larger than half a host, may need several whole hosts."""


class PoolNeed(msgspec.Struct, frozen=True):
    """Hosts that a pool has and needs."""

    demand: float
    """Peak capacity that placed and waiting tasks took in the last second, hosts."""
    wanted: int
    """Hosts that the pool should have if there are enough."""
    have: int
    """Hosts that serve the pool or are moving to it."""
    growth: float = 0.0
    """Rate of change of the capacity that arriving work takes, hosts a second."""


def compute_needs(
    fleet: Fleet,
    views: dict[str, HostView],
    loads: dict[str, PoolLoad],
    lead_s: float,
    now: float,
) -> dict[str, PoolNeed]:
    """Return what each serving pool has and needs.

    Args:
        fleet: The state.
        views: All hosts.
        loads: Recent demand by pool.
        lead_s: Seconds from the decision to move a host until it serves its new pool.
        now: Monotonic time, seconds.
    """
    host = compute_mean_host(fleet)
    if fleet.configuration is None or host is None:
        return {}
    serving_pools = [name for name, pool in fleet.configuration.pools.items() if not pool.reserve]
    demand = _measure_demand(fleet, host)
    spread = _count_spread_hosts(fleet)
    extra_hosts = _count_extra_hosts(fleet, host, now)
    needs = {}
    for name in serving_pools:
        load = loads.setdefault(name, PoolLoad())
        load.note_demand(now, demand.get(name, 0.0))
        # A host serves only `lead_s` after it is chosen; the load grows until then.
        growth = load.find_growth(now)
        load_hosts = max(load.peak_demand.find(now), load.arrivals.forecast(now))
        load_hosts += max(0.0, growth) * lead_s
        headroom = compute_headroom(load_hosts, load.widths) if growth >= 0 else 0.0
        largest = max(load.widths, default=0.0)
        wanted = max(1, ceil(load_hosts + headroom + largest), spread.get(name, 0))
        have = _count_hosts(name, views, now)
        if have >= wanted:
            wanted += extra_hosts.get(name, 0)
        needs[name] = PoolNeed(load.peak_demand.find(now, DEMAND_WINDOW_S), wanted, have, growth)
    return needs


def compute_headroom(load_hosts: float, widths: Sequence[float]) -> float:
    """Return the headroom for jobs that arrive before further hosts do, in hosts.

    Args:
        load_hosts: Load of the pool, hosts.
        widths: Capacity that each recent job takes, hosts.
    """
    if not widths:
        return HEADROOM_SHARE * load_hosts
    return min(
        HEADROOM_SHARE * load_hosts,
        MAX_HEADROOM_DEVIATIONS * compute_load_deviation(load_hosts, widths),
    )


def compute_mean_host(fleet: Fleet) -> Shape | None:
    """Return the mean capacity of the workers, or of the listed hosts; None if none is known."""
    capacities = [
        worker.info.capacity for worker in fleet.workers.values() if worker.info.capacity.cpu
    ]
    capacities = capacities or [host.capacity for host in fleet.hosts.values() if host.capacity.cpu]
    if not capacities:
        return None
    cpu = sum(capacity.cpu for capacity in capacities) // len(capacities)
    memory_mb = sum(capacity.memory_mb for capacity in capacities) // len(capacities)
    return Shape(cpu, max(1, memory_mb))


def _measure_demand(fleet: Fleet, host: Shape) -> dict[str, float]:
    """Return the demand of each pool's placed and waiting tasks, in mean hosts."""
    cpu: dict[str, int] = {}
    memory: dict[str, int] = {}
    for worker in fleet.workers.values():
        if not worker.entry_gone:
            pool = worker.info.pool
            used = (
                worker.used.minus(_sum_late_usage(fleet, worker))
                if fleet.saturated
                else worker.used
            )
            cpu[pool] = cpu.get(pool, 0) + used.cpu
            memory[pool] = memory.get(pool, 0) + used.memory_mb
    for entry in fleet.active.values():
        if not justifies_scale_up(fleet, entry):
            continue
        pool = entry.job.pool
        for task in entry.ready.values():
            shape = task.step.shape
            cpu[pool] = cpu.get(pool, 0) + (0 if task.step.fills else shape.cpu)
            memory[pool] = memory.get(pool, 0) + shape.memory_mb
    return {pool: max(cpu[pool] / host.cpu, memory[pool] / host.memory_mb) for pool in cpu}


def _sum_late_usage(fleet: Fleet, worker: Worker) -> Shape:
    """Return the resources of a worker's tasks whose jobs can no longer meet their objective."""
    late = Shape()
    for key, _ in worker.runs:
        entry = fleet.jobs.get(key.job)
        if entry is not None and entry.late:
            late = late.plus(entry.job.spec.steps[key.step].reserved_shape)
    return late


def _count_spread_hosts(fleet: Fleet) -> dict[str, int]:
    """Return the number of hosts over which each pool's long-running tasks must be spread."""
    spread: dict[str, int] = {}
    for entry in fleet.active.values():
        for step in entry.job.spec.steps:
            if step.lasting and step.max_per_worker:
                hosts = ceil(step.count / step.max_per_worker)
                spread[entry.job.pool] = max(spread.get(entry.job.pool, 0), hosts)
    return spread


def _count_extra_hosts(fleet: Fleet, host: Shape, now: float) -> dict[str, int]:
    """Return the additional hosts of pools in which a task has waited `EXTRA_HOST_WAIT_S`.

    A task that the mean host cannot run gets only one additional host, as it must not make the pool
    grow indefinitely; `host_requirements` finds a host that can run it.
    """
    extra_hosts: dict[str, int] = {}
    for entry in fleet.active.values():
        if not justifies_scale_up(fleet, entry):
            continue
        pool = entry.job.pool
        for task in entry.ready.values():
            if is_restricted(task):
                # It waits for one worker, so a further host would not help.
                continue
            over_s = now - task.waiting_since - EXTRA_HOST_WAIT_S
            if over_s <= 0:
                continue
            further_hosts = (
                int(over_s / FURTHER_HOST_WAIT_S) if has_capacity_for(task.step, (), host) else 0
            )
            extra_hosts[pool] = max(extra_hosts.get(pool, 0), 1 + further_hosts)
    return extra_hosts


def _count_hosts(pool: str, views: dict[str, HostView], now: float) -> int:
    count = 0
    for view in views.values():
        plan = view.plan
        if view.drained:
            continue
        if plan is not None:
            # A host in maintenance takes no tasks; if it were counted, the tasks of a pool without
            # any other host would wait until the maintenance is over.
            count += plan.pool == pool and not plan.wave
        elif view.pool == pool and view.worker is not None and is_usable(view.worker, now):
            count += 1
    return count
