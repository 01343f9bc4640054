"""Spread of long-running tasks over zones and racks, which limits the loss when one of them fails.

Long-running tasks stay indefinitely, and every second without one counts. If they were packed onto
the workers with the least free capacity, the tasks of a step would share a zone or rack and be lost
together with it. Short tasks are packed nevertheless: packing frees hosts sooner, and a lost short
task runs again elsewhere.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.model import WorkerInfo
    from foxtrestle.scheduling.workers import Worker

Rack: TypeAlias = tuple[str, tuple[str, ...]]
"""A rack: its zone, and the labels that all its workers have."""


def find_rack(info: WorkerInfo) -> Rack:
    """Return the rack of a worker."""
    return info.zone, info.labels


class ZoneRackCounts:
    """Number of tasks of a step in each zone and rack."""

    __slots__ = ("_racks", "_zones")

    def __init__(self, step_key: tuple[str, int, int], workers: Iterable[Worker]) -> None:
        """Count the tasks of a step.

        Args:
            step_key: The step, by job, repetition and number.
            workers: All workers that may run such tasks, usable or not.
        """
        self._zones: Counter[str] = Counter()
        self._racks: Counter[Rack] = Counter()
        for worker in workers:
            count = sum(1 for key, _ in worker.runs if key[:3] == step_key)
            if count:
                self.add(worker.info, count)

    def add(self, info: WorkerInfo, count: int) -> None:
        """Add tasks; a negative count removes them."""
        self._zones[info.zone] += count
        self._racks[find_rack(info)] += count

    def rank(self, info: WorkerInfo) -> tuple[int, int]:
        """Rank a worker for one more task: fewest tasks in its zone, then in its rack."""
        return self._zones[info.zone], self._racks[find_rack(info)]
