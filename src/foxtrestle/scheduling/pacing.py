"""Throttling of best-effort tasks that run beside latency-sensitive tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import TaskKey
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

HIGH_PRESSURE_SHARE: Final = 0.9
"""Fraction of its latency target above which a latency-sensitive task counts as under pressure."""
LOW_PRESSURE_SHARE: Final = 0.6
"""Fraction of the latency target below which best-effort tasks may speed up again."""
SLOW_DOWN_FACTOR: Final = 0.5
"""Factor on the pace of best-effort tasks for each second of pressure on a latency-sensitive task.
Four reductions take effect before exceeded targets count as a violation (4 s)."""
SPEED_UP_PERCENT: Final = 10
"""Percentage points added to the pace of best-effort tasks for each second without pressure."""
FULL_PACE_PERCENT: Final = 100
"""Pace of a run at its start, percent of full speed."""


class PaceOrder(msgspec.Struct, frozen=True):
    """An order to change the pace of one run."""

    key: TaskKey
    """The task."""
    run: int
    """Number of the run."""
    percent: int
    """New pace, percent of full speed, 0 to 100."""


def choose_paces(fleet: Fleet, worker: Worker, min_run_age_s: float, now: float) -> list[PaceOrder]:
    """Choose new paces for the best-effort tasks on one worker.

    Args:
        fleet: The state.
        worker: The worker, just after its report has been processed.
        min_run_age_s: Minimum age of a run that may be throttled, seconds.
        now: Monotonic time, seconds.
    """
    pressure = 0.0
    has_latency_target = False
    best_effort = []
    for (key, number), run in worker.runs.items():
        task_and_run = fleet.find_run(key, number)
        if task_and_run is None or run.state != "running":
            continue
        step = task_and_run[0].step
        if step.fills:
            if now - run.confirmed_at >= min_run_age_s:
                best_effort.append((key, run))
        elif step.latency_target_ms:
            has_latency_target = True
            pressure = max(pressure, run.usage / step.latency_target_ms)
    if not has_latency_target:
        return [
            PaceOrder(key, run.number, FULL_PACE_PERCENT)
            for key, run in best_effort
            if run.pace != FULL_PACE_PERCENT
        ]
    orders = []
    for key, run in best_effort:
        pace = run.pace
        if pressure > HIGH_PRESSURE_SHARE:
            pace = int(pace * SLOW_DOWN_FACTOR)
        elif pressure < LOW_PRESSURE_SHARE:
            pace = min(FULL_PACE_PERCENT, pace + SPEED_UP_PERCENT)
        if pace != run.pace:
            orders.append(PaceOrder(key, run.number, pace))
    return orders
