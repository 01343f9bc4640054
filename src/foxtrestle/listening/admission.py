"""Admission of connections and requests: what all clients of a process may hold together.

A process closes the connection that has held more than a little for the longest time once all
connections together hold too much, and the connection that has waited longest for its next request
once there are too many. An ordinary request is small and complete at once, so neither choice meets
it while others are to be had.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from foxtrestle.clock import read_clock
from foxtrestle.control.log import log
from foxtrestle.listening.refusals import Reason, RefusalCounts

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Mapping

    from foxtrestle.listening.limits import ProcessLimits

SMALL_BYTES: Final = 2 * 1024
"""Bytes that a connection may hold without being a candidate for closing."""


class Connection(Protocol):
    """A connection as its admission sees it."""

    peer: str
    """Address of the client."""

    def evict(self, reason: Reason) -> None:
        """Refuse the request that arrives, if there is one, and close the connection now."""


def choose_evicted(holders: Mapping[Connection, int], excess: int) -> list[Connection]:
    """Choose the connections to close, the longest holders first.

    Args:
        holders: Bytes held by connection, in the order in which they came to hold them.
        excess: Bytes that must be given up.
    """
    chosen = []
    for connection, held in holders.items():
        if excess <= 0:
            break
        chosen.append(connection)
        excess -= held
    return chosen


def choose_closed(
    waiting: Iterable[Connection],
    busy: Container[Connection],
    holders: Iterable[Connection],
    newest: Connection,
) -> Connection:
    """Choose the connection to close when a new one is too many.

    Args:
        waiting: Connections that wait for a request, the longest first.
        busy: Connections with a request in process.
        holders: Connections that hold more than a little, the longest first. One of them that is
            busy has sent requests ahead, or leaves its answers unread.
        newest: The new connection, chosen if there is no other.
    """
    for connection in waiting:
        return connection
    return next((holder for holder in holders if holder in busy), newest)


class Admission:
    """Memory that the clients of all listeners of a process hold."""

    def __init__(self, limits: ProcessLimits) -> None:
        """Create the admission of a process without connections."""
        self.limits = limits
        """Limits of all connections together."""
        self.held_bytes = 0
        """Memory held by connections and by requests in process, bytes."""
        self.refusals = RefusalCounts()
        """Refusals by listener and reason."""
        self.listeners: list[ListenerAdmission] = []
        """Admission of each listener."""
        self._held: dict[Connection, int] = {}
        self.holders: dict[Connection, int] = {}
        """Bytes held by each connection that holds more than a little, the longest holder first."""

    def add_listener(
        self, name: str, max_connections: int, max_requests: int | None = None
    ) -> ListenerAdmission:
        """Create the admission of a listener.

        Args:
            name: Name of the listener in log lines and metrics.
            max_connections: Maximum number of its connections; that of the process holds as well.
            max_requests: Maximum number of requests in process at once, others wait for their turn;
                None if the application limits them.
        """
        max_connections = min(max_connections, self.limits.max_connections)
        listener = ListenerAdmission(self, name, max_connections, max_requests)
        self.listeners.append(listener)
        return listener

    def set_held(self, connection: Connection, held: int) -> None:
        """Note what a connection holds; connections are closed if all hold too much."""
        self.held_bytes += held - self._held.get(connection, 0)
        self._held[connection] = held
        if held <= SMALL_BYTES:
            self.holders.pop(connection, None)
        else:
            self.holders[connection] = held
        self._evict(self.held_bytes - self.limits.max_held_bytes)

    def forget(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.held_bytes -= self._held.pop(connection, 0)
        self.holders.pop(connection, None)

    def reserve(self, size: int, connection: Connection | None = None) -> bool:
        """Reserve memory for the processing of a request; return False if there is none.

        Args:
            size: Memory, bytes; `release` must follow.
            connection: The request's own connection, which is not closed to make room.
        """
        own = {connection: self.holders.pop(connection)} if connection in self.holders else {}
        self._evict(self.held_bytes + size - self.limits.max_held_bytes)
        self.holders.update(own)
        if self.held_bytes + size > self.limits.max_held_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Give back reserved memory, bytes."""
        self.held_bytes -= size

    def _evict(self, excess: int) -> None:
        if excess <= 0:
            return
        for connection in choose_evicted(self.holders, excess):
            connection.evict(Reason.NO_MEMORY)

    def read_gauges(self) -> dict[str, float]:
        """Return the gauges of all listeners."""
        gauges = {f"{listener.name} connections": float(listener.count())
                  for listener in self.listeners}  # fmt: skip
        return {**gauges, "held bytes": float(self.held_bytes)}

    def read_refusals(self) -> dict[str, float]:
        """Return the refusals by listener and reason."""
        return {
            f"{listener} {reason.value}": float(count)
            for (listener, reason), count in self.refusals.counts.items()
        }


class ListenerAdmission:
    """Connections of one listener, and the turns of their requests.

    Requests that wait for a turn get it in the order in which they arrived. A connection has one
    request at a time, so no client takes the turns of the others.
    """

    def __init__(
        self,
        process: Admission,
        name: str,
        max_connections: int,
        max_requests: int | None = None,
    ) -> None:
        """Create the admission of a listener without connections."""
        self.process = process
        """Admission of the process."""
        self.name = name
        """Name of the listener."""
        self.max_connections = max_connections
        """Maximum number of open connections."""
        self.max_requests = max_requests
        """Maximum number of requests in process at once; None for no limit."""
        self.requests = 0
        """Requests in process."""
        self._queue: dict[Connection, Callable[[], None]] = {}
        self._waiting: dict[Connection, None] = {}
        self._busy: set[Connection] = set()

    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._waiting) + len(self._busy)

    def add(self, connection: Connection) -> None:
        """Add a new connection; if there are too many, one is closed, perhaps the new one."""
        surplus = self.count() >= self.max_connections
        closed = connection
        if surplus:
            closed = choose_closed(self._waiting, self._busy, self.process.holders, connection)
        self._waiting[connection] = None
        if surplus:
            closed.evict(Reason.NO_CONNECTIONS)

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._waiting.pop(connection, None)
        self._busy.discard(connection)
        self._queue.pop(connection, None)
        self.process.forget(connection)

    def set_busy(self, connection: Connection) -> None:
        """Note that a request of a connection is being processed: the connection is kept."""
        if self._waiting.pop(connection, connection) is None:
            self._busy.add(connection)

    def set_waiting(self, connection: Connection) -> None:
        """Note that a connection waits for its next request, as the newest one that does."""
        if connection in self._busy:
            self._busy.discard(connection)
            self._waiting[connection] = None

    def await_turn(self, connection: Connection, begin: Callable[[], None]) -> None:
        """Begin a request, now or once it is its turn; `end_turn` must follow.

        Args:
            connection: Connection of the request.
            begin: Begins the request.
        """
        if self.max_requests is not None and self.requests >= self.max_requests:
            self._queue[connection] = begin
            return
        self.requests += 1
        begin()

    def leave_queue(self, connection: Connection) -> None:
        """Give up waiting for a turn."""
        self._queue.pop(connection, None)

    def end_turn(self) -> None:
        """End the turn of a request; the next request that waits gets it."""
        if not self._queue:
            self.requests -= 1
            return
        begin = self._queue.pop(next(iter(self._queue)))
        begin()

    def note_refusal(self, reason: Reason, peer: str) -> None:
        """Count a refusal, and log it unless one like it was logged just before."""
        line = self.process.refusals.add(self.name, reason, read_clock())
        if line is not None:
            log("connection.refused", listener=self.name, reason=reason.value, peer=peer,
                count=line.count, connections=self.count(),
                held_bytes=self.process.held_bytes)  # fmt: skip
