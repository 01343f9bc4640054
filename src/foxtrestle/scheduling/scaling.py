"""How many hosts each pool needs, and which hosts move."""

from __future__ import annotations

from collections import deque
from math import ceil
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.placing import is_usable

if TYPE_CHECKING:
    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.state import Fleet

MARGIN: Final = 0.35
"""Share of a pool's recent peak that is kept free for what arrives next."""
WINDOW_S: Final = 4.0
"""Seconds over which a pool's peak is taken; an unneeded host costs less for that long than two
moves do."""
JOB_MARGIN: Final = 1.0
"""Largest recent jobs for which room is kept besides."""
LARGE_JOBS: Final = 12
"""Recent jobs of a pool whose sizes are remembered."""


class PoolLoad:
    """Recent demand of one pool, in hosts."""

    __slots__ = ("_samples", "sizes")

    def __init__(self) -> None:
        """Create a load without samples."""
        self.sizes: deque[float] = deque(maxlen=LARGE_JOBS)
        """Widest step of each recent job, in hosts."""
        self._samples: deque[tuple[float, float]] = deque()

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

    def peak(self, now: float) -> float:
        """Return the largest demand of the window."""
        while len(self._samples) > 1 and self._samples[0][0] < now - WINDOW_S:
            self._samples.popleft()
        return self._samples[0][1] if self._samples else 0.0


class PoolNeed(msgspec.Struct, frozen=True):
    """What a pool has and needs, in hosts."""

    demand: float
    """Room that placed and waiting tasks take."""
    wanted: int
    """Hosts it should have."""
    have: int
    """Hosts that serve it or are on their way to it."""


class HostMove(msgspec.Struct, frozen=True):
    """A decision to move a host."""

    host: str
    """Name of the host."""
    pool: str
    """Pool it goes to."""


def measure_demand(fleet: Fleet, views: dict[str, HostView]) -> dict[str, float]:
    """Return what each pool's placed and waiting tasks take, in hosts."""
    sizes = _host_sizes(views)
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
        pool: max(cpu.get(pool, 0.0) / size[0], memory.get(pool, 0.0) / size[1])
        for pool, size in sizes.items()
    }


def _host_sizes(views: dict[str, HostView]) -> dict[str, tuple[float, float]]:
    """Return the mean host of each pool that any host may be in: cpu and memory."""
    rooms = [view.info.room for view in views.values() if view.info.room.cpu]
    if not rooms:
        return {}
    mean = (
        sum(room.cpu for room in rooms) / len(rooms),
        max(1.0, sum(room.memory_mb for room in rooms) / len(rooms)),
    )
    return {view.pool: mean for view in views.values()}


def compute_needs(
    fleet: Fleet, views: dict[str, HostView], loads: dict[str, PoolLoad], now: float
) -> dict[str, PoolNeed]:
    """Return what each pool that serves has and needs."""
    configuration = fleet.configuration
    if configuration is None:
        return {}
    demand = measure_demand(fleet, views)
    needs = {}
    for name, pool in configuration.pools.items():
        if pool.reserve:
            continue
        load = loads.setdefault(name, PoolLoad())
        load.note(now, demand.get(name, 0.0))
        peak = load.peak(now)
        largest = max(load.sizes, default=0.0) * JOB_MARGIN
        wanted = max(1, ceil(peak * (1 + MARGIN) + largest))
        needs[name] = PoolNeed(demand.get(name, 0.0), wanted, _count_hosts(name, views, now))
    return needs


def _count_hosts(pool: str, views: dict[str, HostView], now: float) -> int:
    count = 0
    for view in views.values():
        plan = view.plan
        if plan is not None:
            # A maintained host comes back; it counts while it is away only for a moment.
            count += plan.pool == pool
        elif view.pool == pool and view.worker is not None and is_usable(view.worker, now):
            count += 1
    return count


def choose_moves(
    needs: dict[str, PoolNeed],
    views: dict[str, HostView],
    reserve: str,
    now: float,
) -> list[HostMove]:
    """Choose hosts to move: into pools that lack some, out of pools that have too many.

    Args:
        needs: What the pools need.
        views: All hosts.
        reserve: Name of the pool whose hosts are off; empty if there is none.
        now: Monotonic time, seconds.
    """
    moves: list[HostMove] = []
    taken: set[str] = set()
    have = {name: need.have for name, need in needs.items()}
    lacking = sorted(
        (name for name, need in needs.items() if need.have < need.wanted),
        key=lambda name: (needs[name].have - needs[name].wanted, name),
    )
    for name in lacking:
        while have[name] < needs[name].wanted:
            view = _find_off(views, reserve, taken) or _find_surplus(
                needs, have, views, taken, name, now
            )
            if view is None:
                break
            taken.add(view.info.name)
            have[name] += 1
            if view.pool in have:
                have[view.pool] -= 1
            moves.append(HostMove(view.info.name, name))
    if not reserve:
        return moves
    for name, need in needs.items():
        while have[name] > need.wanted:
            view = _find_idle(views, name, taken, now)
            if view is None:
                break
            taken.add(view.info.name)
            have[name] -= 1
            moves.append(HostMove(view.info.name, reserve))
    return moves


def _find_off(views: dict[str, HostView], reserve: str, taken: set[str]) -> HostView | None:
    for name, view in views.items():
        if name in taken or view.plan is not None or not reserve:
            continue
        if view.pool == reserve and view.info.state == "up":
            return view
    return None


def _find_surplus(
    needs: dict[str, PoolNeed],
    have: dict[str, int],
    views: dict[str, HostView],
    taken: set[str],
    pool: str,
    now: float,
) -> HostView | None:
    for name, need in needs.items():
        if name == pool or have[name] <= need.wanted:
            continue
        view = _find_idle(views, name, taken, now)
        if view is not None:
            return view
    return None


def _find_idle(
    views: dict[str, HostView], pool: str, taken: set[str], now: float
) -> HostView | None:
    """Find a host of a pool on which nothing runs."""
    for name, view in views.items():
        if name in taken or view.plan is not None or view.pool != pool:
            continue
        if view.worker is not None and is_usable(view.worker, now) and view.is_idle():
            return view
    return None
