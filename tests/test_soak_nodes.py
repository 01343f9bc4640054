"""The soak starts one process a node, and none after its end.

Seen: another test waited 15 s for its node to take control. A node of a soak that had ended held
the lock of that test's store: two faults had started the same node at once, the soak knew of one
of the two processes, and the other asked for ever whoever got the port of its store, by chance
the test. Proved by a socket bound to that port: the left process asked it for the lock within a
second.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest

from soak.__main__ import NodeProcess

if TYPE_CHECKING:
    from pathlib import Path


@pytest.fixture
def started(monkeypatch: pytest.MonkeyPatch) -> list[Any]:
    """Processes that were started, instead of any real one."""
    processes: list[Any] = []

    async def launch(*_: Any, **__: Any) -> Any:
        await asyncio.sleep(0)
        processes.append(SimpleNamespace(returncode=None))
        return processes[-1]

    monkeypatch.setattr(asyncio, "create_subprocess_exec", launch)
    return processes


def make_node(folder: Path) -> NodeProcess:
    store: Any = SimpleNamespace(address="127.0.0.1:1")
    return NodeProcess("n0", folder, store, "127.0.0.1:2")


async def test_faults_that_overlap_start_one_process(tmp_path: Path, started: list[Any]) -> None:
    node = make_node(tmp_path)
    await asyncio.gather(node.start(), node.start())
    await node.start()
    assert len(started) == 1
    started[0].returncode = -9
    await node.start()
    assert len(started) == 2


async def test_nothing_is_started_once_the_run_is_over(tmp_path: Path, started: list[Any]) -> None:
    node = make_node(tmp_path)
    node.ended = True
    await node.start()
    assert not started
