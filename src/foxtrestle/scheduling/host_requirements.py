"""Host requirements: hosts with a label, or with enough capacity for a large task, that tasks need.

A pool gets hosts according to its load, without regard to their kind. A task that only some hosts
can run may then wait beside free hosts that cannot run it: six tasks waited 25 s for one worker
with their label while most of the fleet's capacity was free.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.eligibility import ANSWER_OVERDUE_S, has_capacity_for
from foxtrestle.scheduling.load import compute_dominant_share
from foxtrestle.scheduling.model import Shape, Step
from foxtrestle.scheduling.share_limits import justifies_scale_up
from foxtrestle.scheduling.unsettled_starts import is_restricted

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.jobs import JobEntry, Task
    from foxtrestle.scheduling.state import Fleet

EXTRA_HOST_INTERVAL_S: Final = 2.0
"""Seconds of waiting after which tasks that only some hosts can run get one more such host; the
time that a host takes to arrive. The load of the tasks gives the number of hosts they need, but the
free capacity may be fragmented."""
FORCED_MOVE_AFTER_S: Final = 2.0
"""Seconds that a task which only some hosts can run waits before such a host is moved out of a pool
that needs it, one at a time, even if the requesting pool has other such hosts: these may be full of
long-running tasks."""
MAX_LARGE_STEPS: Final = 8
"""Maximum number of large steps of a pool that are examined, oldest first: each is compared with
every host, and the next ones are examined when these have been placed."""


class HostRequirement(msgspec.Struct, frozen=True):
    """Number of hosts of a kind that a pool requires for particular tasks."""

    pool: str
    """Name of the pool."""
    step: Step
    """A step that the hosts must be able to run."""
    hosts: int
    """Number of such hosts that the pool should have."""
    waited_s: float
    """Seconds that a task has waited for such a host; negative if none waits."""

    def is_satisfied_by(self, view: HostView) -> bool:
        """Return whether a host can run the step."""
        return has_capacity_for(self.step, view.info.labels, view.capacity)


def find_host_requirements(
    fleet: Fleet, views: dict[str, HostView], host: Shape, now: float
) -> list[HostRequirement]:
    """Find the requirements of tasks that not every host can run.

    Args:
        fleet: The state.
        views: All hosts.
        host: Capacity of the mean host.
        now: Monotonic time, seconds.
    """
    smallest = find_smallest_capacity(views.values())
    labelled: dict[tuple[str, str], list[JobEntry]] = {}
    large_steps: dict[str, list[HostRequirement]] = {}
    for entry in fleet.active.values():
        if not justifies_scale_up(fleet, entry, constrained=True):
            continue
        pool = entry.job.pool
        for label in {step.label for step in entry.job.spec.steps if step.label}:
            labelled.setdefault((pool, label), []).append(entry)
        for number, step in enumerate(entry.job.spec.steps):
            pool_requirements = large_steps.setdefault(pool, [])
            if len(pool_requirements) == MAX_LARGE_STEPS or has_capacity_for(
                step, (step.label,), smallest
            ):
                continue
            waits = [now - task.waiting_since for key, task in entry.ready.items()
                     if key.step == number and not is_restricted(task)]  # fmt: skip
            if waits:
                pool_requirements.append(HostRequirement(pool, step, 1, max(waits)))
    requirements = [
        requirement
        for pool_requirements in large_steps.values()
        for requirement in pool_requirements
    ]
    for (pool, label), entries in labelled.items():
        requirement = _build_label_requirement(fleet, pool, label, entries, host, now)
        if requirement is not None:
            requirements.append(requirement)
    return requirements


def find_smallest_capacity(views: Iterable[HostView]) -> Shape:
    """Return the smallest capacity of any host, separately for each resource.

    The capacity is that of the host list: a worker whose capacity has shrunk temporarily must not
    make all tasks require particular hosts.
    """
    capacities = [view.info.capacity for view in views if view.info.capacity.cpu]
    if not capacities:
        return Shape()
    return Shape(
        min(capacity.cpu for capacity in capacities),
        min(capacity.memory_mb for capacity in capacities),
        min(capacity.gpu for capacity in capacities),
    )


def _build_label_requirement(
    fleet: Fleet, pool: str, label: str, entries: list[JobEntry], host: Shape, now: float
) -> HostRequirement | None:
    """Return how many hosts with a label the waiting and placed tasks that need it require."""
    tasks = 0
    load = 0.0
    spread = 1
    waited_s = -1.0
    for entry in entries:
        spread = max(spread, *(_find_spread(step, label) for step in entry.job.spec.steps))
        for task in entry.tasks.values():
            if task.step.label != label or task.done or task.given_up:
                continue
            tasks += 1
            load += compute_dominant_share(task.step.shape, host)
            waited_s = max(waited_s, _measure_wait(fleet, entry, task, now))
    if not tasks:
        return None
    extra = int(waited_s / EXTRA_HOST_INTERVAL_S) if waited_s > 0 else 0
    hosts = max(spread, ceil(load)) + extra
    return HostRequirement(pool, Step(label=label), hosts, waited_s)


def _measure_wait(fleet: Fleet, entry: JobEntry, task: Task, now: float) -> float:
    """Return the seconds that a task has waited for a worker; negative if it does not wait.

    A long-running task on a host that is being emptied waits for another host. A long-running task
    in a drained zone does too, but its wait counts as 0 s, so that it never forces a move
    (`FORCED_MOVE_AFTER_S`) out of a pool that needs the host.
    """
    if task.key in entry.ready:
        if is_restricted(task):
            return -1.0
        return now - task.waiting_since
    for run in task.runs.values() if task.step.lasting else ():
        worker = fleet.workers.get(run.worker)
        if worker is not None and worker.drained:
            return 0.0
        plan = fleet.plans.get(run.host)
        if plan is not None and plan.state == "emptying":
            return now - plan.changed_at
    return -1.0


def has_host_in_transit(requirement: HostRequirement, views: Iterable[HostView]) -> bool:
    """Return whether a host that satisfies a requirement is being moved to the pool."""
    return any(
        view.plan is not None
        and not view.plan.wave
        and not view.drained
        and view.plan.pool == requirement.pool
        and requirement.is_satisfied_by(view)
        for view in views
    )


def _find_spread(step: Step, label: str) -> int:
    """Return over how many hosts the long-running tasks of a step must be spread."""
    if step.label != label or not step.lasting or not step.max_per_worker:
        return 1
    return ceil(step.count / step.max_per_worker)


def count_matching_hosts(
    requirement: HostRequirement, views: Iterable[HostView], now: float
) -> int:
    """Count the hosts that satisfy a requirement and serve its pool or are being moved to it."""
    return sum(1 for view in views if _is_matching(requirement, view, now))


def _is_matching(requirement: HostRequirement, view: HostView, now: float) -> bool:
    plan, worker = view.plan, view.worker
    if view.drained or not requirement.is_satisfied_by(view):
        return False
    if plan is not None:
        return plan.pool == requirement.pool and not plan.wave
    if worker is None or worker.entry_gone or worker.info.draining:
        return False
    return view.pool == requirement.pool and now - worker.last_answer_at < ANSWER_OVERDUE_S


def list_retained_hosts(
    requirements: Iterable[HostRequirement], views: dict[str, HostView], now: float
) -> frozenset[str]:
    """List hosts that must stay in a pool, or complete a move to it, because tasks require them."""
    retained: set[str] = set()
    for requirement in requirements:
        matching = [name for name, view in views.items() if _is_matching(requirement, view, now)]
        # Prefer to retain hosts that run tasks; idle ones may be moved.
        matching.sort(key=lambda name: (views[name].is_idle(), name))
        retained.update(matching[: requirement.hosts])
    return frozenset(retained)
