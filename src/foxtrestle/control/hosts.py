"""Orders for hosts: which pool has which host, and when each is maintained."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from foxtrestle.control.log import log
from foxtrestle.platform.http import CallError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.control.orders import Orders
    from foxtrestle.control.ownership import Term
    from foxtrestle.node.operators import OperatorMirror
    from foxtrestle.node.settings import NodeSettings
    from foxtrestle.platform.hosts import HostCalls
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.state import Fleet

LIST_S: Final = 1.0
"""Seconds between two reads of the host list, which itself lags by about as much."""


class HostOrders:
    """Follows the host list and gives orders for hosts."""

    def __init__(
        self,
        fleet: Fleet,
        term: Term,
        settings: NodeSettings,
        store: PlatformStore,
        calls: HostCalls,
        operators: OperatorMirror,
        orders: Orders,
        wake: Callable[[], None],
    ) -> None:
        """Create the part of a controller that orders hosts."""
        self._fleet = fleet
        self._term = term
        self._settings = settings
        self._store = store
        self._calls = calls
        self._operators = operators
        self._orders = orders
        self._wake = wake
        self._started_at = time.monotonic()

    async def run(self) -> None:
        """Follow the host list until cancelled."""
        while True:
            try:
                hosts = await self._calls.list_hosts()
            except CallError as error:
                log("hosts.list-failed", reason=error.reason)
            else:
                self._fleet.hosts = {host.name: host for host in hosts}
                self._wake()
            await asyncio.sleep(LIST_S)

    def decide(self, now: float) -> None:
        """Give the orders that are due now."""
