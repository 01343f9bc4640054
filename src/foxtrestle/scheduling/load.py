"""How much load each pool has, and how many hosts it should have for it."""

from __future__ import annotations

from collections import deque
from math import ceil
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.placing import is_usable

if TYPE_CHECKING:
    from foxtrestle.scheduling.durations import Durations
    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.state import Fleet, JobEntry

MARGIN: Final = 0.35
"""Share of a pool's recent peak that is kept free for what arrives next."""
WINDOW_S: Final = 2.0
"""Seconds over which a pool's peak is taken; an unneeded host costs less for that long than two
moves do."""
RECENT_S: Final = 1.0
"""Seconds over which a pool's present demand is taken; about the length of one task."""
ARRIVALS_S: Final = 2.0
"""Seconds over which arriving work is averaged: about the time a host needs to come, and some jobs
of each queue."""
JOB_MARGIN: Final = 1.0
"""Largest recent jobs for which room is kept besides."""
LARGE_JOBS: Final = 12
"""Recent jobs of a pool whose sizes are remembered."""


class PoolLoad:
    """Recent demand of one pool."""

    __slots__ = ("_arrivals", "_samples", "sizes")

    def __init__(self) -> None:
        """Create a load without samples."""
        self.sizes: deque[int] = deque(maxlen=LARGE_JOBS)
        """Widest step of each recent job, thousandths of a core."""
        self._samples: deque[tuple[float, float]] = deque()
        self._arrivals: deque[tuple[float, float]] = deque()

    def note_job(self, entry: JobEntry, durations: Durations) -> None:
        """Take in a job that has arrived."""
        steps = [step for step in entry.job.spec.steps if not step.fills]
        self.sizes.append(max((step.count * step.shape.cpu for step in steps), default=0))
        work = sum(
            step.count
            * step.shape.cpu
            * durations.estimate(entry.job.queue, step.estimate_ms).mean_s
            for step in steps
            if not step.lasting
        )
        self._arrivals.append((entry.created_at, work))

    def compute_rate(self, now: float) -> float:
        """Return the work that arrives, thousandths of a core that it keeps busy."""
        while self._arrivals and self._arrivals[0][0] < now - ARRIVALS_S:
            self._arrivals.popleft()
        return sum(work for _, work in self._arrivals) / ARRIVALS_S

    def note(self, now: float, demand: float) -> None:
        """Add a sample."""
        while self._samples and (
            self._samples[0][0] < now - WINDOW_S or self._samples[-1][1] <= demand
        ):
            if self._samples[-1][1] <= demand:
                self._samples.pop()
            else:
                self._samples.popleft()
        self._samples.append((now, demand))

    def peak(self, now: float, window_s: float) -> float:
        """Return the largest demand of the newest seconds, `WINDOW_S` at most."""
        return next((size for at, size in self._samples if at >= now - window_s), 0.0)


class PoolNeed(msgspec.Struct, frozen=True):
    """What a pool has and needs, in hosts."""

    demand: float
    """Room that placed and waiting tasks take, the most of the last second."""
    wanted: int
    """Hosts it should have if there are enough."""
    have: int
    """Hosts that serve it or are on their way to it."""


def _measure_demand(
    fleet: Fleet, views: dict[str, HostView], host: tuple[float, float]
) -> dict[str, float]:
    """Return what each pool's placed and waiting tasks take, in hosts of a size."""
    host_cpu, host_memory = host
    cpu: dict[str, float] = {}
    memory: dict[str, float] = {}
    for worker in fleet.workers.values():
        if not worker.gone:
            pool = worker.info.pool
            cpu[pool] = cpu.get(pool, 0.0) + worker.used.cpu
            memory[pool] = memory.get(pool, 0.0) + worker.used.memory_mb
    for entry in fleet.active.values():
        pool = entry.job.pool
        for task in entry.ready.values():
            shape = task.step.shape
            cpu[pool] = cpu.get(pool, 0.0) + (0 if task.step.fills else shape.cpu)
            memory[pool] = memory.get(pool, 0.0) + shape.memory_mb
    return {
        pool: max(cpu.get(pool, 0.0) / host_cpu, memory.get(pool, 0.0) / host_memory)
        for pool in {view.pool for view in views.values()}
    }


def _measure_host(views: dict[str, HostView]) -> tuple[float, float] | None:
    """Return cpu and memory of the mean host, if the size of any is known."""
    rooms = [view.info.room for view in views.values() if view.info.room.cpu]
    if not rooms:
        return None
    return (
        sum(room.cpu for room in rooms) / len(rooms),
        max(1.0, sum(room.memory_mb for room in rooms) / len(rooms)),
    )


def compute_needs(
    fleet: Fleet, views: dict[str, HostView], loads: dict[str, PoolLoad], now: float
) -> dict[str, PoolNeed]:
    """Return what each pool that serves has and needs."""
    configuration = fleet.configuration
    if configuration is None:
        return {}
    host = _measure_host(views)
    if host is None:
        return {}
    host_cpu, _ = host
    demand = _measure_demand(fleet, views, host)
    needs = {}
    for name, pool in configuration.pools.items():
        if pool.reserve:
            continue
        load = loads.setdefault(name, PoolLoad())
        load.note(now, demand.get(name, 0.0))
        # What has arrived is placed over the next seconds, and a host needs as long to come.
        coming = load.compute_rate(now) / host_cpu
        peak = max(load.peak(now, WINDOW_S), coming)
        largest = max(load.sizes, default=0) / host_cpu * JOB_MARGIN
        wanted = max(1, ceil(peak * (1 + MARGIN) + largest))
        recent = load.peak(now, RECENT_S)
        needs[name] = PoolNeed(recent, wanted, _count_hosts(name, views, now))
    return needs


def _count_hosts(pool: str, views: dict[str, HostView], now: float) -> int:
    count = 0
    for view in views.values():
        plan = view.plan
        if plan is not None:
            # A host in maintenance takes nothing now; if it were counted, a pool with no other
            # host would have its tasks wait until it is back.
            count += plan.pool == pool and not plan.wave
        elif view.pool == pool and view.worker is not None and is_usable(view.worker, now):
            count += 1
    return count
