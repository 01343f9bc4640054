"""Bounds of the log lines that clients cause, and of what waits for a slow reader."""

from __future__ import annotations

import logging
import os
from typing import TYPE_CHECKING, Any

import pytest

from foxtrestle.control import log as log_module
from foxtrestle.control.log import (
    BUFFER_BYTES,
    MAX_TEXT,
    LineBudget,
    LogWriter,
    log_libraries,
    shorten,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, Any]]]:
    written: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(log_module, "log", lambda event, **fields: written.append((event, fields)))
    return written


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now = [100.0]
    monkeypatch.setattr(log_module, "read_clock", lambda: now[0])
    return now


@pytest.fixture
def full_pipe() -> Iterator[int]:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4096)
    except BlockingIOError:
        yield writer
    os.close(reader)
    os.close(writer)


def test_lines_for_a_slow_reader_are_bounded_in_bytes(full_pipe: int) -> None:
    writer = LogWriter(full_pipe)
    for _ in range(1000):
        writer({"path": "x" * 20_000})
    kept = sum(len(line) for line in writer._lines)
    assert kept <= BUFFER_BYTES + 21_000
    assert writer.dropped == 1000 - len(writer._lines)


def test_lines_beyond_a_budget_are_counted(lines: list[Any], clock: list[float]) -> None:
    budget = LineBudget(per_s=2)
    for _ in range(5):
        budget.log("request.denied", path="/")
    clock[0] += 1.0
    budget.log("request.denied", path="/")
    assert [fields.get("left_out") for _, fields in lines] == [None, None, 3]


def test_texts_of_clients_are_cut() -> None:
    assert shorten("short") == "short"
    assert len(shorten("x" * 20_000)) <= MAX_TEXT + 3


def test_warnings_of_libraries_are_lines_of_the_log(lines: list[Any], clock: list[float]) -> None:
    handlers = list(logging.getLogger().handlers)
    log_libraries()
    try:
        for _ in range(3):
            logging.getLogger("asyncio").error("socket.accept() out of system resource")
        clock[0] += 1.0
        logging.getLogger("asyncio").error("again")
    finally:
        logging.getLogger().handlers[:] = handlers
    assert [fields["left_out"] for _, fields in lines] == [0, 2]
