"""Health check of the store: whether it answers this node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from foxtrestle.control.keys import LAYOUT_KEY
from foxtrestle.control.log import log
from foxtrestle.store import StoreError

if TYPE_CHECKING:
    from foxtrestle.platform.store import PlatformStore

PROBE_INTERVAL_S: Final = 0.7
"""Seconds between two probes."""
FAILED_PROBE_INTERVAL_S: Final = 0.1
"""Seconds between two probes while they fail, so that a recovered store is detected soon."""
PROBE_TIMEOUT_S: Final = 0.4
"""Time-out of a probe, seconds; a slow store takes up to 0.3 s to answer."""
UNAVAILABLE_AFTER_FAILURES: Final = 3
"""Consecutive failed probes after which the store counts as unavailable: no answer for over a
second."""


class StoreHealth:
    """Probes the store periodically."""

    def __init__(self, store: PlatformStore) -> None:
        """Create a health check; the store counts as unavailable until its first answer."""
        self._store = store
        self._failures = UNAVAILABLE_AFTER_FAILURES
        self._logged_unavailable = True

    @property
    def unavailable(self) -> bool:
        """Whether the store counts as unavailable; it is available again once any call succeeds."""
        return self._failures >= UNAVAILABLE_AFTER_FAILURES and not self._store.last_call_answered

    async def run(self) -> None:
        """Probe the store until cancelled."""
        while True:
            try:
                await self._store.get(LAYOUT_KEY, stale=True, timeout_s=PROBE_TIMEOUT_S)
            except StoreError as error:
                self._failures += 1
                self._log_transition(error.reason)
                await asyncio.sleep(FAILED_PROBE_INTERVAL_S)
            else:
                self._failures = 0
                self._log_transition("")
                await asyncio.sleep(PROBE_INTERVAL_S)

    def _log_transition(self, reason: str) -> None:
        if self.unavailable == self._logged_unavailable:
            return
        self._logged_unavailable = self.unavailable
        if self.unavailable:
            log("store.lost", reason=reason)
        else:
            log("store.reached")
