"""Backpressure: which new jobs nodes refuse under overload, and when their callers should retry.

For each pool under pressure, the controller computes how long new work waits. For each organisation
over its share (`fair_share`, `share_limits`) it also computes how long that organisation's own work
waits and which fraction of its jobs to refuse. Nodes decide on each job by these figures alone. An
organisation within its share is not penalised for the load of others: the wait of its new work
counts only waiting work within shares.
"""

from __future__ import annotations

from collections import deque
from itertools import accumulate
from math import ceil
from typing import TYPE_CHECKING, Final, Literal, TypeVar
from zlib import crc32

import msgspec

from foxtrestle.scheduling.fair_share import (
    compute_fair_shares,
    find_jobs_over_share,
    has_weights,
    list_effective_weights,
    measure_ready_demand,
    measure_running,
    update_saturation,
)
from foxtrestle.scheduling.load import compute_dominant_share, measure_work
from foxtrestle.scheduling.pool_needs import compute_mean_host
from foxtrestle.scheduling.urgency import LATE_FACTOR, DeadlineStatus, rank_jobs

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from foxtrestle.scheduling.durations import Durations
    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.model import JobSpec, Queue, Shape
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.urgency import Urgency

Name = TypeVar("Name")

RATE_WINDOW_S: Final = 2.0
"""Seconds over which an organisation's submitted work is counted."""
MAX_REFUSED_FRACTION: Final = 0.9
"""Largest fraction of an organisation's jobs that is refused. The jobs that are accepted show how
much work the organisation submits."""
STEPS_PER_UNIT: Final = 10
"""Steps per unit to which published waits and fractions are rounded, so that small changes cause no
write."""
MIN_WAIT_S: Final = 0.5
"""Wait from which a pool counts as under pressure, seconds; a shorter wait is over before nodes
receive the record."""
HASH_RANGE: Final = 1 << 32
"""Number of values of the hash of a job's id."""

Reason = Literal["beyond its share", "too late to be of use"]


class OrganisationPressure(msgspec.Struct, frozen=True):
    """Pressure of an organisation that is over its share of a pool."""

    refused: float
    """Fraction of its jobs to refuse if their results would be of no use."""
    wait_s: dict[int, float]
    """Seconds that its new work waits, by priority."""


class PoolPressure(msgspec.Struct, frozen=True):
    """A pool that is under pressure."""

    wait_s: dict[int, float] = {}
    """Seconds that new work within a share waits, by priority; less urgent work waits longer."""
    organisations: dict[str, OrganisationPressure] = {}
    """Organisations over their share, by name."""


class Pressure(msgspec.Struct, frozen=True):
    """Figures that the controller publishes to the nodes; empty while there is no pressure."""

    pools: dict[str, PoolPressure] = {}
    """Pools under pressure, by name."""
    long_s: dict[str, float] = {}
    """Seconds that a long task takes, by queue, for the queues of these pools."""


class Refusal(msgspec.Struct, frozen=True):
    """Refusal of a job."""

    reason: Reason
    """Reason of the refusal."""
    wait_s: float
    """Seconds that it would have waited."""
    retry_after_s: int
    """Seconds after which the caller should retry."""


class SubmittedWork(msgspec.Struct):
    """Recently submitted work, by pool and organisation."""

    arrivals: dict[tuple[str, str], deque[tuple[float, float]]] = {}
    """Monotonic time and work of each job, in hosts x seconds."""

    def note(self, entry: JobEntry, durations: Durations, host: Shape, now: float) -> None:
        """Add a job."""
        pool_and_owner = (entry.job.pool, entry.job.owner)
        arrivals = self.arrivals.setdefault(pool_and_owner, deque())
        arrivals.append((now, measure_work(entry, durations, host)))
        self._drop_old(arrivals, now)

    def measure_demand(self, pool: str, owner: str, now: float) -> float:
        """Return the capacity that an organisation's new work keeps busy, hosts."""
        arrivals = self.arrivals.get((pool, owner))
        if arrivals is None:
            return 0.0
        self._drop_old(arrivals, now)
        if not arrivals:
            del self.arrivals[pool, owner]
        return sum(work for _, work in arrivals) / RATE_WINDOW_S

    def _drop_old(self, arrivals: deque[tuple[float, float]], now: float) -> None:
        while arrivals and arrivals[0][0] < now - RATE_WINDOW_S:
            arrivals.popleft()


def measure_pressure(
    fleet: Fleet,
    hosts: Mapping[str, int],
    submitted: SubmittedWork,
    published: Pressure,
    now: float,
) -> Pressure:
    """Return the pressure to publish to the nodes.

    Args:
        fleet: The state, whose saturation is updated.
        hosts: Number of hosts that each pool has or will have.
        submitted: Recently submitted work.
        published: Pressure last published, according to which nodes refuse jobs now.
        now: Monotonic time, seconds.
    """
    host, configuration = compute_mean_host(fleet), fleet.configuration
    if host is None or configuration is None or not has_weights(configuration):
        return Pressure()
    # Jobs that arrived since the last scheduling round are not marked as over their share yet, and
    # would count as work within shares, for which every organisation waits.
    update_saturation(fleet, host, now)
    waiting: dict[str, list[tuple[Urgency, JobEntry]]] = {}
    for urgency, entry in rank_jobs(fleet.active.values(), fleet.durations, now):
        if _is_refusable(entry.job.spec) and entry.job.owner not in fleet.organisations_at_limit:
            waiting.setdefault(entry.job.pool, []).append((urgency, entry))
    pools: dict[str, PoolPressure] = {}
    for pool, ranked in waiting.items():
        measure_demand = _build_demand_measure(submitted, published, pool, now)
        pressure = _measure_pool(fleet, pool, ranked, host, hosts.get(pool, 0), measure_demand)
        if pressure is not None:
            pools[pool] = pressure
    typical_durations = fleet.durations.build_record()
    long_s = {
        queue.name: round(typical_durations[queue.name].long_s, 1)
        for queue in configuration.queues
        if queue.pool in pools and queue.name in typical_durations
    }
    return Pressure(pools, long_s)


def _build_demand_measure(
    submitted: SubmittedWork, published: Pressure, pool: str, now: float
) -> Callable[[str], float]:
    """Build the function that returns the demand of an organisation's new work in a pool, hosts.

    Jobs that are refused now are part of the demand but not of the submitted work.
    """
    organisations = published.pools.get(pool, PoolPressure()).organisations

    def measure_demand(owner: str) -> float:
        refused = organisations[owner].refused if owner in organisations else 0.0
        return submitted.measure_demand(pool, owner, now) / (1 - refused)

    return measure_demand


class _Backlog(msgspec.Struct):
    """Waiting work of a pool, in hosts x seconds."""

    demands: dict[str, float]
    """Capacity that each organisation's tasks use or ask for, hosts."""
    on_time_work: dict[int, float] = {}
    """Work within shares that can be on time, by priority."""
    useful_work: dict[str, dict[int, float]] = {}
    """Work of each organisation whose results are still of use, by priority."""
    owners_over_share: set[str] = set()
    """Organisations that have jobs over their shares."""


def _measure_pool(
    fleet: Fleet,
    pool: str,
    ranked: list[tuple[Urgency, JobEntry]],
    host: Shape,
    hosts: int,
    measure_demand: Callable[[str], float],
) -> PoolPressure | None:
    """Return the pressure of a pool; None if it is not under pressure.

    Args:
        fleet: The state.
        pool: Name of the pool.
        ranked: Its waiting jobs in the order in which they are placed, with their urgencies.
        host: Capacity of the mean host.
        hosts: Number of hosts that it has or will have.
        measure_demand: Returns the capacity that an organisation's new work demands, hosts.
    """
    configuration = fleet.configuration
    workers = [w for w in fleet.workers.values() if w.info.pool == pool and not w.entry_gone]
    long_running = sum(compute_dominant_share(worker.lasting_used, host) for worker in workers)
    capacity = hosts - long_running
    if configuration is None or capacity <= 0:
        # Without hosts, the wait cannot be computed.
        return None
    running = measure_running(workers, fleet.jobs, host)
    over_share = find_jobs_over_share(
        (entry for _, entry in ranked), running, capacity, configuration, host
    )
    backlog = _sum_backlog(fleet, ranked, running, over_share & fleet.jobs_over_share, host)
    if sum(backlog.demands.values()) <= capacity:
        return None
    shares = compute_fair_shares(backlog.demands, list_effective_weights(configuration), capacity)
    organisations: dict[str, OrganisationPressure] = {}
    for owner in sorted(backlog.owners_over_share):
        waits = _sum_waits(backlog.useful_work.get(owner, {}), shares[owner] or capacity)
        if max(waits.values(), default=0.0) < MIN_WAIT_S:
            continue
        demand = measure_demand(owner)
        refused = min(MAX_REFUSED_FRACTION, max(0.0, 1 - shares[owner] / demand)) if demand else 0.0
        if refused:
            organisations[owner] = OrganisationPressure(_round(refused), waits)
    waits = _sum_waits(backlog.on_time_work, capacity)
    if not organisations and max(waits.values(), default=0.0) < MIN_WAIT_S:
        return None
    return PoolPressure(waits, organisations)


def _sum_backlog(
    fleet: Fleet,
    ranked: list[tuple[Urgency, JobEntry]],
    running: Mapping[str, float],
    over_share: frozenset[str],
    host: Shape,
) -> _Backlog:
    """Sum up the waiting work of a pool.

    Args:
        fleet: The state.
        ranked: Its waiting jobs, with their urgencies.
        running: Capacity that each organisation's tasks use already, hosts.
        over_share: Jobs over their organisation's fair share both of the pool and of all hosts. A
            job over its share of the pool alone waits for hosts that are being added.
        host: Capacity of the mean host.
    """
    backlog = _Backlog(dict(running))
    for urgency, entry in ranked:
        owner, priority = entry.job.owner, entry.job.priority
        work = _measure_waiting(entry, fleet.durations, host)
        if urgency.deadline_status is not DeadlineStatus.OVERDUE:
            _add(backlog.useful_work.setdefault(owner, {}), priority, work)
        _add(backlog.demands, owner, measure_ready_demand(entry, host))
        if entry.excess or entry.job.id in over_share:
            backlog.owners_over_share.add(owner)
        elif urgency.deadline_status is DeadlineStatus.ON_TIME:
            # Work that can no longer be on time is placed after new work.
            _add(backlog.on_time_work, priority, work)
    return backlog


def _add(sums: dict[Name, float], name: Name, value: float) -> None:
    sums[name] = sums.get(name, 0.0) + value


def _sum_waits(work_by_priority: Mapping[int, float], capacity: float) -> dict[int, float]:
    """Return the seconds that new work waits behind equally or more urgent work, by priority."""
    priorities = sorted(work_by_priority)
    sums = accumulate(work_by_priority[priority] for priority in priorities)
    return {
        priority: _round(total / capacity) for priority, total in zip(priorities, sums, strict=True)
    }


def find_wait(waits: Mapping[int, float], priority: int) -> float:
    """Return the seconds that work of a priority waits; less urgent work has a higher number."""
    return max((wait_s for listed, wait_s in waits.items() if listed <= priority), default=0.0)


def _round(value: float) -> float:
    return round(value * STEPS_PER_UNIT) / STEPS_PER_UNIT


def _measure_waiting(entry: JobEntry, durations: Durations, host: Shape) -> float:
    """Return the part of a job's work that is not placed on workers, hosts x seconds."""
    if not entry.placed:
        return measure_work(entry, durations, host)
    return sum(
        compute_dominant_share(task.step.shape, host)
        * durations.estimate(entry.job.queue, task.step.estimate_ms).mean_s
        for task in entry.ready.values()
    )


def _is_refusable(spec: JobSpec) -> bool:
    """Return whether a job may be refused: not if it is long-running or has due times."""
    return not spec.repeat_count and not any(step.lasting for step in spec.steps)


def choose_refusal(
    pressure: Pressure, queue: Queue, owner: str, job: str, spec: JobSpec
) -> Refusal | None:
    """Decide whether a job is refused; None if it is accepted.

    Only a job whose result would be useless is refused, i.e. one that cannot end within three times
    its objective. A job that would be late but useful is accepted and served as far as there is
    capacity. For an organisation over its share, the fraction of jobs within the share is accepted
    nevertheless. A hash of the id selects these jobs, so a retry of the same job gets the same
    decision and frequent retries gain nothing.

    Args:
        pressure: Pressure last published to the node.
        queue: The job's queue.
        owner: Its organisation; empty for none.
        job: Its id.
        spec: The client's job specification.
    """
    pool_pressure = pressure.pools.get(queue.pool)
    if pool_pressure is None or not _is_refusable(spec):
        return None
    chain_s = _measure_chain(spec, pressure.long_s.get(queue.name))
    objective_s = queue.stretch * chain_s + queue.target_ms / 1000
    useful_s = LATE_FACTOR * objective_s - chain_s
    own_pressure = pool_pressure.organisations.get(owner)
    wait_s = find_wait(
        own_pressure.wait_s if own_pressure is not None else pool_pressure.wait_s, queue.priority
    )
    if wait_s <= useful_s:
        return None
    if own_pressure is not None and crc32(job.encode()) / HASH_RANGE >= own_pressure.refused:
        return None
    reason: Reason = "too late to be of use" if own_pressure is None else "beyond its share"
    return Refusal(reason, wait_s, compute_retry_after_s(job, wait_s - useful_s))


def _measure_chain(spec: JobSpec, long_s: float | None) -> float:
    """Return the duration of the longest chain of steps, seconds.

    Each step takes as long as a long task of the queue, if that is known, otherwise the client's
    estimate.
    """
    ends_s: list[float] = []
    for step in spec.steps:
        begin_s = max((ends_s[dependency] for dependency in step.depends_on), default=0.0)
        ends_s.append(begin_s + (step.estimate_ms / 1000 if long_s is None else long_s))
    return max(ends_s, default=0.0)


def compute_retry_after_s(job: str, over_s: float) -> int:
    """Return the seconds after which a refused caller should retry.

    The retries of callers that are refused together are spread over a period as long as the excess
    wait.

    Args:
        job: Id of the job.
        over_s: Seconds by which the wait is too long.
    """
    spread = crc32(b"retry" + job.encode()) / HASH_RANGE
    return max(1, ceil(max(0.0, over_s) * (1 + spread)))
