"""Steady traffic of small jobs, and the check of the rule LOST at the end of the traffic."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from deployment import CONFIGURATION, Record, deploy, finish

from foxtrestle.scheduling.model import Shape, TaskKey
from foxtrestle.standins.site import Site

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from deployment import Deployment

NODES = 3
HOSTS = {f"h{number}": "main" for number in range(8)}
HEARTBEAT_S = 1.5
TRAFFIC_S = 14.0
TROUBLE_AT_S = 4.0
PAUSE_S = 0.3
FINISH_S = 14.0  # `finish_s` of the sheet
IDLE_S = 3.0  # of the rule: a job has nothing running for 3 s
STEP = {"count": 2, "cpu": 3000, "memMb": 500, "estimatedMs": 300}
BODY = {"spec": "small job", "steps": [STEP, {**STEP, "dependsOn": [0]}]}
ENDED = {"completed", "failed", "cancelled"}


def describe_task(key: TaskKey) -> tuple[Shape, float, Any]:
    """Return the size and the duration of a task of the small jobs."""
    return Shape(3000, 500), 300.0, "done"


def count_runs(site: Site, job: str) -> int:
    """Return how many runs of a job are active on all workers."""
    return sum(key.job == job for w in site.workers.values() for key, _ in w.running)


async def watch_jobs(deployment: Deployment, jobs: list[str]) -> tuple[set[str], float]:
    """Watch jobs for `IDLE_S`; return those of which nothing ran, and the largest used share."""
    site = deployment.site
    workers = [worker for worker in site.workers.values() if worker.info.pool == "main"]
    idle = set(jobs)
    used_share = 0.0
    end = time.monotonic() + IDLE_S + 0.2
    while time.monotonic() < end:
        for worker in workers:
            worker.advance()
        idle = {job for job in idle if not count_runs(site, job)}
        used = sum(worker.compute_usage().cpu for worker in workers)
        room = sum(worker.info.capacity.cpu for worker in workers)
        used_share = max(used_share, used / room)
        await asyncio.sleep(0.02)
    return idle, used_share


async def ask(deployment: Deployment, job: str) -> str:
    """Return a job's state as a client gets it from any node; empty without an answer."""
    for node in deployment.nodes:
        status, answer = await deployment.call(node, "GET", job)
        if status == 200:
            return str(answer["state"])
        if status == 410:
            return "410"
    return ""


async def run(
    folder: Path,
    trouble: Callable[[Deployment], Awaitable[None]] | None,
    site: Site,
    prepare: Callable[[Deployment], Awaitable[None]] | None = None,
    configuration: dict[str, Any] = CONFIGURATION,
    hosts: dict[str, str] = HOSTS,
) -> None:
    """Play the traffic, with the trouble at `TROUBLE_AT_S`, and exit with the verdict.

    Args:
        folder: Folder of the case.
        trouble: The disruption; None for none.
        site: The platform's stand-in.
        prepare: What clients do before the traffic.
        configuration: What operators write as the configuration.
        hosts: Pool of each host; the small jobs run in `main`.
    """
    record = Record(folder / "record.txt")
    async with deploy(site, record, NODES, configuration, hosts) as deployment:
        if not await deployment.wait_ready():
            finish(2, record, "not run: the nodes did not become ready")
        beats = asyncio.create_task(site.write_entries(HEARTBEAT_S))
        if prepare is not None:
            await prepare(deployment)
        accepted: list[str] = []

        async def submit(number: int) -> None:
            job = f"{number:016x}"
            node = deployment.nodes[number % NODES]
            status, _ = await deployment.call(node, "POST", job, BODY)
            if status == 200:
                accepted.append(job)

        began = time.monotonic()
        number = 0x100
        posts = []
        troubled = trouble is None
        while time.monotonic() - began < TRAFFIC_S:
            if not troubled and time.monotonic() - began > TROUBLE_AT_S:
                troubled = True
                await trouble(deployment)  # type: ignore[misc]
            posts.append(asyncio.create_task(submit(number)))
            number += 1
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*posts)
        record.add(f"end of the traffic: {len(posts)} jobs sent, {len(accepted)} accepted")
        await asyncio.sleep(FINISH_S)
        states = dict(zip(accepted, await asyncio.gather(
            *(ask(deployment, job) for job in accepted)), strict=True))  # fmt: skip
        unknown = [job for job, state in states.items() if state in {"", "410"}]
        waiting = [job for job, state in states.items() if state not in ENDED | {"", "410"}]
        idle, used_share = await watch_jobs(deployment, waiting)
        lost = sorted(idle) if used_share < 0.5 else []
        for worker in site.list_workers():
            for key, run_number, at in worker.starts:
                if int(key.job, 16) < 1 << 60:
                    record.add(
                        f"worker {worker.info.id} started {key} run {run_number} at {at:.0f}"
                    )
        for node in deployment.nodes:
            record.add(
                f"{node.name}: controllers begun {node.count_logged('control.acquired')}, "
                f"lost {node.count_logged('control.lost')}, "
                f"failed {node.count_logged('control.failed')}"
            )
            for line in node.log.read_text(encoding="utf-8", errors="replace").splitlines():
                if '"control.lost"' in line or '"control.failed"' in line:
                    record.add(f"log of {node.name}: {line[:200]}")
        beats.cancel()
        for node in deployment.nodes:
            await node.kill()
        if len(accepted) < 10 and trouble is None:
            finish(2, record, "not run: hardly any job was accepted")
        if unknown or lost:
            finish(1, record,
                   f"LOST broken: {len(accepted)} jobs accepted; {FINISH_S:.0f} s after the end of "
                   f"the traffic {len(unknown)} have no answer and {len(lost)} wait with nothing "
                   f"running for {IDLE_S:.0f} s, at most {used_share:.2f} of the room in use")  # fmt: skip
        finish(0, record, f"held: {len(accepted)} jobs accepted, all ended or at work")
