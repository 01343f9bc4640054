"""How fast tasks that fill may work beside tasks that serve."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import TaskKey
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

TIGHT_SHARE: Final = 0.9
"""Share of its latency target from which a serving task counts as under pressure."""
EASY_SHARE: Final = 0.6
"""Share of its latency target below which the others may work faster again."""
SLOW_DOWN: Final = 0.5
"""Factor on the pace of tasks that fill, each second a serving task is under pressure: four steps
are through before harm counts (4 s)."""
SPEED_UP: Final = 10
"""Percent by which they may work faster again, each second all serving tasks are at ease."""
FULL_PACE: Final = 100
"""Pace at which a run starts, percent."""


class PaceOrder(msgspec.Struct, frozen=True):
    """A run whose pace changes."""

    key: TaskKey
    """The task."""
    run: int
    """Number of the run."""
    percent: int
    """Share of its speed, 0 to 100."""


def choose_paces(fleet: Fleet, worker: Worker, pace_s: float, now: float) -> list[PaceOrder]:
    """Choose new paces for the tasks that fill on one worker.

    Args:
        fleet: The state.
        worker: The worker, just after a report.
        pace_s: Seconds after its start from which a run can be paced.
        now: Monotonic time, seconds.
    """
    pressure = 0.0
    serving = False
    fillers = []
    for (key, number), run in worker.runs.items():
        found = fleet.find_run(key, number)
        if found is None or run.state != "running":
            continue
        step = found[0].step
        if step.fills:
            if now - run.confirmed_at >= pace_s:
                fillers.append((key, run))
        elif step.latency_target_ms:
            serving = True
            pressure = max(pressure, run.usage / step.latency_target_ms)
    if not serving:
        return [
            PaceOrder(key, run.number, FULL_PACE) for key, run in fillers if run.pace != FULL_PACE
        ]
    orders = []
    for key, run in fillers:
        pace = run.pace
        if pressure > TIGHT_SHARE:
            pace = int(pace * SLOW_DOWN)
        elif pressure < EASY_SHARE:
            pace = min(FULL_PACE, pace + SPEED_UP)
        if pace != run.pace:
            orders.append(PaceOrder(key, run.number, pace))
    return orders
