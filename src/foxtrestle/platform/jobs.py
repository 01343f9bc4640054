"""Clients' jobs: bodies of submissions, answers about states, names of tasks."""

from __future__ import annotations

import msgspec

from foxtrestle.platform.http import decode
from foxtrestle.scheduling.model import JobSpec, JobState, Shape, Step, TaskKey

MAX_TEXT_BYTES = 4000
"""Longest text of a job, bytes; set by the platform."""
ID_DIGITS = frozenset("0123456789abcdef")
"""Digits of a job's id."""
ID_LENGTH = 16
"""Length of a job's id."""


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
    requirements: str = ""  # one label, not a list
    affinity: str = ""  # rack of the data
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
    """A job that cannot be accepted; the text names the field."""


def decode_job(body: bytes) -> JobSpec:
    """Decode a submitted job.

    Raises:
        MalformedAnswer: The body is not the documented JSON.
        InvalidJob: A field has a value that makes no sense.
    """
    job = decode(body, _Job, step="jobs.decode", peer="client")
    if len(job.spec.encode()) > MAX_TEXT_BYTES:
        raise InvalidJob(f"spec: longer than {MAX_TEXT_BYTES} bytes")
    if not job.steps:
        raise InvalidJob("steps: at least one is needed")
    for number, step in enumerate(job.steps):
        if step.count < 1:
            raise InvalidJob(f"steps[{number}].count: at least 1")
        if any(not 0 <= other < number for other in step.dependsOn):
            raise InvalidJob(f"steps[{number}].dependsOn: only earlier steps")
    return JobSpec(
        text=job.spec,
        steps=tuple(_to_step(step) for step in job.steps),
        repeat_count=job.repeatCount,
        first_due_ms=int(job.firstRunMs),
        interval_ms=int(job.intervalMs),
    )


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
    """Tell whether a path's last part names a job."""
    return len(text) == ID_LENGTH and ID_DIGITS.issuperset(text.lower())


def encode_state(state: JobState) -> bytes:
    """Encode the answer about a job's state."""
    return msgspec.json.encode({"state": state})


def encode_pending(count: int) -> bytes:
    """Encode the answer about a queue."""
    return msgspec.json.encode({"pending": count})


def format_task(key: TaskKey) -> str:
    """Write a task's name as the platform does."""
    return f"{key.job}.{key.repetition}.{key.step}.{key.number}"


def parse_task(text: str) -> TaskKey:
    """Read a task's name.

    Raises:
        ValueError: It is not one.
    """
    job, repetition, step, index = text.split(".")
    return TaskKey(job, int(repetition), int(step), int(index))
