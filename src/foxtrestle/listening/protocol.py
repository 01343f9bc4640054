"""HTTP/1.1 protocol of a connection that bounds what its client can make the process hold.

It keeps uvicorn's parser and answers, and differs from its protocol in four ways: a request is
handed to the application once it has arrived completely, so that a refusal before that is true; the
parser is given the bytes of one request, the others stay unparsed until that request is answered
and its answer is read; the sizes and times of heads, bodies and trailers are limited; all that the
connection holds is reported to the admission of its listener.
"""

from __future__ import annotations

import asyncio
import urllib.parse
from typing import Any, Final

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle
from uvicorn.protocols.utils import get_local_addr, get_remote_addr, is_ssl

from foxtrestle.listening.framing import find_slice_end, read_body_framing
from foxtrestle.listening.limits import (
    ConnectionUse,
    compute_held_bytes,
    compute_request_bytes,
)
from foxtrestle.listening.policy import ListenerPolicy, name_peer
from foxtrestle.listening.refusals import Reason
from foxtrestle.listening.stages import RECEIVING, TIMEOUT_REASONS, Stage, find_time_limit

CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
LINGER_BYTES: Final = 64 * 1024
"""Maximum number of bytes discarded after a refusal."""


class _AnswerFlow(FlowControl):
    """Flow control that leaves reading to the protocol, and never holds up an answer.

    An answer is complete when the application sends it, so holding it up would save nothing.
    """

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


class BoundedHttpProtocol(HttpToolsProtocol):
    """Connection of a client."""

    def __init__(
        self, policy: ListenerPolicy, *, socket: asyncio.Transport | None = None, **options: Any
    ) -> None:
        """Create a connection.

        Args:
            policy: What the connections of the listener have in common.
            socket: Transport that carries the encrypted bytes of a TLS connection.
            options: Arguments that uvicorn's server passes to a protocol.
        """
        super().__init__(**options)
        self.peer = ""
        """Address of the client."""
        self._socket = socket
        self._policy = policy
        self._limits = policy.read_limits()
        self._stage = Stage.IDLE
        self._pending = b""
        self._former = b""
        self._head_bytes = 0
        self._framing_bytes = 0
        self._body_bytes = 0
        self._body_left = 0
        self._chunked = False
        self._head_complete = False
        self._message_complete = False
        self._continue_wanted = False
        self._reading_paused = False
        self._writing_blocked = False
        self._stopping = False
        self._discarded = 0
        self._reserved_bytes = 0
        self._refusal: Reason | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timed_stage: Stage | None = None

    # Connection.

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the connection; it may be closed at once if there are too many."""
        self.connections.add(self)
        self.transport = transport
        self.flow = _AnswerFlow(transport)
        self.server = get_local_addr(transport)
        self.client = get_remote_addr(transport)
        self.peer = name_peer(self.client)
        self.scheme = "https" if is_ssl(transport) else "http"
        # Any byte that the kernel does not take at once counts as unread by the client.
        transport.set_write_buffer_limits(high=1, low=0)
        self._policy.admission.add(self)
        self._advance()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; a request in process goes on and its answer is dropped."""
        self._leave_queue()
        self._policy.admission.remove(self)
        self._cancel_timer()
        self._stage = Stage.CLOSING
        self._pending = b""
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the client; reading stops while there are some that wait for their turn."""
        if self._stage is Stage.CLOSING:
            self._discard(len(data))
            return
        self._pending = self._pending + data if self._pending else data
        if self.transport is not None:
            self._advance()

    def pause_writing(self) -> None:
        """Note that the client does not read its answer."""
        self._writing_blocked = True

    def resume_writing(self) -> None:
        """Note that the client has read its answers; its next request may begin."""
        self._writing_blocked = False
        if self._stage is Stage.ANSWERED:
            self._await_request()
            self._advance()

    def shutdown(self) -> None:
        """Finish what has arrived completely or is being processed, then close."""
        self._stopping = True
        if self._stage in {Stage.IDLE, Stage.HEAD, Stage.ANSWERED}:
            self.transport.close()
        elif self.cycle is not None and not self._pending:
            self.cycle.keep_alive = False

    # Receiving.

    def _advance(self) -> None:
        """Parse what may be parsed now, then report what the connection holds."""
        pending, start = self._pending, 0
        while start < len(pending) and self._stage in RECEIVING:
            end = find_slice_end(pending, start, self._former, self._body_left)
            self._parse(pending[start:end], rest=len(pending) - end)
            start = end
        self._pending = b"" if self._stage is Stage.CLOSING else pending[start:]
        if self._stopping and self._stage in {Stage.IDLE, Stage.HEAD}:
            self.transport.close()
        self._settle()

    def _parse(self, part: bytes, rest: int) -> None:
        """Give one slice to the parser, and act on what it completes.

        Args:
            part: The slice.
            rest: Number of bytes that were received behind it.
        """
        if not self._head_complete:
            self._head_bytes += len(part)
            if self._head_bytes > self._limits.max_head_bytes:
                self._refuse(Reason.HEAD_TOO_LARGE)
                return
        elif self._chunked:
            self._framing_bytes += len(part)
        self._former = (self._former + part[-2:])[-2:]
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken: the request is answered as any other.
            self.cycle.keep_alive = False
        except httptools.HttpParserError:
            self._refusal = self._refusal or Reason.MALFORMED
        if self._framing_bytes > self._limits.max_head_bytes:
            self._refusal = self._refusal or Reason.TRAILERS_TOO_LARGE
        if self._refusal is not None:
            self._refuse(self._refusal)
        elif self._message_complete:
            self._begin_request(rest)
        elif self._continue_wanted:
            self._continue_wanted = False
            if not rest:
                self.transport.write(CONTINUE)

    def on_message_begin(self) -> None:
        """Begin a request; empty lines before it belong to no request."""
        super().on_message_begin()
        self._stage = Stage.HEAD
        self._limits = self._policy.read_limits()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field; those behind a body are dropped, no application reads them."""
        if not self._head_complete:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Create the request, which is not begun before its body has arrived."""
        http_version = self.parser.get_http_version()
        self.scope["method"] = self.parser.get_method().decode("ascii")
        if http_version != "1.1":
            self.scope["http_version"] = http_version
        url = httptools.parse_url(self.url)
        path = url.path.decode("ascii")
        self.scope["path"] = self.root_path + urllib.parse.unquote(path)
        self.scope["raw_path"] = self.root_path.encode("ascii") + url.path
        self.scope["query_string"] = url.query or b""
        self.cycle = RequestResponseCycle(
            scope=self.scope,
            transport=self.transport,
            flow=self.flow,
            logger=self.logger,
            access_logger=self.access_logger,
            access_log=False,
            default_headers=self.server_state.default_headers,
            message_event=asyncio.Event(),
            expect_100_continue=False,
            keep_alive=http_version != "1.0" and self.parser.should_keep_alive(),
            on_response=self.on_response_complete,
        )
        self._head_complete = True
        self._stage = Stage.BODY
        self._chunked, self._body_left = read_body_framing(self.headers)
        self._continue_wanted = self.expect_100_continue
        if self._body_left > self._limits.max_body_bytes:
            self._refusal = Reason.BODY_TOO_LARGE

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._body_bytes += len(body)
        self._framing_bytes = 0
        if not self._chunked:
            self._body_left -= len(body)
        if self._body_bytes > self._limits.max_body_bytes:
            self._refusal = Reason.BODY_TOO_LARGE
        elif self._refusal is None:
            self.cycle.body += body

    def on_message_complete(self) -> None:
        """Note that the request has arrived completely."""
        self._message_complete = True

    # Processing.

    def _begin_request(self, rest: int) -> None:
        """Hand a complete request to the application, if there is memory for it.

        Args:
            rest: Number of bytes that were received behind the request.
        """
        size = compute_request_bytes(self._body_bytes, self._head_bytes, len(self.headers))
        admission = self._policy.admission
        if not admission.process.reserve(size, self):
            self._refuse(Reason.NO_MEMORY)
            return
        self._reserved_bytes = size
        self._stage = Stage.QUEUED
        admission.set_busy(self)
        self.cycle.more_body = False
        self.cycle.message_event.set()
        if self._stopping and not rest:
            self.cycle.keep_alive = False
        admission.await_turn(self, self._begin_turn)

    def _begin_turn(self) -> None:
        """Process the complete request that waits for its turn."""
        admission = self._policy.admission
        size, self._reserved_bytes = self._reserved_bytes, 0
        self._stage = Stage.PROCESSING
        self._set_timer()

        def end(task: asyncio.Task[None]) -> None:
            self.tasks.discard(task)
            admission.process.release(size)
            admission.end_turn()

        # The application may go on after its client has left, so memory and turn follow the task.
        task = self.loop.create_task(self.cycle.run_asgi(self.app))
        self.tasks.add(task)
        task.add_done_callback(end)

    def _leave_queue(self) -> None:
        """Give up the turn and the memory of a request that is not processed."""
        self._policy.admission.leave_queue(self)
        self._policy.admission.process.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def on_response_complete(self) -> None:
        """Wait until the client has read the answer, then for its next request."""
        self.server_state.total_requests += 1
        self._policy.admission.set_waiting(self)
        self._stage = Stage.ANSWERED
        if not self._writing_blocked and not self.transport.is_closing():
            self._await_request()
            self._advance()
        else:
            self._settle()

    def _await_request(self) -> None:
        self._stage = Stage.IDLE
        self._forget_request()
        self._framing_bytes = 0
        self._body_left = 0
        self._chunked = False
        self._head_complete = False
        self._message_complete = False
        self._continue_wanted = False

    def _forget_request(self) -> None:
        """Let go of all that belongs to a request, so that an idle connection holds nothing."""
        self._head_bytes = self._body_bytes = 0
        self.headers = []
        self.url = b""
        self.scope = None  # type: ignore[assignment]
        self.cycle = None  # type: ignore[assignment]

    # Holding.

    def _settle(self) -> None:
        """Pause or resume reading, set the time limit, and report what the connection holds."""
        if self.transport.is_closing() and self._stage is not Stage.ANSWERED:
            return
        self._set_reading(paused=bool(self._pending) and self._stage not in RECEIVING)
        self._set_timer()
        self._policy.admission.process.set_held(self, self._compute_held())

    def _compute_held(self) -> int:
        use = ConnectionUse(
            received_bytes=len(self._pending),
            unsent_bytes=self._count_unsent(),
        )
        if self._stage in RECEIVING:
            use.received_bytes += self._head_bytes + self._body_bytes
            use.headers = len(self.headers or ())
        return compute_held_bytes(use, self._policy.buffer_bytes)

    def _count_unsent(self) -> int:
        unsent = self.transport.get_write_buffer_size()
        return unsent + (self._socket.get_write_buffer_size() if self._socket else 0)

    def _set_reading(self, *, paused: bool) -> None:
        if paused == self._reading_paused:
            return
        self._reading_paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _set_timer(self) -> None:
        if self._stage is self._timed_stage:
            return
        self._cancel_timer()
        self._timed_stage = self._stage
        seconds = find_time_limit(self._stage, self._limits)
        if seconds is not None:
            self._timer = self.loop.call_later(seconds, self._end_stage)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_stage(self) -> None:
        """Act on a time limit that has passed."""
        reason = TIMEOUT_REASONS.get(self._stage)
        if self._stage is Stage.IDLE:
            self.transport.close()
        elif reason is None:
            self.transport.abort()
        elif self._stage is Stage.ANSWERED:
            self.evict(reason)
        else:
            self._refuse(reason)

    # Refusing.

    def _refuse(self, reason: Reason) -> None:
        """Answer why the request that arrives is refused, and close the connection after that."""
        if self._stage is Stage.CLOSING:
            return
        answer = self._policy.encode_refusal(reason, self.headers or [])
        self._drop(reason)
        self.transport.write(answer)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._settle()

    def evict(self, reason: Reason) -> None:
        """Refuse the request that arrives, if there is one, and close the connection now."""
        begun = self._stage in {Stage.HEAD, Stage.BODY, Stage.QUEUED}
        answer = self._policy.encode_refusal(reason, self.headers or []) if begun else b""
        self._drop(reason)
        self._policy.admission.remove(self)
        self.transport.write(answer)
        if self._count_unsent() or not self.transport.can_write_eof():
            # Closing would wait for the client: to read, or to take part in the end of TLS.
            self.transport.abort()
        else:
            self.transport.close()

    def _drop(self, reason: Reason) -> None:
        """Drop what was received, and count the refusal."""
        self._policy.admission.note_refusal(reason, self.peer)
        self._leave_queue()
        self._stage = Stage.CLOSING
        self._pending = b""
        if self.cycle is not None:
            # An application that still works on the request must not answer it.
            self.cycle.disconnected = True
        self._forget_request()

    def _discard(self, size: int) -> None:
        self._discarded += size
        if self._discarded > LINGER_BYTES:
            self.transport.abort()

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request; the parser's own message is not passed on."""
        self._refuse(Reason.MALFORMED)
