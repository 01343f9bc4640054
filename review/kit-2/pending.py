"""Check of the rule MIXED on the number of pending jobs that a node states."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from deployment import Deployment, Node

SETTLED_S = 5.0  # `visible_ms` + 2 s


class PendingCheck:
    """Jobs that were accepted, and the answers that break the rule."""

    def __init__(self, deployment: Deployment) -> None:
        """Create a check without jobs."""
        self._deployment = deployment
        self._accepted_at: dict[str, float] = {}
        self.broken: list[str] = []
        """Answers that break the rule, one line each."""
        self.asked = 0
        """Number of answers."""

    async def submit(self, node: Node, job: str, steps: list[dict[str, object]]) -> None:
        """Hand in a job."""
        status, _ = await self._deployment.call(node, "POST", job, {"spec": "x", "steps": steps})
        if status == 200:
            self._accepted_at[job] = time.monotonic()

    def count_accepted(self) -> int:
        """Return the number of accepted jobs."""
        return len(self._accepted_at)

    def list_begun(self) -> set[str]:
        """Return the jobs of which a runner has begun a task."""
        workers = self._deployment.site.list_workers()
        return {key.job for worker in workers for key, _, _ in worker.starts}

    async def ask(self, node: Node) -> None:
        """Ask a node for the number of pending jobs, and check its answer."""
        asked_at = time.monotonic()
        status, answer = await self._deployment.call(node, "GET", "")
        if status != 200:
            return
        self.asked += 1
        begun = self.list_begun()
        waiting = [
            job for job, at in self._accepted_at.items()
            if job not in begun and asked_at - at > SETTLED_S
        ]  # fmt: skip
        if answer["pending"] < len(waiting) / 2:
            line = (
                f"MIXED broken: {node.name} states {answer['pending']} pending jobs while "
                f"{len(waiting)}, accepted over {SETTLED_S:.0f} s before, have not begun"
            )
            self._deployment.record.add(line)
            self.broken.append(line)
