"""TLS handshakes of clients, which count as connections of their listener from the first byte."""

from __future__ import annotations

import asyncio
import ssl
from asyncio import sslproto
from typing import TYPE_CHECKING, Any, Final

from uvicorn.protocols.utils import get_remote_addr

from foxtrestle.listening.limits import HANDSHAKE_TIMEOUT_S
from foxtrestle.listening.policy import name_peer
from foxtrestle.listening.protocol import BoundedHttpProtocol
from foxtrestle.listening.refusals import Reason
from foxtrestle.listening.stages import LINGER_S

if TYPE_CHECKING:
    from uvicorn.server import ServerState

    from foxtrestle.listening.policy import ListenerPolicy

TLS_BUFFER_BYTES: Final = 17 * 1024
"""Size of the buffer of encrypted bytes of a connection, bytes: one record of TLS and its frame."""


def create_tls_context(certificate: str, key: str) -> ssl.SSLContext:
    """Create the context of a listener, and make connections of this process use small buffers.

    Args:
        certificate: Path of a PEM certificate.
        key: Path of the PEM key.

    Raises:
        OSError: A file cannot be read, or does not hold what it should.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, key)
    # By default asyncio fills a buffer of 256 KiB for each connection.
    sslproto.SSLProtocol.max_size = TLS_BUFFER_BYTES
    return context


class TlsHandshake(asyncio.Protocol):
    """A connection until its handshake is completed."""

    def __init__(
        self,
        policy: ListenerPolicy,
        context: ssl.SSLContext,
        *,
        server_state: ServerState,
        **options: Any,
    ) -> None:
        """Create a connection.

        Args:
            policy: What the connections of the listener have in common.
            context: TLS context.
            server_state: State of uvicorn's server.
            options: Further arguments that the server passes to a protocol.
        """
        self.peer = ""
        """Address of the client."""
        self._policy = policy
        self._context = context
        self._options = {**options, "server_state": server_state}
        self._connections: set[Any] = server_state.connections
        self._transport: asyncio.Transport
        self._task: asyncio.Task[None]

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin the handshake, unless there are too many connections."""
        self._transport = transport
        self.peer = name_peer(get_remote_addr(transport))
        self._connections.add(self)
        self._policy.admission.add(self)
        self._task = asyncio.get_running_loop().create_task(self._run_handshake())

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget a connection that was closed before its handshake began."""
        self._forget()

    def shutdown(self) -> None:
        """Close the connection: no request has arrived."""
        self._transport.abort()

    def evict(self, reason: Reason) -> None:
        """Close the connection now."""
        self._policy.admission.note_refusal(reason, self.peer)
        self._forget()
        self._transport.abort()

    def _forget(self) -> None:
        self._connections.discard(self)
        self._policy.admission.remove(self)

    async def _run_handshake(self) -> None:
        """Complete the handshake and hand the connection over; a failure closes it."""
        if self._transport.is_closing():
            # Closed for another connection; a handshake would last until its time is over.
            return
        self._transport.set_write_buffer_limits(high=1, low=0)
        protocol = BoundedHttpProtocol(self._policy, socket=self._transport, **self._options)
        try:
            transport = await asyncio.get_running_loop().start_tls(
                self._transport,
                protocol,
                self._context,
                server_side=True,
                ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
                ssl_shutdown_timeout=LINGER_S,
            )
        except OSError:
            # Includes TLS errors and time-outs; an evicted connection is counted already.
            if self in self._connections:
                self._policy.admission.note_refusal(Reason.HANDSHAKE_FAILED, self.peer)
            self._transport.abort()
            return
        finally:
            self._forget()
        assert transport is not None
        transport.set_read_buffer_limits(high=TLS_BUFFER_BYTES)  # type: ignore[attr-defined]
        protocol.connection_made(transport)
