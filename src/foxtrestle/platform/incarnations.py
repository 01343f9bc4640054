"""Which incarnation of a worker has the open connections to an address.

A call names its worker by an id that the worker's next incarnation may have as well, so a call that
opens a connection may be carried out by the next one. A connection ends with the process that
accepted it. Calls that must reach one incarnation are therefore sent only on open connections, and
a connection is opened only by a call that changes nothing and whose answer names the incarnation.
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_ADDRESSES: Final = 20_000
"""Maximum number of addresses to remember; a forgotten one costs a call."""


class Sighting(msgspec.Struct, frozen=True):
    """An answer that named the incarnation at an address."""

    started_ms: int
    """Wall-clock time at which the incarnation started, milliseconds; 0 if it does not tell."""
    sent_at: float
    """Monotonic time at which the answered call was sent, seconds."""


class Incarnations:
    """The incarnation that answered the newest call to each address."""

    def __init__(self) -> None:
        """Create a memory without addresses."""
        self._sightings: dict[str, Sighting] = {}
        self._looks: dict[str, set[asyncio.Future[None]]] = {}

    @contextmanager
    def looking(self, address: str) -> Iterator[None]:
        """Mark a call that may open a connection, until its answer has been noted."""
        look = asyncio.get_running_loop().create_future()
        looks = self._looks.setdefault(address, set())
        looks.add(look)
        try:
            yield
        finally:
            look.set_result(None)
            looks.discard(look)
            if not looks:
                self._looks.pop(address, None)

    async def wait_for_looks(self, address: str) -> None:
        """Wait until it is known where the connections lead that are being opened to an address."""
        looks = self._looks.get(address)
        if looks:
            await asyncio.wait(set(looks))

    def note(self, address: str, sighting: Sighting) -> bool:
        """Note the incarnation that answered a call.

        Returns:
            Whether it is another one than before, so that all other connections are of no use.
        """
        former = self._sightings.get(address)
        if former is not None and former.sent_at > sighting.sent_at:
            return False
        self._sightings.pop(address, None)
        self._sightings[address] = sighting
        if len(self._sightings) > MAX_ADDRESSES:
            del self._sightings[next(iter(self._sightings))]
        return former is not None and former.started_ms != sighting.started_ms

    def is_at(self, address: str, started_ms: int) -> bool:
        """Return whether the open connections to an address lead to an incarnation.

        Args:
            address: `ip:port`.
            started_ms: Wall-clock time at which the incarnation started, milliseconds; 0 for any.
        """
        sighting = self._sightings.get(address)
        return sighting is not None and is_same(sighting.started_ms, started_ms)


def is_same(answering_ms: int, intended_ms: int) -> bool:
    """Return whether the answering incarnation is the intended one, as far as both are known."""
    return not answering_ms or not intended_ms or answering_ms == intended_ms
