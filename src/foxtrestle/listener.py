"""HTTP listeners: `uvicorn` servers that run within a context manager."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

import uvicorn

from foxtrestle.listening.limits import ACCEPTED_AT_ONCE, LISTEN_BACKLOG
from foxtrestle.listening.protocol import BoundedHttpProtocol
from foxtrestle.listening.tls import TlsHandshake, create_tls_context

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from foxtrestle.listening.policy import ListenerPolicy


class _Server(uvicorn.Server):
    """A server that installs no signal handlers in the process."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


@asynccontextmanager
async def listen(
    app: Any,
    sockets: list[socket.socket],
    *,
    stop_limit_s: float = 1.0,
    certificate: str = "",
    key: str = "",
    policy: ListenerPolicy | None = None,
) -> AsyncIterator[uvicorn.Server]:
    """Serve an ASGI application on sockets until the context ends.

    Leaving the context stops accepting connections, finishes the requests in flight and closes the
    sockets.

    Args:
        app: The ASGI application.
        sockets: Bound sockets.
        stop_limit_s: Maximum seconds to wait for requests in flight at the end.
        certificate: Path of a PEM certificate; empty for plain HTTP.
        key: Path of the PEM key.
        policy: Limits of the connections; None only for clients that are trusted, which a stand-in
            has.
    """
    config = uvicorn.Config(
        app,
        http=_choose_protocol(policy, certificate, key),
        ws="none",
        interface="asgi3",
        lifespan="off",
        proxy_headers=False,
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        timeout_graceful_shutdown=max(1, round(stop_limit_s)),
        timeout_keep_alive=30,
        backlog=ACCEPTED_AT_ONCE,
        ssl_certfile=certificate or None if policy is None else None,
        ssl_keyfile=key or None if policy is None else None,
    )
    if policy is not None:
        _limit_socket_buffers(sockets, policy.buffer_bytes)
    server = _Server(config)
    task = asyncio.create_task(server.serve(sockets=sockets))
    try:
        while not server.started and not task.done():  # noqa: ASYNC110 - the server has no event
            await asyncio.sleep(0.005)
        if server.started:
            # The server has set the queue's length to the number of connections accepted at once.
            for bound in sockets:
                bound.listen(LISTEN_BACKLOG)
        yield server
    finally:
        server.should_exit = True
        await task


def _choose_protocol(policy: ListenerPolicy | None, certificate: str, key: str) -> Any:
    """Return what creates the protocol of a new connection."""
    if policy is None:
        return "httptools"
    if not certificate:
        return partial(BoundedHttpProtocol, policy)
    return partial(TlsHandshake, policy, create_tls_context(certificate, key))


def _limit_socket_buffers(sockets: list[socket.socket], size: int) -> None:
    """Limit the kernel's buffers of the connections that the sockets accept."""
    for bound in sockets:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def bind(address: str, port: int) -> socket.socket:
    """Bind a TCP socket.

    Raises:
        OSError: The address or port is not available.
    """
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    # asyncio sets TCP_NODELAY only on a socket that names its protocol. Without it, the body of a
    # response waits until the client has acknowledged its head, which takes 40 ms on a connection
    # that has been used before.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((address, port))
    bound.setblocking(False)
    return bound
