"""Decisions and protocol of the listeners that bound what a client can make a process hold."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtrestle.listener import bind, listen
from foxtrestle.listening.admission import Admission, choose_closed, choose_evicted
from foxtrestle.listening.framing import find_slice_end, read_body_framing
from foxtrestle.listening.limits import (
    REQUEST_LINE_BYTES,
    ConnectionUse,
    ProcessLimits,
    RequestLimits,
    compute_held_bytes,
    compute_request_bytes,
    plan_process_limits,
)
from foxtrestle.listening.policy import ListenerPolicy
from foxtrestle.listening.refusals import Reason, RefusalCounts, encode_refusal
from foxtrestle.proxy import encode_caller_refusal
from tests.test_node import wait_for

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MB = 1 << 20
DATA = Path(__file__).parent / "data"
HEAD = b"POST /%d HTTP/1.1\r\nHost: h\r\n"


class FakeConnection:
    """A connection that notes why it was closed."""

    def __init__(self, listener: Any = None) -> None:
        self.peer = "peer"
        self.reasons: list[Reason] = []
        self._listener = listener

    def evict(self, reason: Reason) -> None:
        self.reasons.append(reason)
        if self._listener is not None:
            self._listener.remove(self)


# Decisions.


def test_limits_follow_memory_and_descriptors() -> None:
    assert plan_process_limits(160, 4100) == ProcessLimits(787, 32 * MB)
    assert plan_process_limits(552, 4100).max_connections == 1950
    assert plan_process_limits(160, 600).max_connections == 200
    assert plan_process_limits(1, 100).max_connections == 1


def test_held_bytes_count_what_the_kernel_may_hold() -> None:
    assert compute_held_bytes(ConnectionUse()) == 0
    assert compute_held_bytes(ConnectionUse(received_bytes=10)) == 10
    assert compute_held_bytes(ConnectionUse(unsent_bytes=5), 1000) == 2005
    assert compute_held_bytes(ConnectionUse(headers=10)) > 1000


def test_longest_holders_are_closed_until_enough_is_free() -> None:
    first, second, third = (FakeConnection() for _ in range(3))
    holders = {first: 10, second: 20, third: 30}
    assert choose_evicted(holders, 0) == []
    assert choose_evicted(holders, 15) == [first, second]
    assert choose_evicted(holders, 1000) == [first, second, third]


def test_new_connection_replaces_one_that_waits_or_sends_ahead() -> None:
    waiting, busy, ahead, newest = (FakeConnection() for _ in range(4))
    assert choose_closed([waiting], {busy, ahead}, [ahead], newest) is waiting
    assert choose_closed([], {busy, ahead}, [ahead], newest) is ahead
    assert choose_closed([], {busy}, [ahead], newest) is newest


def test_one_line_a_second_tells_how_many_were_refused() -> None:
    counts = RefusalCounts()
    lines = [counts.add("clients", Reason.MALFORMED, now) for now in (0.0, 0.1, 0.2, 1.5)]
    assert [line and line.count for line in lines] == [1, None, None, 3]
    other = counts.add("clients", Reason.NO_MEMORY, 0.2)
    assert other is not None
    assert other.count == 1
    assert counts.counts["clients", Reason.MALFORMED] == 4


@pytest.mark.parametrize("reason", list(Reason))
def test_refusals_say_when_to_come_back_if_that_helps(reason: Reason) -> None:
    answer = encode_refusal(reason, [])
    if not answer:
        assert reason in {Reason.ANSWER_UNREAD, Reason.HANDSHAKE_FAILED}
        return
    assert answer.startswith(b"HTTP/1.1 ")
    assert (b"retry-after" in answer) == answer.startswith(b"HTTP/1.1 503")
    assert answer.endswith(reason.value.encode())


def test_callers_are_told_whether_a_refused_request_ran() -> None:
    keyed = [(b"idempotency-key", b"k")]
    assert b"foxtrestle-outcome: not-run" in encode_caller_refusal(Reason.NO_MEMORY, [])
    # An earlier request with the same key may have run.
    assert b"foxtrestle-outcome: may-have-run" in encode_caller_refusal(Reason.NO_MEMORY, keyed)
    assert b'"outcome":"not-run"' in encode_caller_refusal(Reason.BODY_TOO_LARGE, keyed)


def test_memory_of_all_connections_is_bounded() -> None:
    admission = Admission(ProcessLimits(10, 100_000))
    listener = admission.add_listener("clients", 10)
    connections = [FakeConnection(listener) for _ in range(4)]
    for connection in connections:
        listener.add(connection)
        admission.set_held(connection, 30_000)
    assert [connection.reasons for connection in connections] == [[Reason.NO_MEMORY], [], [], []]
    assert admission.held_bytes == 90_000


def test_request_in_process_is_not_closed_to_make_room_for_itself() -> None:
    admission = Admission(ProcessLimits(10, 100_000))
    listener = admission.add_listener("clients", 10)
    other, own = FakeConnection(listener), FakeConnection(listener)
    for connection in (other, own):
        listener.add(connection)
        admission.set_held(connection, 40_000)
    assert admission.reserve(50_000, own)
    assert other.reasons == [Reason.NO_MEMORY]
    assert own.reasons == []
    assert not admission.reserve(50_000, own)
    admission.release(50_000)
    assert admission.held_bytes == 40_000


def test_connections_beyond_the_limit_close_the_one_that_waited_longest() -> None:
    admission = Admission(ProcessLimits(2, MB))
    listener = admission.add_listener("clients", 10)
    connections = [FakeConnection(listener) for _ in range(3)]
    listener.add(connections[0])
    listener.add(connections[1])
    listener.set_busy(connections[0])
    listener.set_waiting(connections[0])
    listener.add(connections[2])
    assert [bool(connection.reasons) for connection in connections] == [False, True, False]
    assert listener.count() == 2


def test_turns_are_given_in_order_of_arrival() -> None:
    listener = Admission(ProcessLimits(10, MB)).add_listener("clients", 10, max_requests=1)
    begun: list[int] = []
    connections = [FakeConnection() for _ in range(4)]
    for number, connection in enumerate(connections):
        listener.await_turn(connection, lambda number=number: begun.append(number))
    listener.leave_queue(connections[1])
    assert begun == [0]
    for _ in range(3):
        listener.end_turn()
    assert begun == [0, 2, 3]
    assert listener.requests == 0


# Framing.


def make_request(number: int, body: bytes, *, chunked: bool, trailers: bool) -> bytes:
    head = HEAD % number
    if not chunked:
        length = b"Content-Length: %d\r\n" % len(body) if body else b""
        return head + length + b"\r\n" + body
    chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    end = b"0\r\nA: b\r\n\r\n" if trailers else b"0\r\n\r\n"
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + end


requests = st.builds(
    make_request,
    st.integers(0, 9),
    st.sampled_from([b"", b"x", b"a\r\n\r\nb", b"\n\r\n", b"y" * 50]),
    chunked=st.booleans(),
    trailers=st.booleans(),
)


@given(st.lists(requests, min_size=1, max_size=4), st.lists(st.integers(1, 40), min_size=1))
def test_slice_never_reaches_beyond_a_request(sent: list[bytes], sizes: list[int]) -> None:
    stream = b"".join(sent)
    ends = {len(b"".join(sent[: number + 1])) for number in range(len(sent))}
    starts = {0} | ends
    position, former, body_left, cuts = 0, b"", 0, set()
    reads = 0
    while position < len(stream):
        size = sizes[reads % len(sizes)]
        reads += 1
        data = stream[position : position + size]
        start = 0
        while start < len(data):
            end = find_slice_end(data, start, former, body_left)
            assert start < end <= len(data)
            part = data[start:end]
            former = (former + part)[-2:]
            absolute = position + end
            assert not any(position + start < edge < absolute for edge in ends)
            if body_left:
                body_left -= len(part)
            else:
                body_left = find_body_length(stream, starts, absolute)
            cuts.add(absolute)
            start = end
        position += len(data)
    assert ends <= cuts


def find_body_length(stream: bytes, starts: set[int], position: int) -> int:
    """Return the length of the body that begins at a position; 0 if none begins there."""
    begin = max(start for start in starts if start < position)
    head = stream[begin:position]
    if not head.endswith(b"\r\n\r\n") or head.count(b"\r\n\r\n") != 1 or b"Length: " not in head:
        return 0
    return int(head.split(b"Length: ")[1].split(b"\r\n")[0])


def test_framing_of_a_body_is_read_from_its_headers() -> None:
    assert read_body_framing([]) == (False, 0)
    assert read_body_framing([(b"content-length", b"12")]) == (False, 12)
    assert read_body_framing([(b"transfer-encoding", b"chunked")]) == (True, 0)


# Protocol.


class Echo:
    """ASGI application that answers with method, path and body, and notes what it was asked."""

    def __init__(self) -> None:
        self.asked: list[bytes] = []
        self.hold: asyncio.Event | None = None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        message = await receive()
        assert not message["more_body"]
        line = f"{scope['method']} {scope['path']} ".encode() + message["body"]
        self.asked.append(line)
        if self.hold is not None:
            await self.hold.wait()
        headers = [(b"content-length", str(len(line)).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": line})


class Server:
    """A listener, its application, and raw connections to it."""

    def __init__(self, app: Echo, admission: Admission, port: int) -> None:
        self.app = app
        self.admission = admission
        self.port = port

    async def send(self, *parts: bytes, until: bytes = b"", eof: bool = False) -> bytes:
        """Send bytes on a new connection and read until it is closed or some bytes have come."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)
        received = b""
        async with asyncio.timeout(10):
            while not until or until not in received:
                with suppress(ConnectionResetError):
                    part = await reader.read(4096)
                    received += part
                if not part:
                    break
        writer.close()
        return received


@asynccontextmanager
async def serve(
    limits: RequestLimits | None = None,
    process: ProcessLimits | None = None,
    max_requests: int | None = None,
) -> AsyncIterator[Server]:
    app = Echo()
    admission = Admission(process or ProcessLimits(50, MB))
    policy = ListenerPolicy(
        admission.add_listener("clients", 50, max_requests), lambda: limits or RequestLimits()
    )
    bound = bind("127.0.0.1", 0)
    async with listen(app, [bound], policy=policy):
        yield Server(app, admission, bound.getsockname()[1])


async def test_requests_sent_ahead_are_answered_in_order() -> None:
    async with serve() as server:
        ahead = b"".join(make_request(n, b"b%d" % n, chunked=n % 2 == 1, trailers=True)
                         for n in range(9))  # fmt: skip
        answer = await server.send(ahead, until=b"POST /8 b8")
        places = [answer.index(b"POST /%d b%d" % (n, n)) for n in range(9)]
        assert places == sorted(places)


@pytest.mark.parametrize("chunked", [False, True])
async def test_request_in_single_bytes_is_served(chunked: bool) -> None:
    async with serve() as server:
        request = make_request(7, b"a\r\n\r\nb", chunked=chunked, trailers=True)
        parts = [request[index : index + 1] for index in range(len(request))]
        answer = await server.send(*parts, until=b"POST /7 a\r\n\r\nb")
        assert answer.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"\r\n\r\nGET /a HTTP/1.1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
        b"GET /a HTTP/1.0\r\n\r\n",
        b"GET /a?b=c HTTP/1.1\r\nConnection: close\r\n\r\n",
    ],
)
async def test_unusual_requests_within_the_limits_are_served(request_bytes: bytes) -> None:
    async with serve() as server:
        assert b"GET /a " in await server.send(request_bytes, until=b"GET /a ")


async def test_client_that_waits_for_100_continue_is_told_to_go_on() -> None:
    async with serve() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(HEAD % 1 + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        async with asyncio.timeout(10):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            writer.write(b"ok")
            assert (await reader.readuntil(b"POST /1 ok")).startswith(b"HTTP/1.1 200")
        writer.close()


async def test_head_and_body_of_the_limit_are_served_and_one_byte_more_is_not() -> None:
    limits = RequestLimits(max_header_bytes=1000, max_body_bytes=100)
    async with serve(limits) as server:
        head = b"POST /p HTTP/1.1\r\n"
        field = b"x: " + b"a" * (1000 - 5) + b"\r\n"
        length = b"Content-Length: 100\r\n\r\n" + b"b" * 100
        assert b"200 OK" in await server.send(head + field + length, until=b"b" * 100)
        long_field = b"x: " + b"a" * (1000 + REQUEST_LINE_BYTES) + b"\r\n\r\n"
        assert b" 431 " in await server.send(head + long_field)
        assert b" 413 " in await server.send(head + b"Content-Length: 101\r\n\r\n" + b"b" * 101)
        chunk = b"65\r\n" + b"b" * 101 + b"\r\n0\r\n\r\n"
        assert b" 413 " in await server.send(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
        assert len(server.app.asked) == 1


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ([b"GARBAGE\r\n\r\n"], b"400"),
        ([b"GET / HTTP/1.1\r\nBad Header\r\n\r\n"], b"400"),
        ([b"\r\n" * 20_000], b"431"),
        ([HEAD % 1 + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n" * 20_000], b"431"),
        ([HEAD % 1 + b"Transfer-Encoding: chunked\r\n\r\n1;", b"a" * 100_000], b"431"),
    ],
)
async def test_refused_request_never_reaches_the_application(
    parts: list[bytes], status: bytes
) -> None:
    async with serve() as server:
        await server.send(*parts)
        reason = next(iter(server.admission.refusals.counts))[1]
        assert status in encode_refusal(reason, [])
        assert server.app.asked == []


@pytest.mark.parametrize(
    ("part", "status"),
    [(b"GET / HT", b" 408 "), (b"", b""), (b"\r\n", b"")],
)
async def test_clients_that_send_nothing_more_are_left(part: bytes, status: bytes) -> None:
    limits = RequestLimits(header_timeout_s=0.05, idle_timeout_s=0.05)
    async with serve(limits) as server:
        answer = await server.send(part)
        assert status in answer
        assert bool(answer) == bool(status)


async def test_memory_that_is_taken_refuses_a_request_with_a_time_to_come_back() -> None:
    process = ProcessLimits(50, compute_request_bytes(0) + 100)
    async with serve(process=process) as server:
        server.app.hold = asyncio.Event()
        first = asyncio.create_task(server.send(b"GET /1 HTTP/1.1\r\n\r\n", until=b"GET /1"))
        await wait_for(lambda: server.app.asked)
        answer = await server.send(b"GET /2 HTTP/1.1\r\n\r\n")
        assert b" 503 " in answer
        assert b"retry-after" in answer
        server.app.hold.set()
        assert b"GET /1" in await first
        assert b"GET /3" in await server.send(b"GET /3 HTTP/1.1\r\n\r\n", until=b"GET /3")
        assert len(server.app.asked) == 2


async def test_request_without_a_turn_is_refused_and_has_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("foxtrestle.listening.stages.TURN_TIMEOUT_S", 0.05)
    async with serve(max_requests=1) as server:
        server.app.hold = asyncio.Event()
        first = asyncio.create_task(server.send(b"GET /1 HTTP/1.1\r\n\r\n", until=b"GET /1"))
        await wait_for(lambda: server.app.asked)
        assert b" 503 " in await server.send(b"GET /2 HTTP/1.1\r\n\r\n")
        server.app.hold.set()
        assert b"GET /1" in await first
        assert b"GET /3" in await server.send(b"GET /3 HTTP/1.1\r\n\r\n", until=b"GET /3")
        assert len(server.app.asked) == 2
    assert server.admission.held_bytes == 0


async def test_client_that_leaves_keeps_its_memory_reserved_until_its_request_has_ended() -> None:
    async with serve() as server:
        server.app.hold = asyncio.Event()
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"GET /1 HTTP/1.1\r\n\r\n")
        await wait_for(lambda: server.app.asked)
        writer.close()
        listener = server.admission.listeners[0]
        await wait_for(lambda: not listener.count())
        assert server.admission.held_bytes == compute_request_bytes(
            0, len(b"GET /1 HTTP/1.1\r\n\r\n")
        )
        server.app.hold.set()
        await wait_for(lambda: not server.admission.held_bytes)
        assert listener.requests == 0


async def test_stop_finishes_the_request_in_process() -> None:
    async with serve() as server:
        server.app.hold = asyncio.Event()
        first = asyncio.create_task(server.send(b"GET /1 HTTP/1.1\r\n\r\n"))
        idle = asyncio.create_task(server.send(b""))
        listener = server.admission.listeners[0]
        await wait_for(lambda: server.app.asked and listener.count() == 2)
        asyncio.get_running_loop().call_later(0.2, server.app.hold.set)
    assert (await first).endswith(b"GET /1 ")
    assert await idle == b""


async def test_tls_connection_that_is_closed_for_another_begins_no_handshake(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    begun = 0
    loop = asyncio.get_running_loop()
    start_tls = loop.start_tls

    async def count(*arguments: Any, **options: Any) -> Any:
        nonlocal begun
        begun += 1
        return await start_tls(*arguments, **options)

    monkeypatch.setattr(loop, "start_tls", count)
    admission = Admission(ProcessLimits(1, MB))
    policy = ListenerPolicy(admission.add_listener("callers", 1))
    bound = bind("127.0.0.1", 0)
    certificate, key = str(DATA / "certificate.pem"), str(DATA / "key.pem")
    async with listen(Echo(), [bound], policy=policy, certificate=certificate, key=key):
        # The only connection has a request in process, so each new one is closed at once.
        kept = FakeConnection()
        admission.listeners[0].add(kept)
        admission.listeners[0].set_busy(kept)
        for _ in range(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", bound.getsockname()[1])
            with suppress(ConnectionResetError):
                assert await reader.read() == b""
            writer.close()
    assert begun == 0
