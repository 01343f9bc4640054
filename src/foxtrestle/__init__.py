"""Fleet capacity and maintenance manager for teams that share hosts but not priorities."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"
"""Version of the package, as in `pyproject.toml`."""
