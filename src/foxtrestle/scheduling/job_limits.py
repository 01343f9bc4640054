"""Limits of a job's size: what a single accepted job can make its controller hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import JobSpec, Step

MAX_STEPS: Final = 1000
"""Maximum number of steps of a job."""
MAX_TASKS: Final = 20_000
"""Maximum number of tasks of a job, over all steps and repetitions. The controller keeps each in
memory, with about 700 bytes, until the job ends."""
MAX_QUANTITY: Final = 1 << 48
"""Maximum of any other number of a job, such as its resources or milliseconds since 1970."""


def find_excess(spec: JobSpec) -> str:
    """Return which part of a job is beyond the limits, and what is allowed; empty for none."""
    if len(spec.steps) > MAX_STEPS:
        return f"steps: at most {MAX_STEPS}"
    for number, step in enumerate(spec.steps):
        if not all(0 <= quantity <= MAX_QUANTITY for quantity in _list_quantities(step)):
            return f"steps[{number}]: numbers from 0 to {MAX_QUANTITY}"
        if len(step.depends_on) > MAX_STEPS:
            return f"steps[{number}]: depends on at most {MAX_STEPS} steps"
    times = (spec.repeat_count, spec.first_due_ms, spec.interval_ms)
    if not all(0 <= quantity <= MAX_QUANTITY for quantity in times):
        return f"repetitions, due time and interval: numbers from 0 to {MAX_QUANTITY}"
    tasks = sum(step.count for step in spec.steps) * max(1, spec.repeat_count)
    if tasks > MAX_TASKS:
        return f"steps: at most {MAX_TASKS} tasks, over all steps and repetitions"
    return ""


def _list_quantities(step: Step) -> tuple[int, ...]:
    shape = step.shape
    return (
        step.count,
        shape.cpu,
        shape.memory_mb,
        shape.gpu,
        step.estimate_ms,
        step.max_per_worker,
        step.latency_target_ms,
        step.max_absent,
    )
