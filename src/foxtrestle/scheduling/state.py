"""State of a controller: jobs, workers, hosts, waves and configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.scheduling.durations import Durations
from foxtrestle.scheduling.unsettled_starts import UnsettledStarts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from foxtrestle.scheduling.hosts import HostPlan
    from foxtrestle.scheduling.jobs import JobEntry, Run, Task
    from foxtrestle.scheduling.model import FleetConfiguration, HostInfo, TaskKey, Wave
    from foxtrestle.scheduling.reservations import HostReservation
    from foxtrestle.scheduling.unsettled_acknowledgements import UnsettledAcknowledgement
    from foxtrestle.scheduling.unsettled_orders import UnsettledOrder
    from foxtrestle.scheduling.workers import Worker

MAX_ENDED_IDS: Final = 10_000
"""Maximum number of ids of ended jobs that are kept. The ids identify an ended job that an old
listing still contains; listings are at most seconds old."""


class WaveEntry:
    """A maintenance wave and its progress."""

    __slots__ = (
        "begun_ms",
        "completed",
        "done",
        "wave",
    )

    def __init__(self, wave: Wave) -> None:
        """Create an entry of a wave that has not started."""
        self.wave = wave
        """The wave as requested by operators."""
        self.done: set[str] = set()
        """Hosts whose maintenance has been ordered and confirmed."""
        self.begun_ms = 0
        """Wall-clock time at which a controller first observed the wave, milliseconds."""
        self.completed = False
        """Whether all hosts have been maintained."""


class Fleet:
    """The complete state of a controller."""

    def __init__(self, term: int) -> None:  # noqa: PLR0915 - two statements for each attribute
        """Create the empty state of a new controller."""
        self.term = term
        """Number of this controller's term, which is also its first fencing token."""
        self.configuration: FleetConfiguration | None = None
        """The newest configuration."""
        self.jobs: dict[str, JobEntry] = {}
        """Jobs by id."""
        self.active: dict[str, JobEntry] = {}
        """Jobs that have not ended."""
        self.ended_ids: dict[str, None] = {}
        """Ids of the jobs that ended under this controller, newest last; at most
        `MAX_ENDED_IDS`."""
        self.workers: dict[str, Worker] = {}
        """Workers by id."""
        self.hosts: dict[str, HostInfo] = {}
        """Hosts by name, from the platform's host list, which lags behind the actual state."""
        self.previous_host_names: frozenset[str] | None = None
        """Host names in the list before the newest one; None until two lists have been read."""
        self.hosts_requested_at: float | None = None
        """Monotonic time at which the newest host list was requested, seconds; None before the
        first list, and if `hosts` is not read from the platform."""
        self.drained_zones: frozenset[str] = frozenset()
        """Availability zones that operators drain."""
        self.drained_zones_known = True
        """Whether `drained_zones` is up to date; if not, any zone may be drained."""
        self.waves: dict[int, WaveEntry] = {}
        """Waves by number."""
        self.plans: dict[str, HostPlan] = {}
        """Planned moves and maintenance, by host name."""
        self.unsettled_orders: dict[str, UnsettledOrder] = {}
        """Orders that had no answer and may still be carried out, by host name."""
        self.unsettled_starts = UnsettledStarts()
        """Starts that had no answer and may still be carried out by a worker's next incarnation."""
        self.unsettled_acknowledgements: dict[str, UnsettledAcknowledgement] = {}
        """Acknowledgements of ends that had no answer and may still be carried out by a worker's
        next incarnation, by worker id."""
        self.tickets: dict[tuple[str, int, int], dict[str, tuple[str, float]]] = {}
        """Tickets of the policy service by step and worker, each with the monotonic time at which
        it expires; an empty ticket means that the worker may not run the step."""
        self.durations = Durations()
        """Observed durations of tasks."""
        self.spread_lasting = False
        """Whether long-running tasks are spread over zones and racks, because a whole zone may fail
        at once."""
        self.organisations_at_limit: frozenset[str] = frozenset()
        """Organisations whose limit kept tasks from starting in the last placement round."""
        self.jobs_over_share: frozenset[str] = frozenset()
        """Ids of waiting jobs beyond their organisations' fair shares of all hosts."""
        self.saturated = False
        """Whether the running tasks and the waiting work that justifies more hosts exceed the
        capacity of all hosts; always false if no organisation has a weight."""
        self.reservation: HostReservation | None = None
        """Current reservation of hosts for one step."""
        self.reservation_ends: dict[tuple[str, int, int], float] = {}
        """Monotonic time at which the last reservation of each waiting step ended, seconds."""
        self.dirty: dict[str, None] = {}
        """Ids of jobs whose progress must be recorded, oldest change first."""
        self.unrecorded_begins: dict[str, float] = {}
        """Ids of jobs of which it is not recorded that they have begun, oldest first, each with the
        monotonic time at which that was reported, seconds."""

    def note_ended(self, job: str) -> None:
        """Note that the final state of a job is in the store."""
        self.ended_ids[job] = None
        if len(self.ended_ids) > MAX_ENDED_IDS:
            del self.ended_ids[next(iter(self.ended_ids))]

    def find_run(self, key: TaskKey, number: int) -> tuple[Task, Run] | None:
        """Return a task and its run if the run may be active."""
        entry = self.jobs.get(key.job)
        task = entry.tasks.get(key) if entry else None
        run = task.runs.get(number) if task else None
        return (task, run) if task and run else None

    def list_runs(self, worker: str) -> Iterator[tuple[TaskKey, Run]]:
        """List the runs that may be active on a worker."""
        listed_worker = self.workers.get(worker)
        if listed_worker is not None:
            for (key, _), run in list(listed_worker.runs.items()):
                yield key, run

    def find_ticket(self, key: TaskKey, worker: str, now: float) -> str:
        """Return the ticket that is valid now; empty if there is none."""
        tickets = self.tickets.get((key.job, key.repetition, key.step), {})
        ticket, expires_at = tickets.get(worker, ("", 0.0))
        return ticket if now < expires_at else ""

    def mark_dirty(self, job: str) -> None:
        """Queue a job whose progress must be recorded."""
        self.dirty[job] = None
