"""Rate of job arrivals, with a change of the rate detected as soon as it is significant."""

from __future__ import annotations

from collections import deque
from math import copysign, exp, log, sqrt
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

HISTORY_S: Final = 8.0
"""Seconds of arrivals that the rate estimate uses; long compared with a rise of the rate, so that
the rate before the rise is known."""
MAX_ARRIVALS: Final = 160
"""Maximum number of newest arrivals that the rate estimate uses. Fewer are enough to show a change,
and every round iterates over all of them."""
CHANGE_ODDS: Final = 0.3
"""Prior odds that the rate has changed within the history. Alternating load changes more often,
steady load never."""
PRIOR_S: Final = 0.3
"""Seconds at the mean rate that are added to the time since a rise, so that a rate estimated from
only two or three arrivals does not count in full."""
MAX_GAIN: Final = 200.0
"""Log-likelihood gain beyond which a change is certain; bounds the sum of the weights."""
GROWTH_WINDOW_S: Final = 1.0
"""Seconds of arrivals that are compared with the same time before them to detect growth. A rise
lasts some seconds, and hosts that are ordered for it serve 1.9 s later."""
MAX_WORKS: Final = 40
"""Number of newest jobs over which the mean work of a job is taken; a few jobs have ten times the
mean work."""


def _compute_log_likelihood(count: int, span_s: float) -> float:
    """Return the log likelihood of some arrivals at their own mean rate."""
    return count * log(count / span_s) if count else 0.0


def estimate_rate(times: Sequence[float], start: float, now: float) -> float:
    """Return the current rate of arrivals, per second.

    The rate may have changed at any arrival. Each of these hypotheses, and the one of no change, is
    weighted by its likelihood given the observed arrivals.

    Args:
        times: Monotonic times of arrivals after `start`, oldest first, seconds.
        start: Monotonic time since which all arrivals are known, seconds.
        now: Monotonic time, seconds.
    """
    count = len(times)
    span_s = now - start
    if not count or span_s <= 0:
        return 0.0
    unchanged_likelihood = _compute_log_likelihood(count, span_s)
    mean = count / span_s
    total_weight = 1.0
    rate = mean
    for number, at in enumerate(times):
        before_s, since_s = at - start, now - at
        if before_s <= 0 or since_s <= 0:
            continue
        # The arrival at which a rise begins is no evidence of the rate after it.
        count_after = count - number - 1
        gain = (
            _compute_log_likelihood(number + 1, before_s)
            + _compute_log_likelihood(count_after, since_s)
            - unchanged_likelihood
        )
        weight = exp(min(gain, MAX_GAIN)) * CHANGE_ODDS / count
        total_weight += weight
        rate_before = min(mean, count_after / since_s)
        rate += weight * (count_after + PRIOR_S * rate_before) / (since_s + PRIOR_S)
    return rate / total_weight


def compute_growth(earlier: int, later: int) -> float:
    """Return the change of the arrival rate, per second squared.

    Only a change beyond the random scatter of the two counts is reported: jobs that arrive one by
    one at a steady rate show almost no growth, whereas hundreds of jobs that arrive faster and
    faster do.

    Args:
        earlier: Arrivals in `GROWTH_WINDOW_S`.
        later: Arrivals in the `GROWTH_WINDOW_S` after that.
    """
    change = later - earlier
    significant = max(0.0, abs(change) - sqrt(earlier + later))
    return copysign(significant, change) / GROWTH_WINDOW_S**2


class Arrivals:
    """Recent arrivals of jobs at a pool."""

    __slots__ = ("_growth_times", "_recorded_since", "_since", "_times", "_works")

    def __init__(self, since: float = 0.0) -> None:
        """Create an empty history.

        Args:
            since: Monotonic time since which all arrivals are recorded, seconds.
        """
        self._growth_times: deque[float] = deque()
        self._recorded_since = since
        self._times: deque[float] = deque(maxlen=MAX_ARRIVALS)
        self._works: deque[float] = deque(maxlen=MAX_WORKS)
        self._since = since

    def note(self, at: float, work: float) -> None:
        """Add a job.

        Args:
            at: Monotonic time of its arrival, seconds.
            work: Capacity that its tasks take times their duration, hosts x seconds.
        """
        if len(self._times) == MAX_ARRIVALS:
            self._since = self._times[0]
        self._times.append(at)
        self._growth_times.append(at)
        self._works.append(work)

    def forecast(self, now: float) -> float:
        """Return the capacity that jobs keep busy at the current arrival rate, hosts."""
        start = max(now - HISTORY_S, self._since)
        times = sorted(at for at in self._times if at > start)
        return estimate_rate(times, start, now) * self._compute_mean_work()

    def find_growth(self, now: float) -> float:
        """Return the change of the forecast capacity, hosts per second.

        The change is 0 until the history covers twice `GROWTH_WINDOW_S`.
        """
        begin = now - 2 * GROWTH_WINDOW_S
        while self._growth_times and self._growth_times[0] <= begin:
            self._growth_times.popleft()
        if self._recorded_since > begin:
            return 0.0
        later = sum(1 for at in self._growth_times if at > now - GROWTH_WINDOW_S)
        return compute_growth(len(self._growth_times) - later, later) * self._compute_mean_work()

    def _compute_mean_work(self) -> float:
        return sum(self._works) / len(self._works) if self._works else 0.0
