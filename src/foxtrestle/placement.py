"""Placement of jobs: choice of a worker, preemption for it, and refusal of impossible jobs.

The functions depend only on a `PlacementState`, which holds one region's workers and tasks and
keeps the workers' free capacity up to date. Quotas are soft: a team may borrow idle capacity beyond
its quota, and tasks on borrowed capacity are preempted first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Literal

import msgspec

from foxtrestle.usage import Usage, UsageModel

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.declaration import Team
    from foxtrestle.fleet import Shape

MAX_DISTINCT_FAILURES: Final = 3
"""Number of distinct jobs whose failures on a worker exclude the worker; also the number of
distinct workers on which a job fails before the job is given up."""
MAX_TASK_LOSSES: Final = 4
"""Losses of a job's task by workers that respond again, as after a crash, until the job is given
up. Such workers report no failure, so without a count a job that crashes workers would be retried
forever."""
BLAMELESS_RUN_S: Final = 600.0
"""Seconds of running after which the loss of a task does not count against its job: a job that
runs for weeks is lost in many crashes that it did not cause."""
EPSILON: Final = 1e-6
"""Tolerance for rounding errors when amounts of cores or memory are compared."""

TaskState = Literal[
    "waiting",
    "starting",
    "running",
    "evicting",
    "stopping",
    "impossible",
    "done",
    "failed",
    "cancelled",
]
"""States of `charts/task.toml`."""
ACTIVE_TASK_STATES: Final = frozenset({"starting", "running", "evicting", "stopping"})
"""States in which a task holds resources of a worker."""
FINAL_TASK_STATES: Final = frozenset({"done", "failed", "cancelled"})
"""States in which a task has ended."""


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """Job as its team has submitted it."""

    id: str
    """Unique id."""
    team: str
    """Team that submitted the job."""
    pool: str
    """Pool on whose workers the job runs."""
    cores: float
    """Declared cores."""
    memory_gb: float
    """Declared memory, GB."""
    command: str
    """Command to run."""
    accelerators: int = 0
    """Number of accelerators, which are not shared."""
    urgent: bool = False
    """Whether the job may preempt tasks of lower levels."""
    family: str = ""
    """Family of jobs whose usage is estimated together; empty for the job alone."""

    @property
    def kind(self) -> str:
        """Key of the usage estimate."""
        return f"{self.team}/{self.family or self.id}"

    @property
    def declared(self) -> Usage:
        """Declared resources."""
        return Usage(self.cores, self.memory_gb)


class Task(msgspec.Struct, frozen=True, omit_defaults=True):
    """Job with its progress."""

    job: Job
    """The job."""
    submitted: float
    """Wall time at which it was submitted, seconds."""
    state: TaskState = "waiting"
    """State of `charts/task.toml`."""
    attempt: int = 0
    """Number of the current or last attempt."""
    worker: str = ""
    """Worker of the current attempt."""
    since: float = 0.0
    """Wall time at which the state began, seconds."""
    started: float = 0.0
    """Wall time at which the current attempt was placed, seconds; work since then may be lost."""
    reserved: Usage = Usage(0.0, 0.0)
    """Resources reserved on the worker."""
    borrowed: bool = False
    """Whether the task runs beyond its team's quota."""
    failed_on: list[str] = []
    """Workers on which the job failed."""
    losses: int = 0
    """Number of times that a responding worker no longer had the task."""
    note: str = ""
    """Reason why the job waits, failed or cannot run."""


class Worker:
    """Worker with its free capacity."""

    __slots__ = (
        "free_accelerators",
        "free_cores",
        "free_memory_gb",
        "name",
        "pool",
        "shape",
        "tasks",
    )

    def __init__(self, name: str, pool: str, shape: Shape) -> None:
        """Create an empty worker."""
        self.name = name
        """Name of the host."""
        self.pool = pool
        """Pool of the host."""
        self.shape = shape
        """Resources of the host."""
        self.free_cores = float(shape.cores)
        """Free cores."""
        self.free_memory_gb = float(shape.memory_gb)
        """Free memory, GB."""
        self.free_accelerators = shape.accelerators
        """Free accelerators."""
        self.tasks: set[str] = set()
        """Ids of the jobs that hold resources."""

    def fits(self, need: Usage, accelerators: int) -> bool:
        """Return whether a task fits into the free capacity."""
        return (
            self.free_cores + EPSILON >= need.cores
            and self.free_memory_gb + EPSILON >= need.memory_gb
            and self.free_accelerators >= accelerators
        )


class Decision(msgspec.Struct, frozen=True):
    """Action to take for one task."""

    job: str
    """Id of the job."""
    action: Literal["place", "preempt", "wait", "refuse"]
    """Action to take."""
    worker: str = ""
    """Worker on which the task is placed or preempted."""
    note: str = ""
    """Reason, shown to the team."""
    borrowed: bool = False
    """Whether a placement exceeds the team's quota."""


class PlacementState:
    """Workers and tasks of one region, indexed for placement decisions."""

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        """Create a state without workers and tasks."""
        self.teams = {team.name: team for team in teams}
        """Teams by name."""
        self.workers: dict[str, Worker] = {}
        """Workers that may be given tasks, by name."""
        self.by_pool: dict[str, set[str]] = {}
        """Names of the workers of each pool."""
        self.tasks: dict[str, Task] = {}
        """Tasks by job id."""
        self.waiting: set[str] = set()
        """Ids of the waiting jobs."""
        self.used_by_team: dict[str, list[float]] = {}
        """Cores and accelerators that each team holds."""
        self.usage = UsageModel()
        """Estimates of the resources that jobs use."""
        self.failures: dict[str, set[str]] = {}
        """Ids of the jobs that failed on each worker since its last success."""
        self.excluded_workers: set[str] = set()
        """Workers that are given no tasks, as distinct jobs failed there in a row."""

    def add_worker(self, name: str, pool: str, shape: Shape) -> None:
        """Add a worker or move it to another pool."""
        current = self.workers.get(name)
        if current is not None and current.pool == pool and current.shape == shape:
            return
        self.remove_worker(name)
        worker = Worker(name, pool, shape)
        self.workers[name] = worker
        self.by_pool.setdefault(pool, set()).add(name)
        for task in self.tasks.values():
            if task.worker == name and task.state in ACTIVE_TASK_STATES:
                _reserve(worker, task)

    def remove_worker(self, name: str) -> None:
        """Remove a worker; its tasks are kept."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            self.by_pool[worker.pool].discard(name)

    def set_task(self, task: Task) -> None:
        """Add a task, or replace its former state."""
        old = self.tasks.get(task.job.id)
        if old is not None:
            self._update_counts(old, -1)
        self.tasks[task.job.id] = task
        self._update_counts(task, +1)

    def remove_task(self, job: str) -> None:
        """Remove a task."""
        old = self.tasks.pop(job, None)
        if old is not None:
            self._update_counts(old, -1)

    def level(self, job: Job) -> int:
        """Return the priority level of a job's team."""
        team = self.teams.get(job.team)
        return team.level if team else 0

    def is_within_quota(self, job: Job, need: Usage) -> bool:
        """Return whether a team stays within its quota with one more job."""
        team = self.teams.get(job.team)
        if team is None:
            return False
        cores, accelerators = self.used_by_team.get(job.team, (0.0, 0.0))
        return (
            cores + need.cores <= team.quota_cores + EPSILON
            and accelerators + job.accelerators <= team.quota_accelerators
        )

    def _update_counts(self, task: Task, sign: int) -> None:
        job = task.job
        if task.state == "waiting":
            (self.waiting.add if sign > 0 else self.waiting.discard)(job.id)
        if task.state not in ACTIVE_TASK_STATES:
            return
        team_usage = self.used_by_team.setdefault(job.team, [0.0, 0.0])
        team_usage[0] += sign * task.reserved.cores
        team_usage[1] += sign * job.accelerators
        worker = self.workers.get(task.worker)
        if worker is not None:
            (_reserve if sign > 0 else _release)(worker, task)


def _reserve(worker: Worker, task: Task) -> None:
    worker.free_cores -= task.reserved.cores
    worker.free_memory_gb -= task.reserved.memory_gb
    worker.free_accelerators -= task.job.accelerators
    worker.tasks.add(task.job.id)


def _release(worker: Worker, task: Task) -> None:
    if task.job.id not in worker.tasks:
        return
    worker.free_cores += task.reserved.cores
    worker.free_memory_gb += task.reserved.memory_gb
    worker.free_accelerators += task.job.accelerators
    worker.tasks.discard(task.job.id)


def sort_waiting_jobs(state: PlacementState) -> list[str]:
    """Sort the waiting jobs: urgent ones first, then by level, then by age."""

    def rank(name: str) -> tuple[bool, int, float, str]:
        task = state.tasks[name]
        return (not task.job.urgent, -state.level(task.job), task.submitted, name)

    return sorted(state.waiting, key=rank)


def decide_job(state: PlacementState, name: str, now: float) -> list[Decision]:
    """Decide about one waiting job.

    Returns:
        A placement; or preemptions that make room for the job, after which it is decided again; or
        a refusal if the job can never run; or the reason why it waits.
    """
    task = state.tasks[name]
    job = task.job
    need = state.usage.estimate(job.kind, job.declared)
    reason = explain_impossible(state, job, need)
    if reason:
        return [Decision(name, "refuse", note=reason)]
    within_quota = state.is_within_quota(job, need)
    worker = _choose_worker(state, task, need)
    if worker is not None:
        return [Decision(name, "place", worker.name, borrowed=not within_quota)]
    if _is_capacity_being_freed(state, task, need):
        return [Decision(name, "wait", note="room is being made")]
    if within_quota or job.urgent:
        victims = _choose_victims(state, task, need, now, within_quota=within_quota)
        if victims:
            return victims
    return [
        Decision(name, "wait", note=_explain_wait(state, task, need, within_quota=within_quota))
    ]


def explain_impossible(state: PlacementState, job: Job, need: Usage) -> str:
    """Explain why a job can never run on the workers of its pool; empty if it can."""
    names = state.by_pool.get(job.pool)
    if not names:
        return ""
    shapes = {state.workers[name].shape for name in names}
    for shape in shapes:
        if (
            shape.cores + EPSILON >= need.cores
            and shape.memory_gb + EPSILON >= need.memory_gb
            and shape.accelerators >= job.accelerators
        ):
            return ""
    largest = max(shapes)
    return (
        f"needs {need.cores:g} cores, {need.memory_gb:g} GB and {job.accelerators} accelerators; "
        f"the largest worker of pool {job.pool} has {largest.cores}, {largest.memory_gb} GB and "
        f"{largest.accelerators}"
    )


def _list_candidates(state: PlacementState, task: Task) -> list[Worker]:
    names = state.by_pool.get(task.job.pool, set()) - state.excluded_workers
    untried = names - set(task.failed_on)
    return [state.workers[name] for name in sorted(untried or names)]


def _choose_worker(state: PlacementState, task: Task, need: Usage) -> Worker | None:
    """Choose the fitting worker with the least free capacity (best fit)."""
    fitting = [
        worker
        for worker in _list_candidates(state, task)
        if worker.fits(need, task.job.accelerators)
    ]
    return min(fitting, key=_measure_free_capacity, default=None)


def _measure_free_capacity(worker: Worker) -> tuple[int, float, str]:
    share = worker.free_cores / max(1, worker.shape.cores)
    return (
        worker.free_accelerators,
        share + worker.free_memory_gb / max(1, worker.shape.memory_gb),
        worker.name,
    )


def _is_capacity_being_freed(state: PlacementState, task: Task, need: Usage) -> bool:
    """Return whether tasks that are already being stopped will free enough capacity."""
    for worker in _list_candidates(state, task):
        stopping = [
            state.tasks[name]
            for name in worker.tasks
            if state.tasks[name].state in ("evicting", "stopping")
        ]
        if stopping and _fits_without(worker, stopping, need, task.job.accelerators):
            return True
    return False


def _fits_without(worker: Worker, ending: Iterable[Task], need: Usage, accelerators: int) -> bool:
    """Return whether a job fits on a worker once the given tasks have ended there."""
    free_cores, free_memory_gb, free_accelerators = (
        worker.free_cores,
        worker.free_memory_gb,
        worker.free_accelerators,
    )
    for task in ending:
        free_cores += task.reserved.cores
        free_memory_gb += task.reserved.memory_gb
        free_accelerators += task.job.accelerators
    return (
        free_cores + EPSILON >= need.cores
        and free_memory_gb + EPSILON >= need.memory_gb
        and free_accelerators >= accelerators
    )


def _choose_victims(
    state: PlacementState, task: Task, need: Usage, now: float, *, within_quota: bool
) -> list[Decision]:
    """Choose the tasks to preempt: on the worker where they rank lowest and lose the least work."""
    best: tuple[tuple[int, float, int, str], list[Task]] | None = None
    for worker in _list_candidates(state, task):
        victims = _find_victims(state, worker, task, need, now, within_quota=within_quota)
        if not victims:
            continue
        highest_rank = max(_rank_for_preemption(state, victim) for victim in victims)
        lost_work_s = sum(now - victim.started for victim in victims)
        key = (highest_rank, lost_work_s, len(victims), worker.name)
        if best is None or key < best[0]:
            best = (key, victims)
    if best is None:
        return []
    note = f"makes room for {task.job.id}"
    return [Decision(victim.job.id, "preempt", victim.worker, note) for victim in best[1]]


def _rank_for_preemption(state: PlacementState, task: Task) -> int:
    """Return a task's rank for preemption, lowest first: borrowed capacity, then the level."""
    return -1 if task.borrowed else state.level(task.job)


def _find_victims(
    state: PlacementState,
    worker: Worker,
    task: Task,
    need: Usage,
    now: float,
    *,
    within_quota: bool,
) -> list[Task]:
    """Find the lowest-ranking tasks of a worker that together free enough capacity; else none."""
    level = state.level(task.job)
    allowed = [
        other
        for other in (state.tasks[name] for name in worker.tasks)
        if other.state in ("starting", "running")
        and _may_preempt(state, task, other, level, within_quota)
    ]
    allowed.sort(
        key=lambda other: (_rank_for_preemption(state, other), now - other.started, other.job.id)
    )
    chosen: list[Task] = []
    for other in allowed:
        if _fits_without(worker, chosen, need, task.job.accelerators):
            break
        chosen.append(other)
    if not _fits_without(worker, chosen, need, task.job.accelerators):
        return []
    return _drop_unneeded(worker, chosen, need, task.job.accelerators)


def _may_preempt(
    state: PlacementState, task: Task, other: Task, level: int, within_quota: bool
) -> bool:
    if other.job.urgent and not other.borrowed:
        return False
    if within_quota and other.borrowed and other.job.team != task.job.team:
        return True
    return task.job.urgent and state.level(other.job) < level


def _drop_unneeded(
    worker: Worker, chosen: list[Task], need: Usage, accelerators: int
) -> list[Task]:
    """Drop victims that need not be preempted for the job to fit, highest rank first."""
    needed = list(chosen)
    for victim in reversed(chosen):
        remaining = [other for other in needed if other is not victim]
        if _fits_without(worker, remaining, need, accelerators):
            needed = remaining
    return needed


def _explain_wait(state: PlacementState, task: Task, need: Usage, *, within_quota: bool) -> str:
    names = state.by_pool.get(task.job.pool, set())
    if not names:
        return f"pool {task.job.pool} has no worker up"
    excluded = len(names & state.excluded_workers)
    quota = "inside" if within_quota else "beyond"
    return (
        f"none of {len(names)} workers of pool {task.job.pool} ({excluded} condemned) has "
        f"{need.cores:g} cores, {need.memory_gb:g} GB and {task.job.accelerators} accelerators "
        f"free; the team is {quota} its quota"
    )


def record_failure(
    state: PlacementState, name: str, worker: str
) -> Literal["retry", "condemn-job"]:
    """Record that a job failed on a worker, and decide whether the job is retried.

    A worker is excluded when distinct jobs fail on it in a row, and a job is given up when it fails
    on distinct workers. The failures on an excluded worker no longer count against jobs, and those
    of a job that is given up no longer count against workers, so that one bad job does not get good
    workers excluded, nor one bad worker good jobs given up.
    """
    task = state.tasks[name]
    failed_on = sorted({*task.failed_on, worker} - state.excluded_workers)
    if len(failed_on) >= MAX_DISTINCT_FAILURES:
        for jobs in state.failures.values():
            jobs.discard(name)
        return "condemn-job"
    state.set_task(msgspec.structs.replace(task, failed_on=failed_on))
    jobs = state.failures.setdefault(worker, set())
    jobs.add(name)
    if len(jobs) >= MAX_DISTINCT_FAILURES and worker not in state.excluded_workers:
        state.excluded_workers.add(worker)
        _discard_failures(state, jobs, worker)
    return "retry"


def record_task_loss(
    state: PlacementState, name: str, now: float
) -> Literal["retry", "condemn-job"]:
    """Record that a responding worker lost a job's task, and decide whether the job is retried."""
    task = state.tasks[name]
    ran_long = task.state == "running" and now - task.since > BLAMELESS_RUN_S
    losses = 0 if ran_long else task.losses + 1
    state.set_task(msgspec.structs.replace(task, losses=losses))
    return "condemn-job" if losses >= MAX_TASK_LOSSES else "retry"


def _discard_failures(state: PlacementState, jobs: set[str], worker: str) -> None:
    for name in jobs:
        task = state.tasks.get(name)
        if task is not None:
            failed_on = [other for other in task.failed_on if other != worker]
            state.set_task(msgspec.structs.replace(task, failed_on=failed_on))


def record_success(state: PlacementState, worker: str) -> None:
    """Record that a job succeeded on a worker."""
    state.failures.pop(worker, None)
