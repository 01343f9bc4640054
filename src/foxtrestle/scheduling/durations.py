"""Estimates of task durations, from the tasks that have ended."""

from __future__ import annotations

from collections import deque
from statistics import fmean, quantiles
from typing import Final

import msgspec

SAMPLES: Final = 100
"""Number of newest durations kept per queue: some seconds of load, so that drift shows quickly."""
MIN_SAMPLES: Final = 5
"""Minimum number of durations; with fewer, the client's estimate is used instead."""
REFRESH_AFTER_SAMPLES: Final = 10
"""Number of new durations after which the statistics are recomputed: a tenth of those kept."""
LONG_DECILE: Final = 8
"""Decile that counts as a long duration. A step ends with its longest task, which lies at about the
eighth decile or above for steps of six to eight tasks."""


class DurationEstimate(msgspec.Struct, frozen=True):
    """Statistics of the task durations of a queue."""

    mean_s: float
    """Mean, seconds; used for the total work of many tasks."""
    long_s: float
    """Long duration (see `LONG_DECILE`), seconds; used for the time until a whole step is done."""


class Durations:
    """Task durations by queue."""

    def __init__(self) -> None:
        """Create an instance without samples."""
        self._samples: dict[str, deque[float]] = {}
        self._estimates: dict[str, DurationEstimate] = {}
        self._new_samples: dict[str, int] = {}

    def add_sample(self, queue: str, seconds: float) -> None:
        """Add the duration of a successful task of a queue."""
        samples = self._samples.setdefault(queue, deque(maxlen=SAMPLES))
        samples.append(seconds)
        new_samples = self._new_samples.get(queue, 0) + 1
        if len(samples) >= MIN_SAMPLES and (
            queue not in self._estimates or new_samples >= REFRESH_AFTER_SAMPLES
        ):
            long_s = quantiles(samples, n=10, method="inclusive")[LONG_DECILE - 1]
            self._estimates[queue] = DurationEstimate(fmean(samples), long_s)
            new_samples = 0
        self._new_samples[queue] = new_samples

    def build_record(self) -> dict[str, DurationEstimate]:
        """Return the statistics by queue."""
        return dict(self._estimates)

    def restore(self, inherited: dict[str, DurationEstimate]) -> None:
        """Use the statistics of another controller for queues that have none here yet."""
        self._estimates = inherited | self._estimates

    def estimate(self, queue: str, client_estimate_ms: int) -> DurationEstimate:
        """Return the statistics of a queue, or the client's estimate if there are none."""
        estimate = self._estimates.get(queue)
        if estimate is not None:
            return estimate
        return DurationEstimate(client_estimate_ms / 1000, client_estimate_ms / 1000)
