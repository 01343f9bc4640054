"""A loopback proxy that delays, resets, silences or cuts one way what passes through it."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Literal

Mode = Literal["open", "silent", "one-way", "reset"]


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, target: str) -> None:
        """Create a proxy that passes everything on."""
        self.mode: Mode = "open"
        """What happens to bytes: `silent` holds both ways, `one-way` only what comes back."""
        self.delay_s = 0.0
        """Seconds by which every piece is late."""
        self.address = ""
        """Where it listens, once it does."""
        self._target = target
        self._pairs: dict[asyncio.StreamWriter, asyncio.StreamWriter] = {}
        self._silenced: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def silence_open(self, spared: int = 0) -> None:
        """Hold all that passes on the connections there are, for good; new ones work.

        Args:
            spared: One in how many connections is left sound; 0 for none.
        """
        for number, pair in enumerate(self._pairs.items()):
            if not spared or number % spared:
                self._silenced.update(pair)

    def reset(self) -> None:
        """Break every connection there is."""
        for pair in list(self._pairs.items()):
            for writer in pair:
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening and break what is open."""
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
                self._pass(reader, back_writer, {"silent"}),
                self._pass(back_reader, writer, {"silent", "one-way"}),
            )
        finally:
            del self._pairs[writer]
            self._silenced -= {writer, back_writer}

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, held_by: set[str]
    ) -> None:
        # What holds bytes back changes from outside, so it is looked at again and again.
        with suppress(OSError):
            while data := await reader.read(1 << 16):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.mode in held_by or writer in self._silenced:  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
