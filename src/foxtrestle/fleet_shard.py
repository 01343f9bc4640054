"""Control loop of a region's fleet shard: observes hosts, decides, commits and then sends orders.

An order is sent only after the state that requires it has been committed by one compare-and-swap.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.errors import FoxtrestleError
from foxtrestle.fleet_update import (
    FleetUpdate,
    UpdateEvent,
    assign_in_slices,
    find_violations,
    list_in_maintenance,
)
from foxtrestle.observation import MIN_DRAIN_S, apply_host_list, apply_worker_statuses
from foxtrestle.records import FLEET_PREFIX, FleetRecord, decode_record, encode_record, replace
from foxtrestle.store import ABSENT, StoreError, swap_with_retry
from foxtrestle.waves import advance_waves

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Awaitable, Callable, Collection

    from foxtrestle.configuration import Configuration
    from foxtrestle.events import Timeline
    from foxtrestle.host_client import HostListClient, WorkerAgents, WorkerStatus
    from foxtrestle.invariant_checks import InvariantChecks
    from foxtrestle.records import HostEntry
    from foxtrestle.store import Mirror, Store

MIN_ABSENCE_S: Final = 3.0
"""Seconds a host must be missing from the host list before it counts as lost."""
MAX_LIST_AGE_S: Final = 10.0
"""Maximum age of the host list, seconds; a host missing from an older list does not count as
lost."""


class ShardLost(FoxtrestleError):
    """Another daemon has taken over the shard."""


class ShardContext(msgspec.Struct, frozen=True):
    """Dependencies that a daemon passes to its fleet and job shards."""

    incarnation: str
    """This daemon's incarnation."""
    store: Store
    """The platform's store."""
    mirror: Mirror
    """Mirror of the shared records."""
    configuration: Configuration
    """The installed configuration."""
    host_list: HostListClient
    """Client of the platform's host list, polled by the daemon."""
    workers: WorkerAgents
    """Client of the agents on the workers."""
    timeline: Timeline
    """Timeline to which changes are added."""
    counters: Counter[str]
    """Counters: `rounds`, `commits`, `conflicts`, `orders`, `order-failures`."""
    checks: InvariantChecks
    """Invariant checks."""
    period_s: float
    """Seconds between two rounds."""
    has_quorum: Callable[[], bool]
    """Returns whether a majority of the known daemons has sent a status recently."""
    min_drain_s: float = MIN_DRAIN_S
    """Minimum seconds a host drains."""
    wall_clock: Callable[[], float] = time.time
    """Wall clock, seconds."""


class FleetShard:
    """Control loop of one region's fleet, run by the daemon that holds the shard."""

    def __init__(self, region: str, context: ShardContext) -> None:
        """Create the control loop of a region."""
        self.region = region
        """The region."""
        self._context = context
        self._key = FLEET_PREFIX + region
        self._record = FleetRecord()
        self._revision = ABSENT
        self._update: FleetUpdate | None = None
        self._last_listed_at: dict[str, float] = {}
        # Host list of the last round that left nothing to wait for; None if there is no such round.
        self._settled_list: object = None

    async def run(self) -> None:
        """Run until cancelled.

        Raises:
            ShardLost: Another daemon has taken over the shard.
        """
        await self._take_over()
        while True:
            try:
                await self._run_round()
            except StoreError as error:
                # No host is taken down or moved while the store does not respond.
                self._update = None
                self._context.timeline.add("fleet.store-away", self.region, error.reason)
            await asyncio.sleep(self._context.period_s)

    async def release(self) -> None:
        """Do nothing: all state is in the stored record, so there is nothing to hand over."""

    async def _take_over(self) -> None:
        """Increment the epoch, so that orders and writes of a former holder are rejected."""
        stored = await self._context.store.get(self._key)
        former = decode_record(stored.value, FleetRecord, self._key) if stored else FleetRecord()
        self._revision = stored.revision if stored else ABSENT
        record = replace(
            former,
            epoch=former.epoch + 1,
            holder=self._context.incarnation,
            sequence=former.sequence + 1,
        )
        await self._commit(record)

    async def _run_round(self) -> None:
        context = self._context
        context.counters["rounds"] += 1
        if not context.mirror.synced or not context.configuration.version:
            return
        if self._is_idle():
            return
        now = context.wall_clock()
        update = self._prepare_update()
        statuses = await self._read_statuses(update)
        listed = {
            name: host
            for name, host in context.host_list.hosts.items()
            if host.region == self.region
        }
        apply_host_list(update, listed, self._find_missing(update, set(listed), now), now)
        apply_worker_statuses(update, statuses, now, context.min_drain_s)
        for _ in assign_in_slices(update, now):
            await asyncio.sleep(0)
        advance_waves(update, now)
        violations = find_violations(update)
        if violations:
            self._report_violations(violations)
            return
        record = update.to_record(
            context.incarnation, self._record.epoch, context.configuration.version
        )
        if replace(record, sequence=self._record.sequence) != self._record:
            await self._commit(record)
            update.record = record
            for event in update.events:
                context.timeline.add(event.kind, event.subject, event.detail)
        events, update.events = update.events, []
        await self._send_orders(update, statuses, events)
        self._settled_list = context.host_list.hosts if _is_settled(update, listed) else None

    def _is_idle(self) -> bool:
        """Return whether the last round left nothing to wait for and its inputs are unchanged."""
        context = self._context
        return (
            self._update is not None
            and self._update.declaration is context.configuration.declaration
            and self._settled_list is context.host_list.hosts
        )

    def _prepare_update(self) -> FleetUpdate:
        """Return the update of the last round, or a new one after a change of configuration."""
        declaration = self._context.configuration.declaration
        if self._update is None or self._update.declaration is not declaration:
            update = FleetUpdate(self.region, self._record, declaration)
            update.dirty_pools.update(update.fleet.pools)
            self._update = update
        return self._update

    def _find_missing(self, update: FleetUpdate, listed: set[str], now: float) -> frozenset[str]:
        """Find hosts that have been missing from a fresh host list for long enough."""
        if now - self._context.host_list.read_at > MAX_LIST_AGE_S:
            return frozenset()
        for name in listed:
            self._last_listed_at[name] = now
        missing = set()
        for name in update.entries.keys() - listed:
            if now - self._last_listed_at.setdefault(name, now) >= MIN_ABSENCE_S:
                missing.add(name)
        return frozenset(missing)

    async def _read_statuses(self, update: FleetUpdate) -> dict[str, WorkerStatus]:
        """Read the status of each worker in maintenance; workers that do not answer are omitted."""
        in_maintenance = list(list_in_maintenance(update))

        async def read(entry: HostEntry) -> WorkerStatus | None:
            try:
                return await self._context.workers.read_status(entry.address)
            except FoxtrestleError:
                return None

        statuses = await asyncio.gather(*(read(entry) for _, entry in in_maintenance))
        return {
            name: status
            for (name, _), status in zip(in_maintenance, statuses, strict=True)
            if status is not None
        }

    async def _commit(self, record: FleetRecord) -> None:
        try:
            swap = await swap_with_retry(
                self._context.store, self._key, encode_record(record), self._revision
            )
        except StoreError:
            await self._recover()
            raise
        if not swap.done:
            self._context.counters["conflicts"] += 1
            raise ShardLost("another daemon wrote the record", step="fleet.commit", peer=self._key)
        assert swap.record is not None
        self._context.counters["commits"] += 1
        self._revision, self._record = swap.record.revision, record
        self._context.mirror.apply_record(swap.record)

    async def _recover(self) -> None:
        """Drop the update after a write of unknown outcome and continue from the stored record."""
        self._update = None
        stored = await self._context.store.get(self._key)
        if stored is None:
            return
        record = decode_record(stored.value, FleetRecord, self._key)
        if record.holder not in ("", self._context.incarnation):
            raise ShardLost("another daemon holds the shard", step="fleet.commit", peer=self._key)
        self._revision, self._record = stored.revision, record

    async def _send_orders(
        self, update: FleetUpdate, statuses: dict[str, WorkerStatus], events: list[UpdateEvent]
    ) -> None:
        """Send the orders that the committed states require; sending one again is safe."""
        orders: list[Awaitable[None]] = []
        for name, entry in list_in_maintenance(update):
            state, status = update.fleet.states[name], statuses.get(name)
            if state == "draining" and (status is None or not status.draining):
                orders.append(self._drain(entry))
            elif state == "rebooting" and status is not None and status.boot == entry.boot:
                orders.append(self._reboot(entry))
        orders.extend(
            self._resume(update.entries[event.subject])
            for event in events
            if event.kind == "host.up"
        )
        await asyncio.gather(*(self._send_order(order) for order in orders))

    async def _drain(self, entry: HostEntry) -> None:
        await self._context.workers.drain(entry.address, self._key, self._record.epoch)

    async def _reboot(self, entry: HostEntry) -> None:
        await self._context.workers.reboot(entry.address, self._key, self._record.epoch, entry.boot)

    async def _resume(self, entry: HostEntry) -> None:
        await self._context.workers.resume(entry.address, self._key, self._record.epoch)

    async def _send_order(self, order: Awaitable[None]) -> None:
        self._context.counters["orders"] += 1
        try:
            await order
        except FoxtrestleError:
            self._context.counters["order-failures"] += 1

    def _report_violations(self, violations: list[UpdateEvent]) -> None:
        """Report violated invariants and drop the update without committing any part of it."""
        for event in violations:
            self._context.checks.report_violation(event.kind, event.subject, event.detail)  # type: ignore[arg-type]
        self._update = None


def _is_settled(update: FleetUpdate, listed: Collection[str]) -> bool:
    """Return whether nothing changes without new input.

    This holds when all listed hosts are up or quarantined, all waves have ended, and no pool has
    changes, shortages or surplus to process.
    """
    waiting = update.fleet.in_state("draining", "rebooting", "lost", "leaving")
    ended = all(wave.state in ("done", "withdrawn") for wave in update.waves.values())
    declared = all(wave.name in update.waves for wave in update.declaration.waves)
    unprocessed = update.dirty_pools or update.shortages or update.surplus_since or waiting
    return ended and declared and not unprocessed and update.entries.keys() <= set(listed)
