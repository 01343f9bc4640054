"""Data types of scheduling: jobs, queues, workers, hosts, waves and orders, as received or sent."""

from __future__ import annotations

from typing import Final, Literal, NamedTuple

import msgspec

JobState = Literal["queued", "running", "completed", "failed", "cancelled"]
"""State of a job, as clients see it."""
EndKind = Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
"""How a run ended: `lapsed` when its lease expired, `broken` when another member of its gang ended,
`alone` while it waited for the other members."""
HostState = Literal["up", "moving", "upkeep", "down"]
"""State of a host as the platform lists it."""
FINAL_JOB_STATES: Final = frozenset({"completed", "failed", "cancelled"})
"""States of a job that never change again."""


class Shape(msgspec.Struct, frozen=True):
    """Resources: the capacity of a worker, or what a task requires."""

    cpu: int = 0
    """CPU, thousandths of a core."""
    memory_mb: int = 0
    """Memory, MB."""
    gpu: int = 0
    """Accelerators."""

    def plus(self, other: Shape) -> Shape:
        """Return the sum of both."""
        return Shape(self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpu + other.gpu)

    def minus(self, other: Shape) -> Shape:
        """Return the difference; a component is negative where the other shape has more."""
        return Shape(self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpu - other.gpu)

    def holds(self, other: Shape, *, fills: bool = False) -> bool:
        """Return whether another shape fits into this one.

        Args:
            other: The resources required.
            fills: Whether they are for a best-effort task, whose CPU is not checked: it uses what
                other tasks leave, however little that is.
        """
        return (
            (fills or other.cpu <= self.cpu)
            and other.memory_mb <= self.memory_mb
            and other.gpu <= self.gpu
        )


class Step(msgspec.Struct, frozen=True):
    """One step of a job: a number of identical tasks."""

    count: int = 1
    """Number of tasks."""
    shape: Shape = Shape()
    """Resources that each task requires."""
    estimate_ms: int = 0
    """The client's estimate of a task's duration, milliseconds; may be off by a factor of ten."""
    depends_on: tuple[int, ...] = ()
    """Numbers of the steps that must be completed first."""
    checkpoints: bool = False
    """Whether the tasks save checkpoints of their progress."""
    gang: bool = False
    """Whether the tasks are a gang: they run only together, under one run number."""
    same_rack: bool = False
    """Whether the gang is slower when it spans racks."""
    label: str = ""
    """Label the worker must have; empty for any."""
    data_rack: str = ""
    """Rack that holds the input data; the tasks are slower elsewhere. Empty for none."""
    max_per_worker: int = 0
    """Maximum number of tasks of the step on one worker; 0 for no limit."""
    speculative: bool = False
    """Whether several runs of one task may be active at the same time."""
    lasting: bool = False
    """Whether the tasks are long-running: they run until the job is cancelled."""
    image: str = ""
    """Image that the tasks run; tasks of one image behave alike."""
    latency_target_ms: int = 0
    """Target for the tail latency of latency-sensitive tasks, milliseconds; 0 for other tasks."""
    fills: bool = False
    """Whether the tasks are best-effort: no CPU is reserved for them, they use what others
    leave."""
    max_absent: int = 0
    """Maximum number of long-running tasks that the controller may have absent at the same time."""

    @property
    def reserved_shape(self) -> Shape:
        """Resources that each task reserves on a worker."""
        if not self.fills:
            return self.shape
        return Shape(0, self.shape.memory_mb, self.shape.gpu)


class JobSpec(msgspec.Struct, frozen=True):
    """Specification of a job, as submitted by its client."""

    text: str
    """Text that is passed to every task unchanged."""
    steps: tuple[Step, ...]
    """The steps, by number."""
    repeat_count: int = 0
    """Number of scheduled repetitions; 0 for a job that runs once, immediately."""
    first_due_ms: int = 0
    """Due time of the first repetition, wall clock, milliseconds since 1970."""
    interval_ms: int = 0
    """Milliseconds between due times."""


class Job(msgspec.Struct, frozen=True):
    """An accepted job; stored once and never changed."""

    id: str
    """The client's id."""
    queue: str
    """Name of the queue."""
    pool: str
    """Pool whose workers run it."""
    priority: int
    """Priority; jobs with a lower number are placed first."""
    max_attempts: int
    """Number of failed runs of one task after which the job fails."""
    stretch: float
    """Factor on the critical path of the job in its latency objective."""
    target_ms: int
    """Constant part of the latency objective, milliseconds."""
    spec: JobSpec
    """Specification submitted by the client."""
    accepted_ms: int
    """Wall-clock time of the acceptance, milliseconds."""
    owner: str = ""
    """Organisation that submitted the job; empty if no key was required."""


class TaskKey(NamedTuple):
    """Identifies one task."""

    job: str
    """Id of the job."""
    repetition: int
    """Number of the repetition; 0 for a job that runs once."""
    step: int
    """Number of the step."""
    number: int
    """Number of the task within the step."""


class Queue(msgspec.Struct, frozen=True):
    """A queue of the configuration."""

    name: str
    """Name, which identifies the queue across configuration changes."""
    host: str
    """Host header of its clients' requests."""
    prefix: str
    """Path prefix of its clients' requests."""
    pool: str
    """Pool whose workers run its jobs."""
    priority: int = 0
    """Priority; jobs with a lower number are placed first."""
    max_attempts: int = 1
    """Number of failed runs of one task after which a job fails."""
    stretch: float = 1.0
    """Factor on the critical path of a job in its latency objective."""
    target_ms: int = 0
    """Constant part of the latency objective, milliseconds."""
    uses_policy: bool = False
    """Whether the policy service decides which workers may run a step."""
    public: bool = False
    """Whether callers need no key."""


class Pool(msgspec.Struct, frozen=True):
    """A pool of the configuration."""

    name: str
    """Name of the pool, which is also the name of its service."""
    enforces_capacity: bool = True
    """Whether its workers refuse tasks that exceed their capacity."""
    reserve: bool = False
    """Whether it is the reserve, whose hosts are powered off and cost nothing."""


class Organisation(msgspec.Struct, frozen=True):
    """An organisation of the configuration."""

    name: str
    """Name, which stays the same when the keys are replaced."""
    keys: frozenset[bytes] = frozenset()
    """Digests of the keys that identify its callers."""
    weight: float = 0.0
    """Guaranteed rate, jobs per second; excess jobs are placed after those of other organisations.
    0 for no limit."""
    limit: Shape = Shape()
    """Maximum resources of its running tasks on all workers together; a component of 0 is not
    limited."""


class FleetConfiguration(msgspec.Struct, frozen=True):
    """The complete configuration that operators have written."""

    version: int
    """Version number, which increases with every change."""
    revision: int
    """Store revision at which it was written."""
    queues: tuple[Queue, ...]
    """All queues."""
    pools: dict[str, Pool]
    """All pools by name."""
    max_body_bytes: int = 262_144
    """Maximum size of the body of a client's request, bytes."""
    max_header_bytes: int = 16_384
    """Maximum size of the header fields of a client's request, bytes."""
    header_timeout_s: float = 3.0
    """Seconds within which a client sends the header fields of a request."""
    idle_timeout_s: float = 15.0
    """Seconds for which a client may keep a connection without a request."""
    requires_keys: bool = False
    """Whether callers of queues that are not public must present an organisation's key."""
    organisations: dict[str, Organisation] = {}
    """All organisations by name."""
    owners: dict[bytes, str] = {}
    """Name of the organisation that owns each key, by the digest of the key."""

    def find_reserve(self) -> str:
        """Return the name of the reserve, the pool of powered-off hosts; empty if there is none."""
        return next((name for name, pool in self.pools.items() if pool.reserve), "")


class WorkerInfo(msgspec.Struct, frozen=True):
    """A worker as described by its store entry, which one incarnation of the worker writes."""

    id: str
    """Id of the worker; the incarnation after a crash may have the same id."""
    pool: str
    """Pool of the worker."""
    address: str
    """`ip:port`."""
    zone: str
    """Availability zone."""
    draining: bool
    """Whether the worker is about to leave."""
    capacity: Shape
    """Total resources of the worker."""
    labels: tuple[str, ...]
    """Labels, such as the kind and rack of its host."""
    host: str = ""
    """Name of the host; empty if the entry does not state it."""
    incarnation_started_ms: int = 0
    """Wall-clock time at which the incarnation started, by the worker's clock, milliseconds; 0 if
    the entry does not state it."""
    warmup_left_s: float = 0.0
    """Seconds of warm-up, during which tasks run slower, that were left when the entry was
    written."""
    readable: bool = True
    """Whether the newest entry could be decoded. If not, the worker gets no new tasks, and its
    running tasks continue."""


class HostInfo(msgspec.Struct, frozen=True):
    """A host as listed by the platform; the list lags behind the actual state."""

    name: str
    """Name of the host."""
    pool: str
    """Pool of the host."""
    state: HostState
    """State of the host."""
    zone: str
    """Availability zone."""
    labels: tuple[str, ...]
    """Labels, such as its kind and rack."""
    capacity: Shape
    """Total resources of the host."""
    worker: str
    """Id of the host's worker; empty if there is none."""


class Wave(msgspec.Struct, frozen=True):
    """A maintenance wave requested by operators."""

    number: int
    """Number of the wave."""
    hosts: tuple[str, ...]
    """Hosts due for maintenance."""
    within_s: float
    """Seconds after the request within which all hosts must be maintained."""
    max_parallel: int
    """Maximum number of hosts in maintenance at the same time."""


class RunningTask(msgspec.Struct, frozen=True):
    """An active run, as listed by its worker."""

    key: TaskKey
    """The task."""
    run: int
    """Number of the run."""
    checkpoint: str
    """Newest checkpoint; empty for none."""
    percent: int
    """Percentage of the work done; 100 for a long-running task once it is ready."""
    usage: int = 0
    """Usage over the last half second: tail latency in milliseconds for latency-sensitive tasks,
    CPU in use for others."""


class EndedRun(msgspec.Struct, frozen=True):
    """The end of a run, which the worker lists until it is acknowledged."""

    number: int
    """Sequence number of the end within the worker's incarnation, from 1."""
    key: TaskKey
    """The task."""
    run: int
    """Number of the run."""
    kind: EndKind
    """How the run ended."""
    checkpoint: str
    """Checkpoint at the end; empty for none."""


class WorkerReport(msgspec.Struct, frozen=True):
    """A worker's response to a lease renewal, which is a long poll.

    The worker may wait for the next end of a run before it responds.
    """

    clock_ms: int
    """The worker's monotonic clock, milliseconds."""
    running: tuple[RunningTask, ...] = ()
    """All active runs on the worker."""
    ends: tuple[EndedRun, ...] = ()
    """Ends that are not acknowledged yet, oldest first, at most 500."""
    incarnation_started_ms: int = 0
    """Wall-clock time at which the responding incarnation started, milliseconds; 0 if the response
    does not state it."""


class StartOrder(msgspec.Struct, frozen=True):
    """An order to start one run."""

    key: TaskKey
    """The task."""
    run: int
    """Number of the run."""
    text: str
    """The job's text."""
    token: int
    """Fencing token of the call."""
    checkpoint: str = ""
    """Checkpoint to resume from; empty for none."""
    ticket: str = ""
    """Ticket of the policy service; empty if none is needed."""
