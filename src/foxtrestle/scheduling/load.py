"""Load of each pool and the size of its jobs."""

from __future__ import annotations

from collections import deque
from math import sqrt
from statistics import fmean
from typing import TYPE_CHECKING, Final

from foxtrestle.scheduling.arrivals import GROWTH_WINDOW_S, Arrivals

if TYPE_CHECKING:
    from collections.abc import Sequence

    from foxtrestle.scheduling.durations import Durations
    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.model import Shape

PEAK_WINDOW_S: Final = 2.0
"""Seconds over which peaks are taken: keeping an unneeded host for that long costs less than two
moves."""
RECENT_JOBS: Final = 12
"""Number of newest jobs of a pool that are used to determine the size of its jobs."""


def compute_dominant_share(shape: Shape, host: Shape) -> float:
    """Return the larger of the fractions of a host's CPU and memory that a task takes."""
    return max(shape.cpu / host.cpu, shape.memory_mb / host.memory_mb)


def compute_load_deviation(load: float, widths: Sequence[float]) -> float:
    """Return the standard deviation of a load of jobs that arrive independently, hosts.

    Args:
        load: The load, hosts.
        widths: Capacity that recent jobs take, hosts.
    """
    return sqrt(load * fmean(widths)) if widths else 0.0


def measure_work(entry: JobEntry, durations: Durations, host: Shape) -> float:
    """Return the capacity that a job's tasks take times their duration, hosts x seconds."""
    return sum(
        step.count
        * compute_dominant_share(step.shape, host)
        * durations.estimate(entry.job.queue, step.estimate_ms).mean_s
        for step in entry.job.spec.steps
        if not step.fills and not step.lasting
    )


class RecentPeak:
    """Maximum over a sliding time window."""

    __slots__ = ("_samples", "_window_s")

    def __init__(self, window_s: float = PEAK_WINDOW_S) -> None:
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
        """Return the largest value of the last `window_s` seconds, by default of all values."""
        since = now - (self._window_s if window_s is None else window_s)
        return next((value for at, value in self._samples if at >= since), 0.0)


class RecentValues:
    """Values of the last second, from which their growth is derived."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        """Create a history without values."""
        self._samples: deque[tuple[float, float]] = deque()

    def note(self, now: float, value: float) -> None:
        """Add a value."""
        samples = self._samples
        samples.append((now, value))
        while len(samples) > 1 and samples[1][0] <= now - GROWTH_WINDOW_S:
            samples.popleft()

    def find_growth(self, scatter: float) -> float:
        """Return the growth of the values per second, beyond what their random scatter explains.

        Args:
            scatter: Standard deviation of a value while nothing grows.
        """
        (begin, first), (end, last) = self._samples[0], self._samples[-1]
        if end - begin < GROWTH_WINDOW_S:
            return 0.0
        return max(0.0, last - first - scatter) / (end - begin)


class PoolLoad:
    """Recent demand of one pool."""

    __slots__ = ("arrivals", "demand_history", "peak_demand", "widths")

    def __init__(self, since: float = 0.0) -> None:
        """Create a load without samples.

        Args:
            since: Monotonic time since which all arrivals are recorded, seconds.
        """
        self.arrivals = Arrivals(since)
        """Arrivals of jobs."""
        self.widths: deque[float] = deque(maxlen=RECENT_JOBS)
        """Capacity that the widest step of each recent job takes, hosts."""
        self.peak_demand = RecentPeak()
        """Recent peak of the capacity that placed and waiting tasks take, hosts."""
        self.demand_history = RecentValues()
        """Capacity that these tasks took, by time, hosts."""

    def note_demand(self, now: float, hosts: float) -> None:
        """Record the capacity that placed and waiting tasks take now."""
        self.peak_demand.note(now, hosts)
        self.demand_history.note(now, hosts)

    def find_growth(self, now: float) -> float:
        """Return the change of the load, hosts per second, as far as it is significant.

        A rise shows in the arrivals first. At a constant arrival rate, the load in service still
        grows for the duration of a job.
        """
        arrival_growth = self.arrivals.find_growth(now)
        scatter = compute_load_deviation(self.peak_demand.find(now), self.widths)
        service_growth = self.demand_history.find_growth(scatter)
        return max(arrival_growth, service_growth) if service_growth else arrival_growth

    def note_job(self, entry: JobEntry, durations: Durations, host: Shape) -> None:
        """Record a job that has arrived.

        Args:
            entry: The job.
            durations: Durations of tasks.
            host: Capacity of a host.
        """
        widths = [
            step.count * compute_dominant_share(step.shape, host)
            for step in entry.job.spec.steps
            if not step.fills and not step.lasting
        ]
        if widths:
            self.widths.append(max(widths))
            self.arrivals.note(entry.created_at, measure_work(entry, durations, host))
