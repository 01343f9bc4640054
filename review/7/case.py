"""Case 7: jobs that a sick runner refuses are no longer counted as pending."""

import asyncio
import os
import time
from pathlib import Path

from deployment import CONFIGURATION, Record, deploy, finish, play
from pending import PendingCheck
from starlette.responses import Response

from foxtrestle.scheduling.model import Shape
from foxtrestle.standins.site import Site

RUNNERS = 8
SICK_S = 6.5
SMALL = [{"count": 1, "cpu": 3000, "memMb": 500, "estimatedMs": 300}]
LONG = [{"count": 1, "cpu": 30000, "memMb": 500, "estimatedMs": 45000}]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def describe(key):
    """Return the size and the duration of a task."""
    if key.job.startswith("a"):
        return Shape(30000, 500), 45000.0, "done"
    return Shape(3000, 500), 300.0, "done"


class SickSite(Site):
    """A platform of which some runners answer each start with 503 and have done nothing."""

    def __init__(self, record):
        super().__init__(describe=describe)
        self.sick = set()
        self.record = record

    def _build_worker(self, worker):
        app = super()._build_worker(worker)

        async def answer(scope, receive, send):
            if scope["type"] == "http" and scope["path"] == "/-/run-start":
                if worker.info.id in self.sick:
                    self.record.add(f"runner {worker.info.id} answers a start with 503")
                    await Response(status_code=503)(scope, receive, send)
                    return
            await app(scope, receive, send)

        return answer


async def main():
    record = Record(Path(__file__).parent / "record.txt")
    site = SickSite(record)
    hosts = {f"h{number}": "main" for number in range(RUNNERS)}
    async with deploy(site, record, 3, CONFIGURATION, hosts) as deployment:
        if not await deployment.wait_ready():
            finish(2, record, "not run: the nodes did not become ready")
        asyncio.get_running_loop().create_task(site.write_entries(1.5))
        check = PendingCheck(deployment)
        nodes = deployment.nodes
        for number in range(RUNNERS - 1):
            await check.submit(nodes[number % 3], f"a{number:015x}", LONG)
        await asyncio.sleep(3.0)
        free = [worker.info.id for worker in site.workers.values() if not worker.running]
        if len(free) != 1:
            finish(2, record, f"not run: {len(free)} runners are free instead of one")
        if TROUBLE:
            site.sick = set(free)
            record.add(f"runner {free[0]}, one of {RUNNERS}, is sick from now on")
        began = time.monotonic()
        await asyncio.gather(*(check.submit(nodes[n % 3], f"b{n:015x}", SMALL) for n in range(8)))
        while time.monotonic() < began + SICK_S - 0.1:
            await asyncio.gather(*(check.ask(node) for node in nodes))
            await asyncio.sleep(0.1)
        site.sick = set()
        record.add("no runner is sick any more")
        await asyncio.sleep(3.0)
        small_begun = sum(job.startswith("b") for job in check.list_begun())
        record.add(f"afterwards {small_begun} of the 8 small jobs have begun")
        for node in nodes:
            await node.kill()
        if check.count_accepted() < RUNNERS + 7 or not check.asked:
            finish(2, record, "not run: jobs were not accepted, or no node answered")
        if check.broken:
            finish(1, record, f"{check.broken[0]} (and {len(check.broken) - 1} more such answers)")
        finish(0, record, f"held: {check.asked} answers")


play(main())
