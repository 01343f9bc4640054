"""Processor time of ways to read requests: ordinary requests, and bytes that are refused.

Each way is a protocol of `uvicorn` on a transport without a network, with an application that reads
the body and answers. A way that does not refuse its bytes is told so by the memory that it holds.
"""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING, Any, Final

import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from benches.report import print_figure
from foxtrestle.listening.admission import Admission
from foxtrestle.listening.limits import ProcessLimits
from foxtrestle.listening.policy import ListenerPolicy
from foxtrestle.listening.protocol import BoundedHttpProtocol

if TYPE_CHECKING:
    from collections.abc import Callable

REQUESTS: Final = 5_000
READ_BYTES: Final = 32 * 1024
"""Bytes of one read."""
HOSTILE_BYTES: Final = 1 << 20
HEAD: Final = b"POST /q/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\nAccept: */*\r\n"
ORDINARY: Final = (
    HEAD + b"Content-Type: application/json\r\nContent-Length: 500\r\n\r\n" + b"x" * 500
)
CHUNKED: Final = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HOSTILE: Final = {
    "head without end": (b"GET / HTTP/1.1\r\n", b"a: b\r\n"),
    "trailers without end": (CHUNKED + b"0\r\n", b"a: b\r\n"),
    "chunks of a byte": (CHUNKED, b"1\r\na\r\n"),
    "requests ahead": (b"", b"GET / HTTP/1.1\r\n\r\n"),
}


class SinkTransport(asyncio.Transport):
    """A transport that drops what is written and notes whether it would read."""

    def __init__(self) -> None:
        """Create an open transport."""
        super().__init__()
        self.reading = True
        self.closed = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return nothing: there is no socket."""
        return default

    def write(self, data: Any) -> None:
        """Drop bytes."""

    def can_write_eof(self) -> bool:
        """Return that half of the connection cannot be closed."""
        return False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits: nothing is buffered."""

    def get_write_buffer_size(self) -> int:
        """Return that nothing is buffered."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the protocol has closed the transport."""
        return self.closed

    def close(self) -> None:
        """Close the transport."""
        self.closed = True

    def abort(self) -> None:
        """Close the transport."""
        self.closed = True

    def pause_reading(self) -> None:
        """Note that nothing is to be read."""
        self.reading = False

    def resume_reading(self) -> None:
        """Note that there may be reads."""
        self.reading = True


async def answer(scope: Any, receive: Any, send: Any) -> None:
    """Read the body and answer."""
    while (await receive()).get("more_body"):
        pass
    await send(
        {"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"0")]}
    )
    await send({"type": "http.response.body", "body": b""})


def list_ways() -> dict[str, Callable[..., Any]]:
    """Return what creates a protocol, by name of the way."""
    admission = Admission(ProcessLimits(1000, 64 << 20))
    policy = ListenerPolicy(admission.add_listener("clients", 1000))
    return {
        "uvicorn with httptools": HttpToolsProtocol,
        "uvicorn with h11": H11Protocol,
        "bounded": partial(BoundedHttpProtocol, policy),
    }


def connect(make: Callable[..., Any]) -> tuple[Any, SinkTransport]:
    """Create a connected protocol."""
    config = uvicorn.Config(
        answer, http="httptools", ws="none", lifespan="off", log_config=None, log_level="critical",
        h11_max_incomplete_event_size=20 * 1024,
    )  # fmt: skip
    config.load()
    protocol = make(config=config, server_state=ServerState(), app_state={})
    transport = SinkTransport()
    protocol.connection_made(transport)
    return protocol, transport


async def measure_ordinary(make: Callable[..., Any]) -> float:
    """Return the processor time of an ordinary request, microseconds."""
    protocol, _ = connect(make)
    began = time.process_time()
    for _ in range(REQUESTS):
        protocol.data_received(ORDINARY)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    return (time.process_time() - began) / REQUESTS * 1e6


async def measure_hostile(
    make: Callable[..., Any], first: bytes, repeated: bytes
) -> tuple[float, int, float]:
    """Return processor time (milliseconds), bytes taken, and memory held at the end (KiB)."""
    protocol, transport = connect(make)
    data = first + repeated * (HOSTILE_BYTES // len(repeated))
    tracemalloc.start()
    taken = 0
    spent = 0.0
    while taken < len(data) and transport.reading and not transport.closed:
        part = data[taken : taken + READ_BYTES]
        began = time.process_time()
        protocol.data_received(part)
        spent += time.process_time() - began
        taken += len(part)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return spent * 1000, taken, held / 1024


async def _run() -> None:
    # Requests that were begun are cancelled at the end, which some protocols report.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    for way, make in list_ways().items():
        print_figure("listeners", way, "ordinary request", "us", await measure_ordinary(make))
        for name, (first, repeated) in HOSTILE.items():
            spent, taken, held = await measure_hostile(make, first, repeated)
            print_figure("listeners", way, f"{name}, taken", "KiB", taken / 1024)
            print_figure("listeners", way, f"{name}, processor", "ms", spent)
            print_figure("listeners", way, f"{name}, held", "KiB", held)


def run() -> None:
    """Run the bench."""
    asyncio.run(_run())
