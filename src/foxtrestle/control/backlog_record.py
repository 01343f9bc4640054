"""Publishes through the store that a partition accepts no new jobs until others have ended.

The record exists only while that is so. Each job is stored under the condition that it does not, so
that nodes need not read it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.control.guarded_record import GuardedRecord
from foxtrestle.control.log import log
from foxtrestle.control.record_updates import keep_updated
from foxtrestle.scheduling.backlog import is_backlog_full

if TYPE_CHECKING:
    from foxtrestle.control.leader_election import Term
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.store import Record

CHECK_INTERVAL_S: Final = 0.5
"""Seconds between two checks; it bounds the jobs that are accepted beyond the limit."""


class BacklogRecord:
    """The record of one partition, written by its controller."""

    def __init__(self, fleet: Fleet, store: PlatformStore, term: Term, memory_mb: int) -> None:
        """Create the record of a term.

        Args:
            fleet: The state.
            store: The platform's store.
            term: The controller's term.
            memory_mb: Memory of this node, MB.
        """
        self.full = False
        """Whether new jobs are refused."""
        self._fleet = fleet
        self._term = term
        self._record = GuardedRecord(store, term, term.keys.backlog, term.keys.backlog_companion)
        self._memory_mb = memory_mb
        self._confirmed = True

    def adopt(self, *, exists: bool, companion: Record | None = None) -> None:
        """Continue from the record of a former controller."""
        self.full = exists
        self._record.adopt(companion)

    async def run(self) -> None:
        """Keep the record up to date until cancelled."""
        await keep_updated(self.update, "backlog", CHECK_INTERVAL_S)

    async def update(self) -> None:
        """Write or remove the record if that has changed."""
        jobs = [entry.job for entry in self._fleet.active.values()]
        full = is_backlog_full(jobs, self._memory_mb, was_full=self.full)
        if self._confirmed and full == self.full:
            return
        # An unanswered write may have taken effect, so another write always follows it.
        self._confirmed = False
        await self._record.write(b"full" if full else None)
        self._confirmed = True
        self.full = full
        log("backlog.changed", full=full, jobs=len(jobs),
            partition=self._term.partition.number)  # fmt: skip
