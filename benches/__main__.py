"""Run one bench by name, or all: `python -m benches [NAME]`; `compare` takes options of its own."""

from __future__ import annotations

import importlib
import sys
from typing import Final

NAMES: Final = ("fleets", "jobs", "requests", "decisions", "capacity", "drill")
COMPARE: Final = "compare"
"""Plays days of the users' deployments, so it is no part of `all`."""


def main() -> None:
    """Run the benches asked for."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else "all"
    if wanted == COMPARE:
        importlib.import_module(f"benches.{COMPARE}").run(sys.argv[2:])
        return
    if wanted not in (*NAMES, "all"):
        print(f"expected one of {', '.join(NAMES)} or all, got {wanted}", file=sys.stderr)
        sys.exit(2)
    for name in NAMES if wanted == "all" else (wanted,):
        importlib.import_module(f"benches.{name}").run()


main()
