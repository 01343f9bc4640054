"""Case 8: a late write sets the number of pending jobs back for as long as nothing changes."""

import asyncio
import os
import time
from pathlib import Path

from deployment import CONFIGURATION, Record, deploy, finish, play
from pending import PendingCheck

from foxtrestle.scheduling.model import Shape
from foxtrestle.standins.site import Site

RUNNERS = 8
LATE_S = 5.0
CONTACT_S = 3.0  # `contactMs`
SMALL = [{"count": 1, "cpu": 3000, "memMb": 500, "estimatedMs": 300}]
LONG = [{"count": 1, "cpu": 30000, "memMb": 500, "estimatedMs": 60000}]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def describe(key):
    """Return the size and the duration of a task."""
    if key.job.startswith("a"):
        return Shape(30000, 500), 90000.0, "done"
    return Shape(3000, 500), 300.0, "done"


class LateStore(Site):
    """A platform whose store leaves one write without an answer and carries it out later."""

    def __init__(self, record):
        super().__init__(describe=describe)
        self.record = record
        self.armed = False
        self.carried_out_at = 0.0
        self._late = set()

    async def _transact(self, request):
        body = await request.body()
        if not self.armed or b"control/pending" not in body:
            return await super()._transact(request)
        self.armed = False
        self.record.add(f"store: no answer to {body[:160]!r}, to be carried out in {LATE_S} s")
        self._late.add(asyncio.create_task(self._carry_out(request)))
        await asyncio.sleep(3600)

    async def _carry_out(self, request):
        await asyncio.sleep(LATE_S)
        answer = await super()._transact(request)
        self.carried_out_at = time.monotonic()
        self.record.add(f"store: the late write is carried out: {answer.status_code}")


async def main():
    record = Record(Path(__file__).parent / "record.txt")
    site = LateStore(record)
    hosts = {f"h{number}": "main" for number in range(RUNNERS)}
    async with deploy(site, record, 3, CONFIGURATION, hosts) as deployment:
        if not await deployment.wait_ready():
            finish(2, record, "not run: the nodes did not become ready")
        asyncio.get_running_loop().create_task(site.write_entries(1.5))
        check = PendingCheck(deployment)
        nodes = deployment.nodes
        for number in range(RUNNERS):
            await check.submit(nodes[number % 3], f"a{number:015x}", LONG)
        await asyncio.sleep(4.0)
        if any(not worker.running for worker in site.workers.values()):
            finish(2, record, "not run: the runners are not all at work")
        site.armed = TROUBLE
        await check.submit(nodes[0], f"b{0:015x}", SMALL)
        await asyncio.sleep(0.3)
        for number in range(1, 10):
            await check.submit(nodes[number % 3], f"b{number:015x}", SMALL)
        await asyncio.sleep(LATE_S + 1.0)
        if TROUBLE and not site.carried_out_at:
            finish(2, record, "not run: the late write did not come about")
        # The store is calm again, and the nodes are in touch after `contactMs`.
        await asyncio.sleep(CONTACT_S + 0.5)
        end = time.monotonic() + 4.0
        while time.monotonic() < end:
            await asyncio.gather(*(check.ask(node) for node in nodes))
            await asyncio.sleep(0.2)
        small_begun = sum(job.startswith("b") for job in check.list_begun())
        record.add(f"{small_begun} of the 10 small jobs have begun")
        for node in nodes:
            await node.kill()
        if check.count_accepted() < RUNNERS + 10 or not check.asked:
            finish(2, record, "not run: jobs were not accepted, or no node answered")
        if check.broken:
            finish(1, record, f"{check.broken[0]} (and {len(check.broken) - 1} more such answers)")
        finish(0, record, f"held: {check.asked} answers")


play(main())
