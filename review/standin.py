"""Helpers of the review scripts: the users' platform, a network partition, and node processes.

The store, the workers and the machine interface are those of `foxtrestle.standins`, with the times
that the pages give for moves and upkeep. Everything runs on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.types import ASGIApp, Receive, Scope, Send

from foxtrestle.listener import bind
from foxtrestle.scheduling.model import Shape
from foxtrestle.standins.site import Site

# Calls that are left without an answer are cancelled at the end, which is no error here.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption takes place."""
BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes of a script."""
LIMIT_S = 105.0
MOVE_S = 1.5
UPKEEP_S = 2.0
ROUTE_HOST = "jobs.example"
CONFIGURATION: dict[str, Any] = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": ROUTE_HOST,
            "pathPrefix": "/q/",
            "service": "main",
            "targetLatencyMs": 600,
            "maxAttempts": 2,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "main"}, {"name": "spare", "headroom": True}],
}
SETTINGS = """\
nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
heartbeatMs = 1500
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
orders = "invocation"
advice = "{advice}"
[zones]
za = "r"
zb = "r"
zc = "r"
[listenAddrs]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
maxHoldMs = 10000
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 2
save_s = 2
restore_ms = 600
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
requireFencing = false
leaseMs = 3000
thawSlackMs = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
"""


class Record:
    """Everything that was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        line = f"{self.now():8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Link:
    """One machine's network path to one address, which a partition can cut.

    While it is cut, nothing passes. Bytes that were sent on a connection from before the cut are
    kept and delivered once it has healed, as a sender's kernel retransmits them, also after the
    sender has closed the connection; they are lost if the sender has reset it. A connection that
    is opened during the cut does not come about: its bytes are dropped, and it is aborted.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.on_request: Callable[[bytes], None] | None = None
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self._down = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        self._open.clear()

    def heal(self) -> None:
        self._open.set()

    def break_down(self) -> None:
        """Break all connections, as when the process at the address ends, and refuse new ones."""
        self._down = True
        for task in list(self._tasks):
            task.cancel()

    def come_up(self) -> None:
        self._down = False

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        self.break_down()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            if self._down:
                return
            if not self._open.is_set():
                await self._open.wait()
                return
            host, _, port = self._target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            try:
                await asyncio.gather(
                    self._carry(reader, far_writer, self.on_request),
                    self._carry(far_reader, writer, None),
                )
            finally:
                far_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_request: Callable[[bytes], None] | None,
    ) -> None:
        """Carry one direction: read without a pause, so that a reset is seen, and hand on."""
        chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        hand_on = asyncio.create_task(self._hand_on(chunks, writer))
        try:
            while data := await reader.read(1 << 16):
                if on_request is not None:
                    on_request(data)
                chunks.put_nowait(data)
            chunks.put_nowait(None)
            await hand_on
        except OSError:
            # The sender has reset the connection: what was not delivered is lost.
            writer.transport.abort()
        finally:
            hand_on.cancel()

    async def _hand_on(
        self, chunks: asyncio.Queue[bytes | None], writer: asyncio.StreamWriter
    ) -> None:
        while True:
            data = await chunks.get()
            await self._open.wait()
            if data is None:
                # The receiver has read what came before the end of the stream.
                await asyncio.sleep(0.3)
                writer.transport.abort()
                return
            writer.write(data)
            await writer.drain()


def _describe_capacity(capacity: Shape) -> dict[str, int]:
    return {"cpu": capacity.cpu, "memMb": capacity.memory_mb, "gpu": capacity.gpu}


class Platform(Site):
    """The stand-in of the platform, with the pages' times and a record of the orders."""

    def __init__(self, record: Record, **options: Any) -> None:
        super().__init__(reserve_pool="spare", **options)
        self.record = record
        self.order_log: list[tuple[float, str, str, int, str, int]] = []
        """Orders for machines: time, machine, holder, token, order, status."""
        self.silent_tokens: range = range(0)
        """Tokens of a machine that is cut off: workers do not receive its calls."""
        self._entries_written = 0

    def write_entry(self, worker: Any, state: str = "ready") -> None:
        """Write a runner's entry with all the fields that the pages name."""
        info = worker.info
        self._entries_written += 1
        entry = {
            "service": info.pool,
            "address": self.describe_address(worker),
            "zone": info.zone,
            "version": "1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "seq": self._entries_written,
            "capacity": _describe_capacity(info.capacity),
            "labels": list(info.labels),
            "machine": info.host,
            "born": worker.incarnation_started_ms,
        }
        self.write(f"servers/{info.id}", entry)

    def describe_address(self, worker: Any) -> str:
        """Return the address at which a runner is reached."""
        return str(worker.info.address)

    def _list_machines(self) -> Response:
        machines = [
            {
                "machine": host.name,
                "pool": host.pool,
                "state": host.state,
                "zone": host.zone,
                "labels": ["a", "r1"],
                "capacity": _describe_capacity(self._capacity),
                "id": host.worker or None,
            }
            for host in self.hosts.values()
        ]
        return JSONResponse({"machines": machines, "nextToken": None})

    def _build_hosts(self) -> ASGIApp:
        app = super()._build_hosts()

        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["type"] == "http" and scope["method"] == "GET":
                await self._list_machines()(scope, receive, send)
                return
            if scope["type"] != "http":
                await app(scope, receive, send)
                return
            body = await Request(scope, receive).body()
            order = json.loads(body)
            headers = {key.decode(): value.decode() for key, value in scope["headers"]}
            status = 0

            async def receive_again() -> dict[str, Any]:
                return {"type": "http.request", "body": body, "more_body": False}

            async def note(message: Any) -> None:
                nonlocal status
                status = message.get("status", status)
                await send(message)

            await app(scope, receive_again, note)
            what = (
                f"upkeep, wave {order['wave']}" if "wave" in order else f"move to {order['pool']}"
            )
            holder = headers["foxtrestle-duty-holder"]
            token = int(headers["foxtrestle-fencing-token"])
            entry = (self.record.now(), order["machine"], holder, token, what, status)
            self.order_log.append(entry)
            self.record.write(
                f"machine interface: {order['machine']}: {what}, by {holder}, token {token}: {status}"
            )

        return serve

    async def _take_out_of_service(self, host: Any, pool: str, kind: str) -> None:
        if host.worker in self.workers:
            running = [
                f"{key.job}.{key.repetition}.{key.step}.{key.number}"
                for key, _ in self.workers[host.worker].running
            ]
            self.record.write(f"{host.name}: {kind} begins; tasks that die with it: {running}")
            self.terminate_worker(host.worker)
        host.worker = ""
        host.state = "upkeep" if kind == "maintain" else "moving"
        host.maintenance_count += kind == "maintain"
        await asyncio.sleep(UPKEEP_S if kind == "maintain" else MOVE_S)
        host.pool = pool
        host.state = "up"
        self.record.write(f"{host.name}: up in pool {pool}")
        if pool != self._reserve_pool:
            await self._start_worker(host)

    def note_start(self, worker: Any, order: dict[str, Any]) -> None:
        """See the order for a start before the runner does."""

    def note_hold(self, worker: Any, order: dict[str, Any]) -> None:
        """See a hold before the runner does."""

    def _build_worker(self, worker: Any) -> ASGIApp:
        app = super()._build_worker(worker)

        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            if scope["type"] != "http" or scope["method"] != "POST":
                await app(scope, receive, send)
                return
            body = await Request(scope, receive).body()
            order = json.loads(body)
            token = order.get("fencingToken", 0)
            if token in self.silent_tokens:
                await asyncio.sleep(3600)
            status = 0
            call = scope["path"].rpartition("/")[2]
            if call == "run-start":
                self.note_start(worker, order)
            elif call == "hold":
                self.note_hold(worker, order)

            async def receive_again() -> dict[str, Any]:
                return {"type": "http.request", "body": body, "more_body": False}

            async def note(message: Any) -> None:
                nonlocal status
                status = message.get("status", status)
                await send(message)

            await app(scope, receive_again, note)
            if call != "hold":
                self.record.write(
                    f"runner {worker.info.id} on {worker.info.host}: {call} {order['task']} "
                    f"run {order['runId']}, token {token}: {status}"
                )

        return serve


def find_free_port() -> int:
    with bind("127.0.0.1", 0) as probe:
        return int(probe.getsockname()[1])


class Node:
    """One machine of the system: the program of the deploy file as a process of its own."""

    def __init__(
        self, name: str, zone: str, folder: Path, platform: Platform, advice: str = ""
    ) -> None:
        self.name = name
        self.store = Link(platform.store_address)
        self.cloud = Link(platform.hosts_address)
        self._zone = zone
        self._folder = folder
        self._advice = advice
        self._front = 0
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        await self.store.listen()
        await self.cloud.listen()
        self._front = find_free_port()
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self._zone,
                front=self._front,
                ready=find_free_port(),
                control=find_free_port(),
                store=self.store.address,
                cloud=self.cloud.address,
                advice=self._advice,
            )
        )
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "src/foxtrestled_node.py",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "FOXTRESTLE_SETTINGS": str(settings)},
            )

    def cut(self) -> None:
        self.store.cut()
        self.cloud.cut()

    def heal(self) -> None:
        self.store.heal()
        self.cloud.heal()

    def freeze(self) -> None:
        assert self._process is not None
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        assert self._process is not None
        self._process.send_signal(signal.SIGCONT)

    async def stop(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
        await self.store.close()
        await self.cloud.close()

    async def call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        job: str,
        body: Any = None,
        prefix: str = "/q/",
    ) -> tuple[int, Any]:
        """Make a client's call; status 0 if there was no answer."""
        url = f"http://127.0.0.1:{self._front}{prefix}{job}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.request(
                method, url, json=body, headers={"Host": ROUTE_HOST}
            ) as response:
                text = await response.read()
                return response.status, json.loads(
                    text
                ) if response.status == 200 and text else None
        return 0, None


def run_case(record_path: Path, case: Callable[[Record, Path], Coroutine[Any, Any, int]]) -> int:
    """Run a case in a temporary folder; return its exit code, `NOT_RUN` if it failed by itself."""
    record = Record(record_path)
    record.write(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            return asyncio.run(asyncio.wait_for(case(record, Path(folder)), LIMIT_S))
        except Exception:
            traceback.print_exc()
            record.write("the case could not run")
            return NOT_RUN
