"""How much load each pool has, and what its jobs are like."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from foxtrestle.scheduling.arrivals import Arrivals

if TYPE_CHECKING:
    from foxtrestle.scheduling.durations import Durations
    from foxtrestle.scheduling.model import Shape
    from foxtrestle.scheduling.state import JobEntry

WINDOW_S: Final = 2.0
"""Seconds over which peaks are taken; an unneeded host costs less for that long than two moves do.
"""
RECENT_JOBS: Final = 12
"""Recent jobs of a pool that tell how large its jobs are."""


def measure_share(shape: Shape, host: Shape) -> float:
    """Return the part of a host that a task takes, by what it takes most of."""
    return max(shape.cpu / host.cpu, shape.memory_mb / host.memory_mb)


class RecentPeak:
    """The largest of the newest values."""

    __slots__ = ("_samples", "_window_s")

    def __init__(self, window_s: float = WINDOW_S) -> None:
        """Create a peak without values.

        Args:
            window_s: Seconds for which values are kept.
        """
        self._window_s = window_s
        self._samples: deque[tuple[float, float]] = deque()

    def note(self, now: float, value: float) -> None:
        """Add a value."""
        samples = self._samples
        while samples and samples[0][0] < now - self._window_s:
            samples.popleft()
        while samples and samples[-1][1] <= value:
            samples.pop()
        samples.append((now, value))

    def find(self, now: float, window_s: float | None = None) -> float:
        """Return the largest value of the newest seconds, of all that are kept by default."""
        since = now - (self._window_s if window_s is None else window_s)
        return next((value for at, value in self._samples if at >= since), 0.0)


class PoolLoad:
    """Recent demand of one pool."""

    __slots__ = ("arrivals", "demand", "widths")

    def __init__(self, since: float = 0.0) -> None:
        """Create a load without samples.

        Args:
            since: Monotonic time since which all arrivals are told, seconds.
        """
        self.arrivals = Arrivals(since)
        """Jobs that came."""
        self.widths: deque[float] = deque(maxlen=RECENT_JOBS)
        """Room that the widest step of each recent job takes, hosts."""
        self.demand = RecentPeak()
        """Room that placed and waiting tasks take, hosts."""

    def note_job(self, entry: JobEntry, durations: Durations, host: Shape) -> None:
        """Take in a job that has arrived.

        Args:
            entry: The job.
            durations: How long tasks take.
            host: Room of a host.
        """
        steps = [step for step in entry.job.spec.steps if not step.fills and not step.lasting]
        if not steps:
            return
        widths = [step.count * measure_share(step.shape, host) for step in steps]
        self.widths.append(max(widths))
        work = sum(
            width * durations.estimate(entry.job.queue, step.estimate_ms).mean_s
            for step, width in zip(steps, widths, strict=True)
        )
        self.arrivals.note(entry.created_at, work)
