"""Final checks of orders: invariants that no order may violate.

A start is checked when it is decided, and again once it is recorded, just before it is sent.
Maintenance of a host is checked when its order is decided.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.scheduling.crashes import MAX_CRASHES
from foxtrestle.scheduling.unsettled_starts import may_start_on

if TYPE_CHECKING:
    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.jobs import Task
    from foxtrestle.scheduling.state import Fleet, WaveEntry
    from foxtrestle.scheduling.workers import Worker

DRAINED: Final = "zone drained"
"""Reason for not starting a run on a worker in a drained zone."""
ZONES_UNKNOWN: Final = "zones unknown"
"""Reason for not starting any run while the drained zones are not known."""


def check_start(fleet: Fleet, task: Task, worker: Worker) -> str:
    """Return the name of the rule that a start would violate; empty if there is none."""
    entry = fleet.jobs.get(task.key.job)
    if entry is None:
        return "unasked"
    step = task.step
    violations = {
        "unasked": entry.ended,
        "twice": task.done or (bool(task.runs) and not step.speculative),
        "unsettled": not may_start_on(task, worker.info.id),
        "attempts": not step.lasting and task.failures >= entry.job.max_attempts,
        "crashes": task.given_up or task.crashes >= MAX_CRASHES,
        "order": not all(_is_step_done(fleet, task, number) for number in step.depends_on),
        "room": not worker.fits(step.shape, fills=step.fills),
        "pool": worker.info.pool != entry.job.pool,
        DRAINED: worker.drained,
        "label": bool(step.label) and step.label not in worker.info.labels,
    }
    return next((name for name, violated in violations.items() if violated), "")


def check_send(worker: Worker) -> str:
    """Return why a recorded start must not be sent now; empty if it may be sent.

    Recording takes from 4 ms to several seconds. Since the decision, the worker may have reported a
    smaller capacity, and a worker that does not enforce its capacity would start the task
    regardless.
    """
    if worker.is_overfull():
        return "room"
    if worker.drained:
        return DRAINED
    if worker.info.draining:
        return "draining"
    if not worker.runs_known or not worker.is_entry_current():
        return "another life"
    return "unknown runs" if worker.unknown_runs else ""


def _is_step_done(fleet: Fleet, task: Task, step: int) -> bool:
    entry = fleet.jobs[task.key.job]
    return entry.open_tasks.get((task.key.repetition, step)) == 0


def check_maintenance(entry: WaveEntry, view: HostView, in_maintenance: int) -> str:
    """Return the name of the rule that maintenance of a host would violate; empty if there is none.

    Args:
        entry: The wave.
        view: The host.
        in_maintenance: Number of hosts of the wave that are, or may be, in maintenance.
    """
    if view.info.name not in entry.wave.hosts:
        return "wave"
    if in_maintenance >= entry.wave.max_parallel:
        return "wave-limit"
    if view.worker is not None and not view.worker.entry_gone and view.worker.runs:
        return "not-empty"
    return ""
