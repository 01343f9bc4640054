"""One answer of the store is lost in a quiet moment; no task of any job starts any more.

The entry of tests/test_failed_count_write.py, tried with the real programs. A job waits that can't
be done. The store carries out the write of the queues' counts and its answer is lost. Then small
jobs come. Rule LOST: they may not wait with all runners free.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from standin import (
    BROKEN,
    CONFIGURATION,
    HELD,
    NOT_RUN,
    TROUBLE,
    Node,
    Platform,
    Record,
    Shape,
    run_case,
)
from starlette.requests import Request

SMALL_JOBS = 5
FINISH_S = 14.0
WATCH_S = 3.0
PENDING_KEY = "foxtrestle/control/pending"


class LossyPlatform(Platform):
    """A platform whose store loses the answer to one write."""

    loses_count = False
    lost = 0

    async def _transact(self, request: Request) -> Any:
        puts = [row["tlsKey"] for row in msgspec.json.decode(await request.body()).get("put", [])]
        answer = await super()._transact(request)
        if self.loses_count and not self.lost and puts == [PENDING_KEY]:
            self.lost += 1
            self.record.write("store: the write of the counts is done, its answer is lost")
            await asyncio.sleep(3600)
        return answer


async def run(record: Record, folder: Path) -> int:
    site = LossyPlatform(record, describe=lambda key: (Shape(1000, 100), 300.0, "done"))
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(site.serve())
        site.write("op/config", CONFIGURATION)
        for number in range(6):
            await site.add_host(f"m-{number}", "main", ("za", "zb", "zc")[number % 3])
        nodes = []
        for zone in ("za", "zb", "zc"):
            node = Node(f"edge-{zone}-1", zone, folder, site)
            nodes.append(node)
            stack.push_async_callback(node.stop)
            await node.start()
        session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0))
        )
        await asyncio.sleep(6.0)
        site.loses_count = TROUBLE

        async def submit(job: str, cpu: int) -> None:
            step = {"count": 1, "cpu": cpu, "memMb": 100}
            status, _ = await nodes[0].call(session, "POST", job, {"spec": job, "steps": [step]})
            record.write(f"client: POST {job} (1 task of {cpu / 1000:g} cores): {status}")

        await submit("bad0000000000000", 40_000)
        await asyncio.sleep(3.0)
        if TROUBLE and not site.lost:
            return NOT_RUN
        small = [f"{0x1000000000000000 + number:016x}" for number in range(SMALL_JOBS)]
        for job in small:
            await submit(job, 1000)
        await asyncio.sleep(FINISH_S + WATCH_S)
        waiting = 0
        for job in small:
            status, answer = await nodes[1].call(session, "GET", job)
            record.write(f"client: GET {job}: {status} {answer}")
            waiting += status != 200 or answer["state"] != "completed"
        if waiting:
            record.write(f"LOST broken: {waiting} jobs wait; all runners are free")
            return BROKEN
        record.write("LOST held")
        return HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), run))
