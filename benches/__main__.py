"""Run one bench by name, or all: `python -m benches [NAME]`."""

from __future__ import annotations

import importlib
import sys
from typing import Final

NAMES: Final = ("fleets", "jobs", "requests", "capacity", "drill")


def main() -> None:
    """Run the benches asked for."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else "all"
    if wanted not in (*NAMES, "all"):
        print(f"expected one of {', '.join(NAMES)} or all, got {wanted}", file=sys.stderr)
        sys.exit(2)
    for name in NAMES if wanted == "all" else (wanted,):
        importlib.import_module(f"benches.{name}").run()


main()
