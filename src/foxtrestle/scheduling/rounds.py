"""Pauses of a controller between two rounds of decisions and between two calls of a watch."""

from __future__ import annotations

from typing import Final

MAX_ROUND_PAUSE_S: Final = 0.1
"""Maximum seconds between two rounds: due times and unresponsive workers cause no event."""
MIN_ROUND_PAUSE_S: Final = 0.005
"""Minimum seconds between two rounds, about the latency of the store: under high load, hundreds of
ended tasks and new jobs a second each request a round; requests during the pause share one
round."""
ROUND_CPU_SHARE: Final = 0.3
"""Largest fraction of CPU time that rounds may take. The rest is for work that must not wait for
them: lease renewals, workers' reports, orders, and clients' requests. A round with 270 workers and
1,080 waiting tasks takes 6 ms of a core and 12 ms of half a core, so 25 of them a second are
possible on the smallest nodes."""

WATCH_PAUSE_PER_CONTROLLER_S: Final = 0.005
"""Pause between two calls of a watch with changes, seconds per controller: all controllers together
make 200 such calls a second for each of the two prefixes that they watch, which is a fifth of the
store's rate limit."""
MAX_WATCH_PAUSE_S: Final = 0.1
"""Maximum seconds for which changes are batched: a sixth of the shortest constant part of any
latency objective."""


def compute_round_pause(took_s: float) -> float:
    """Return the seconds to wait after a round before the next may begin.

    Args:
        took_s: Duration of the round, seconds.
    """
    return min(MAX_ROUND_PAUSE_S, max(MIN_ROUND_PAUSE_S, took_s * (1 / ROUND_CPU_SHARE - 1)))


def compute_watch_pause(controllers: int) -> float:
    """Return the seconds to wait after a watch has returned changes before the next call.

    Without a pause, a watch returns with each single change, and every controller watches the
    entries of all workers. Eight controllers made 800 to 1,100 calls each in the 10 s in which
    2,461 workers started, so the store refused clients' jobs and lock renewals, as its rate limit
    of 2,000 calls a second was exceeded. A single controller stays well below the limit and
    receives each job without delay.

    Args:
        controllers: Number of controllers that use the same store.
    """
    if controllers == 1:
        return 0.0
    return min(MAX_WATCH_PAUSE_S, WATCH_PAUSE_PER_CONTROLLER_S * controllers)
