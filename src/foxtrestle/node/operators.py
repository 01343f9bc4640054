"""What operators wrote, as this node knows it: the configuration never goes back."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Final

from foxtrestle.control.log import Outage, log
from foxtrestle.platform.http import MalformedAnswer
from foxtrestle.platform.operators import (
    CONFIGURATION,
    OPERATORS,
    WAVES,
    decode_configuration,
    decode_wave,
)
from foxtrestle.store import Change, Compacted, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.model import FleetConfiguration, Queue, Wave
    from foxtrestle.store import Record

CURRENT_S: Final = 2.0
"""Seconds after the last answer for which the configuration counts as current: the watch answers
every second, and a new version must be in force two to three seconds after it was written."""
RETRY_S: Final = 0.2
"""Mean pause after a failed read, seconds."""


class OperatorMirror:
    """The newest configuration and the waves, kept by one watch."""

    def __init__(self, store: PlatformStore, on_change: Callable[[], None]) -> None:
        """Create a mirror that knows nothing yet."""
        self.configuration: FleetConfiguration | None = None
        """The newest configuration; None before the first."""
        self.waves: dict[int, tuple[Wave, float]] = {}
        """Waves by number, with the monotonic time at which each was first seen."""
        self.answered_at = -1e9
        """Monotonic time of the store's last answer to the watch, seconds."""
        self._store = store
        self._on_change = on_change

    async def follow(self) -> None:
        """Keep the mirror up to date until cancelled."""
        revision = 0
        outage = Outage("store", "watch operators")
        while True:
            try:
                if not revision:
                    revision = await self._read_all()
                changes, revision = await self._store.poll(OPERATORS, revision)
                outage.note_success()
                self.answered_at = time.monotonic()
                self._take(changes)
            except Compacted:
                log("operators.relist")
                revision = 0
            except StoreError as error:
                outage.note_failure(error)
                # What was written meanwhile may be many versions; only the newest matters.
                revision = 0
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))

    def is_current(self) -> bool:
        """Tell whether no change can have gone unheard for long."""
        return time.monotonic() - self.answered_at < CURRENT_S

    async def _read_all(self) -> int:
        listing = await self._store.scan(OPERATORS)
        self.answered_at = time.monotonic()
        self._take([Change(record.key, record, record.revision) for record in listing.records])
        return listing.revision

    async def refresh(self) -> None:
        """Read the configuration now."""
        record = await self._store.get(CONFIGURATION)
        if record is not None:
            self._take([Change(record.key, record, record.revision)])

    def _take(self, changes: list[Change]) -> None:
        for change in changes:
            if change.record is None:
                continue
            try:
                self._install(change.key, change.record)
            except MalformedAnswer as error:
                log("operators.unreadable", key=change.key, reason=error.reason)
        if changes:
            self._on_change()

    def _install(self, key: str, record: Record) -> None:
        if key == CONFIGURATION:
            self._install_configuration(record)
        elif key.startswith(WAVES):
            wave = decode_wave(key, record.value)
            if wave.number not in self.waves:
                self.waves[wave.number] = (wave, time.monotonic())
                log("wave.seen", wave=wave.number, hosts=len(wave.hosts), within_s=wave.within_s,
                    max_parallel=wave.max_parallel)  # fmt: skip

    def _install_configuration(self, record: Record) -> None:
        held = self.configuration
        if held is not None and record.revision <= held.revision:
            return
        fresh = decode_configuration(record.value, record.revision)
        if held is not None and fresh.version < held.version:
            log("configuration.older-refused", version=fresh.version, held=held.version)
            return
        self.configuration = fresh
        log("configuration.installed", version=fresh.version, revision=fresh.revision,
            queues=len(fresh.queues))  # fmt: skip

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Find the queue with the longest prefix of a path."""
        if self.configuration is None:
            return None
        found: Queue | None = None
        for queue in self.configuration.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found
