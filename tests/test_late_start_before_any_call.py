"""A late start that a worker's next incarnation gets before any call, with a whole node.

Guards against two runs of a task at once: the first copy of a start had no answer, the second one
was answered. The worker crashed, the task was started elsewhere as soon as the host list showed the
host as down, and the next incarnation then carried the first copy out.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from foxtrestle.scheduling.model import Shape
from foxtrestle.standins.site import Site
from tests.test_node import has_job_state, make_job_id, run_nodes, shorten_intervals, wait_for

if TYPE_CHECKING:
    from foxtrestle.standins.worker import SimulatedWorker

__all__ = ["shorten_intervals"]

JOB = make_job_id(1)
LATE_S = 4.0
DOWN_S = 2.5
FIRST_ENTRY_S = 1.2
WORK_MS = 5_000.0


def list_running(site: Site) -> list[str]:
    for worker in site.workers.values():
        worker.advance()
    return [
        f"run {run} on {worker.info.id}"
        for worker in site.workers.values()
        for _, run in worker.running
    ]


async def watch(site: Site, twice: list[list[str]]) -> None:
    """Note each moment at which the job's only task has two runs, until cancelled."""
    while True:
        running = list_running(site)
        if len(running) > 1:
            twice.append(running)
        await asyncio.sleep(0.01)


async def crash_and_restart(
    site: Site, worker: SimulatedWorker, down_s: float, first_entry_s: float
) -> None:
    """Crash a worker with its host; it is back under its id, and writes its entry later."""
    host = site.hosts[worker.info.host]
    host.state, host.worker = "down", ""
    worker.crash()
    await asyncio.sleep(down_s)
    host.state, host.worker = "up", worker.info.id
    worker.restart(int(time.time() * 1000))
    await asyncio.sleep(first_entry_s)
    site.write_entry(worker)


async def test_a_late_start_runs_beside_no_other_run_of_the_task() -> None:
    site = Site(describe=lambda key: (Shape(1000, 100), WORK_MS, "done"))
    async with run_nodes(site, hosts=2) as (client, _):
        await wait_for(lambda: all(worker.highest_token for worker in site.workers.values()))
        site.faults.late_start_share = 1.0
        site.faults.late_start_delay_s = LATE_S
        assert await client.submit(JOB) == 200
        await wait_for(lambda: site.late_starts)
        site.faults.late_start_share = 0.0
        await wait_for(lambda: list_running(site))
        [(worker_id, _, _)] = site.late_starts
        twice: list[list[str]] = []
        watching = asyncio.create_task(watch(site, twice))
        await asyncio.sleep(0.5)
        await crash_and_restart(site, site.workers[worker_id], DOWN_S, FIRST_ENTRY_S)
        await wait_for(lambda: has_job_state(client, JOB, "completed"))
        watching.cancel()
        assert twice == []
        [worker] = [worker for worker in site.list_workers() if worker.info.id == worker_id]
        first_runs = [run for _, run, _ in worker.starts if run == 1]
        assert len(first_runs) == 2, "the next incarnation has carried the late start out"
