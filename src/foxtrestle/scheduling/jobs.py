"""Jobs, tasks and runs in the state of the controller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.chart import load_chart
from foxtrestle.scheduling.model import FINAL_JOB_STATES

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import Job, JobState, Step, TaskKey
    from foxtrestle.scheduling.unsettled_starts import UnsettledStart

RUN_CHART: Final = load_chart("run")
"""State chart of a run."""


class Run:
    """One run of a task on a worker."""

    __slots__ = (
        "confirmed_at",
        "host",
        "number",
        "pace",
        "percent",
        "placed_at",
        "placed_ms",
        "progressed_at",
        "sending",
        "sent_at",
        "state",
        "usage",
        "worker",
    )

    def __init__(self, number: int, worker: str, host: str, placed_at: float) -> None:
        """Create a run that is about to be written to the store."""
        self.number = number
        """Number of the run."""
        self.worker = worker
        """Id of the worker."""
        self.host = host
        """Host of the worker; empty if unknown."""
        self.state = RUN_CHART.start
        """State in the chart `run`."""
        self.placed_at = placed_at
        """Monotonic time of the placement decision, seconds."""
        self.placed_ms = 0
        """Wall-clock time of the placement decision, milliseconds; 0 if unknown."""
        self.confirmed_at = 0.0
        """Monotonic time at which the worker first confirmed the run, or answered the stop of a run
        that is being stopped, seconds; 0 before."""
        self.percent = -1
        """Percentage of the work done, as last reported; -1 before the first report."""
        self.progressed_at = placed_at
        """Monotonic time at which `percent` last changed, seconds."""
        self.sending = True
        """Whether an order for the run is being sent or waits for the run to be recorded."""
        self.sent_at = 0.0
        """Monotonic time at which the start was first sent, seconds; 0 before."""
        self.pace = 100
        """Percentage of full speed to which the run is throttled."""
        self.usage = 0
        """Usage as last reported by the worker, see `RunningTask.usage`."""

    def apply_event(self, event: str) -> None:
        """Apply an event of the state chart."""
        self.state = RUN_CHART.apply_event(self.state, event)

    def begin_stop(self) -> None:
        """Enter the state `stopping`, before any stop order has been answered."""
        self.apply_event("stop")
        self.confirmed_at = 0.0

    def mark_lost(self) -> None:
        """Enter the state `stopping` because the incarnation of the worker is over.

        The run is kept until it is certain that it is not active.
        """
        self.begin_stop()
        self.sent_at = 0.0


class Task:
    """One task of a job."""

    __slots__ = (
        "checkpoint",
        "crash_age_s",
        "crashes",
        "done",
        "failed_on",
        "failures",
        "given_up",
        "key",
        "probation",
        "runs",
        "starts",
        "step",
        "suspected_crashes",
        "unsettled_starts",
        "waiting_since",
    )

    def __init__(self, key: TaskKey, step: Step, now: float) -> None:
        """Create a task that has not started."""
        self.key = key
        """Key that identifies the task."""
        self.step = step
        """Step of the task."""
        self.starts = 0
        """Number of runs so far, which is the number of the newest run."""
        self.failures = 0
        """Number of runs that ended `failed`."""
        self.failed_on: set[str] = set()
        """Workers on which runs have failed, as far as this controller has observed."""
        self.crashes = 0
        """Number of worker crashes that the task may have caused."""
        self.suspected_crashes = 0
        """Number of these crashes of which the task was one of the most likely causes."""
        self.crash_age_s = 0.0
        """Greatest age of a run of the task at a crash, seconds."""
        self.probation = False
        """Whether the task may have caused a crash and has not been cleared since."""
        self.given_up = False
        """Whether the task is never started again, because it crashes workers."""
        self.done = False
        """Whether a run ended `done`."""
        self.checkpoint = ""
        """Newest checkpoint."""
        self.runs: dict[int, Run] = {}
        """Runs that may be active, by number; more than one only for speculative steps."""
        self.unsettled_starts: dict[str, UnsettledStart] = {}
        """Starts that had no answer and may still be carried out by the next incarnation of their
        worker, by worker id."""
        self.waiting_since = now
        """Monotonic time since which the task has been waiting for a start, seconds."""


class JobEntry:
    """A job and its tasks."""

    __slots__ = (
        "archived",
        "begun",
        "cancel_requested",
        "created_at",
        "ended_ms",
        "excess",
        "job",
        "late",
        "open_tasks",
        "placed",
        "progress_revision",
        "ready",
        "released",
        "revision",
        "state",
        "tasks",
    )

    def __init__(self, job: Job, revision: int, created_at: float) -> None:
        """Create an entry without tasks; `runs.release_steps` adds the tasks of released steps."""
        self.job = job
        """The job as accepted."""
        self.revision = revision
        """Store revision of the accepted job."""
        self.progress_revision = 0
        """Store revision of the progress record; 0 if there is none."""
        self.state: JobState = "queued"
        """State of the job; clients may see it once it is recorded."""
        self.cancel_requested = False
        """Whether the client has cancelled the job."""
        self.placed = False
        """Whether a run of any task has ever been placed on a worker, which may have refused it."""
        self.begun = False
        """Whether a worker has ever reported a run of any task, by its answer to the start or in
        its lists of running and ended runs."""
        self.created_at = created_at
        """Monotonic time at which the job was accepted, seconds; only as accurate as the
        wall clocks of the nodes are synchronised."""
        self.excess = False
        """Whether the job exceeds the guaranteed rate of its organisation and is therefore placed
        after other jobs."""
        self.late = False
        """Whether the job could no longer meet its latency objective when the fleet was last
        saturated and tasks of the job were waiting; see `fair_share`."""
        self.archived = False
        """Whether only the final state of the job is left in the store."""
        self.ended_ms = 0
        """Wall-clock time at which the job ended, milliseconds; 0 before."""
        self.tasks: dict[TaskKey, Task] = {}
        """Tasks of released steps."""
        self.open_tasks: dict[tuple[int, int], int] = {}
        """Number of tasks that are not done, by repetition and step; only of released steps."""
        self.released: set[tuple[int, int]] = set()
        """Repetitions and steps whose tasks may start."""
        self.ready: dict[TaskKey, Task] = {}
        """Tasks that are waiting for a start."""

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self.state in FINAL_JOB_STATES

    def has_runs(self) -> bool:
        """Return whether any run of the job may be active."""
        return any(task.runs for task in self.tasks.values())

    def count_repetitions(self) -> int:
        """Return the number of repetitions of the steps."""
        return max(1, self.job.spec.repeat_count)
