"""Workers of one pool, ordered by preference for new tasks, during one scheduling round.

A round places several hundred tasks. Checking every worker of the pool for each task would block so
long that leases are not renewed in time. The workers are therefore kept sorted by free capacity, so
that each task finds a worker after a few checks.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from functools import reduce
from typing import TYPE_CHECKING, Final, TypeAlias

from foxtrestle.scheduling.crashes import FRESH_S
from foxtrestle.scheduling.eligibility import is_less_suitable, is_suspect
from foxtrestle.scheduling.model import Shape
from foxtrestle.scheduling.topology_spread import ZoneRackCounts
from foxtrestle.scheduling.unsettled_acknowledgements import may_try

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from foxtrestle.scheduling.jobs import Task
    from foxtrestle.scheduling.model import Step
    from foxtrestle.scheduling.reservations import HostReservation, StepKey
    from foxtrestle.scheduling.workers import Worker

ANY_CPU: Final = -1_000_000_000
"""CPU that must be free for a best-effort task (`fills`), thousandths of a core: lower than any
possible amount of free CPU, which is negative on an overcommitted worker."""

NeededCapacity: TypeAlias = tuple[int, int, int]
"""Capacity that must be free for a task: thousandths of a core, MB of memory, accelerators."""


def get_needed_capacity(step: Step) -> NeededCapacity:
    """Return the capacity that must be free for a task of a step."""
    shape = step.shape
    return (ANY_CPU if step.fills else shape.cpu), shape.memory_mb, shape.gpu


def _is_enough(cpu: int, memory_mb: int, gpu: int, needed: NeededCapacity) -> bool:
    return cpu >= needed[0] and memory_mb >= needed[1] and gpu >= needed[2]


class Candidate:
    """A worker with the capacity that is still free in this round."""

    __slots__ = (
        "busy",
        "cpu",
        "gpu",
        "memory_mb",
        "placed",
        "probation_job",
        "reserved",
        "reserved_for",
        "trial_gang",
        "worker",
    )

    def __init__(self, worker: Worker, reserved_for: StepKey | None = None) -> None:
        """Create a candidate on which this round has placed nothing."""
        capacity, used = worker.info.capacity, worker.used
        self.worker = worker
        """The worker."""
        self.cpu = capacity.cpu - used.cpu
        """Free CPU, thousandths of a core; negative on an overcommitted worker."""
        self.memory_mb = capacity.memory_mb - used.memory_mb
        """Free memory, MB."""
        self.gpu = capacity.gpu - used.gpu
        """Free accelerators."""
        self.busy = len(worker.runs) > worker.lasting_count
        """Whether the worker runs a task that ends, or got any task in this round; a suspect worker
        gets a task on trial only while this is false. Long-running tasks of earlier rounds do not
        count: they never end, so one of them would keep the worker from ever being tried again."""
        self.reserved_for = reserved_for
        """The only step whose tasks the worker may get; None for any."""
        self.reserved = False
        """Whether the worker's capacity is reserved for a task that waits until enough of it is
        free."""
        self.probation_job = ""
        """Job of the tasks on probation that this round has placed on the worker, to which it adds
        no other job's tasks; empty if there are none."""
        self.trial_gang: tuple[str, int, int] | None = None
        """Gang whose members this round has placed on the worker, by job, repetition and step."""
        self.placed: Counter[tuple[str, int, int]] = Counter()
        """Number of tasks that this round has placed on the worker, by job, repetition and step."""

    def has_capacity(self, needed: NeededCapacity) -> bool:
        """Return whether the needed capacity is free."""
        return not self.reserved and _is_enough(self.cpu, self.memory_mb, self.gpu, needed)

    def has_capacity_when_idle(self, needed: NeededCapacity) -> bool:
        """Return whether the needed capacity is free once all tasks that end have ended."""
        free = self.worker.info.capacity.minus(self.worker.lasting_used)
        return not self.reserved and _is_enough(free.cpu, free.memory_mb, free.gpu, needed)

    def may_run_on_trial(self, task: Task) -> bool:
        """Return whether a suspect worker may get a task: one at a time, or members of one gang.

        A gang starts as a whole or not at all. If all workers are suspect and there are fewer
        workers than members, the gang could otherwise never start.
        """
        return not self.busy or (task.step.gang and self.trial_gang == task.key[:3])

    def may_join(self, task: Task, now: float) -> bool:
        """Return whether a task may run beside the tasks that the worker has or is reserved for.

        Only tasks of the same job may join tasks on probation. A task on probation is not placed on
        a worker with a run that started less than `FRESH_S` ago: that run might cause a crash which
        would be attributed to the task.
        """
        if self.worker.may_lack_ends and (self.busy or not may_try(task, now)):
            return False
        if self.reserved_for not in {None, task.key[:3]}:
            return False
        if self.probation_job:
            return task.probation and task.key.job == self.probation_job
        if not task.probation:
            return True
        return not any(self.placed.values()) and not self.worker.has_recent_run(now, FRESH_S)

    def count_step_tasks(self, task: Task) -> int:
        """Count the tasks of the same step that the worker runs or got in this round."""
        step_key = task.key[:3]
        return self.placed[step_key] + sum(1 for key, _ in self.worker.runs if key[:3] == step_key)


class Candidates:
    """The usable workers of one pool: least free CPU first, cold and suspect workers last.

    Cold workers are still warming up; suspect workers are suspected of causing the failures of
    their tasks.
    """

    def __init__(
        self,
        workers: Iterable[Worker],
        now: float,
        reservation: HostReservation | None = None,
        spread_over: Sequence[Worker] | None = None,
    ) -> None:
        """Index some workers.

        Args:
            workers: Usable workers of one pool.
            now: Monotonic time of the round, seconds.
            reservation: Hosts reserved for a waiting step, if any.
            spread_over: All workers of the pool, usable or not, if long-running tasks are spread
                over zones and racks; None if they are packed like others.
        """
        self.now = now
        """Monotonic time of the round, seconds."""
        reserved_hosts = reservation.hosts if reservation is not None else frozenset()
        step_key = reservation.step_key if reservation is not None else None
        self.all = [
            Candidate(worker, step_key if worker.info.host in reserved_hosts else None)
            for worker in workers
        ]
        """All candidates."""
        self._suspects = [candidate for candidate in self.all if is_suspect(candidate.worker)]
        self._less_suitable = [
            candidate
            for candidate in self.all
            if is_less_suitable(candidate.worker) and not is_suspect(candidate.worker)
        ]
        preferred = (candidate for candidate in self.all if not _is_last_resort(candidate.worker))
        self._preferred = sorted(
            (candidate.cpu, candidate.worker.info.id, candidate) for candidate in preferred
        )
        self._capacity = sum_shapes(candidate.worker.info.capacity for candidate in self.all)
        self._free = [
            sum(candidate.cpu for candidate in self.all),
            sum(candidate.memory_mb for candidate in self.all),
        ]
        self._racks: dict[str, list[Candidate]] = {}
        self._unavailable: list[NeededCapacity] = []
        self._spread_over = spread_over
        self._step_counts: dict[tuple[str, int, int], ZoneRackCounts] = {}

    def measure_utilisation(self) -> float:
        """Return the used fraction of the pool's CPU or memory, whichever is larger."""
        capacity = self._capacity
        free_cpu, free_memory_mb = self._free
        return max(
            1 - free_cpu / capacity.cpu if capacity.cpu else 0.0,
            1 - free_memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
        )

    def find(self, task: Task, accept: Callable[[Candidate], bool]) -> Candidate | None:
        """Find the best worker for a task: not suspect, near its data, with the least free CPU.

        A long-running task that is spread gets a worker in the zone and rack with the fewest tasks
        of its step.

        Args:
            task: The task.
            accept: Returns whether the task may run on a worker with enough free capacity.
        """
        needed = get_needed_capacity(task.step)
        if self._is_unavailable(needed):
            return None
        any_with_capacity = False
        candidates = self._list_with_capacity(task, needed)
        if task.step.lasting and self._spread_over is not None:
            candidates = self._spread(task, candidates, self._spread_over)
        for candidate in candidates:
            any_with_capacity = True
            if accept(candidate):
                return candidate
        if not any_with_capacity:
            self._record_unavailable(needed)
        return None

    def reserve(self, task: Task, accept: Callable[[Candidate], bool]) -> None:
        """Reserve, for the rest of the round, the worker that can hold a task soonest.

        Smaller tasks that follow would otherwise take all capacity that becomes free. As the
        reserved worker gets no new tasks, it remains the one with the most free capacity in the
        next rounds.

        Args:
            task: A task for which no worker was found.
            accept: Returns whether the task may run on a worker.
        """
        needed = get_needed_capacity(task.step)
        fitting = [
            candidate
            for candidate in self.all
            if candidate.has_capacity_when_idle(needed) and accept(candidate)
        ]
        if fitting:
            min(fitting, key=_rank_reserve).reserved = True

    def claim(self, candidate: Candidate, task: Task) -> None:
        """Account for a task that this round has placed."""
        self._add_to_counts(candidate, task, 1)
        if task.probation:
            candidate.probation_job = task.key.job
        self._change_free_capacity(candidate, task.step, -1)
        if not candidate.busy and task.step.gang:
            candidate.trial_gang = task.key[:3]
        candidate.busy = True

    def unclaim(self, placed: Iterable[tuple[Task, Candidate]]) -> None:
        """Undo the claims for a gang that cannot be placed as a whole."""
        for task, candidate in placed:
            self._add_to_counts(candidate, task, -1)
            self._change_free_capacity(candidate, task.step, 1)
            candidate.busy = len(candidate.worker.runs) > candidate.worker.lasting_count or any(
                candidate.placed.values()
            )
            candidate.trial_gang = candidate.trial_gang if candidate.busy else None
            candidate.probation_job = (
                candidate.probation_job if any(candidate.placed.values()) else ""
            )
        self._unavailable.clear()

    def _add_to_counts(self, candidate: Candidate, task: Task, count: int) -> None:
        step_key = task.key[:3]
        candidate.placed[step_key] += count
        if step_key in self._step_counts:
            self._step_counts[step_key].add(candidate.worker.info, count)

    def _spread(
        self, task: Task, candidates: Iterable[Candidate], workers: Sequence[Worker]
    ) -> Iterator[Candidate]:
        """Order candidates by the number of the step's tasks in their zone and rack.

        Suspect state and distance to the data take precedence; among equal candidates the order is
        kept.
        """
        step_key = task.key[:3]
        if step_key not in self._step_counts:
            self._step_counts[step_key] = ZoneRackCounts(step_key, workers)
            for candidate in self.all:
                self._step_counts[step_key].add(candidate.worker.info, candidate.placed[step_key])
        counts = self._step_counts[step_key]
        rack = task.step.data_rack

        def rank(candidate: Candidate) -> tuple[bool, bool, tuple[int, int]]:
            info = candidate.worker.info
            far = bool(rack) and rack not in info.labels
            return is_suspect(candidate.worker), far, counts.rank(info)

        unique = {candidate.worker.info.id: candidate for candidate in candidates}
        yield from sorted(unique.values(), key=rank)

    def _list_with_capacity(self, task: Task, needed: NeededCapacity) -> Iterator[Candidate]:
        """List the candidates with enough free capacity, best first; some appear twice."""
        rack = task.step.data_rack
        if rack:
            near = [
                candidate for candidate in self._list_rack(rack) if candidate.has_capacity(needed)
            ]
            yield from sorted(near, key=_rank)
        preferred = self._preferred[bisect_left(self._preferred, (needed[0],)) :]
        # A task on probation takes the emptiest worker: if the worker crashes, the fewest tasks are
        # lost with it.
        for _, _, candidate in reversed(preferred) if task.probation else preferred:
            if candidate.has_capacity(needed):
                yield candidate
        if self._less_suitable:
            yield from sorted(
                (candidate for candidate in self._less_suitable if candidate.has_capacity(needed)),
                key=_rank,
            )
        # A suspect worker gets one task at a time.
        idle = [
            candidate
            for candidate in self._suspects
            if candidate.may_run_on_trial(task) and candidate.has_capacity(needed)
        ]
        yield from sorted(
            idle, key=lambda candidate: (rack not in candidate.worker.info.labels, _rank(candidate))
        )

    def _list_rack(self, rack: str) -> list[Candidate]:
        if rack not in self._racks:
            preferred = (candidate for _, _, candidate in self._preferred)
            self._racks[rack] = [
                candidate for candidate in preferred if rack in candidate.worker.info.labels
            ]
        return self._racks[rack]

    def _change_free_capacity(self, candidate: Candidate, step: Step, sign: int) -> None:
        """Change the free capacity of a candidate and keep the sort order."""
        worker = candidate.worker
        preferred = not _is_last_resort(worker)
        if preferred:
            del self._preferred[bisect_left(self._preferred, (candidate.cpu, worker.info.id))]
        taken = step.reserved_shape
        candidate.cpu += sign * taken.cpu
        candidate.memory_mb += sign * taken.memory_mb
        candidate.gpu += sign * taken.gpu
        self._free[0] += sign * taken.cpu
        self._free[1] += sign * taken.memory_mb
        if preferred:
            insort(self._preferred, (candidate.cpu, worker.info.id, candidate))

    def _is_unavailable(self, needed: NeededCapacity) -> bool:
        """Return whether no candidate has the needed capacity, as shown by an earlier search.

        A search for no more than this capacity has failed, and free capacity has not grown since:
        when claims are undone, the failed searches are forgotten.
        """
        cpu, memory_mb, gpu = needed
        return any(
            other[0] <= cpu and other[1] <= memory_mb and other[2] <= gpu
            for other in self._unavailable
        )

    def _record_unavailable(self, needed: NeededCapacity) -> None:
        cpu, memory_mb, gpu = needed
        self._unavailable = [
            other
            for other in self._unavailable
            if other[0] < cpu or other[1] < memory_mb or other[2] < gpu
        ]
        self._unavailable.append(needed)


def _is_last_resort(worker: Worker) -> bool:
    """Return whether a worker is used only after all workers that have nothing against them."""
    return is_suspect(worker) or is_less_suitable(worker)


def sum_shapes(shapes: Iterable[Shape]) -> Shape:
    """Return the sum of some shapes."""
    return reduce(Shape.plus, shapes, Shape())


def _rank(candidate: Candidate) -> tuple[int, str]:
    return candidate.cpu, candidate.worker.info.id


def _rank_reserve(candidate: Candidate) -> tuple[bool, bool, int, str]:
    worker = candidate.worker
    return is_suspect(worker), is_less_suitable(worker), -candidate.cpu, worker.info.id
