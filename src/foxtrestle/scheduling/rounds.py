"""How long a controller waits between two rounds of decisions."""

from __future__ import annotations

from typing import Final

ROUND_S: Final = 0.1
"""Most seconds between two rounds: due times and silences need no event."""
GATHER_S: Final = 0.005
"""Least seconds between two rounds, about one answer of the store: at a rise hundreds of ends and
arrivals a second each ask for a round, and those of one moment share it."""
DECIDING_SHARE: Final = 0.3
"""Most of the processor that rounds may take. The rest is for what must not wait behind them:
renewals of leases, workers' reports, orders, and clients' requests. A round of 270 workers and
1,080 waiting tasks takes 6 ms of a core and 12 ms of half a core, so this allows 25 of them a
second on the smallest nodes."""


def compute_pause(took_s: float) -> float:
    """Return the seconds to wait after a round before the next may begin.

    Args:
        took_s: Seconds that the round took.
    """
    return min(ROUND_S, max(GATHER_S, took_s * (1 / DECIDING_SHARE - 1)))
