"""How property tests and state machines draw their examples.

The test command draws from fixed seeds, so that one commit always gets one verdict. `make explore`
draws from fresh ones, with many more examples; what it finds becomes a test with fixed data.
"""

from __future__ import annotations

from hypothesis import settings

from tests.properties import DEFAULT_EXAMPLES, scale

pytest_plugins = ("pytester", "tests.known_red")

settings.register_profile("fixed", derandomize=True, database=None)
settings.register_profile("fresh", max_examples=scale(DEFAULT_EXAMPLES), print_blob=True)
settings.load_profile("fixed")
