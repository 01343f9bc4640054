"""HTTP calls to the platform with uniform time-outs and error mapping."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar

import aiohttp
import msgspec

from foxtrestle.errors import FoxtrestleError
from foxtrestle.platform.connections import OPEN_ONLY, NotConnected

if TYPE_CHECKING:
    from collections.abc import Mapping

    from foxtrestle.platform.connections import Connections

T = TypeVar("T")

CONNECT_TIMEOUT_S: Final = 0.5
"""Connect time-out, seconds; a connection within the platform takes a few milliseconds."""
JSON_HEADERS: Final = {"Content-Type": "application/json"}


class CallError(FoxtrestleError):
    """A failed call.

    If raised as this class itself, the call was certainly not carried out: it was refused or never
    reached the peer. The subclasses state what is known in their cases.
    """


class RateLimited(CallError):
    """A call beyond the platform's rate limit for all nodes together.

    The error proves that the callee responds, but reveals nothing about the requested data.
    """


class NoResponse(CallError):
    """A call that was sent and got no response; it may have been, or may yet be, carried out."""


class ResponseTimeout(NoResponse):
    """A call that got no response in time; whether its peer is running is unknown."""


class NoOpenConnection(CallError):
    """A call that may only use an open connection, while there was none; it was not sent."""


class NotSent(CallError):
    """A call that was not sent, because another call that had to come first failed."""

    def __init__(self, cause: CallError) -> None:
        """Create an error from that of the other call."""
        super().__init__(f"not sent: {cause.reason}", step=cause.step, peer=cause.peer)
        self.cause = cause
        """Error of the other call."""


def is_connection_lost(error: CallError) -> bool:
    """Return whether a connection broke during a call; the peer was running until then."""
    if isinstance(error, NotSent):
        return is_connection_lost(error.cause)
    return isinstance(error, NoResponse) and not isinstance(error, ResponseTimeout)


class MalformedMessage(CallError):
    """A message or record that does not have the form documented by the platform."""


def may_be_carried_out(error: FoxtrestleError) -> bool:
    """Return whether a failed call may have been, or may yet be, carried out."""
    return isinstance(error, NoResponse | MalformedMessage)


class Reply(msgspec.Struct, frozen=True):
    """HTTP response."""

    status: int
    """HTTP status."""
    body: bytes
    """Undecoded body."""


async def call(
    connections: Connections,
    method: str,
    url: str,
    *,
    step: str,
    timeout_s: float,
    body: bytes | None = None,
    headers: Mapping[str, str] = {},
    query: Mapping[str, str] | None = None,
    read_timeout_s: float | None = None,
    open_only: bool = False,
) -> Reply:
    """Make one call and read its whole response.

    Args:
        connections: Connections of this process.
        method: HTTP method.
        url: URL of the call.
        step: What the caller is doing, for error messages.
        timeout_s: Time-out of the whole call, seconds.
        body: Body to send.
        headers: Headers in addition to those of the session.
        query: Query parameters of the URL.
        read_timeout_s: Maximum seconds without a received byte; None for no such limit.
        open_only: Whether the call may only use a connection that is open already.

    Raises:
        CallError: The call was not carried out (this class itself, not `NoResponse`).
        NoOpenConnection: No connection is open that the call may use.
        NoResponse: The call may have been carried out; `ResponseTimeout` unless the connection
            broke.

    The `peer` of these errors is the URL.
    """
    timeout = aiohttp.ClientTimeout(
        total=timeout_s, sock_connect=CONNECT_TIMEOUT_S, sock_read=read_timeout_s
    )
    sent = {**JSON_HEADERS, **headers} if body is not None else dict(headers)
    address = url.split("/", 3)[2]
    pool = connections.acquire(address)
    try:
        async with pool.session.request(
            method,
            url,
            data=body,
            headers=sent,
            params=query,
            timeout=timeout,
            trace_request_ctx=OPEN_ONLY if open_only else None,
        ) as response:
            return Reply(response.status, await response.read())
    except NotConnected as error:
        raise NoOpenConnection("no open connection", step=step, peer=url) from error
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
        aiohttp.InvalidURL,
    ) as error:
        raise CallError(_describe(error), step=step, peer=url) from error
    except TimeoutError as error:
        connections.replace_pool(address, pool)
        raise ResponseTimeout(_describe(error), step=step, peer=url) from error
    except (aiohttp.ClientError, OSError, UnicodeError) as error:
        # UnicodeError is raised for a host name that cannot be encoded.
        raise NoResponse(_describe(error), step=step, peer=url) from error
    except ValueError as error:
        # A header field contains a character that must not be sent, so nothing was.
        raise CallError(_describe(error), step=step, peer=url) from error
    finally:
        connections.release(pool)


def decode(body: bytes, kind: type[T], *, step: str, peer: str) -> T:
    """Decode a JSON body.

    Raises:
        MalformedMessage: The body does not match the type; the reason names the field.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessage(str(error), step=step, peer=peer) from error


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
