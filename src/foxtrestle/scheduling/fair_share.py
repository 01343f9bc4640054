"""Weighted fair shares of the capacity while a pool or the fleet is full.

A weight is an organisation's share in jobs per second, and its share of the capacity once all
capacity is in use. If the weights add up to more than the hosts can serve, the rate limits
(`share_limits`) do not keep the load below the capacity. The capacity is then divided in proportion
to the weights of the organisations that have demand; the part of a share that an organisation does
not need goes to the others (max-min fairness). An organisation's oldest jobs are within its fair
share; its other jobs are placed after those of other organisations and cause no scale-up.

The shares are computed anew in each scheduling round from the running and waiting tasks. They
therefore need neither a record that survives a takeover nor a clock. Long-running tasks keep their
capacity; neither they nor that capacity are counted. Jobs of organisations without a weight are
never over the share.
"""

from __future__ import annotations

from statistics import fmean
from typing import TYPE_CHECKING

from foxtrestle.scheduling.draining import is_drained
from foxtrestle.scheduling.load import compute_dominant_share
from foxtrestle.scheduling.share_limits import justifies_scale_up
from foxtrestle.scheduling.urgency import DeadlineStatus, rank_jobs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.model import FleetConfiguration, Shape
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker


def has_weights(configuration: FleetConfiguration) -> bool:
    """Return whether any organisation has a weight."""
    return any(organisation.weight for organisation in configuration.organisations.values())


def list_effective_weights(configuration: FleetConfiguration) -> dict[str, float]:
    """Return the weights by which organisations share a full pool; 0 for those without a weight.

    Smaller weights are raised to the mean. The work of a small organisation comes in jobs that are
    larger than its share at any one moment, although it is within its share over a minute. With its
    own weight, every second job of a small organisation would be placed after those of large
    organisations that submit work continuously.
    """
    weights = {
        name: organisation.weight for name, organisation in configuration.organisations.items()
    }
    positive = [weight for weight in weights.values() if weight]
    mean = fmean(positive) if positive else 0.0
    return {name: max(weight, mean) if weight else 0.0 for name, weight in weights.items()}


def compute_fair_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divide capacity by weight (max-min fairness).

    No organisation gets more than its demand, and no capacity stays unused while there is demand.

    Args:
        demands: Demand of each organisation.
        weights: Weight of each; organisations without a positive weight get their whole demand
            first.
        capacity: Available capacity, in the unit of the demands.
    """
    shares = {name: demand for name, demand in demands.items() if not weights.get(name)}
    remaining = max(0.0, capacity - sum(shares.values()))
    weighted = sorted(
        (name for name in demands if name not in shares),
        key=lambda name: (demands[name] / weights[name], name),
    )
    remaining_weight = sum(weights[name] for name in weighted)
    for name in weighted:
        # In ascending order of demand per weight, the unneeded part of a share is left for the
        # organisations that follow.
        shares[name] = min(demands[name], remaining * weights[name] / remaining_weight)
        remaining -= shares[name]
        remaining_weight -= weights[name]
    return shares


def measure_running(
    workers: Iterable[Worker], jobs: Mapping[str, JobEntry], host: Shape
) -> dict[str, float]:
    """Return the capacity that each organisation's tasks use, long-running ones aside, in hosts."""
    running: dict[str, float] = {}
    for worker in workers:
        for key, _ in worker.runs:
            entry = jobs.get(key.job)
            if entry is None:
                continue
            step = entry.job.spec.steps[key.step]
            if not step.lasting:
                owner = entry.job.owner
                running[owner] = running.get(owner, 0.0) + compute_dominant_share(
                    step.reserved_shape, host
                )
    return running


def measure_capacity(workers: Iterable[Worker], host: Shape) -> float:
    """Return the capacity of some workers that long-running tasks do not use, in hosts."""
    return sum(
        max(
            0.0,
            compute_dominant_share(worker.info.capacity, host)
            - compute_dominant_share(worker.lasting_used, host),
        )
        for worker in workers
    )


def is_oversubscribed(
    entries: Iterable[JobEntry], workers: Iterable[Worker], capacity: float, host: Shape
) -> bool:
    """Return whether waiting and running tasks, except long-running ones, exceed the capacity.

    This check is much cheaper than `find_jobs_over_share` and is enough in most rounds.
    """
    taken = sum(
        compute_dominant_share(worker.used, host)
        - compute_dominant_share(worker.lasting_used, host)
        for worker in workers
    )
    return taken + sum(measure_ready_demand(entry, host) for entry in entries) > capacity


def measure_ready_demand(entry: JobEntry, host: Shape) -> float:
    """Return the demand of a job's waiting tasks, in hosts; 0 for a long-running job."""
    if not entry.ready or any(step.lasting for step in entry.job.spec.steps):
        return 0.0
    return sum(
        compute_dominant_share(task.step.reserved_shape, host) for task in entry.ready.values()
    )


def find_jobs_over_share(
    ordered: Iterable[JobEntry],
    running: Mapping[str, float],
    capacity: float,
    configuration: FleetConfiguration,
    host: Shape,
) -> frozenset[str]:
    """Return the ids of the jobs over their organisation's fair share.

    Args:
        ordered: Jobs with waiting tasks, in the order of their placement.
        running: Capacity that each organisation's tasks use already, in hosts.
        capacity: Capacity to share, in hosts.
        configuration: The weights.
        host: Capacity of a host.
    """
    weights = list_effective_weights(configuration)
    requests = [
        (entry, measure_ready_demand(entry, host))
        for entry in ordered
        if not any(step.lasting for step in entry.job.spec.steps)
    ]
    demands = dict(running)
    for entry, demand in requests:
        demands[entry.job.owner] = demands.get(entry.job.owner, 0.0) + demand
    if sum(demands.values()) <= capacity:
        return frozenset()
    shares = compute_fair_shares(demands, weights, capacity)
    used = dict(running)
    over_share: set[str] = set()
    for entry, demand in requests:
        owner = entry.job.owner
        if weights.get(owner) and used.get(owner, 0.0) >= shares[owner]:
            over_share.add(entry.job.id)
        used[owner] = used.get(owner, 0.0) + demand
    return frozenset(over_share)


def update_saturation(fleet: Fleet, host: Shape, now: float) -> None:
    """Set in the state whether all hosts are full, and which jobs then cause no scale-up.

    While all hosts are full, jobs over their organisation's fair share of them cause no scale-up,
    and neither do jobs that can no longer be on time: hosts that late work occupies in one pool are
    missing in another pool for work that could be on time.

    Args:
        fleet: The state; `saturated`, `jobs_over_share` and each waiting job's `late` are set.
        host: Capacity of the mean host.
        now: Monotonic time, seconds.
    """
    fleet.jobs_over_share, fleet.saturated = frozenset(), False
    if fleet.configuration is None or not has_weights(fleet.configuration):
        return
    workers = [worker for worker in fleet.workers.values() if not worker.entry_gone]
    capacity = _measure_fleet(fleet, workers, host)
    # Jobs that cause no scale-up must not take part in the sharing: their share would be withheld
    # from the others and stay unused.
    demanding = [entry for entry in fleet.active.values() if justifies_scale_up(fleet, entry)]
    if not is_oversubscribed(demanding, workers, capacity, host):
        return
    ranked = rank_jobs(fleet.active.values(), fleet.durations, now)
    for urgency, entry in ranked:
        entry.late = urgency.deadline_status is not DeadlineStatus.ON_TIME
    demanding_ids = {entry.job.id for entry in demanding}
    waiting = [entry for _, entry in ranked if not entry.late and entry.job.id in demanding_ids]
    on_time = {job: entry for job, entry in fleet.active.items() if not entry.late}
    running = measure_running(workers, on_time, host)
    fleet.saturated = True
    fleet.jobs_over_share = find_jobs_over_share(
        waiting, running, capacity, fleet.configuration, host
    )


def _measure_fleet(fleet: Fleet, workers: Iterable[Worker], host: Shape) -> float:
    """Return the capacity of all hosts, on or off, that long-running tasks do not use, in hosts."""
    available = (
        host_info.capacity
        for host_info in fleet.hosts.values()
        if host_info.state not in {"down", "upkeep"} and not is_drained(fleet, host_info.zone)
    )
    long_running = sum(compute_dominant_share(worker.lasting_used, host) for worker in workers)
    return max(
        0.0, sum(compute_dominant_share(capacity, host) for capacity in available) - long_running
    )
