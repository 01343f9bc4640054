"""How many examples property tests and state machines play."""

from __future__ import annotations

import os
from typing import Final

FACTOR: Final = int(os.environ.get("FOXTRESTLE_EXAMPLES", "1"))
"""Times the usual number of examples; `make explore` raises it."""
DEFAULT_EXAMPLES: Final = 100
"""Examples of a property test that does not tell a number of its own."""


def scale(examples: int) -> int:
    """Return how many examples to play where a run of the test command plays so many."""
    return examples * FACTOR
