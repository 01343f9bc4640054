"""Free ports for processes that read them from their settings and bind them a moment later."""

from __future__ import annotations

import random
from typing import Final

from foxtrestle.listener import bind

PORTS: Final = range(10_000, 30_000)
"""Ports to draw from: below the kernel's ephemeral range, so that no socket bound to port 0 can
take one between its choice and its use. Concurrent runs rarely draw the same port."""
MAX_DRAWS: Final = 100
"""Maximum number of draws before the search fails."""


def find_free_port() -> int:
    """Return a TCP port that is free and is unlikely to be taken before its use."""
    generator = random.SystemRandom()
    for _ in range(MAX_DRAWS):
        port = generator.choice(PORTS)
        try:
            bind("127.0.0.1", port).close()
        except OSError:
            continue
        return port
    raise RuntimeError(f"no free port found between {PORTS.start} and {PORTS.stop}")
