"""Wire formats of jobs: submitted jobs, job states, pending counts and task names."""

from __future__ import annotations

import msgspec

from foxtrestle.platform.http import decode
from foxtrestle.scheduling.job_limits import MAX_QUANTITY, find_excess
from foxtrestle.scheduling.model import JobSpec, JobState, Shape, Step, TaskKey

MAX_TEXT_BYTES = 4000
"""Maximum length of a job's text, bytes; set by the platform."""
ID_DIGITS = frozenset("0123456789abcdef")
"""Digits allowed in a job's id."""
ID_LENGTH = 16
"""Length of a job's id, characters."""


class _Step(msgspec.Struct):
    count: int = 1
    cpu: int = 0
    memMb: int = 0
    gpu: int = 0
    estimatedMs: float = 0
    dependsOn: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    sameRack: bool = False
    requirements: str = ""  # a single label, not a list
    affinity: str = ""  # rack that holds the step's data
    antiAffinity: int = 0
    speculative: bool = False
    longRunning: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct):
    steps: list[_Step]
    spec: str = ""
    repeatCount: int = 0
    firstRunMs: float = 0
    intervalMs: float = 0


class InvalidJob(ValueError):
    """A job that cannot be accepted; the message names the field."""


def decode_job(body: bytes) -> JobSpec:
    """Decode a submitted job.

    Raises:
        MalformedMessage: The body is not the documented JSON.
        InvalidJob: A field has an invalid value.
    """
    job = decode(body, _Job, step="jobs.decode", peer="client")
    if len(job.spec.encode()) > MAX_TEXT_BYTES:
        raise InvalidJob(f"spec: longer than {MAX_TEXT_BYTES} bytes")
    if not job.steps:
        raise InvalidJob("steps: at least one is needed")
    for number, step in enumerate(job.steps):
        if step.count < 1:
            raise InvalidJob(f"steps[{number}].count: at least 1")
        if any(not 0 <= dependency < number for dependency in step.dependsOn):
            raise InvalidJob(f"steps[{number}].dependsOn: only earlier steps")
    spec = JobSpec(
        text=job.spec,
        steps=tuple(_to_step(step) for step in job.steps),
        repeat_count=job.repeatCount,
        first_due_ms=int(job.firstRunMs),
        interval_ms=int(job.intervalMs),
    )
    excess = find_excess(spec)
    if excess:
        raise InvalidJob(excess)
    return spec


def _to_step(step: _Step) -> Step:
    return Step(
        count=step.count,
        shape=Shape(step.cpu, step.memMb, step.gpu),
        estimate_ms=int(step.estimatedMs),
        depends_on=step.dependsOn,
        checkpoints=step.checkpointing,
        gang=step.gang,
        same_rack=step.sameRack,
        label=step.requirements,
        data_rack=step.affinity,
        max_per_worker=step.antiAffinity,
        speculative=step.speculative,
        lasting=step.longRunning,
        image=step.image,
        latency_target_ms=int(step.target_ms),
        fills=step.fills,
        max_absent=step.may_miss,
    )


def is_job_id(text: str) -> bool:
    """Return whether the last part of a path is a job id."""
    return len(text) == ID_LENGTH and ID_DIGITS.issuperset(text.lower())


def encode_state(state: JobState) -> bytes:
    """Encode the response with a job's state."""
    return msgspec.json.encode({"state": state})


def encode_pending(count: int) -> bytes:
    """Encode the response with the number of a queue's pending jobs."""
    return msgspec.json.encode({"pending": count})


def format_task(key: TaskKey) -> str:
    """Format a task's name as the platform does."""
    return f"{key.job}.{key.repetition}.{key.step}.{key.number}"


def parse_task(text: str) -> TaskKey:
    """Parse a task's name.

    Raises:
        ValueError: The text is not a task's name.
    """
    job, *parts = text.split(".")
    repetition, step, index = map(int, parts)
    if not all(0 <= number <= MAX_QUANTITY for number in (repetition, step, index)):
        raise ValueError(f"{text[:100]}: numbers from 0 to {MAX_QUANTITY}")
    return TaskKey(job, repetition, step, index)
