"""Structured log lines on standard output that never block the event loop."""

from __future__ import annotations

import logging
import os
import sys
from collections import deque
from typing import TYPE_CHECKING, Any, Final

import msgspec
from eliot import add_destinations, log_message, remove_destination

from foxtrestle.clock import read_clock

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Mapping

    from foxtrestle.errors import FoxtrestleError

BUFFER_LINES: Final = 4096
"""Lines buffered while the reader of standard output is slow; more are counted and dropped."""
BUFFER_BYTES: Final = 4 << 20
"""Maximum size of these lines, bytes."""
LIBRARY_INTERVAL_S: Final = 1.0
"""Minimum seconds between two lines of one library's logger."""
CLIENT_LINES_PER_S: Final = 50
"""Maximum lines a second of one event that clients cause at no cost to themselves."""
MAX_TEXT: Final = 400
"""Maximum length of a text that a client or a library has determined, characters."""


class LogWriter:
    """Destination of all log messages: standard output, non-blocking, with a bounded buffer."""

    def __init__(self, descriptor: int | None = None) -> None:
        """Create a writer to a file descriptor, standard output by default."""
        self.dropped = 0
        """Lines dropped because the buffer was full."""
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._reported = 0
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        os.set_blocking(self._descriptor, False)

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one message, or buffer it."""
        if len(self._lines) >= BUFFER_LINES or self._size >= BUFFER_BYTES:
            self.dropped += 1
            return
        line = self._encoder.encode(message) + b"\n"
        self._lines.append(line)
        self._size += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the reader accepts now."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; the remaining lines are lost.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()


def start_logging(node: str) -> LogWriter:
    """Send all log messages to standard output, each with the node's name."""
    writer = LogWriter()

    def write(message: Mapping[str, Any]) -> None:
        # Eliot's task tree is not used: lines do not refer to each other.
        fields = {k: v for k, v in message.items() if k not in {"task_uuid", "task_level"}}
        writer({"node": node, **fields})

    add_destinations(write)
    return writer


class _LibraryLog(logging.Handler):
    """Passes warnings of libraries on as structured lines, at most one a second and logger."""

    def __init__(self) -> None:
        """Create a handler for warnings and errors."""
        super().__init__(logging.WARNING)
        self._written_at: dict[str, float] = {}
        self._left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, or count it."""
        now = read_clock()
        if now - self._written_at.get(record.name, -LIBRARY_INTERVAL_S) < LIBRARY_INTERVAL_S:
            self._left_out += 1
            return
        self._written_at[record.name] = now
        error = record.exc_info[1] if record.exc_info else None
        log("library.warning", library=record.name, reason=shorten(record.getMessage()),
            error=shorten(repr(error)) if error else "", left_out=self._left_out)  # fmt: skip
        self._left_out = 0


def log_libraries() -> None:
    """Write warnings of libraries as structured lines, instead of to standard error, which blocks.

    Clients can cause such warnings, for instance by opening more connections than are accepted.
    """
    logging.getLogger().addHandler(_LibraryLog())


class LineBudget:
    """Bounds the lines of an event that clients cause at no cost to themselves."""

    def __init__(self, per_s: int = CLIENT_LINES_PER_S) -> None:
        """Create a budget; lines beyond it are counted in the first line after them."""
        self._per_s = per_s
        self._began_at = read_clock()
        self._written = 0
        self._left_out = 0

    def log(self, event: str, **fields: Any) -> None:
        """Write a line, unless there were too many in this second."""
        now = read_clock()
        if now - self._began_at >= 1.0:
            self._began_at = now
            self._written = 0
        if self._written >= self._per_s:
            self._left_out += 1
            return
        self._written += 1
        left_out, self._left_out = self._left_out, 0
        log(event, **fields, **({"left_out": left_out} if left_out else {}))


def shorten(text: str) -> str:
    """Shorten a text that a client or a library has determined."""
    return text if len(text) <= MAX_TEXT else text[:MAX_TEXT] + "..."


def stop_logging(destination: Any) -> None:
    """Stop sending messages to a destination."""
    remove_destination(destination)


class Outage:
    """Logs once when a dependency is lost and once when it is regained."""

    def __init__(self, dependency: str, user: str) -> None:
        """Create the state of a dependency that is not lost.

        Args:
            dependency: Name of the dependency, for example `store`.
            user: Component that calls it.
        """
        self.since = 0.0
        """Monotonic time of the first failure, seconds; 0 while the dependency answers."""
        self._dependency = dependency
        self._user = user
        self._failures = 0

    def note_failure(self, error: FoxtrestleError) -> None:
        """Note a failed call."""
        self._failures += 1
        if not self.since:
            self.since = read_clock()
            log("dependency.lost", dependency=self._dependency, user=self._user, step=error.step,
                peer=error.peer, reason=error.reason)  # fmt: skip

    def note_success(self) -> None:
        """Note a call that was answered."""
        if self.since:
            log("dependency.regained", dependency=self._dependency, user=self._user,
                failures=self._failures, away_s=round(read_clock() - self.since, 3),
            )  # fmt: skip
        self.since = 0.0
        self._failures = 0


def log_failure(task: asyncio.Task[None]) -> None:
    """Log the exception of a task that nobody awaits; for `add_done_callback`."""
    if not task.cancelled() and task.exception() is not None:
        log("task.failed", task=str(task.get_coro()), reason=repr(task.exception()))


def log(event: str, **fields: Any) -> None:
    """Write one line: an event's name and its fields."""
    log_message(message_type=event, **fields)
