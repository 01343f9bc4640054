"""Refusals of clients' connections and requests: their reasons, answers, counters and log lines."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from http import HTTPStatus
from typing import Final

import msgspec

RETRY_AFTER_S: Final = 1
"""Retry-After of a refusal for want of memory or connections, seconds."""
LOG_INTERVAL_S: Final = 1.0
"""Minimum seconds between two log lines with the same listener and reason."""


class Reason(Enum):
    """Why a connection is closed or a request is refused, none of which has run."""

    MALFORMED = "malformed request"
    HEAD_TOO_LARGE = "head too large"
    BODY_TOO_LARGE = "body too large"
    TRAILERS_TOO_LARGE = "trailers too large"
    HEAD_TOO_SLOW = "head too slow"
    BODY_TOO_SLOW = "body too slow"
    ANSWER_UNREAD = "answer unread"
    HANDSHAKE_FAILED = "handshake failed"
    NO_MEMORY = "no memory left"
    NO_CONNECTIONS = "too many connections"
    NO_TURN = "too many requests"


STATUSES: Final = {
    Reason.MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.TRAILERS_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.HEAD_TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    Reason.BODY_TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    Reason.NO_MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_CONNECTIONS: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_TURN: HTTPStatus.SERVICE_UNAVAILABLE,
}
"""Status of the answer; a reason without one closes the connection without an answer."""


class RefusalLine(msgspec.Struct, frozen=True):
    """Content of a log line about refusals of one listener for one reason."""

    count: int
    """Refusals since the former line."""


class RefusalCounts:
    """Counts refusals, and decides which of them are logged."""

    def __init__(self) -> None:
        """Create counts that are all zero."""
        self.counts: Counter[tuple[str, Reason]] = Counter()
        """Refusals by listener and reason."""
        self._logged: Counter[tuple[str, Reason]] = Counter()
        self._logged_at: dict[tuple[str, Reason], float] = {}

    def add(self, listener: str, reason: Reason, now: float) -> RefusalLine | None:
        """Count a refusal; return the log line that is due, or None.

        Args:
            listener: Name of the listener.
            reason: Reason of the refusal.
            now: Monotonic time, seconds.
        """
        key = (listener, reason)
        self.counts[key] += 1
        if now - self._logged_at.get(key, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return None
        line = RefusalLine(self.counts[key] - self._logged[key])
        self._logged[key] = self.counts[key]
        self._logged_at[key] = now
        return line


def is_temporary(reason: Reason) -> bool:
    """Return whether the same request may succeed later."""
    return STATUSES.get(reason) is HTTPStatus.SERVICE_UNAVAILABLE


def encode_refusal(
    reason: Reason, headers: list[tuple[bytes, bytes]], body: bytes = b"", extra: str = ""
) -> bytes:
    """Encode the answer to a refused request; empty if the reason has no answer.

    Args:
        reason: Reason of the refusal.
        headers: Header fields of the request that have arrived.
        body: Body of the answer; the reason in plain text if it is empty.
        extra: Further header fields, each ending with a line break.
    """
    status = STATUSES.get(reason)
    if status is None:
        return b""
    if is_temporary(reason):
        extra += f"retry-after: {RETRY_AFTER_S}\r\n"
    content_type = "application/json" if body else "text/plain; charset=utf-8"
    body = body or reason.value.encode("ascii")
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        f"content-type: {content_type}\r\n"
        f"content-length: {len(body)}\r\n"
        f"connection: close\r\n{extra}\r\n"
    )
    return head.encode("ascii") + body
