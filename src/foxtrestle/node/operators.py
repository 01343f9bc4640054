"""Mirror of what operators write to the store; its configuration version never goes back."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.control.log import Outage, log
from foxtrestle.listening.limits import RequestLimits
from foxtrestle.node.drained_zones import DrainedZones
from foxtrestle.platform.http import MalformedMessage
from foxtrestle.platform.operators import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    WAVE_PREFIX,
    ZONE_DRAIN_PREFIX,
    decode_configuration,
    decode_wave,
    decode_zone_drain,
)
from foxtrestle.platform.store import WATCH_WAIT_S
from foxtrestle.scheduling.access import Denial, authorise_request
from foxtrestle.store import Change, Compacted, StaleCall, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.access import AccessGrant, RequestTarget
    from foxtrestle.scheduling.model import FleetConfiguration, Wave
    from foxtrestle.store import Record

APPLY_MARGIN_S: Final = 0.1
"""The mirrored configuration counts as stale this many seconds before a newer one would have to be
in force: answering a request takes a few hundredths of a second."""
WAIT_AFTER_CHANGES_S: Final = 0.3
"""Wait of a watch call after an answer with changes, seconds. The time at which the changes were
written is unknown; only the next answer without changes proves that nothing is missing."""
COMPACTION_GAP_S: Final = 1.0
"""Seconds before a compaction of the store's history in which the platform's watch may have missed
changes."""
SLOW_ANSWER_S: Final = 0.8
"""Seconds beyond the wait after which an answer counts as slow and all keys are listed again: over
a slow link, a listing carries the newest value of each key once instead of all versions since."""
RETRY_S: Final = 0.2
"""Mean pause after a failed call, seconds."""


def compute_synced_until(
    sent_at: float, took_s: float, wait_s: float, *, has_changes: bool
) -> float:
    """Return the time up to which an answer to a watch call certainly contains all changes.

    An answer may be delayed on the network, so its arrival time proves nothing. An answer without
    changes, though, left the store no earlier than the end of its wait.

    Args:
        sent_at: Monotonic time of the call, seconds.
        took_s: Seconds until the answer had arrived completely.
        wait_s: Seconds for which the call could wait at the store for changes.
        has_changes: Whether the answer contains changes.
    """
    if has_changes or took_s < wait_s:
        return sent_at
    return sent_at + wait_s


class OperatorMirror:
    """The newest configuration, the waves and the drained zones, kept up to date by one watch."""

    def __init__(
        self,
        store: PlatformStore,
        on_change: Callable[[], None],
        apply_s: float,
        zones: DrainedZones | None = None,
    ) -> None:
        """Create an empty mirror.

        Args:
            store: The platform's store.
            on_change: Called after changes have been applied.
            apply_s: Seconds after it is written within which a new configuration must be in force.
            zones: Cache of drained zones to maintain; None if operators cannot drain zones.
        """
        self.configuration: FleetConfiguration | None = None
        """The newest configuration; None before the first one."""
        self.waves: dict[int, tuple[Wave, float]] = {}
        """Waves by number, with the monotonic time at which each was first seen, seconds."""
        self.zones = zones or DrainedZones()
        """Drained zones."""
        self.synced_until = -1e9
        """Monotonic time up to which the mirror certainly contains every change, seconds."""
        self._max_staleness_s = apply_s - APPLY_MARGIN_S
        self._store = store
        self._unreadable: dict[str, int] = {}
        self._on_change = on_change

    async def run(self) -> None:
        """Keep the mirror up to date until cancelled."""
        revision = 0
        wait_s = WAIT_AFTER_CHANGES_S
        outage = Outage("store", "watch operators")
        while True:
            try:
                if not revision:
                    revision = await self._read_all()
                sent_at = read_clock()
                changes, revision = await self._store.poll(OPERATOR_PREFIX, revision, wait_s)
                outage.note_success()
                took_s = read_clock() - sent_at
                self.synced_until = compute_synced_until(
                    sent_at, took_s, wait_s, has_changes=bool(changes)
                )
                self._apply_changes(changes)
                if took_s > wait_s + SLOW_ANSWER_S:
                    log("operators.behind", took_s=round(took_s, 2), changes=len(changes))
                    revision = 0
                wait_s = self.zones.limit_watch_wait(
                    WAIT_AFTER_CHANGES_S if changes else WATCH_WAIT_S
                )
            except Compacted:
                log("operators.relist")
                self.synced_until -= COMPACTION_GAP_S
                revision = 0
            except StaleCall:
                continue
            except StoreError as error:
                outage.note_failure(error)
                # Revision 0 makes the next iteration list all keys: many versions may have been
                # written during the outage, but only the newest version of each key matters.
                revision = 0
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))

    def is_current(self) -> bool:
        """Return whether the mirror has every configuration that must be in force by now."""
        return read_clock() - self.synced_until < self._max_staleness_s

    def find_drained(self, now: float) -> frozenset[str] | None:
        """Return the drained zones; None if the mirror is too stale to start tasks by it."""
        return self.zones.find_drained(self.synced_until, now)

    async def _read_all(self) -> int:
        sent_at = read_clock()
        listing = await self._store.scan(OPERATOR_PREFIX)
        self.synced_until = sent_at
        # Zone drain requests that were deleted while the watch was interrupted appear in no change.
        keys = (
            record.key for record in listing.records if record.key.startswith(ZONE_DRAIN_PREFIX)
        )
        self.zones.retain({key.removeprefix(ZONE_DRAIN_PREFIX) for key in keys}, listing.revision)
        self._apply_changes(
            [Change(record.key, record, record.revision) for record in listing.records]
        )
        return listing.revision

    async def refresh(self) -> None:
        """Read the newest configuration from the store."""
        record = await self._store.get(CONFIGURATION_KEY)
        if record is not None:
            self._apply_changes([Change(record.key, record, record.revision)])

    def _apply_changes(self, changes: list[Change]) -> None:
        for change in changes:
            if change.record is None:
                self._apply_deletion(change)
                continue
            try:
                self._apply_record(change.key, change.record)
            except MalformedMessage as error:
                if self._unreadable.get(change.key) != change.record.revision:
                    self._unreadable[change.key] = change.record.revision
                    log("operators.unreadable", key=change.key, reason=error.reason,
                        revision=change.record.revision)  # fmt: skip
        if changes:
            self._on_change()

    def _apply_deletion(self, change: Change) -> None:
        if change.key.startswith(ZONE_DRAIN_PREFIX):
            zone = change.key.removeprefix(ZONE_DRAIN_PREFIX)
            self.zones.remove(zone, change.revision, read_clock() - self.synced_until)

    def _apply_record(self, key: str, record: Record) -> None:
        if key == CONFIGURATION_KEY:
            self._install_configuration(record)
        elif key.startswith(ZONE_DRAIN_PREFIX):
            zone = decode_zone_drain(key)
            self.zones.add(zone, record.revision, read_clock() - self.synced_until)
        elif key.startswith(WAVE_PREFIX):
            wave = decode_wave(key, record.value)
            if wave.number not in self.waves:
                self.waves[wave.number] = (wave, read_clock())
                log("wave.seen", wave=wave.number, hosts=len(wave.hosts), within_s=wave.within_s,
                    max_parallel=wave.max_parallel)  # fmt: skip

    def _install_configuration(self, record: Record) -> None:
        current = self.configuration
        if current is not None and record.revision <= current.revision:
            return
        newer = decode_configuration(record.value, record.revision)
        if current is not None and newer.version < current.version:
            log("configuration.older-refused", version=newer.version, held=current.version)
            return
        self.configuration = newer
        log("configuration.installed", version=newer.version, revision=newer.revision,
            queues=len(newer.queues), organisations=len(newer.organisations),
            keys=len(newer.owners))  # fmt: skip

    def read_request_limits(self) -> RequestLimits:
        """Return the limits of a client's request; the usual ones without a configuration."""
        configuration = self.configuration
        if configuration is None:
            return RequestLimits()
        return RequestLimits(
            configuration.max_header_bytes,
            configuration.max_body_bytes,
            configuration.header_timeout_s,
            configuration.idle_timeout_s,
        )

    def authorise(self, target: RequestTarget) -> AccessGrant | Denial:
        """Authorise a client's request by the configuration; deny it if that may be stale."""
        if not self.is_current():
            # The mirrored configuration may be stale. A denial, which is answered with status 503,
            # is correct in either case.
            return Denial.NO_CONFIGURATION
        return authorise_request(self.configuration, target)
