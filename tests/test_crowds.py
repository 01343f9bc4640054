"""Clients that do not behave end no process, and ordinary callers are answered beside them.

Each test starts a process of the system with the memory of the smallest machine and few
descriptors, and lets a crowd send it what no client within the documented limits sends. The process
must live, hold no more than its machine has, and answer an ordinary request while the crowd's
connections are open and after they are closed. Nothing here depends on the host's speed: no test
looks at times or at shares of served requests.

The tests run one at a time, apart from the others: `make crowds`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

import pytest

from tests.crowd_processes import DESCRIPTORS, attempt, crowd, run_daemon, run_node

if TYPE_CHECKING:
    from pathlib import Path

    from tests.crowd_processes import RunningDaemon, RunningNode

pytestmark = pytest.mark.crowd

CONNECTIONS: Final = 500
"""Clients of a crowd: more than the descriptors of the process allow beside its own calls."""
BYTES: Final = 1 << 20
"""Bytes that each client sends beyond the first part of its payload."""
TLS_CONNECTIONS: Final = 500
SMALLEST_DESCRIPTORS: Final = 4100
"""Descriptors of a process on the smallest machine that a site file gives."""

HEADS: Final = ["long-field", "many-fields", "long-path", "empty-lines"]
BODIES: Final = ["long-body", "chunked-body", "tiny-chunks"]
TRAILERS: Final = ["trailers", "long-trailer", "chunk-extension"]
AHEAD: Final = ["requests-ahead", "valid-requests-ahead"]


ENDLESS_JOBS: Final[list[dict[str, Any]]] = [
    {"steps": [{"count": 1_000_000_000}]},
    {"steps": [{"count": 1}], "repeatCount": 1_000_000_000_000},
]
JOB_SAMPLES: Final = 12
"""Ordinary jobs that are handed in beside the endless ones."""


async def check_served(
    server: RunningNode | RunningDaemon,
    address: str,
    payload: str,
    connections: int = CONNECTIONS,
    limit: int = BYTES,
    descriptors: int = DESCRIPTORS,
    *,
    tls: bool = False,
) -> None:
    """Check a process that is under a crowd, and once more after it."""
    async with crowd(address, payload, connections, limit, tls=tls):
        server.process.check(descriptors)
        await attempt(server.is_served, "a call beside the crowd")
    await attempt(server.is_served, "a call after the crowd")
    server.process.check(descriptors)


@pytest.mark.parametrize("payload", HEADS)
async def test_heads_without_end(tmp_path: Path, payload: str) -> None:
    async with run_node(tmp_path) as node:
        await check_served(node, node.front, payload)


@pytest.mark.parametrize("payload", TRAILERS)
async def test_trailers_without_end(tmp_path: Path, payload: str) -> None:
    async with run_node(tmp_path) as node:
        await check_served(node, node.front, payload)


@pytest.mark.parametrize("payload", BODIES)
async def test_bodies_without_end(tmp_path: Path, payload: str) -> None:
    async with run_node(tmp_path) as node:
        await check_served(node, node.front, payload)


@pytest.mark.parametrize("payload", AHEAD)
async def test_requests_sent_ahead_with_answers_unread(tmp_path: Path, payload: str) -> None:
    async with run_node(tmp_path) as node:
        await check_served(node, node.front, payload)


async def test_connections_that_are_kept_after_their_answer(tmp_path: Path) -> None:
    async with run_node(tmp_path) as node:
        await check_served(node, node.front, "answered")


async def test_connections_without_requests(tmp_path: Path) -> None:
    async with run_node(tmp_path) as node:
        await check_served(node, node.front, "nothing", 2 * DESCRIPTORS)


async def test_all_connections_of_the_smallest_machine(tmp_path: Path) -> None:
    """Incomplete heads within the limit, as many as the smallest machine has descriptors."""
    async with run_node(tmp_path, SMALLEST_DESCRIPTORS) as node:
        await check_served(
            node, node.front, "many-fields", SMALLEST_DESCRIPTORS, 16_000, SMALLEST_DESCRIPTORS
        )


async def test_all_connections_of_the_smallest_machine_with_bodies(tmp_path: Path) -> None:
    """Incomplete bodies within the limit, as many as the smallest machine has descriptors."""
    async with run_node(tmp_path, SMALLEST_DESCRIPTORS) as node:
        await check_served(
            node, node.front, "chunked-body", SMALLEST_DESCRIPTORS, 260_000, SMALLEST_DESCRIPTORS
        )


async def test_job_of_a_billion_tasks(tmp_path: Path) -> None:
    """One request: its controller would hold every task of the job."""
    async with run_node(tmp_path) as node:
        for number, job in enumerate(ENDLESS_JOBS):
            await node.submit(f"{0xFFFF0000 + number:016x}", job)
        for _ in range(JOB_SAMPLES):
            await attempt(node.is_served, "a job beside the large ones")
            node.process.check()
            await asyncio.sleep(0.25)


@pytest.mark.parametrize("payload", ["many-fields", "metrics-ahead", "long-body"])
async def test_listener_for_readiness(tmp_path: Path, payload: str) -> None:
    async with run_node(tmp_path) as node:
        await check_served(node, node.ready, payload)
        await attempt(node.is_ready, "the node is ready after the crowd")


async def test_listener_for_metrics(tmp_path: Path) -> None:
    async with run_node(tmp_path) as node:
        await check_served(node, node.metrics, "metrics-ahead")
        await attempt(node.is_ready, "the node is ready after the crowd")


@pytest.mark.parametrize(
    "payload", ["many-fields", "empty-lines", "trailers", "long-body", "requests-ahead", "nothing"]
)
async def test_callers_of_the_daemon(tmp_path: Path, payload: str) -> None:
    async with run_daemon(tmp_path) as daemon:
        await check_served(daemon, daemon.callers, payload)


@pytest.mark.parametrize("payload", ["many-fields", "metrics-ahead", "nothing"])
async def test_operators_of_the_daemon(tmp_path: Path, payload: str) -> None:
    async with run_daemon(tmp_path) as daemon:
        await check_served(daemon, daemon.admin, payload)


@pytest.mark.parametrize("payload", ["nothing", "hello-frame", "long-path"])
async def test_peers_of_the_daemon(tmp_path: Path, payload: str) -> None:
    async with run_daemon(tmp_path) as daemon:
        await check_served(daemon, daemon.peers, payload)


@pytest.mark.parametrize("payload", ["nothing", "many-fields", "requests-ahead"])
async def test_tls_listener(tmp_path: Path, payload: str) -> None:
    async with run_daemon(tmp_path, tls=True) as daemon:
        await check_served(daemon, daemon.callers, payload, TLS_CONNECTIONS, tls=True)


async def test_tls_listener_without_handshakes(tmp_path: Path) -> None:
    async with run_daemon(tmp_path, tls=True) as daemon:
        await check_served(daemon, daemon.callers, "nothing", TLS_CONNECTIONS)
