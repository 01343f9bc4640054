"""Cache of the pressure on pools, updated from the answers to the node's own writes.

A job is stored on the condition that the pressure record still has the cached revision. If the
record has changed, the store refuses the write and returns the current record. A node thus gets a
change with the first job that the change concerns, without an additional call or watch.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.pressure_records import decode_pressure
from foxtrestle.scheduling.pressure import Pressure
from foxtrestle.store import ABSENT

if TYPE_CHECKING:
    from foxtrestle.store import Record

MAX_AGE_S: Final = 1.0
"""Seconds for which a node refuses jobs by a cached record; after that, the next write checks
whether the record is still current."""


class CachedPressure(msgspec.Struct, frozen=True):
    """Cached pressure on the pools of one partition."""

    pressure: Pressure = Pressure()
    """How long new work waits, by pool and priority, and by organisation for those over their
    share."""
    revision: int = ABSENT
    """Revision of the record."""
    confirmed_at: float = 0.0
    """Monotonic time at which the store last confirmed the record, seconds."""


class PressureCache:
    """Cached pressure of all partitions."""

    def __init__(self) -> None:
        """Create a cache that assumes no pressure."""
        self._entries: dict[int, CachedPressure] = {}

    def find(self, partition: int) -> CachedPressure:
        """Return the cached pressure of a partition, however old."""
        return self._entries.get(partition, CachedPressure())

    def find_fresh(self, partition: int) -> CachedPressure | None:
        """Return the cached pressure of a partition; None if it is too old to refuse jobs by."""
        cached = self.find(partition)
        return cached if read_clock() - cached.confirmed_at < MAX_AGE_S else None

    def confirm(self, partition: int) -> None:
        """Reset the age of a cached record after a write conditional on its revision succeeded."""
        cached = self.find(partition)
        if cached.revision != ABSENT:
            self._entries[partition] = msgspec.structs.replace(cached, confirmed_at=read_clock())

    def update(self, partition: int, record: Record | None) -> bool:
        """Cache the record that a refused write returned; return whether it has changed."""
        cached = self.find(partition)
        revision = record.revision if record is not None else ABSENT
        now = read_clock()
        if revision == cached.revision:
            self.confirm(partition)
            return False
        self._entries[partition] = CachedPressure(decode_pressure(record), revision, now)
        return True
