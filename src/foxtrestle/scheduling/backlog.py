"""Decides whether a controller holds as many unfinished jobs as its memory allows."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.model import Job

BACKLOG_SHARE: Final = 0.2
"""Share of a node's memory that unfinished jobs may take; any node may become the controller."""
JOB_BYTES: Final = 2048
"""Memory of a job beside its text, its steps and its tasks, bytes."""
STEP_BYTES: Final = 512
"""Memory of a step, bytes."""
TASK_BYTES: Final = 700
"""Memory of a task, bytes."""
RESUME_SHARE: Final = 0.8
"""Share of the limit below which new jobs are accepted again, so that the state does not change
with every job."""


def compute_job_bytes(job: Job) -> int:
    """Return the memory that a job takes while it is unfinished, bytes."""
    spec = job.spec
    tasks = sum(step.count for step in spec.steps) * max(1, spec.repeat_count)
    return JOB_BYTES + len(spec.text) + STEP_BYTES * len(spec.steps) + TASK_BYTES * tasks


def is_backlog_full(jobs: Iterable[Job], memory_mb: int, *, was_full: bool) -> bool:
    """Return whether new jobs have to be refused until others have ended.

    Args:
        jobs: Unfinished jobs.
        memory_mb: Memory of the node, MB.
        was_full: Whether jobs are refused now.
    """
    limit = memory_mb * 1024 * 1024 * BACKLOG_SHARE
    if was_full:
        limit *= RESUME_SHARE
    return sum(map(compute_job_bytes, jobs)) > limit
