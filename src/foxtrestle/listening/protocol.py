"""HTTP/1.1 protocol of a connection that is counted by the admission of its listener."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from foxtrestle.listening.limits import RequestLimits

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from foxtrestle.listening.admission import ListenerAdmission
    from foxtrestle.listening.refusals import Reason


class ListenerPolicy(msgspec.Struct, frozen=True):
    """What the connections of one listener have in common."""

    admission: ListenerAdmission
    """Admission of the connections."""
    read_limits: Callable[[], RequestLimits] = RequestLimits
    """Returns the limits of a request in force."""


class BoundedHttpProtocol(HttpToolsProtocol):
    """Connection of a client."""

    def __init__(self, policy: ListenerPolicy, **options: Any) -> None:
        """Create a connection.

        Args:
            policy: What the connections of the listener have in common.
            options: Arguments that uvicorn's server passes to a protocol.
        """
        super().__init__(**options)
        self.peer = ""
        """Address of the client."""
        self._policy = policy

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the connection; it may be closed at once if there are too many."""
        super().connection_made(transport)
        self.peer = f"{self.client[0]}:{self.client[1]}" if self.client else ""
        self._policy.admission.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._policy.admission.remove(self)
        super().connection_lost(exc)

    def evict(self, reason: Reason) -> None:
        """Close the connection now."""
        self._policy.admission.note_refusal(reason, self.peer)
        self._policy.admission.remove(self)
        self.transport.abort()
