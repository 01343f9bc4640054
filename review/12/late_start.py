"""A start without an answer is carried out late, by the next life of a runner that has crashed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness_3  # noqa: E402
import msgspec  # noqa: E402

from foxtrestle.platform.jobs import parse_task  # noqa: E402
from foxtrestle.scheduling.model import Shape, TaskKey  # noqa: E402
from foxtrestle.standins.site import Site  # noqa: E402
from foxtrestle.standins.worker import OrderRejected, SimulatedWorker  # noqa: E402
from starlette.applications import Starlette  # noqa: E402
from starlette.requests import Request  # noqa: E402
from starlette.responses import Response  # noqa: E402
from starlette.routing import Route  # noqa: E402

NODES = 6
HOSTS = 8
VICTIM = "b" * 16
VICTIM_JOB = {
    "spec": "victim",
    "steps": [{"count": 1, "cpu": 1000, "memMb": 200, "estimatedMs": 30000}],
}
HEARTBEAT_S = 1.5
CRASH_AFTER_S = 3.0
"""From the start without an answer until its runner crashes."""
DOWN_S = 4.5
"""As `srv_crash` in the site file."""
LATE_S = 8.0
"""From the start without an answer until it is carried out; 2 to 12 s by `fleetbench kinds`."""
FIRST_BEAT_S = 1.2
"""From the begin of a life until its first beat; less than a heartbeat."""


def describe(key: TaskKey) -> tuple[Shape, float, str]:
    """Return size, duration and end of a task."""
    if key.job == VICTIM:
        return Shape(1000, 200, 0), 30_000.0, "done"
    return Shape(500, 200, 0), 500.0, "done"


class LateSite(Site):
    """A platform of which one runner leaves one start unanswered and then crashes."""

    def __init__(self, record: harness_3.Record) -> None:
        """Create the platform."""
        super().__init__(describe=describe, reserve_pool="backoffice")
        self.faults.connections_end_with_crash = True
        self.twice: list[str] = []
        self._record = record
        self._late_taken = False

    def find_runs(self) -> list[str]:
        """List the runs of the victim that are at work on runners that are up."""
        runs = []
        for worker in self.workers.values():
            if not worker.down:
                worker.advance()
                runs += [f"run {run} on {worker.info.id} (born {worker.incarnation_started_ms})"
                         for key, run in worker.running if key.job == VICTIM]  # fmt: skip
        return runs

    async def watch_victim(self) -> None:
        """Record whenever the victim has two runs at the same time, until cancelled."""
        former: list[str] = []
        while True:
            runs = self.find_runs()
            if runs != former:
                self._record.write(f"at work: {', '.join(runs) or 'none'}")
                if len(runs) > 1:
                    self.twice.append(" and ".join(runs))
            former = runs
            await asyncio.sleep(0.01)

    def _build_worker(self, worker: SimulatedWorker) -> Starlette:
        app = super()._build_worker(worker)
        usual = next(route for route in app.router.routes if route.path == "/-/run-start")

        async def start(request: Request) -> Response:
            body = msgspec.json.decode(await request.body())
            is_victim = body["task"].startswith(VICTIM)
            if harness_3.TROUBLE and is_victim and not self._late_taken and not worker.down:
                self._late_taken = True
                self._record.write(f"{worker.info.id} leaves the start of run {body['runId']} "
                                   f"unanswered, token {body['fencingToken']}")  # fmt: skip
                self._background_tasks.add(asyncio.create_task(self._carry_out(worker, body)))
                self._background_tasks.add(asyncio.create_task(self._crash(worker)))
                await asyncio.sleep(3600)
            if is_victim:
                self._record.write(f"{worker.info.id} is told to start run {body['runId']}, "
                                   f"token {body['fencingToken']}")  # fmt: skip
            return await usual.endpoint(request)

        app.router.routes.insert(0, Route("/-/run-start", start, methods=["POST"]))
        return app

    async def _carry_out(self, worker: SimulatedWorker, body: dict[str, Any]) -> None:
        """Carry a start out late, by whichever life of the runner is there then."""
        await asyncio.sleep(LATE_S)
        try:
            worker.start(parse_task(body["task"]), body["runId"], body["fencingToken"],
                         body["expiresMs"], body["spec"])  # fmt: skip
            self._record.write(f"{worker.info.id} carries the unanswered start out")
        except OrderRejected as refusal:
            self._record.write(f"{worker.info.id} refuses the late start: {refusal}")

    async def _crash(self, worker: SimulatedWorker) -> None:
        """Crash a runner; its machine is down meanwhile, and it is back under its id."""
        await asyncio.sleep(CRASH_AFTER_S)
        host = self.hosts[worker.info.host]
        host.state, host.worker = "down", ""
        former = set(self._servers[worker.info.id].server_state.connections)
        worker.crash()
        self._record.write(f"{worker.info.id} crashes")
        await asyncio.sleep(DOWN_S)
        self._reset_connections(worker.info.id, former)
        host.state, host.worker = "up", worker.info.id
        worker.restart(int(time.time() * 1000))
        self._record.write(f"{worker.info.id} is back, born {worker.incarnation_started_ms}")
        await asyncio.sleep(FIRST_BEAT_S)
        self.write_entry(worker)
        self._record.write(f"{worker.info.id} writes its entry")

    async def beat(self) -> None:
        """Write the entries of the runners that are up once a heartbeat, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            now_ms = time.time() * 1000
            for worker in list(self.workers.values()):
                is_new = worker.incarnation > 1
                young = is_new and now_ms - worker.incarnation_started_ms < FIRST_BEAT_S * 1000
                if not worker.down and not young:
                    self.write_entry(worker)


async def run(record: harness_3.Record) -> int:
    """Run the case."""
    site = LateSite(record)
    async with site.serve():
        site.write("op/config", harness_3.CONFIGURATION)
        for number in range(HOSTS):
            await site.add_host(f"m-{number:05x}", "refills", "sul-a")
        helpers = [
            asyncio.create_task(site.beat()),
            asyncio.create_task(site.watch_victim()),
        ]
        async with harness_3.run_nodes(site, NODES, record) as nodes:
            if not await harness_3.wait_until_ready(nodes):
                return 2
            clients = harness_3.Clients(nodes, record)
            await harness_3.send_small_jobs(clients, 1, 3.0)
            if await clients.submit(VICTIM, VICTIM_JOB) != 200:
                return 2
            await harness_3.send_small_jobs(clients, 0x1000, 14.0)
            await asyncio.sleep(3.0)
            state = await clients.read_state(VICTIM)
            runs = site.find_runs()
            await clients.close()
        for helper in helpers:
            helper.cancel()
    record.say(f"the job is {state}, at work at the end: {runs}")
    for pair in site.twice:
        record.say(f"at the same time: {pair}")
    if harness_3.TROUBLE and not site._late_taken:
        return 2
    return 1 if site.twice else 0


if __name__ == "__main__":
    sys.exit(harness_3.run_case(FOLDER, "TWICE", run))
