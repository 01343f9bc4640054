"""Choice of the step to ask the policy service about next.

The service answers one call of a node at a time, and its answers hold only for seconds. While more
steps wait than it can answer for within that time, each is asked about in its turn.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from foxtrestle.scheduling.eligibility import has_capacity_for, is_usable

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from foxtrestle.scheduling.jobs import JobEntry, Task
    from foxtrestle.scheduling.model import TaskKey
    from foxtrestle.scheduling.reservations import StepKey
    from foxtrestle.scheduling.state import Fleet


class PolicyQuestion(msgspec.Struct, frozen=True):
    """A question to the policy service: which of these workers may run a step."""

    key: TaskKey
    """A waiting task of the step."""
    workers: list[str]
    """Ids of the workers."""


def choose_question(
    fleet: Fleet, asked_at: Mapping[StepKey, float], max_workers: int, now: float
) -> PolicyQuestion | None:
    """Choose the step to ask about next; None if no waiting step needs an answer.

    Steps that no worker could run are left out. Of the others, the one whose turn was longest ago
    comes next; the first turn of a step counts from when it began to wait.

    Args:
        fleet: The state.
        asked_at: Monotonic time at which each step was last asked about, seconds.
        max_workers: Maximum number of workers in a question.
        now: Monotonic time, seconds.
    """
    waiting = sorted(_list_waiting(fleet), key=lambda pair: _rank_turn(pair[1], asked_at))
    for entry, task in waiting:
        workers = _list_unanswered(fleet, entry, task, now)
        if workers:
            return PolicyQuestion(task.key, workers[:max_workers])
    return None


def _rank_turn(task: Task, asked_at: Mapping[StepKey, float]) -> tuple[float, bool]:
    """Return the sort key by which steps have their turns."""
    step_key = task.key[:3]
    return asked_at.get(step_key, task.waiting_since), step_key in asked_at


def _list_waiting(fleet: Fleet) -> Iterator[tuple[JobEntry, Task]]:
    """List one waiting task of each step of the queues that have a policy."""
    configuration = fleet.configuration
    queues = configuration.queues if configuration is not None else ()
    policy_queues = {queue.name for queue in queues if queue.uses_policy}
    for entry in fleet.active.values():
        if entry.job.queue not in policy_queues:
            continue
        yield from {task.key[:3]: (entry, task) for task in entry.ready.values()}.values()


def _list_unanswered(fleet: Fleet, entry: JobEntry, task: Task, now: float) -> list[str]:
    """List the workers that could run a step and for which there is no valid answer."""
    tickets = fleet.tickets.get(task.key[:3], {})
    return [
        worker.info.id
        for worker in fleet.workers.values()
        if worker.info.pool == entry.job.pool
        and tickets.get(worker.info.id, ("", 0.0))[1] < now
        and is_usable(worker, now)
        and has_capacity_for(task.step, worker.info.labels, worker.info.capacity)
    ]
