"""Clients that do not behave, drawn by seed, beside the ordinary ones of a soak."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import Final

from soak.payloads import PAYLOADS

MAX_PAUSE_S: Final = 4.0
"""Maximum seconds between two groups of clients."""
MAX_CLIENTS: Final = 40
"""Maximum number of clients of a group."""
MAX_HOLD_S: Final = 3.0
"""Maximum seconds for which a group keeps its connections."""
MAX_BYTES: Final = 256 * 1024
"""Maximum bytes that a client sends beyond the first part of its payload."""
STALL_S: Final = 1.0
"""Seconds without progress after which a client stops sending."""


class MisbehavingClients:
    """Groups of clients that send what no client within the limits sends, and read nothing."""

    def __init__(self, seed: int, ports: list[int]) -> None:
        """Create clients that have not begun.

        Args:
            seed: Seed of all choices; they are separate from those of the other faults.
            ports: Ports of the nodes.
        """
        self.groups = 0
        """Number of groups so far."""
        self._rng = random.Random(f"clients {seed}")
        self._ports = ports

    async def run(self) -> None:
        """Send groups until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.5, MAX_PAUSE_S))
            port = self._rng.choice(self._ports)
            payload = self._rng.choice(sorted(PAYLOADS))
            clients = self._rng.randint(1, MAX_CLIENTS)
            limit = self._rng.randint(0, MAX_BYTES)
            hold_s = self._rng.uniform(0.0, MAX_HOLD_S)
            self.groups += 1
            await asyncio.gather(
                *(_run_client(port, payload, limit, hold_s) for _ in range(clients))
            )


async def _run_client(port: int, name: str, limit: int, hold_s: float) -> None:
    payload = PAYLOADS[name]
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(STALL_S):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            copies = limit // len(payload.repeated) if payload.repeated else 0
            writer.write(payload.first + payload.repeated * copies)
            async with asyncio.timeout(STALL_S):
                await writer.drain()
            await asyncio.sleep(hold_s)
        finally:
            writer.transport.abort()
