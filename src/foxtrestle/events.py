"""Events of this process, with timestamps that order the events of all processes.

The timestamps are read from a hybrid logical clock (Kulkarni et al. 2014): wall time, and a counter
where wall time alone would place a cause after its effect.
"""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING, Final

import msgspec
from eliot import log_message

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_EVENTS: Final = 4096
"""Maximum number of events that a daemon keeps; older ones are dropped and counted."""


class Timestamp(msgspec.Struct, frozen=True, order=True):
    """A reading of a hybrid logical clock."""

    wall_ms: int
    """Largest wall time read or received, milliseconds since the epoch."""
    counter: int
    """Orders readings with the same wall time."""


class Event(msgspec.Struct, frozen=True):
    """A change of state."""

    at: Timestamp
    """Timestamp; orders causes before their effects."""
    process: str
    """Name of the daemon that recorded the event."""
    sequence: int
    """Number of the event within its process, from 1."""
    kind: str
    """Kind of the event, for example `host.draining`."""
    subject: str
    """Host, pool, wave, job or operation that the event concerns."""
    detail: str
    """Further information in free text."""


class HybridLogicalClock:
    """Hybrid logical clock of a process."""

    def __init__(self, wall: Callable[[], float] = time.time) -> None:
        """Create a clock; `wall` returns the wall time in seconds since the epoch."""
        self._wall = wall
        self._last = Timestamp(0, 0)

    def read(self) -> Timestamp:
        """Return a timestamp later than all returned or observed before."""
        wall_ms = int(self._wall() * 1000)
        if wall_ms > self._last.wall_ms:
            self._last = Timestamp(wall_ms, 0)
        else:
            self._last = Timestamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, remote: Timestamp) -> None:
        """Advance the clock to a timestamp received with a message, if that is later."""
        self._last = max(self._last, remote)


class Timeline:
    """Ring buffer of the newest events of a process."""

    def __init__(self, process: str, clock: HybridLogicalClock, capacity: int = MAX_EVENTS) -> None:
        """Create an empty timeline for a process."""
        self.clock = clock
        """Clock that provides the events' timestamps."""
        self.dropped = 0
        """Number of events dropped because the buffer was full."""
        self._process = process
        self._events: deque[Event] = deque(maxlen=capacity)
        self._sequence = 0

    def add(self, kind: str, subject: str, detail: str = "") -> None:
        """Record an event and log it."""
        self._sequence += 1
        if len(self._events) == self._events.maxlen:
            self.dropped += 1
        event = Event(self.clock.read(), self._process, self._sequence, kind, subject, detail)
        self._events.append(event)
        log_message(message_type=kind, subject=subject, detail=detail, process=self._process)

    def select(self, *, since_ms: int = 0, subject: str = "") -> list[Event]:
        """Return the events since a wall time; only those of a subject if one is given."""
        return [
            event
            for event in self._events
            if event.at.wall_ms >= since_ms and subject in (event.subject, "")
        ]
