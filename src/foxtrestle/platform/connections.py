"""Connections to the platform: a peer's pool is replaced once a call on it times out.

Open connections may permanently stop carrying data, without a reset, while new connections work.
An idle connection that is broken in this way cannot be distinguished from a working one, so a
single call that times out makes all further calls to the peer use fresh connections. If broken
connections were taken from the pool one after another, ten of them would make ten calls time out,
and a controller would lose the lock of its partition, and with it its term.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, Final

import aiohttp

from foxtrestle.clock import read_clock

if TYPE_CHECKING:
    from types import SimpleNamespace, TracebackType

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of the socket option `SO_LINGER`: linger for no time, which means a reset."""
KEEP_ALIVE_S: Final = 60.0
"""Seconds an idle connection is kept open; the platform charges for new connections to workers."""
SWEEP_INTERVAL_S: Final = 5.0
"""Minimum seconds between two sweeps for unused pools: thousands of workers may stop responding at
once, and each replaced pool would cause a sweep."""
CONNECTIONS_PER_PEER: Final = 16
"""Maximum number of connections to one address: some are occupied by watches, the others carry
calls."""
CONNECTIONS_PER_WORKER: Final = 4
"""Maximum number of connections to one worker: one is occupied by a waiting lease renewal, the
others carry orders, each for 3 to 4 ms, so that a step of eight tasks on one worker is started
within 12 ms. The limit prevents a controller from exhausting its file descriptors: with 16
connections per worker, a controller of 550 workers had 3,900 connections open, as many as the
smallest nodes allow, and could open no more."""


def _create_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Create a socket that resets its connection when it is closed.

    Bytes that could not be delivered are then discarded. Otherwise the kernel would deliver them
    once a partition has healed, long after the caller has given the call up.
    """
    family, kind, protocol, *_ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return created


class NotConnected(Exception):
    """A call that may only use an open connection found none; nothing was sent."""


OPEN_ONLY: Final = "open only"
"""Context of a call that may only use a connection that is open already."""


async def _refuse_to_connect(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    parameters: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    """Fail a call that may only use an open connection, when a new one is about to be opened."""
    if context.trace_request_ctx == OPEN_ONLY:
        raise NotConnected


def _build_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(_refuse_to_connect)
    return trace


class ConnectionPool:
    """Pool of connections that are kept open for further calls."""

    __slots__ = ("calls", "last_used_at", "retired", "session")

    def __init__(self, per_peer: int) -> None:
        """Create an empty pool.

        Args:
            per_peer: Maximum number of connections to one address.
        """
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=per_peer,
            keepalive_timeout=KEEP_ALIVE_S,
            enable_cleanup_closed=False,
            socket_factory=_create_socket,
        )
        self.session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            trace_configs=[_build_trace()],
        )
        """Session that makes calls on the pool's connections."""
        self.calls = 0
        """Calls in progress."""
        self.retired = False
        """Whether the pool gets no further calls and is closed after those in progress."""
        self.last_used_at = read_clock()
        """Monotonic time of the last call, seconds."""


class Connections:
    """Connections to all peers: a shared pool, and replacements for peers that failed on it."""

    def __init__(self, per_peer: int = CONNECTIONS_PER_PEER) -> None:
        """Create the shared pool; all calls must be made on the running event loop.

        Args:
            per_peer: Maximum number of connections to one address.
        """
        self._per_peer = per_peer
        self._shared = ConnectionPool(per_peer)
        self._replacements: dict[str, ConnectionPool] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self._swept_at = read_clock()

    async def __aenter__(self) -> Connections:
        """Enter the context that closes all connections at its end."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        for pool in [self._shared, *self._replacements.values()]:
            await pool.session.close()
        await asyncio.gather(*self._closing)

    def acquire(self, peer: str) -> ConnectionPool:
        """Return the pool for a call to a peer; `release` must follow."""
        pool = self._replacements.get(peer, self._shared)
        pool.calls += 1
        pool.last_used_at = read_clock()
        return pool

    def release(self, pool: ConnectionPool) -> None:
        """Count a call as finished; close its pool if it is retired and has no other calls."""
        pool.calls -= 1
        self._close_unused(pool)

    def replace_pool(self, peer: str, pool: ConnectionPool) -> None:
        """Make further calls to a peer use fresh connections after a call timed out.

        Calls in progress are not cancelled: they may still be answered, and their requests must not
        be repeated unnecessarily. A call that fails later on a replaced pool is no evidence against
        the current one, which is kept.
        """
        current = self._replacements.get(peer, self._shared)
        if current is not pool:
            return
        self._sweep(read_clock())
        self._replacements[peer] = ConnectionPool(self._per_peer)
        if pool is not self._shared:
            self._retire(pool)

    def drop_idle(self, peer: str) -> None:
        """Make further calls to a peer use fresh connections, because another process is there."""
        self.replace_pool(peer, self._replacements.get(peer, self._shared))

    def _sweep(self, now: float) -> None:
        """Drop the pools of peers that are not called any more.

        By then, the shared pool, to which such a peer falls back, has closed its idle connections
        to the peer because of their age.
        """
        if now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        for peer, pool in list(self._replacements.items()):
            if not pool.calls and now - pool.last_used_at > KEEP_ALIVE_S:
                del self._replacements[peer]
                self._retire(pool)

    def _retire(self, pool: ConnectionPool) -> None:
        pool.retired = True
        self._close_unused(pool)

    def _close_unused(self, pool: ConnectionPool) -> None:
        if pool.retired and not pool.calls and not pool.session.closed:
            task = asyncio.create_task(pool.session.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
