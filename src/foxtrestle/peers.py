"""Connections between daemons: frames over TCP, with requests, replies and one-way messages."""

from __future__ import annotations

import asyncio
import hmac
import itertools
import socket as sockets
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING, Any, Final

import msgspec

from foxtrestle.errors import FoxtrestleError
from foxtrestle.listening.refusals import Reason
from foxtrestle.messages import (
    MAX_FRAME_BYTES,
    Envelope,
    Hello,
    MessageError,
    decode_envelope,
    encode_envelope,
)

if TYPE_CHECKING:
    import socket

    from foxtrestle.events import HybridLogicalClock

CONNECT_TIMEOUT_S: Final = 1.0
"""Seconds to wait for a connection."""
HELLO_TIMEOUT_S: Final = 5.0
"""Seconds within which the hello message of a new connection must arrive."""
MAX_UNIDENTIFIED: Final = 128
"""Maximum number of connections whose peer has not sent its token yet."""
READ_LIMIT_BYTES: Final = 8192
"""Size of the read buffer at which reading pauses, bytes; a larger frame is still read whole."""
RECEIVE_BUFFER_BYTES: Final = 32 * 1024
"""Size of the kernel's receive buffer of a connection, bytes."""
MAX_HELLO_BYTES: Final = 4096
"""Maximum size of the first frame, bytes; nothing larger is read before the token is checked."""

Handler = Callable[[str, Any], Awaitable[Any]]
"""Called with the sender's incarnation and a message; returns the reply or None."""


class PeerUnreachable(FoxtrestleError):
    """No connection to the peer; no byte of the message was sent."""


class PeerTimeout(FoxtrestleError):
    """The message was sent and no reply came; the peer may have acted on it."""


class DaemonIdentity(msgspec.Struct, frozen=True):
    """Name, incarnation and token with which this daemon identifies itself to its peers."""

    name: str
    """Name from the settings."""
    incarnation: str
    """Random identifier of this run of the daemon."""
    token: str
    """Token shared by the daemons."""


class PeerServer:
    """Accepts connections from peers and passes their messages to a handler."""

    def __init__(
        self,
        identity: DaemonIdentity,
        clock: HybridLogicalClock,
        handler: Handler,
        note_refusal: Callable[[Reason, str], None] = lambda reason, peer: None,
    ) -> None:
        """Create a server that is not yet listening.

        Args:
            identity: Identity of this daemon.
            clock: Clock that advances to the time of each message.
            handler: Called with each message.
            note_refusal: Called with the reason and the address of a refused connection.
        """
        self.bytes_read = 0
        """Bytes read from peers."""
        self._identity = identity
        self._clock = clock
        self._handler = handler
        self._note_refusal = note_refusal
        self._tasks: set[asyncio.Task[None]] = set()
        self._unidentified: dict[asyncio.StreamWriter, None] = {}
        self._server: asyncio.Server | None = None

    async def start(self, bound: socket.socket) -> None:
        """Listen on a bound socket."""
        bound.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server = await asyncio.start_server(self._serve, sock=bound, limit=READ_LIMIT_BYTES)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        replies: set[asyncio.Task[None]] = set()
        self._limit_unidentified(writer)
        try:
            sender = await self._receive_hello(reader)
            self._unidentified.pop(writer, None)
            while True:
                envelope = await self._read(reader, MAX_FRAME_BYTES)
                reply = asyncio.create_task(self._reply(sender, envelope, writer))
                replies.add(reply)
                reply.add_done_callback(replies.discard)
        except (OSError, EOFError, MessageError, TimeoutError, asyncio.CancelledError) as error:
            if writer in self._unidentified and not isinstance(error, asyncio.CancelledError):
                self._note_refusal(Reason.HANDSHAKE_FAILED, _name_peer(writer))
        finally:
            self._tasks.discard(task)
            self._unidentified.pop(writer, None)
            for reply in replies:
                reply.cancel()
            writer.close()

    def _limit_unidentified(self, writer: asyncio.StreamWriter) -> None:
        """Close the oldest connection that has not sent its hello if there are too many."""
        self._unidentified[writer] = None
        if len(self._unidentified) > MAX_UNIDENTIFIED:
            oldest = next(iter(self._unidentified))
            del self._unidentified[oldest]
            self._note_refusal(Reason.NO_CONNECTIONS, _name_peer(oldest))
            oldest.transport.abort()

    async def _receive_hello(self, reader: asyncio.StreamReader) -> str:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            hello = (await self._read(reader, MAX_HELLO_BYTES)).message
        if not isinstance(hello, Hello):
            raise MessageError("the first message is not a hello", step="peers.greet")
        if not hmac.compare_digest(hello.token.encode(), self._identity.token.encode()):
            raise MessageError("the token does not match", step="peers.greet", peer=hello.name)
        if hello.wanted not in ("", self._identity.incarnation):
            raise MessageError(
                "the connection is meant for another incarnation",
                step="peers.greet",
                peer=hello.name,
            )
        return hello.incarnation

    async def _read(self, reader: asyncio.StreamReader, limit: int) -> Envelope:
        envelope, size = await _read_envelope(reader, limit)
        self.bytes_read += size
        self._clock.observe(envelope.at)
        return envelope

    async def _reply(self, sender: str, envelope: Envelope, writer: asyncio.StreamWriter) -> None:
        message = await self._handler(sender, envelope.message)
        if message is None or envelope.id == 0:
            return
        writer.write(encode_envelope(Envelope(envelope.id, self._clock.read(), message)))
        with suppress(OSError):
            await writer.drain()


class PeerLink:
    """One connection to a peer, opened on demand."""

    def __init__(
        self,
        identity: DaemonIdentity,
        clock: HybridLogicalClock,
        address: str,
        expected_incarnation: str = "",
    ) -> None:
        """Create a link that is not yet connected.

        Args:
            identity: Identity of this daemon.
            clock: Clock whose reading each message carries.
            address: Peer's `ip:port`.
            expected_incarnation: Incarnation to reach; empty for any.
        """
        self.address = address
        """Peer's `ip:port`."""
        self.bytes_sent = 0
        """Bytes sent."""
        self._identity = identity
        self._clock = clock
        self._expected_incarnation = expected_incarnation
        self._writer: asyncio.StreamWriter | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._ids = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[Any]] = {}
        self._connect_lock = asyncio.Lock()

    async def send(self, message: Any) -> None:
        """Send a message that has no reply.

        Raises:
            PeerUnreachable: No connection.
        """
        await self._send(0, message)

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Send a message and wait for its reply.

        Raises:
            PeerUnreachable: No connection; no byte of the message was sent.
            PeerTimeout: The message was sent, but no reply came in time.
        """
        request_id = next(self._ids)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_replies[request_id] = future
        try:
            async with asyncio.timeout(timeout_s):
                await self._send(request_id, message)
                return await future
        except (TimeoutError, EOFError) as error:
            raise PeerTimeout("no reply", step="peers.ask", peer=self.address) from error
        finally:
            self._pending_replies.pop(request_id, None)

    async def close(self) -> None:
        """Close the connection."""
        if self._read_task is not None:
            self._read_task.cancel()
            await asyncio.gather(self._read_task, return_exceptions=True)
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def _send(self, request_id: int, message: Any) -> None:
        writer = await self._connect()
        frame = encode_envelope(Envelope(request_id, self._clock.read(), message))
        self.bytes_sent += len(frame)
        writer.write(frame)
        with suppress(OSError):
            await writer.drain()

    async def _connect(self) -> asyncio.StreamWriter:
        async with self._connect_lock:
            if self._writer is not None and not self._writer.is_closing():
                return self._writer
            host, _, port = self.address.rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError) as error:
                raise PeerUnreachable(
                    str(error) or "timed out", step="peers.connect", peer=self.address
                ) from error
            identity = self._identity
            hello = Hello(
                identity.token, identity.name, identity.incarnation, self._expected_incarnation
            )
            writer.write(encode_envelope(Envelope(0, self._clock.read(), hello)))
            self._writer = writer
            self._read_task = asyncio.create_task(self._read(reader, writer))
            return writer

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                envelope, _ = await _read_envelope(reader, MAX_FRAME_BYTES)
                self._clock.observe(envelope.at)
                future = self._pending_replies.pop(envelope.id, None)
                if future is not None and not future.done():
                    future.set_result(envelope.message)
        except (OSError, EOFError, MessageError) as error:
            for future in self._pending_replies.values():
                if not future.done():
                    future.set_exception(EOFError(str(error)))
        finally:
            writer.close()
            if self._writer is writer:
                self._writer = None


class PeerLinks:
    """Links to all peers, by incarnation or by address."""

    def __init__(self, identity: DaemonIdentity, clock: HybridLogicalClock) -> None:
        """Create an empty set of links."""
        self._identity = identity
        self._clock = clock
        self._links: dict[tuple[str, str], PeerLink] = {}

    def get_link(self, address: str, expected_incarnation: str = "") -> PeerLink:
        """Return the link to an address, creating it if there is none."""
        key = (address, expected_incarnation)
        if key not in self._links:
            self._links[key] = PeerLink(self._identity, self._clock, address, expected_incarnation)
        return self._links[key]

    def sum_bytes_sent(self) -> int:
        """Return the bytes sent over all open links."""
        return sum(link.bytes_sent for link in self._links.values())

    async def close_others(self, retained: set[tuple[str, str]]) -> None:
        """Close every link whose address and incarnation are not in `retained`."""
        for key in [key for key in self._links if key not in retained]:
            await self._links.pop(key).close()

    async def close(self) -> None:
        """Close every link."""
        async with AsyncExitStack() as stack:
            for link in self._links.values():
                stack.push_async_callback(link.close)
        self._links.clear()


def _name_peer(writer: asyncio.StreamWriter) -> str:
    peer = writer.get_extra_info("peername")
    return f"{peer[0]}:{peer[1]}" if peer else ""


async def _read_envelope(reader: asyncio.StreamReader, limit: int) -> tuple[Envelope, int]:
    prefix = await reader.readexactly(4)
    size = int.from_bytes(prefix, "little")
    if size > limit:
        raise MessageError(f"frame of {size} bytes exceeds the limit", step="peers.read")
    return decode_envelope(await reader.readexactly(size)), size + 4
