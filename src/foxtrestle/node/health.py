"""Whether the store answers this node, as its own calls show."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from foxtrestle.control.keys import TERM
from foxtrestle.control.log import log
from foxtrestle.store import StoreError

if TYPE_CHECKING:
    from foxtrestle.platform.store import PlatformStore

PROBE_S: Final = 0.7
"""Seconds between two probes."""
AWAY_AFTER: Final = 2
"""Failed probes in a row after which the store counts as away."""


class StoreHealth:
    """Probes the store."""

    def __init__(self, store: PlatformStore) -> None:
        """Create a health that has not heard from the store."""
        self.away = True
        """Whether the store counts as away."""
        self._store = store
        self._failures = AWAY_AFTER

    async def follow(self) -> None:
        """Probe until cancelled."""
        while True:
            try:
                await self._store.get(TERM, stale=True)
            except StoreError as error:
                self._failures += 1
                if self._failures == AWAY_AFTER:
                    log("store.lost", reason=error.reason)
            else:
                if self.away:
                    log("store.reached")
                self._failures = 0
            self.away = self._failures >= AWAY_AFTER
            await asyncio.sleep(PROBE_S)
