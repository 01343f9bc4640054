"""Measures the lag of the event loop: a blocked loop delays every lease renewal and request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from foxtrestle.clock import SuspensionDetector, read_clock
from foxtrestle.control.log import log

if TYPE_CHECKING:
    from foxtrestle.control.node_metrics import NodeMetrics

SAMPLE_INTERVAL_S: Final = 0.25
"""Seconds between two samples: short compared with the lease of the controller's lock (1.4 s), at
the cost of four wake-ups per second."""
LOGGED_LAG_S: Final = 0.2
"""Smallest lag that is logged, seconds: the time-out of an order to a worker."""


async def measure_loop_lag(metrics: NodeMetrics) -> None:
    """Measure the lag of the event loop until cancelled."""
    suspensions = SuspensionDetector()
    while True:
        due = read_clock() + SAMPLE_INTERVAL_S
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        suspended_s = suspensions.measure_suspension()
        if suspended_s:
            log("host.suspended", suspended_s=round(suspended_s, 3))
        lag_s = max(0.0, read_clock() - due)
        metrics.note_lag(lag_s)
        if lag_s >= LOGGED_LAG_S:
            log("loop.lagged", lag_s=round(lag_s, 3))
