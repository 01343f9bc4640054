"""Clock for the age of locks, leases and cached data; includes the time of host suspensions.

A host may be suspended for seconds. The monotonic clock, which drives timers, stops during the
suspension: a resumed controller would treat its lock, its leases and its copy of the configuration
as no older than before the suspension, although another node may hold the lock by then.
`read_clock` includes the time of suspensions.

Timers fire late by the length of a suspension. A decision that follows an `await` and depends on an
age therefore reads the clock again: before each order, each extension of a lease and each answer to
a client.
"""

from __future__ import annotations

import time
from typing import Final

MIN_SUSPENSION_S: Final = 0.5
"""Smallest difference between the two clocks that counts as a suspension, seconds; it far exceeds
any error of the clocks."""
_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_clock() -> float:
    """Return the seconds since an arbitrary fixed point, suspensions included."""
    return time.clock_gettime(_CLOCK)


class SuspensionDetector:
    """Measures how long the host was suspended between two calls."""

    __slots__ = ("_offset_s",)

    def __init__(self) -> None:
        """Create a detector whose first measurement starts now."""
        self._offset_s = _measure_offset()

    def measure_suspension(self) -> float:
        """Return the seconds of suspension since the last suspension was reported; 0 for none."""
        offset_s = _measure_offset()
        suspended_s = offset_s - self._offset_s
        if suspended_s < MIN_SUSPENSION_S:
            return 0.0
        self._offset_s = offset_s
        return suspended_s


def _measure_offset() -> float:
    """Return by how much `read_clock` is ahead of the monotonic clock, seconds."""
    return read_clock() - time.monotonic()
