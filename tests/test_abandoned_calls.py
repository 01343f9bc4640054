"""A call that is given up is not delivered later: its connection is reset.

Guards against an order for a host that a partition holds up and that arrives seconds later, after
the orders of the next controller. A connection that is closed in the ordinary way keeps its unsent
bytes, and the kernel delivers them once the partition has healed: a host was switched off under the
next controller's tasks. A reset discards them.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest

from foxtrestle.platform.connections import Connections
from foxtrestle.platform.http import NoResponse, call

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Yield a socket that is listening and reads nothing by itself, as if its link were cut."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


async def post(connections: Connections, address: str, timeout_s: float) -> None:
    await call(
        connections, "POST", f"http://{address}/", step="order", timeout_s=timeout_s, body=b"{}"
    )


def read_to_end(listener: socket.socket) -> None:
    """Accept the connection of a call that was given up, and read until it is closed.

    Raises:
        ConnectionResetError: The caller has reset the connection. No byte arrives after that.
    """
    accepted, _ = listener.accept()
    with accepted:
        accepted.settimeout(5.0)
        while accepted.recv(1000):
            pass


async def test_the_connection_of_a_call_that_timed_out_is_reset(listener: socket.socket) -> None:
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    async with Connections() as connections:
        with pytest.raises(NoResponse):
            await post(connections, address, 0.2)
        with pytest.raises(ConnectionResetError):
            await asyncio.to_thread(read_to_end, listener)


async def test_the_connection_of_a_cancelled_call_is_reset(listener: socket.socket) -> None:
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    async with Connections() as connections:
        order = asyncio.create_task(post(connections, address, 30.0))
        await asyncio.sleep(0.1)
        order.cancel()
        with suppress(asyncio.CancelledError):
            await order
        with pytest.raises(ConnectionResetError):
            await asyncio.to_thread(read_to_end, listener)
