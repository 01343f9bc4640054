"""Publishes through the store how long new work waits while pools are under pressure."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.guarded_record import GuardedRecord
from foxtrestle.control.log import log
from foxtrestle.control.record_updates import keep_updated
from foxtrestle.control.stored import decode_json, decode_or_skip
from foxtrestle.scheduling.pool_needs import compute_mean_host
from foxtrestle.scheduling.pressure import RATE_WINDOW_S, Pressure, SubmittedWork, measure_pressure

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from foxtrestle.control.leader_election import Term
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.store import Record

UPDATE_INTERVAL_S: Final = 0.5
"""Minimum seconds between two writes of the record: each costs a refused write at every node that
accepts jobs, but an outdated record causes jobs to be refused that could finish in time."""


def decode_pressure(record: Record | None) -> Pressure:
    """Decode the record; a missing or unreadable one means that there is no pressure."""
    if record is None:
        return Pressure()
    return decode_or_skip(record, decode_json(Pressure), "pressure.unreadable") or Pressure()


class PressureRecords:
    """The pressure record of one partition, written by its controller."""

    def __init__(
        self,
        fleet: Fleet,
        store: PlatformStore,
        term: Term,
        read_hosts: Callable[[], Mapping[str, int]],
    ) -> None:
        """Create records of a term.

        Args:
            fleet: The state.
            store: The platform's store.
            term: The controller's term.
            read_hosts: Returns how many hosts each pool has or will have.
        """
        self._fleet = fleet
        self._term = term
        self._record = GuardedRecord(store, term, term.keys.pressure, term.keys.pressure_companion)
        self._read_hosts = read_hosts
        self._submitted = SubmittedWork()
        self._is_confirmed = True
        self.written = Pressure()
        """Content of the record when a write was last confirmed or it was read."""

    def adopt(self, record: Record | None, companion: Record | None = None) -> None:
        """Continue from a former controller's record, which is replaced or removed soon."""
        self._record.adopt(companion)
        self.written = decode_pressure(record)
        # A record that cannot be decoded, or that states no pressure, is removed.
        self._is_confirmed = record is None or bool(self.written.pools)

    def note_job(self, entry: JobEntry) -> None:
        """Count a job that has arrived."""
        host = compute_mean_host(self._fleet)
        now = read_clock()
        # Jobs that a new controller finds waiting may have arrived long before.
        if host is not None and entry.job.owner and now - entry.created_at < RATE_WINDOW_S:
            self._submitted.note(entry, self._fleet.durations, host, now)

    async def run(self) -> None:
        """Keep the record up to date until cancelled."""
        await keep_updated(self.update, "pressure", UPDATE_INTERVAL_S)

    async def update(self) -> None:
        """Write the record if the pressure has changed, or remove it if there is none."""
        pressure = measure_pressure(
            self._fleet, self._read_hosts(), self._submitted, self.written, read_clock()
        )
        if self._is_confirmed and pressure == self.written:
            return
        # An unanswered write may have taken effect, so another write always follows it.
        self._is_confirmed = False
        await self._record.write(msgspec.json.encode(pressure) if pressure.pools else None)
        self._is_confirmed = True
        self._note_written(pressure)

    def _note_written(self, pressure: Pressure) -> None:
        for pool in sorted(pressure.pools.keys() | self.written.pools.keys()):
            current, previous = pressure.pools.get(pool), self.written.pools.get(pool)
            if current == previous:
                continue
            organisations = current.organisations if current is not None else {}
            waits = current.wait_s.values() if current is not None else ()
            log("pressure.changed", pool=pool, wait_s=max(waits, default=0.0),
                organisations={name: [state.refused, max(state.wait_s.values(), default=0.0)]
                               for name, state in organisations.items()},
                hosts=self._read_hosts().get(pool, 0),
                partition=self._term.partition.number)  # fmt: skip
        self.written = pressure
