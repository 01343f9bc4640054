"""Reservations of whole hosts for steps that need several, which prevents a deadlock between them.

Each pool gets hosts by its own load and waiting tasks. Two pools that each need most of the hosts
for a gang, or for tasks as large as a host, would take hosts from each other repeatedly, and
neither step would start. A step that has waited for `RESERVATION_WAIT_S` therefore gets a
reservation: enough hosts for the whole step are chosen, moved to its pool and kept free for it.
Other steps cannot use these hosts until the step starts or the reservation expires.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeAlias

import msgspec

from foxtrestle.scheduling.eligibility import has_capacity_for, is_usable
from foxtrestle.scheduling.host_requirements import find_smallest_capacity
from foxtrestle.scheduling.share_limits import justifies_scale_up
from foxtrestle.scheduling.unsettled_starts import is_restricted

if TYPE_CHECKING:
    from collections.abc import Iterator

    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.model import Shape, Step
    from foxtrestle.scheduling.state import Fleet

StepKey: TypeAlias = tuple[str, int, int]
"""Identifies a step of a job: job, repetition, step."""

RESERVATION_WAIT_S: Final = 2.5
"""Seconds of waiting after which a step gets a reservation. An idle host of another pool arrives in
2 s, so most waits end earlier."""
MAX_RESERVATION_S: Final = 8.0
"""Maximum duration of a reservation, seconds; its hosts may be idle for that long. Tasks on them
end in 1 to 3 s, a move takes 2 s, and a failed start is repeated once. Then other steps get
reservations."""


class HostReservation(msgspec.Struct, frozen=True):
    """Hosts that are reserved for one step."""

    step_key: StepKey
    """Job, repetition and step."""
    pool: str
    """Pool whose workers run the step."""
    hosts: frozenset[str]
    """Names of the reserved hosts."""
    since: float
    """Monotonic time at which the reservation began, seconds."""


class _Candidate(msgspec.Struct, frozen=True):
    """A waiting step that may get a reservation."""

    step_key: StepKey
    entry: JobEntry
    step: Step
    members: int
    """Number of tasks that must start together."""
    waiting_since: float


def update_reservation(
    fleet: Fleet, views: dict[str, HostView], now: float, *, may_move: bool = True
) -> HostReservation | None:
    """Keep or end the current reservation, or make one; return the reservation that applies now.

    Args:
        fleet: The state.
        views: All hosts.
        now: Monotonic time, seconds.
        may_move: Whether hosts can be moved now; if not, only hosts of the step's pool are
            reserved, and the others go on serving theirs.
    """
    smallest = find_smallest_capacity(views.values())
    candidates = {candidate.step_key: candidate for candidate in _list_candidates(fleet, smallest)}
    current = fleet.reservation
    if current is not None:
        if (
            current.step_key in candidates
            and now - current.since < MAX_RESERVATION_S
            and _are_hosts_usable(current, views, may_move=may_move)
        ):
            return current
        fleet.reservation_ends[current.step_key] = now
        fleet.reservation = None
    fleet.reservation_ends = {
        step_key: at
        for step_key, at in fleet.reservation_ends.items()
        if step_key[0] in fleet.active
    }
    waiting = [
        candidate
        for candidate in candidates.values()
        if now - candidate.waiting_since > RESERVATION_WAIT_S
    ]
    # Steps without an earlier reservation come first, then those whose last one ended longest ago.
    waiting.sort(
        key=lambda candidate: (
            fleet.reservation_ends.get(candidate.step_key, 0.0),
            candidate.entry.job.priority,
            candidate.waiting_since,
            candidate.step_key,
        )
    )
    for candidate in waiting:
        hosts = _choose_hosts(candidate, fleet, views, now, may_move=may_move)
        if hosts:
            fleet.reservation = HostReservation(
                candidate.step_key, candidate.entry.job.pool, hosts, now
            )
            break
    return fleet.reservation


def _are_hosts_usable(
    reservation: HostReservation, views: dict[str, HostView], *, may_move: bool
) -> bool:
    """Return whether all reserved hosts are listed, in no drained zone, and can get to the pool."""
    return all(
        name in views
        and not views[name].drained
        and (may_move or _is_in_pool(views[name], reservation.pool))
        for name in reservation.hosts
    )


def _is_in_pool(view: HostView, pool: str) -> bool:
    """Return whether a host is in a pool, or has been ordered there."""
    ordered = view.plan is not None and view.plan.state != "emptying" and view.plan.pool == pool
    return ordered or view.pool == pool


def _list_candidates(fleet: Fleet, smallest: Shape) -> Iterator[_Candidate]:
    """List the waiting steps that not every free host could run.

    Other tasks start as soon as capacity is free: under overload, reservations for the oldest of
    them would delay those that can still meet their objective.
    """
    for entry in fleet.active.values():
        if not justifies_scale_up(fleet, entry, constrained=True):
            continue
        oldest: dict[StepKey, _Candidate] = {}
        restricted = {key[:3] for key, task in entry.ready.items() if is_restricted(task)}
        for key, task in entry.ready.items():
            step_key = key[:3]
            if is_restricted(task) or (task.step.gang and step_key in restricted):
                # It waits for one worker, and a gang waits for each of its members.
                continue
            if not task.step.gang and has_capacity_for(task.step, (), smallest):
                continue
            earlier = oldest.get(step_key)
            waiting_since = (
                min(task.waiting_since, earlier.waiting_since) if earlier else task.waiting_since
            )
            members = _count_unfinished(entry, step_key) if task.step.gang else 1
            oldest[step_key] = _Candidate(step_key, entry, task.step, members, waiting_since)
        yield from oldest.values()


def _count_unfinished(entry: JobEntry, step_key: StepKey) -> int:
    return sum(1 for key, task in entry.tasks.items() if key[:3] == step_key and not task.done)


def _choose_hosts(
    candidate: _Candidate, fleet: Fleet, views: dict[str, HostView], now: float, *, may_move: bool
) -> frozenset[str]:
    """Choose hosts that can hold a whole step; none if there are not enough.

    Hosts of the step's pool are chosen first, then powered-off ones, then the least busy; each
    other pool with active jobs keeps one host.
    """
    pool = candidate.entry.job.pool
    hosts_left = _count_by_pool(fleet, views)
    chosen: list[str] = []
    missing = candidate.members
    ranked = sorted(views.items(), key=lambda item: _rank_host(pool, item[1]))
    for name, view in ranked:
        slots = min(missing, _count_task_slots(candidate.step, view, pool, now))
        if not slots or not (may_move or _is_in_pool(view, pool)):
            continue
        if view.pool != pool and hosts_left.get(view.pool, 0) == 1:
            continue
        if view.pool in hosts_left:
            hosts_left[view.pool] -= 1
        chosen.append(name)
        missing -= slots
        if not missing:
            return frozenset(chosen)
    return frozenset()


def _count_by_pool(fleet: Fleet, views: dict[str, HostView]) -> dict[str, int]:
    """Count the hosts of each pool with active jobs."""
    active_pools = {entry.job.pool for entry in fleet.active.values()}
    counts = dict.fromkeys(active_pools, 0)
    for view in views.values():
        if view.pool in counts:
            counts[view.pool] += 1
    return counts


def _rank_host(pool: str, view: HostView) -> tuple[bool, bool, bool, int, str]:
    worker = view.worker
    used = worker.used.cpu if worker is not None else 0
    return view.pool != pool, worker is not None, not view.is_idle(), used, view.info.name


def _count_task_slots(step: Step, view: HostView, pool: str, now: float) -> int:
    """Return how many tasks of a step a host can hold once only its long-running tasks are left."""
    worker, plan = view.worker, view.plan
    if view.drained or view.info.state in {"down", "upkeep"} or (plan is not None and plan.wave):
        return 0
    capacity = view.capacity
    if worker is not None and not worker.entry_gone:
        if worker.info.draining or (plan is None and not is_usable(worker, now)):
            return 0
        if worker.lasting_count and view.pool != pool:
            return 0
        capacity = capacity.minus(worker.lasting_used)
    if not has_capacity_for(step, view.info.labels, capacity):
        return 0
    per_task = step.reserved_shape
    parts = [
        (capacity.cpu, per_task.cpu),
        (capacity.memory_mb, per_task.memory_mb),
        (capacity.gpu, per_task.gpu),
    ]
    counts = [whole // part for whole, part in parts if part]
    return min([*counts, step.max_per_worker or step.count, step.count])
