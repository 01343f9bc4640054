"""Soaks nodes of two builds on one store: `python -m soak.mixed_builds OTHER --seed 1`.

Node starts alternate between the builds, so that each build takes over control from the other,
reads its records, and serves clients at the same time. The checks and faults are those of the soak.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Final
from unittest import mock

import cyclopts
import msgspec

from soak import __main__ as soak

OWN_CHECKOUT: Final = Path(__file__).resolve().parent.parent
"""Checkout of this build."""


def build_node_class(other: Path, launches: Counter[str]) -> type[soak.NodeProcess]:
    """Return a node class whose starts alternate between two builds.

    Args:
        other: Checkout of the other build.
        launches: Counts the starts by build, `own` or `other`.
    """
    builds = itertools.cycle([OWN_CHECKOUT, other])

    class MixedNode(soak.NodeProcess):
        async def _launch(self) -> asyncio.subprocess.Process:
            build = next(builds)
            launches["own" if build == OWN_CHECKOUT else "other"] += 1
            with self._log.open("ab") as log:
                return await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(build / "src" / "foxtrestled_node.py"),
                    stdout=log,
                    stderr=log,
                    cwd=build,
                    env={
                        **os.environ,
                        "FOXTRESTLE_SETTINGS": str(self._settings),
                        "PYTHONPATH": str(build / "src"),
                    },
                )

    return MixedNode


def count_lines(folder: Path, message_type: str) -> int:
    """Count the log lines with a message type in the logs of all nodes."""
    count = 0
    for path in folder.glob("*.log"):
        for line in path.read_bytes().splitlines():
            try:
                count += msgspec.json.decode(line).get("message_type") == message_type
            except (msgspec.DecodeError, AttributeError):
                continue
    return count


app = cyclopts.App(name="soak.mixed_builds", help="Soak nodes of two builds under random faults.")


@app.default
def main(other: Path, *, seed: int = 1, seconds: float = 10.0, logs: Path | None = None) -> None:
    """Run one soak with nodes of two builds.

    Args:
        other: Checkout of the other build.
        seed: Seed of all choices.
        seconds: How long faults are injected.
        logs: Folder for the nodes' logs; a temporary one if not given.
    """
    launches: Counter[str] = Counter()
    node_class = build_node_class(other.resolve(), launches)
    with (
        tempfile.TemporaryDirectory() as temporary,
        mock.patch.object(soak, "NodeProcess", node_class),
    ):
        folder = (logs or Path(temporary)).resolve()
        folder.mkdir(parents=True, exist_ok=True)
        violations = asyncio.run(soak.Soak(seed, seconds, folder).run())
        terms = count_lines(folder, "control.acquired")
    print(f"starts: own {launches['own']}, other {launches['other']}; terms {terms}", flush=True)
    sys.exit(1 if violations or min(launches.values()) == 0 else 0)


if __name__ == "__main__":
    app()
