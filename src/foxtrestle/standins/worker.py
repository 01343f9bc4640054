"""A simulated worker of the users' platform: leases, fencing, runs and their ends, without I/O.

The worker follows the platform's published documentation. Tests call it directly, and
`standins.site` serves it over HTTP.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.model import EndedRun, RunningTask, Shape, WorkerInfo, WorkerReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.scheduling.model import EndKind, TaskKey

MAX_LEASE_MS: Final = 10_000.0
"""Longest lease that a worker accepts, milliseconds; as on the users' platform."""


class OrderRejected(Exception):
    """The worker rejects an order; the message is the reason."""


class SimulatedRun(msgspec.Struct):
    """A run in progress."""

    key: TaskKey
    """The task."""
    run: int
    """Number of the run."""
    shape: Shape
    """Resources that the run takes."""
    started_ms: float
    """Worker's clock at the start of the run, milliseconds."""
    work_ms: float
    """Duration of the work, milliseconds; infinite for long-running tasks."""
    end_kind: EndKind = "done"
    """How the run ends by itself."""
    text: str = ""
    """Text of the start order."""
    stopped_ms: float = 0.0
    """Worker's clock at which a stop takes effect, milliseconds; 0 if none was ordered."""


class SimulatedWorker:
    """A worker throughout its successive incarnations."""

    def __init__(
        self,
        info: WorkerInfo,
        clock_ms: Callable[[], float],
        describe: Callable[[TaskKey], tuple[Shape, float, EndKind]],
        *,
        enforces_capacity: bool = True,
        stop_ms: float = 0.0,
    ) -> None:
        """Create a worker that runs nothing.

        Args:
            info: Description of the worker, as in its entry in the store.
            clock_ms: Monotonic clock of the worker's host, milliseconds.
            describe: Returns the size of a task, the duration of its work in milliseconds, and how
                it ends.
            enforces_capacity: Whether the worker rejects runs that exceed its capacity.
            stop_ms: How long a stopped run continues to take its resources, milliseconds.
        """
        self.info = info
        """Description of the worker, as in its entry in the store."""
        self.running: dict[tuple[TaskKey, int], SimulatedRun]
        """Runs in progress."""
        self.unacknowledged_ends: list[EndedRun]
        """Ends that are not acknowledged."""
        self.ended_runs: list[EndedRun] = []
        """Every end, of all incarnations of the worker."""
        self.acknowledged_ends: list[EndedRun] = []
        """Ends that were acknowledged."""
        self.acknowledged_at: list[float] = []
        """Monotonic time of each of these acknowledgements, seconds."""
        self.highest_token: int
        """Highest fencing token that the current incarnation has received."""
        self.starts: list[tuple[TaskKey, int, float]] = []
        """Every run that was started, with the worker's clock at the start."""
        self.started_at: list[float] = []
        """Monotonic time of each of these starts, seconds; the same clock for all workers."""
        self.terminated = False
        """Whether the last incarnation of the worker has ended."""
        self.down = False
        """Whether the worker has crashed and not started again yet."""
        self.incarnation = 1
        """Number of the current incarnation, from 1."""
        self.incarnation_started_ms = info.incarnation_started_ms
        """Wall time at which the current incarnation began, milliseconds; 0 if not reported."""
        self._host_clock_ms = clock_ms
        self._describe = describe
        self.enforces_capacity = enforces_capacity
        """Whether the worker rejects runs that exceed its capacity."""
        self._stop_ms = stop_ms
        self._clock_base_ms = 0.0
        self._reset_state()

    def _reset_state(self) -> None:
        """Reset the state that belongs to one incarnation."""
        self.running = {}
        self.unacknowledged_ends = []
        self.highest_token = 0
        self._highest_barred_run: dict[TaskKey, int] = {}
        self._expires_ms = 0.0
        self._next_end = 1
        self._acknowledged = 0

    def crash(self) -> None:
        """End the incarnation and its runs; ends that are not acknowledged are never reported."""
        self.down = True
        self.running.clear()
        self.unacknowledged_ends.clear()

    def restart(self, started_ms: int) -> None:
        """Begin a new incarnation under the same id, without any state; its clock restarts at 0."""
        self.down = False
        self._clock_base_ms = self._host_clock_ms()
        self._reset_state()
        self.incarnation += 1
        self.incarnation_started_ms = started_ms

    def read_clock_ms(self) -> float:
        """Return the worker's monotonic clock, milliseconds."""
        return self._host_clock_ms() - self._clock_base_ms

    def start(self, key: TaskKey, run: int, token: int, expires_ms: float, text: str = "") -> None:
        """Start a run.

        Raises:
            OrderRejected: The order is rejected. If the reason is `old` or `room`, the lease of the
                order is applied nevertheless.
        """
        self.advance()
        self._check_token(token)
        if expires_ms <= self.read_clock_ms():
            raise OrderRejected("late")
        self._extend_lease(expires_ms)
        if (key, run) in self.running:
            return
        if run <= self._highest_barred_run.get(key, 0):
            raise OrderRejected("old")
        shape, work_ms, end_kind = self._describe(key)
        if self.enforces_capacity and not self._fits(shape):
            raise OrderRejected("room")
        now = self.read_clock_ms()
        self.running[key, run] = SimulatedRun(key, run, shape, now, work_ms, end_kind, text)
        self.starts.append((key, run, now))
        self.started_at.append(time.monotonic())

    def stop(self, key: TaskKey, run: int, token: int) -> None:
        """Stop a run; if the run has not started yet, a later start of it will be rejected."""
        self.advance()
        self._check_token(token)
        active_run = self.running.get((key, run))
        if active_run is not None and not active_run.stopped_ms:
            active_run.stopped_ms = self.read_clock_ms() + self._stop_ms
            self.advance()
        self._highest_barred_run[key] = max(self._highest_barred_run.get(key, 0), run)

    def renew_lease(self, token: int, acknowledged: int, expires_ms: float | None) -> WorkerReport:
        """Extend the lease, discard acknowledged ends, and report the runs and ends.

        This is the worst case that the platform's documentation allows: an acknowledged number
        stays valid for the whole incarnation, so a later end whose number is not above it is never
        listed.
        """
        self.advance()
        self._check_token(token)
        if expires_ms is not None:
            self._extend_lease(expires_ms)
        self._acknowledged = max(self._acknowledged, acknowledged)
        self._discard_acknowledged()
        return self.report()

    def _discard_acknowledged(self) -> None:
        """Discard the ends that are acknowledged."""
        newly_acknowledged = [
            end for end in self.unacknowledged_ends if end.number <= self._acknowledged
        ]
        self.acknowledged_ends += newly_acknowledged
        self.acknowledged_at += [time.monotonic()] * len(newly_acknowledged)
        self.unacknowledged_ends = [
            end for end in self.unacknowledged_ends if end.number > self._acknowledged
        ]

    def report(self) -> WorkerReport:
        """Report the runs in progress and the ends that are not acknowledged."""
        self.advance()
        now = self.read_clock_ms()
        running = tuple(
            RunningTask(active_run.key, active_run.run, "", self._compute_percent(active_run, now))
            for active_run in self.running.values()
        )
        return WorkerReport(
            int(now), running, tuple(self.unacknowledged_ends[:500]), self.incarnation_started_ms
        )

    def _compute_percent(self, run: SimulatedRun, now: float) -> int:
        if run.work_ms == float("inf"):
            return 100
        return min(99, int(100 * (now - run.started_ms) / max(1.0, run.work_ms)))

    def advance(self) -> None:
        """End runs that are finished or stopped, and all runs once the lease has expired."""
        now = self.read_clock_ms()
        for (key, run), active_run in list(self.running.items()):
            if active_run.stopped_ms and active_run.stopped_ms <= min(now, self._expires_ms):
                self._end(key, run, "stopped")
        for (key, run), active_run in list(self.running.items()):
            if active_run.started_ms + active_run.work_ms <= min(now, self._expires_ms):
                self._end(key, run, active_run.end_kind)
        if now > self._expires_ms:
            for key, run in list(self.running):
                self._end(key, run, "lapsed")

    def _end(self, key: TaskKey, run: int, kind: EndKind) -> None:
        self.running.pop((key, run))
        self._highest_barred_run[key] = max(self._highest_barred_run.get(key, 0), run)
        end = EndedRun(self._next_end, key, run, kind, "")
        self.unacknowledged_ends.append(end)
        self.ended_runs.append(end)
        self._next_end += 1
        self._discard_acknowledged()

    def _extend_lease(self, expires_ms: float) -> None:
        """Extend the lease, up to the longest one that the worker accepts."""
        latest_ms = self.read_clock_ms() + MAX_LEASE_MS
        self._expires_ms = max(self._expires_ms, min(expires_ms, latest_ms))

    def _check_token(self, token: int) -> None:
        if token < self.highest_token:
            raise OrderRejected("fence")
        self.highest_token = token

    def _fits(self, shape: Shape) -> bool:
        used = self.compute_usage()
        capacity = self.info.capacity
        return (
            used.cpu + shape.cpu <= capacity.cpu
            and used.memory_mb + shape.memory_mb <= capacity.memory_mb
        )

    def compute_usage(self) -> Shape:
        """Return the resources of all runs, including stopped runs that have not ended."""
        shapes = [active_run.shape for active_run in self.running.values()]
        return Shape(
            sum(shape.cpu for shape in shapes), sum(shape.memory_mb for shape in shapes), 0
        )
