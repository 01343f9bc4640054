"""HTTP exchange with a runner, and whether a failed request may have been executed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, Literal, get_args

import aiohttp
import msgspec

from foxtrestle.messages import Answer, Header

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Outcome = Literal["ran", "not-run", "may-have-run"]
"""Whether a request was executed: certainly, certainly not, or possibly."""
OUTCOMES: Final = frozenset(get_args(Outcome))
REFUSED_HEADER: Final = "runner-refused"
"""Header of a runner's answer with status 503 that declares that the request was not started."""
CONNECT_TIMEOUT_S: Final = 0.5
"""Timeout for connecting to a runner, seconds."""
RETRY_RATIO: Final = 0.1
"""Retries that are allowed per request, on average."""
RETRY_BURST: Final = 10.0
"""Retries that are allowed in a burst."""
HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)
"""Headers that belong to one connection (RFC 9110, section 7.6.1) and are not forwarded."""


class Request(msgspec.Struct, frozen=True):
    """A caller's complete request."""

    service: str
    """Requested service."""
    method: str
    """HTTP method."""
    path: str
    """Path and query to send to the runner."""
    headers: list[Header]
    """Headers to forward."""
    body: bytes
    """Complete body."""
    team: str
    """Caller's team; empty if no team tokens are configured."""
    level: int
    """Priority level of the team."""
    deadline: float
    """Monotonic time after which the caller no longer waits for the answer, seconds."""
    key: str = ""
    """Caller's idempotency key if the request must not run twice; otherwise empty."""


class RetryBudget:
    """Limits retries to a fraction of the requests, so that they do not overload an upstream."""

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        """Create a full budget."""
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def add_request(self) -> None:
        """Add the retry allowance of one request to the budget."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take_retry(self) -> bool:
        """Take one retry out of the budget; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Upstream:
    """HTTP client for the runners."""

    def __init__(
        self,
        pooled: aiohttp.ClientSession,
        unpooled: aiohttp.ClientSession,
        max_body_bytes: int,
        clock: Callable[[], float] = time.monotonic,
        reserve: Callable[[int], bool] = lambda size: True,
        release: Callable[[int], None] = lambda size: None,
    ) -> None:
        """Create a client.

        Args:
            pooled: Session that reuses connections, for requests that may be repeated.
            unpooled: Session that opens a new connection for each request. The HTTP library resends
                a request by itself only on a reused connection, so that this session never sends
                a request twice.
            max_body_bytes: Maximum size of an answer's body, bytes.
            clock: Monotonic clock, seconds.
            reserve: Reserves memory for a part of an answer, bytes; False if there is none.
            release: Gives reserved memory back, bytes.
        """
        self._reserve = reserve
        self._release = release
        self._pooled = pooled
        self._unpooled = unpooled
        self._max_body_bytes = max_body_bytes
        self._clock = clock

    async def send(self, address: str, request: Request) -> Answer:
        """Send a request to a runner and read the complete answer.

        Returns:
            The runner's answer, or one that this daemon generated, with `reason` set.
        """
        session = self._unpooled if request.key else self._pooled
        remaining = request.deadline - self._clock()
        if remaining <= 0:
            return make_error_answer(504, "not-run", "the deadline has passed")
        timeout = aiohttp.ClientTimeout(
            total=remaining, sock_connect=min(CONNECT_TIMEOUT_S, remaining)
        )
        headers = [(header.name, header.value) for header in request.headers]
        headers.append(("foxtrestle-deadline-ms", str(int(remaining * 1000))))
        try:
            async with session.request(
                request.method,
                f"http://{address}{request.path}",
                data=request.body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await self._read(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return make_error_answer(
                502, "not-run", f"no connection to a runner: {_type_name(error)}"
            )
        except TimeoutError:
            return make_error_answer(504, "may-have-run", "the runner did not answer in time")
        except aiohttp.ClientError as error:
            return make_error_answer(
                502, "may-have-run", f"the runner's answer broke: {_type_name(error)}"
            )

    async def _read(self, response: aiohttp.ClientResponse) -> Answer:
        if response.status == 503 and REFUSED_HEADER in response.headers:
            reason = f"the runner refused: {response.headers[REFUSED_HEADER]}"
            return make_error_answer(503, "not-run", reason, retry_after_s=0.5)
        body = bytearray()
        try:
            async for chunk in response.content.iter_chunked(64 * 1024):
                if len(body) + len(chunk) > self._max_body_bytes:
                    response.close()
                    return make_error_answer(502, "ran", "the runner's answer is too large")
                if not self._reserve(len(chunk)):
                    response.close()
                    return make_error_answer(502, "ran", "no memory for the runner's answer")
                body += chunk
        finally:
            # From here on the answer counts as unsent bytes of the caller's connection.
            self._release(len(body))
        headers = [
            Header(name.lower(), value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        ]
        return Answer(response.status, headers, bytes(body), "ran")


def make_error_answer(
    status: int, outcome: Outcome, reason: str, *, retry_after_s: float = 0.0
) -> Answer:
    """Create an error answer that this daemon generates in place of a runner."""
    body = msgspec.json.encode({"outcome": outcome, "reason": reason})
    headers = [Header("content-type", "application/json")]
    return Answer(status, headers, body, outcome, reason, retry_after_s)


def select_forwarded_headers(
    raw: Iterable[tuple[bytes, bytes]], excluded: frozenset[str]
) -> list[Header]:
    """Select the headers of a caller's request that are forwarded to the runner."""
    pairs = ((name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in raw)
    return [
        Header(name, value)
        for name, value in pairs
        if name not in HOP_HEADERS and name not in excluded
    ]


def _type_name(error: BaseException) -> str:
    return type(error).__name__
