"""ASGI application for callers; requests and answers are buffered completely, not streamed."""

from __future__ import annotations

import hmac
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, Final

import msgspec

from foxtrestle.dispatch import SAFE_METHODS
from foxtrestle.errors import FoxtrestleError
from foxtrestle.listening.refusals import encode_refusal, is_temporary
from foxtrestle.upstream import (
    OUTCOMES,
    Outcome,
    Request,
    make_error_answer,
    select_forwarded_headers,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from foxtrestle.configuration import Configuration
    from foxtrestle.declaration import Service
    from foxtrestle.dispatch import Dispatcher
    from foxtrestle.invariant_checks import InvariantChecks
    from foxtrestle.listening.refusals import Reason
    from foxtrestle.messages import Answer
    from foxtrestle.settings import Settings

KEY_HEADER: Final = b"idempotency-key"
"""Header with the caller's idempotency key (IETF draft-ietf-httpapi-idempotency-key-header)."""
DEADLINE_HEADER: Final = b"foxtrestle-deadline-ms"
"""Header with the caller's timeout, milliseconds."""
OUTCOME_HEADER: Final = b"foxtrestle-outcome"
"""Header of every answer: `ran`, `not-run` or `may-have-run`."""
MAX_KEY_BYTES: Final = 256
"""Maximum length of an idempotency key, bytes."""
BODY_TIMEOUT_S: Final = 30.0
"""Time limit for receiving the body of a request, seconds."""
UNFORWARDED_HEADERS: Final = frozenset(("authorization", "foxtrestle-deadline-ms"))
"""Caller's headers that are not forwarded to the runner."""


class BadRequest(FoxtrestleError):
    """A caller's request is rejected before it is processed."""

    def __init__(self, status: int, reason: str) -> None:
        """Create the error with the HTTP status of the answer."""
        super().__init__(reason, step="proxy.read")
        self.status = status
        """HTTP status of the answer."""


class Caller(msgspec.Struct, frozen=True):
    """Caller of a request."""

    team: str
    """Team; empty if no team tokens are configured."""
    level: int
    """Priority level."""


class Proxy:
    """ASGI application that serves callers."""

    def __init__(
        self,
        settings: Settings,
        configuration: Configuration,
        dispatcher: Dispatcher,
        run_once: Callable[[Request], Awaitable[Answer]],
        checks: InvariantChecks,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an application without requests in flight.

        Args:
            settings: The daemon's settings.
            configuration: The installed configuration.
            dispatcher: Sends requests without an idempotency key.
            run_once: Runs a request with an idempotency key.
            checks: Runtime checks of invariants.
            clock: Monotonic clock, seconds.
        """
        self.counts: Counter[str] = Counter()
        """Answers by outcome, and `bad` requests."""
        self.in_flight = 0
        """Requests being processed."""
        self.close_connections = False
        """Whether each connection is closed after its current answer."""
        self._settings = settings
        self._configuration = configuration
        self._dispatcher = dispatcher
        self._run_once = run_once
        self._checks = checks
        self._clock = clock

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request (ASGI)."""
        if scope["type"] != "http":
            return
        self.in_flight += 1
        try:
            answer = await self._handle_request(scope, receive)
        except BadRequest as error:
            self.counts["bad"] += 1
            answer = make_error_answer(error.status, "not-run", error.reason)
        finally:
            self.in_flight -= 1
        answer = self._check_answer(answer, scope["path"])
        self.counts[answer.outcome] += 1
        await _send_answer(send, answer, close=self.close_connections)

    async def _handle_request(self, scope: Any, receive: Any) -> Answer:
        headers = dict(scope["headers"])
        caller = self._authenticate(headers)
        if self.in_flight > self._settings.max_requests:
            return _reject_temporarily(headers, "the daemon has too many requests", 0.5)
        if not self._configuration.version:
            return _reject_temporarily(headers, "the daemon has no configuration yet", 1.0)
        service = self._find_service(scope["path"])
        body = await self._read_body(headers, receive)
        request = self._make_request(scope, headers, caller, service, body)
        if request.key:
            return await self._run_once(request)
        return await self._dispatcher.send(request)

    def _check_answer(self, answer: Answer, path: str) -> Answer:
        """Check that an answer states whether the request was executed."""
        if answer.outcome not in OUTCOMES:
            self._checks.report_violation("refusal-is-true", path, f"outcome {answer.outcome!r}")
            return make_error_answer(502, "may-have-run", "the answer does not say whether it ran")
        return answer

    def _authenticate(self, headers: dict[bytes, bytes]) -> Caller:
        """Find the caller's team by its token; every configured token is compared."""
        tokens = self._settings.team_tokens
        if not tokens:
            return Caller("", 0)
        sent_token = headers.get(b"authorization", b"").removeprefix(b"Bearer ")
        matching_team = ""
        for team, token in tokens.items():
            if hmac.compare_digest(sent_token, token.encode()):
                matching_team = team
        if not matching_team:
            raise BadRequest(401, "no team has this token")
        return Caller(matching_team, self._configuration.team_levels.get(matching_team, 0))

    def _find_service(self, path: str) -> Service:
        name = path.split("/", 2)[1] if path.startswith("/") else ""
        service = self._configuration.services.get(name)
        if service is None:
            raise BadRequest(404, f"no service named {name[:64]!r}")
        return service

    async def _read_body(self, headers: dict[bytes, bytes], receive: Any) -> bytes:
        limit = self._settings.max_body_bytes
        if int(headers.get(b"content-length", b"0") or b"0") > limit:
            raise BadRequest(413, f"the body is over {limit} bytes")
        body = bytearray()
        ends_at = self._clock() + BODY_TIMEOUT_S
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise BadRequest(400, "the caller went away")
            body += message.get("body", b"")
            if len(body) > limit:
                raise BadRequest(413, f"the body is over {limit} bytes")
            if not message.get("more_body"):
                return bytes(body)
            if self._clock() > ends_at:
                raise BadRequest(408, "the body came too slowly")

    def _make_request(
        self,
        scope: Any,
        headers: dict[bytes, bytes],
        caller: Caller,
        service: Service,
        body: bytes,
    ) -> Request:
        method = scope["method"]
        key = headers.get(KEY_HEADER, b"").decode("latin-1")
        if len(key) > MAX_KEY_BYTES:
            raise BadRequest(400, f"the key is over {MAX_KEY_BYTES} bytes")
        forwarded_path = scope["raw_path"].decode("latin-1")[len(service.name) + 1 :] or "/"
        query = scope["query_string"].decode("latin-1")
        return Request(
            service=service.name,
            method=method,
            path=f"{forwarded_path}?{query}" if query else forwarded_path,
            headers=select_forwarded_headers(scope["headers"], UNFORWARDED_HEADERS),
            body=body,
            team=caller.team,
            level=caller.level,
            deadline=self._clock() + _read_timeout(headers, service.timeout_s),
            key="" if method in SAFE_METHODS else key,
        )


def encode_caller_refusal(reason: Reason, headers: list[tuple[bytes, bytes]]) -> bytes:
    """Encode the answer to a request that is refused before it reaches the application.

    Args:
        reason: Reason of the refusal.
        headers: Header fields of the request that have arrived.
    """
    has_key = any(name == KEY_HEADER for name, _ in headers)
    outcome: Outcome = "may-have-run" if has_key and is_temporary(reason) else "not-run"
    answer = make_error_answer(0, outcome, reason.value)
    extra = f"{OUTCOME_HEADER.decode()}: {outcome}\r\n"
    return encode_refusal(reason, headers, answer.body, extra)


def _reject_temporarily(headers: dict[bytes, bytes], reason: str, retry_after_s: float) -> Answer:
    """Reject a request temporarily, before its idempotency key (if it has one) was looked up.

    This request was not sent to a runner, but an earlier request with the same key may have run.
    """
    outcome: Outcome = "may-have-run" if KEY_HEADER in headers else "not-run"
    return make_error_answer(503, outcome, reason, retry_after_s=retry_after_s)


def _read_timeout(headers: dict[bytes, bytes], max_timeout_s: float) -> float:
    raw = headers.get(DEADLINE_HEADER)
    if raw is None:
        return max_timeout_s
    if not raw.isdigit() or int(raw) == 0:
        raise BadRequest(400, "foxtrestle-deadline-ms: expected a whole number above 0")
    return min(max_timeout_s, int(raw) / 1000)


async def _send_answer(send: Any, answer: Answer, *, close: bool) -> None:
    headers = [
        (header.name.encode("latin-1"), header.value.encode("latin-1"))
        for header in answer.headers
        if header.name != "content-length"
    ]
    headers.append((b"content-length", str(len(answer.body)).encode()))
    headers.append((OUTCOME_HEADER, answer.outcome.encode()))
    if answer.retry_after_s:
        headers.append((b"retry-after", str(max(1, round(answer.retry_after_s))).encode()))
    if close:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})
