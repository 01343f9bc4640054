"""A crowd of clients that do not behave: `python -m tests.crowd ADDRESS PAYLOAD CONNECTIONS BYTES`.

Each client opens a connection, sends the first part of its payload and repeats the second part,
until it has sent its bytes, or the other side has closed the connection or reads no more. Clients
read nothing. The crowd prints one line with what it has done, and keeps its connections open until
its standard input is closed.
"""

from __future__ import annotations

import asyncio
import json
import resource
import ssl
import sys
from contextlib import suppress
from typing import Final

from soak.payloads import PAYLOADS, Payload

PART_BYTES: Final = 32 * 1024
"""Size of one write, bytes."""
STALL_S: Final = 2.0
"""Seconds without progress after which a client stops sending."""
AT_ONCE: Final = 100
"""Connections that are being opened at once; a listener's queue holds them."""


class Crowd:
    """The clients and what they have done."""

    def __init__(self, payload: Payload, limit: int, context: ssl.SSLContext | None) -> None:
        self.opened = 0
        self.sent = 0
        self._payload = payload
        self._limit = limit
        self._context = context
        self._opening = asyncio.Semaphore(AT_ONCE)
        self._writers: list[asyncio.StreamWriter] = []

    async def run_client(self, host: str, port: int) -> None:
        """Send one client's bytes; the connection stays open."""
        with suppress(OSError, TimeoutError, EOFError):
            async with self._opening, asyncio.timeout(10):
                reader, writer = await asyncio.open_connection(host, port, ssl=self._context)
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            self._writers.append(writer)
            self.opened += 1
            await self._send(writer, self._payload.first)
            part = self._payload.repeated * (PART_BYTES // max(1, len(self._payload.repeated)))
            left = self._limit
            while part and left > 0:
                await self._send(writer, part[:left])
                left -= len(part)

    async def _send(self, writer: asyncio.StreamWriter, part: bytes) -> None:
        writer.write(part)
        async with asyncio.timeout(STALL_S):
            await writer.drain()
        self.sent += len(part)


async def run(address: str, payload: str, connections: int, limit: int, *, tls: bool) -> None:
    """Run a crowd, print what it has done, and wait for the end of standard input."""
    context = ssl.create_default_context() if tls else None
    if context is not None:
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
    crowd = Crowd(PAYLOADS[payload], limit, context)
    host, _, port = address.rpartition(":")
    await asyncio.gather(*(crowd.run_client(host, int(port)) for _ in range(connections)))
    print(json.dumps({"opened": crowd.opened, "sent": crowd.sent}), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def main() -> None:
    """Run the command line."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    address, payload, connections, limit = sys.argv[1:5]
    asyncio.run(run(address, payload, int(connections), int(limit), tls=sys.argv[5:] == ["--tls"]))


if __name__ == "__main__":
    main()
