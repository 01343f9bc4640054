"""Runs one bench by name, or all: `python -m benches [NAME]`; `compare` has its own options."""

from __future__ import annotations

import importlib
import sys
from typing import Final

NAMES: Final = ("fleets", "jobs", "requests", "decisions", "capacity", "drill", "listeners")
COMPARE: Final = "compare"
"""Bench that is not included in `all`, because it plays whole days of the users' deployments."""


def main() -> None:
    """Run the requested benches."""
    requested = sys.argv[1] if len(sys.argv) > 1 else "all"
    if requested == COMPARE:
        importlib.import_module(f"benches.{COMPARE}").run(sys.argv[2:])
        return
    if requested not in (*NAMES, "all"):
        print(f"expected one of {', '.join(NAMES)} or all, got {requested}", file=sys.stderr)
        sys.exit(2)
    for name in NAMES if requested == "all" else (requested,):
        importlib.import_module(f"benches.{name}").run()


main()
