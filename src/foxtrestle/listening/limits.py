"""Limits of listeners: what one request may need, and what all connections may hold together."""

from __future__ import annotations

import os
import resource
import sys
from typing import Final

import msgspec

FILE_DESCRIPTORS: Final = 200
"""Descriptors kept for files and for the process itself."""
CONNECTION_SHARE: Final = 0.5
"""Share of the remaining descriptors that clients may use; the others are for calls that this
process makes, without which it could not answer any client."""
HELD_SHARE: Final = 0.2
"""Share of the memory that clients' requests and answers may take."""
CONNECTIONS_SHARE: Final = 0.125
"""Share of the memory that open connections may take before they hold any request."""
CONNECTION_BYTES: Final = 10 * 1024
"""Memory of an open connection without a request, bytes: transport, parser and their state. The
kernel's receive buffer comes in addition, as a client may fill it before the process reads."""
TLS_CONNECTION_BYTES: Final = 64 * 1024
"""Memory of an open TLS connection without a request, bytes."""
MAX_STATUS_CONNECTIONS: Final = 64
"""Maximum connections to a listener that only operators' tools and health checks call."""
SMALL_BUFFER_BYTES: Final = 8 * 1024
"""Size of the kernel's receive and send buffers of a connection with small requests, bytes."""
LARGE_BUFFER_BYTES: Final = 32 * 1024
"""Size of these buffers for bodies of megabytes from far away, bytes."""
KERNEL_FACTOR: Final = 2
"""Memory that the kernel may use for each byte of such a buffer; Linux doubles the size it is
given."""
REQUEST_LINE_BYTES: Final = 4 * 1024
"""Bytes of a request's head beyond its header fields: the request line and empty lines."""
HEADER_BYTES: Final = 160
"""Memory of a parsed header field beyond its bytes."""
REQUEST_BYTES: Final = 32 * 1024
"""Memory that the processing of a request takes beside its body, bytes."""
COPIES: Final = 4
"""Number of times that a head and a body are in memory while their request is processed: as
received, decoded, and encoded for the call that follows."""
BODY_TIMEOUT_S: Final = 30.0
"""Seconds within which the body of a request must arrive."""
ANSWER_TIMEOUT_S: Final = 30.0
"""Seconds within which a client must read an answer."""
ACCEPTED_AT_ONCE: Final = 8
"""Maximum number of connections accepted before others get their turn; each needs a descriptor
before it can be counted."""
LISTEN_BACKLOG: Final = 512
"""Length of the kernel's queue of new connections of a listener; each may fill its receive
buffer."""
TURN_TIMEOUT_S: Final = 1.0
"""Seconds for which a complete request waits for its turn before it is refused; clients wait for
about three seconds, and one that is told to come back meets another node."""
HANDSHAKE_TIMEOUT_S: Final = 10.0
"""Seconds within which a TLS handshake must be completed."""
TIMEOUT_SLACK: Final = 2.0
"""Factor on the configured time limits for heads and idle connections, so that a client which just
keeps them never meets them."""


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits of a single request and of the time between requests."""

    max_header_bytes: int = 16_384
    """Maximum size of a request's header fields, bytes."""
    max_body_bytes: int = 262_144
    """Maximum size of a request's body, bytes."""
    header_timeout_s: float = 3.0
    """Seconds within which a client sends the head of a request."""
    idle_timeout_s: float = 15.0
    """Seconds for which a client may keep a connection without a request."""

    @property
    def max_head_bytes(self) -> int:
        """Maximum size of a request's whole head, bytes."""
        return self.max_header_bytes + REQUEST_LINE_BYTES


class ProcessLimits(msgspec.Struct, frozen=True):
    """Limits of all client connections of a process together."""

    max_connections: int
    """Maximum number of open connections."""
    max_held_bytes: int
    """Maximum memory for requests that arrive, requests in process and unread answers, bytes."""


class ConnectionUse(msgspec.Struct):
    """What a connection holds beyond its own state."""

    received_bytes: int = 0
    """Bytes of an incomplete request, and bytes received behind the current one."""
    headers: int = 0
    """Header fields of an incomplete request."""
    unsent_bytes: int = 0
    """Bytes of answers that the client has not read, without those in the kernel's buffer."""


def plan_process_limits(
    memory_mb: int,
    descriptors: int,
    connection_bytes: int = CONNECTION_BYTES,
    buffer_bytes: int = SMALL_BUFFER_BYTES,
) -> ProcessLimits:
    """Divide the memory and the descriptors of a process.

    Args:
        memory_mb: Memory that the process may use, MB.
        descriptors: Descriptors that the process may open.
        connection_bytes: Memory of a connection that holds no request, bytes.
        buffer_bytes: Size of the kernel's receive buffer of a connection, bytes.
    """
    memory = memory_mb * 1024 * 1024
    by_descriptors = int((descriptors - FILE_DESCRIPTORS) * CONNECTION_SHARE)
    each = connection_bytes + KERNEL_FACTOR * buffer_bytes
    by_memory = int(memory * CONNECTIONS_SHARE / each)
    return ProcessLimits(
        max_connections=max(1, min(by_descriptors, by_memory)),
        max_held_bytes=int(memory * HELD_SHARE),
    )


def compute_held_bytes(use: ConnectionUse, buffer_bytes: int = SMALL_BUFFER_BYTES) -> int:
    """Return the memory that a connection holds beyond its own state, bytes.

    Args:
        use: What the connection holds.
        buffer_bytes: Size of the kernel's send buffer of the connection, bytes.
    """
    held = use.received_bytes + HEADER_BYTES * use.headers
    if use.unsent_bytes:
        held += KERNEL_FACTOR * buffer_bytes + use.unsent_bytes
    return held


def compute_request_bytes(body_bytes: int, head_bytes: int = 0, headers: int = 0) -> int:
    """Return the memory that the processing of a request takes, bytes.

    Args:
        body_bytes: Size of its body, bytes.
        head_bytes: Size of its head, bytes.
        headers: Number of its header fields.
    """
    return REQUEST_BYTES + COPIES * (body_bytes + head_bytes + HEADER_BYTES * headers)


def read_descriptor_limit() -> int:
    """Return the number of descriptors that the operating system lets this process open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit


def read_machine_memory_mb() -> int:
    """Return the memory of this machine, MB."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") >> 20
