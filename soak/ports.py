"""Ports for processes that learn them from their settings and bind them a moment later."""

from __future__ import annotations

import random
from typing import Final

from foxtrestle.listener import bind

PORTS: Final = range(10_000, 30_000)
"""Ports to draw from: below those that the kernel hands out by itself, so that no socket bound to
any port can take one between its choice and its use. Runs side by side seldom draw the same."""
TRIES: Final = 100
"""Draws until the search is given up."""


def find_free_port() -> int:
    """Return a TCP port that is free now, and likely to stay so."""
    draw = random.SystemRandom()
    for _ in range(TRIES):
        port = draw.choice(PORTS)
        try:
            bind("127.0.0.1", port).close()
        except OSError:
            continue
        return port
    raise RuntimeError(f"no port of {PORTS.start} to {PORTS.stop} is free")
