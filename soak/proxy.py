"""A loopback proxy that can delay, reset or block its connections, in both directions or one."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Literal

Mode = Literal["open", "silent", "one-way", "reset"]


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, target: str) -> None:
        """Create a proxy that forwards everything."""
        self.mode: Mode = "open"
        """How bytes are forwarded: `silent` holds both directions, `one-way` only the responses;
        `reset` aborts new connections."""
        self.delay_s = 0.0
        """Delay of every chunk, seconds."""
        self.address = ""
        """Address on which the proxy listens; empty until `open` is called."""
        self._target = target
        self._pairs: dict[asyncio.StreamWriter, asyncio.StreamWriter] = {}
        self._silenced: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def silence_open(self, spared: int = 0) -> None:
        """Stop forwarding on the current connections permanently; new connections work.

        Args:
            spared: Every `spared`-th connection keeps working; 0 for none.
        """
        for number, pair in enumerate(self._pairs.items()):
            if not spared or number % spared:
                self._silenced.update(pair)

    def reset(self) -> None:
        """Abort all current connections."""
        for pair in list(self._pairs.items()):
            for writer in pair:
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._pairs[writer] = back_writer
        try:
            await asyncio.gather(
                self._forward(reader, back_writer, {"silent"}),
                self._forward(back_reader, writer, {"silent", "one-way"}),
            )
        finally:
            del self._pairs[writer]
            self._silenced -= {writer, back_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, holding_modes: set[str]
    ) -> None:
        # The mode and the silenced connections are changed from outside, so they are polled.
        with suppress(OSError):
            while data := await reader.read(1 << 16):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.mode in holding_modes or writer in self._silenced:  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
