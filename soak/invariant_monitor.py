"""Checks of the invariants by the answers to clients and the runs on the workers."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import TaskKey, WorkerInfo
    from foxtrestle.standins.site import Site

CHECK_INTERVAL_S: Final = 0.02
"""Seconds between two checks."""
DRAIN_S: Final = 3.0
"""Seconds after the request for a drain within which runs may still start in the zone."""
DRAIN_SETTLE_S: Final = 0.3
"""Additional seconds that an order may take to reach a worker on a busy host."""
JOB_TEXT_PREFIX: Final = "text of "
"""Prefix of the text of every job; the job's id follows."""


class ZoneDrain:
    """A zone drain that operators requested for some seconds."""

    def __init__(self, zone: str) -> None:
        """Create a drain that was requested now."""
        self.zone = zone
        """Name of the zone."""
        self.since = time.monotonic()
        """Monotonic time at which it was requested, seconds."""
        self.until = float("inf")
        """Monotonic time at which it was cancelled, seconds; infinite until then."""


class InvariantMonitor:
    """Records the answers that clients got, and checks the invariants that follow from them."""

    def __init__(self, site: Site) -> None:
        """Create a monitor without any job."""
        self.violations: list[str] = []
        """Violations found, one sentence each."""
        self.submitted: set[str] = set()
        """Jobs that were submitted, whatever the answer."""
        self.accepted: set[str] = set()
        """Jobs whose submission was answered with success."""
        self.refused: set[str] = set()
        """Jobs whose every submission was refused."""
        self.cancelled: set[str] = set()
        """Jobs whose cancellation was answered with success."""
        self.wave_limits: dict[int, int] = {}
        """Maximum number of hosts in maintenance at once, by wave."""
        self.drains: list[ZoneDrain] = []
        """Zone drains that operators requested."""
        self._site = site
        self._created_at = time.monotonic()
        self._checked_starts: dict[str, int] = {}

    async def run(self) -> None:
        """Check at regular intervals until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Check the invariants that must hold at any time."""
        self._check_duplicate_runs()
        self._check_starts()
        in_maintenance = Counter(
            host.wave for host in self._site.hosts.values() if host.state == "upkeep"
        )
        for wave, count in in_maintenance.items():
            if count > self.wave_limits.get(wave, 0):
                self._report(f"wave {wave}: {count} hosts in maintenance at once")

    def _check_duplicate_runs(self) -> None:
        running: dict[TaskKey, str] = {}
        for worker in self._site.workers.values():
            worker.advance()
            for key, run in worker.running:
                if key in running:
                    self._report(f"twice: {key} on {running[key]} and {worker.info.id} run {run}")
                running[key] = worker.info.id

    def _check_starts(self) -> None:
        acknowledged_at = self._find_acknowledged_ends()
        for worker in self._site.list_workers():
            checked = self._checked_starts.get(worker.info.id, 0)
            new_starts = zip(worker.starts[checked:], worker.started_at[checked:], strict=True)
            for (key, run, _), started_at in new_starts:
                if key.job not in self.submitted:
                    self._report(f"unasked: {key} run {run}")
                if self._violates_drain(worker.info, key, run, started_at):
                    self._report(f"drained: {key} run {run} starts in zone {worker.info.zone}")
                running = worker.running.get((key, run))
                if running is not None and running.text != JOB_TEXT_PREFIX + key.job:
                    self._report(f"unasked: {key} run {run} has another text")
                # Compares times, because checks may be delayed: the task may have run and ended
                # since the last check.
                if started_at > acknowledged_at.get(key, float("inf")):
                    self._report(f"twice: {key} run {run} starts after its end was acknowledged")
            self._checked_starts[worker.info.id] = len(worker.starts)

    def _violates_drain(self, info: WorkerInfo, key: TaskKey, run: int, started_at: float) -> bool:
        """Return whether a run was started in a drained zone by an order that was not delayed."""
        if (info.id, key, run) in self._site.late_starts:
            return False
        return any(
            drain.zone == info.zone
            and drain.since + DRAIN_S + DRAIN_SETTLE_S < started_at < drain.until
            for drain in self.drains
        )

    def _find_acknowledged_ends(self) -> dict[TaskKey, float]:
        """Return the monotonic time at which the first `done` of each task was acknowledged."""
        first_at: dict[TaskKey, float] = {}
        for worker in self._site.list_workers():
            for end, at in zip(worker.acknowledged_ends, worker.acknowledged_at, strict=True):
                if end.kind == "done":
                    first_at[end.key] = min(at, first_at.get(end.key, at))
        return first_at

    def finish(self, states: dict[str, str]) -> None:
        """Check what must hold at the end, when no fault is active.

        Args:
            states: Last state of each accepted job, as answered to clients.
        """
        started = {key.job for w in self._site.list_workers() for key, _, _ in w.starts}
        for job in self.refused & started:
            self._report(f"refused: {job} was refused every time and ran")
        for job, state in states.items():
            expected = {"cancelled", "completed"} if job in self.cancelled else {"completed"}
            if state not in expected:
                self._report(f"lost: accepted job {job} ends as {state}")
        for worker in self._site.workers.values():
            for key, _ in worker.running:
                if key.job in self.cancelled:
                    self._report(f"unasked: {key} of a cancelled job runs on")

    def _report(self, text: str) -> None:
        if text not in self.violations:
            at = time.monotonic() - self._created_at
            self.violations.append(text)
            print(f"{at:8.3f} VIOLATION {text}", flush=True)
