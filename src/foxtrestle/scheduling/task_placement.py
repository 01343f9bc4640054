"""Placement of waiting tasks on workers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final, TypeAlias

import msgspec

from foxtrestle.scheduling.candidates import Candidate, Candidates
from foxtrestle.scheduling.eligibility import has_capacity_for, is_usable
from foxtrestle.scheduling.fair_share import (
    find_jobs_over_share,
    has_weights,
    is_oversubscribed,
    measure_capacity,
    measure_running,
)
from foxtrestle.scheduling.pool_needs import compute_mean_host
from foxtrestle.scheduling.quotas import Quotas, measure_usage
from foxtrestle.scheduling.share_limits import EXCESS_FILL_LIMIT
from foxtrestle.scheduling.unsettled_starts import is_restricted, may_start_on
from foxtrestle.scheduling.urgency import order_jobs

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.scheduling.jobs import JobEntry, Task
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

WorkerPolicy: TypeAlias = "Callable[[Task, Worker], bool]"
"""Returns whether a policy allows a task to run on a worker."""

AVOID_FAILED_S: Final = 2.0
"""Seconds for which a task that finds no other worker avoids one where it failed; roughly the time
until a newly ordered host serves. If the worker were avoided permanently, a task that only this
worker can run would never start."""
RESERVE_AFTER_S: Final = 0.5
"""Seconds that a long-running task waits before a worker is reserved for it. Every second without
the task counts, and beside a queue of small tasks enough capacity for it never becomes free by
itself. The same applies to a task on probation, which may not join a worker with recently started
runs. Other tasks do not justify an idle worker."""


class Placement(msgspec.Struct, frozen=True):
    """A decision to start one run of a task, or of all tasks of a gang."""

    job: str
    """Id of the job."""
    run: int
    """Number of the run."""
    members: tuple[tuple[Task, Worker], ...]
    """Each task with the worker chosen for it."""


def _allow_any(task: Task, worker: Worker) -> bool:
    return True


def _has_ticket(fleet: Fleet, now: float, task: Task, worker: Worker) -> bool:
    return bool(fleet.find_ticket(task.key, worker.info.id, now))


def choose_placements(fleet: Fleet, now: float, *, current: bool = True) -> list[Placement]:
    """Choose workers for the waiting tasks, within capacity and the limits of their organisations.

    Args:
        fleet: The state; `organisations_at_limit` is set to those that could not start a task.
        now: Monotonic time, seconds.
        current: Whether the configuration is certainly the one in force.
    """
    if fleet.configuration is None:
        return []
    quotas = Quotas(fleet.configuration, measure_usage(fleet), current=current)
    pools = _index_pools(fleet, now)
    waiting = [entry for entry in fleet.active.values() if entry.job.pool in pools]
    policy_queues = {queue.name for queue in fleet.configuration.queues if queue.uses_policy}
    placements: list[Placement] = []
    for entry in _order_by_share(fleet, pools, order_jobs(waiting, fleet.durations, now)):
        allow = partial(_has_ticket, fleet, now) if entry.job.queue in policy_queues else _allow_any
        placements += _place_job(entry, pools[entry.job.pool], allow, quotas)
    fleet.organisations_at_limit = frozenset(quotas.refused_organisations)
    return placements


def _order_by_share(
    fleet: Fleet, pools: dict[str, Candidates], ordered: list[JobEntry]
) -> list[JobEntry]:
    """Put excess jobs and jobs over their owner's share of a full pool last in each priority."""
    host = compute_mean_host(fleet)
    if host is None or fleet.configuration is None or not has_weights(fleet.configuration):
        return ordered
    waiting: dict[str, list[JobEntry]] = {}
    for entry in ordered:
        waiting.setdefault(entry.job.pool, []).append(entry)
    over_share: set[str] = set()
    for pool, entries in waiting.items():
        workers = [candidate.worker for candidate in pools[pool].all]
        capacity = measure_capacity(workers, host)
        if is_oversubscribed(entries, workers, capacity, host):
            running = measure_running(workers, fleet.jobs, host)
            over_share |= find_jobs_over_share(
                entries, running, capacity, fleet.configuration, host
            )
    return sorted(
        ordered,
        key=lambda entry: (entry.job.priority, entry.excess or entry.job.id in over_share),
    )


def _index_pools(fleet: Fleet, now: float) -> dict[str, Candidates]:
    """Index the usable workers of each pool that has waiting tasks."""
    wanted = {entry.job.pool for entry in fleet.active.values() if entry.ready}
    usable: dict[str, list[Worker]] = {}
    for worker in fleet.workers.values():
        if worker.info.pool in wanted and is_usable(worker, now) and not _is_withheld(worker):
            usable.setdefault(worker.info.pool, []).append(worker)
    return {
        pool: Candidates(workers, now, fleet.reservation, _list_pool(fleet, pool))
        for pool, workers in usable.items()
    }


def _list_pool(fleet: Fleet, pool: str) -> list[Worker] | None:
    """List the workers over which a pool's long-running tasks are spread; None if they are not."""
    if not fleet.spread_lasting:
        return None
    return [worker for worker in fleet.workers.values() if worker.info.pool == pool]


def _is_withheld(worker: Worker) -> bool:
    """Return whether a worker temporarily gets no new tasks although its pool counts it as usable.

    A worker is withheld after its connection broke, until it answers again, and while it has a run
    on probation.
    """
    connection_lost = worker.contact_loss is not None and worker.contact_loss.connection_lost
    return connection_lost or bool(worker.probation_runs)


def _place_job(
    entry: JobEntry, candidates: Candidates, allow: WorkerPolicy, quotas: Quotas
) -> list[Placement]:
    owner = entry.job.owner
    placements: list[Placement] = []
    placed_gangs: set[tuple[int, int]] = set()
    tasks = sorted(entry.ready.values(), key=lambda task: (-task.step.shape.cpu, task.key))
    unplaceable_steps: set[int] = set()
    for task in tasks:
        key = task.key
        held_back = entry.excess and not task.step.lasting
        if held_back and candidates.measure_utilisation() >= EXCESS_FILL_LIMIT:
            continue
        if task.step.gang:
            if (key.repetition, key.step) not in placed_gangs:
                placed_gangs.add((key.repetition, key.step))
                placements += _place_gang(entry, task, candidates, allow, quotas)
            continue
        if key.step in unplaceable_steps:
            continue
        if not quotas.allow(owner, task.step.shape):
            unplaceable_steps.add(key.step)
            continue
        candidate = _find_place(task, candidates, candidates.all, allow)
        if candidate is None and is_restricted(task):
            # The step's other tasks may have any worker.
            continue
        if candidate is None:
            unplaceable_steps.add(key.step)
            may_reserve = task.step.lasting or task.probation
            if may_reserve and candidates.now - task.waiting_since > RESERVE_AFTER_S:
                candidates.reserve(task, _build_check(task, candidates, candidates.all, allow))
            continue
        candidates.claim(candidate, task)
        quotas.charge(owner, task.step.shape)
        placements.append(Placement(entry.job.id, task.starts + 1, ((task, candidate.worker),)))
    return placements


def _place_gang(
    entry: JobEntry, task: Task, candidates: Candidates, allow: WorkerPolicy, quotas: Quotas
) -> list[Placement]:
    """Place all members of a gang or none.

    A gang that runs slower across racks is placed in one rack if a rack has the capacity.
    """
    step_key = (task.key.repetition, task.key.step)
    members = [
        job_task
        for job_task in entry.tasks.values()
        if (job_task.key.repetition, job_task.key.step) == step_key and not job_task.done
    ]
    if any(member.runs for member in members):
        return []
    if not quotas.allow(entry.job.owner, task.step.shape, len(members)):
        return []
    groups = [candidates.all]
    if task.step.same_rack:
        racks = sorted(
            {label for candidate in candidates.all for label in candidate.worker.info.labels}
        )
        by_rack = [
            [candidate for candidate in candidates.all if rack in candidate.worker.info.labels]
            for rack in racks
        ]
        groups = by_rack + groups
    for group in groups:
        chosen = _place_all(members, candidates, group, allow)
        if chosen:
            for _ in chosen:
                quotas.charge(entry.job.owner, task.step.shape)
            run = max(member.starts for member in members) + 1
            return [Placement(entry.job.id, run, chosen)]
    return []


def _place_all(
    members: list[Task], candidates: Candidates, group: list[Candidate], allow: WorkerPolicy
) -> tuple[tuple[Task, Worker], ...]:
    """Claim capacity for all members of a gang, or for none."""
    chosen: list[tuple[Task, Candidate]] = []
    for member in members:
        candidate = _find_place(member, candidates, group, allow)
        if candidate is None:
            candidates.unclaim(chosen)
            return ()
        candidates.claim(candidate, member)
        chosen.append((member, candidate))
    return tuple((member, claimed.worker) for member, claimed in chosen)


def _find_place(
    task: Task, candidates: Candidates, group: list[Candidate], allow: WorkerPolicy
) -> Candidate | None:
    """Find the worker for one task within a group of the candidates."""
    return candidates.find(task, _build_check(task, candidates, group, allow))


def _build_check(
    task: Task, candidates: Candidates, group: list[Candidate], allow: WorkerPolicy
) -> Callable[[Candidate], bool]:
    """Build the predicate whether a worker of a group may run a task, regardless of capacity."""
    step = task.step
    avoided = _find_avoided(task, group, candidates.now)
    group_ids = (
        None if group is candidates.all else {candidate.worker.info.id for candidate in group}
    )
    running_on = {run.worker for run in task.runs.values()}

    def is_accepted(candidate: Candidate) -> bool:
        info = candidate.worker.info
        if (
            info.id in avoided
            or info.id in running_on
            or not may_start_on(task, info.id)
            or not candidate.may_join(task, candidates.now)
        ):
            return False
        if group_ids is not None and info.id not in group_ids:
            return False
        if step.label and step.label not in info.labels:
            return False
        if step.max_per_worker and candidate.count_step_tasks(task) >= step.max_per_worker:
            return False
        return allow(task, candidate.worker)

    return is_accepted


def _find_avoided(task: Task, group: list[Candidate], now: float) -> set[str]:
    """Return the workers that a task avoids because it failed there.

    Such workers are avoided only while another worker could run the task, and for a limited time
    because that worker may stay full.
    """
    failed_on = task.failed_on
    if not failed_on or now - task.waiting_since > AVOID_FAILED_S:
        return set()
    for candidate in group:
        info = candidate.worker.info
        if info.id not in failed_on and has_capacity_for(task.step, info.labels, info.capacity):
            return failed_on
    return set()
