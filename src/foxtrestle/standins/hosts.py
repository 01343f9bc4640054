"""Stand-in of the platform's hosts: a lagging host list, worker agents and upstream runners.

All hosts of one stand-in share one HTTP application, which selects the host by the address that
received the request. A host that is down leaves its callers without a response.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, Final

import msgspec
from starlette.applications import Starlette
from starlette.middleware.gzip import GZipMiddleware
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from foxtrestle.host_client import WORKER_PORT, ListedHost, TaskReport, WorkerStatus
from foxtrestle.listener import bind, listen

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from starlette.requests import Request

    from foxtrestle.standins.keyvalue import KeyValueEngine

REFUSED_HEADER: Final = "runner-refused"
"""Header by which a runner reports that it did not start a request."""


class FakeTask:
    """A task on a stand-in worker."""

    def __init__(self, order: dict[str, Any], ends_at: float, lease_expires_at: float) -> None:
        """Create a running task that ends by itself at `ends_at`."""
        self.order = order
        """The decoded order that started the task."""
        self.ends_at = ends_at
        """Monotonic time at which the task is done, seconds."""
        self.lease_expires_at = lease_expires_at
        """Monotonic time at which the task is stopped unless its lease is renewed, seconds."""
        self.state = "running"
        """State as in `TaskReport`."""


class FakeHost:
    """One stand-in host with its worker agent and its runners."""

    def __init__(self, listed: ListedHost, slots: int = 8) -> None:
        """Create a host that is up."""
        self.listed = listed
        """Entry of the host in the host list."""
        self.slots = slots
        """Maximum number of requests processed at once."""
        self.down = False
        """Whether the host leaves every request without a response."""
        self.boot = 1
        """Number of the current boot."""
        self.draining = False
        """Whether the host accepts no new work."""
        self.in_flight = 0
        """Requests being processed."""
        self.delay_s = 0.0
        """Seconds added to the duration of each request."""
        self.failing = False
        """Whether every request and task fails immediately."""
        self.epochs: dict[str, int] = {}
        """Newest epoch received for each shard."""
        self.tasks: dict[str, FakeTask] = {}
        """Tasks by id."""
        self.cut_requests = 0
        """Requests that were in flight when the host went down."""

    def accept_epoch(self, shard: str, epoch: int) -> bool:
        """Record an order's epoch; return False if a newer epoch has been received."""
        if epoch < self.epochs.get(shard, 0):
            return False
        self.epochs[shard] = epoch
        return True

    def fail(self) -> None:
        """Take the host down; requests in flight and running tasks are lost."""
        self.down = True
        self.cut_requests += self.in_flight
        self.in_flight = 0
        self.tasks.clear()

    def recover(self) -> None:
        """Bring the host up again with a new boot."""
        self.down = False
        self.draining = False
        self.boot += 1
        self.in_flight = 0


class FakeFleet:
    """Stand-in hosts and the platform's list of them."""

    def __init__(
        self,
        hosts: Iterable[ListedHost],
        *,
        list_lag_s: float = 1.0,
        reboot_s: float = 0.5,
        service_s: float = 0.005,
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create hosts that are all up.

        Args:
            hosts: Entries of the host list.
            list_lag_s: Seconds by which the host list lags.
            reboot_s: Seconds a reboot takes.
            service_s: Mean duration of a request, seconds.
            seed: Seed of the request durations.
            clock: Monotonic clock, seconds.
        """
        self.hosts = {host.name: FakeHost(host) for host in hosts}
        """Hosts by name."""
        self.executions: Counter[str] = Counter()
        """Number of executions by operation key."""
        self.served = 0
        """Number of requests answered."""
        self._by_address = {host.listed.address: host for host in self.hosts.values()}
        self._lag_s = list_lag_s
        self._reboot_s = reboot_s
        self._service_s = service_s
        self._rng = random.Random(seed)
        self._clock = clock
        self._history: list[tuple[float, list[ListedHost]]] = []
        self._reboots: set[asyncio.Task[None]] = set()

    def list_hosts(self) -> list[ListedHost]:
        """Return the host list as it was `list_lag_s` seconds ago."""
        now = self._clock()
        live = [host.listed for host in self.hosts.values() if not host.down]
        self._history.append((now, live))
        while len(self._history) > 1 and self._history[1][0] <= now - self._lag_s:
            self._history.pop(0)
        return self._history[0][1]

    def set_leaving(self, name: str) -> None:
        """Set the status of a host in the list to leaving."""
        host = self.hosts[name]
        host.listed = msgspec.structs.replace(host.listed, status="leaving")

    def fail_rack(self, rack: str) -> list[FakeHost]:
        """Take every host of a rack down."""
        failed_hosts = [host for host in self.hosts.values() if host.listed.rack == rack]
        for host in failed_hosts:
            host.fail()
        return failed_hosts

    def build_platform_app(self, engine: KeyValueEngine) -> Starlette:
        """Build the platform's HTTP application: key-value service and host list."""
        from foxtrestle.standins.keyvalue import build_routes  # noqa: PLC0415

        async def hosts(request: Request) -> Response:
            body = msgspec.json.encode(self.list_hosts())
            tag = hashlib.sha256(body).hexdigest()[:16]
            if request.headers.get("if-none-match") == tag:
                return Response(status_code=304)
            return Response(body, media_type="application/json", headers={"ETag": tag})

        app = Starlette(routes=[Route("/hosts", hosts), *build_routes(engine)])
        app.add_middleware(GZipMiddleware)
        return app

    def build_workers(self) -> Starlette:
        """Build the HTTP application of the worker agents."""
        return Starlette(
            routes=[
                Route("/status", self._status),
                Route("/drain", self._make_order_handler(self._drain), methods=["POST"]),
                Route("/resume", self._make_order_handler(self._resume), methods=["POST"]),
                Route("/reboot", self._make_order_handler(self._reboot), methods=["POST"]),
                Route(
                    "/tasks/{task:path}/stop",
                    self._make_order_handler(self._stop),
                    methods=["POST"],
                ),
                Route("/tasks/{task:path}", self._make_order_handler(self._start), methods=["PUT"]),
            ]
        )

    async def run_request(self, scope: Any, receive: Any, send: Any) -> None:
        """Process one request as the runner of the addressed host (an ASGI application)."""
        host = self._by_address[scope["server"][0]]
        body = await _read_body(receive)
        if host.down:
            await asyncio.sleep(3600)
        headers = dict(scope["headers"])
        if host.draining or host.in_flight >= host.slots:
            reason = b"draining" if host.draining else b"slots"
            await _send_response(send, 503, b"refused", [(REFUSED_HEADER.encode(), reason)])
            return
        key = headers.get(b"idempotency-key", b"").decode()
        if key:
            self.executions[key] += 1
        if host.failing:
            await _send_response(send, 500, b"failed", [])
            return
        boot = host.boot
        host.in_flight += 1
        try:
            await asyncio.sleep(self._rng.expovariate(1 / self._service_s) + host.delay_s)
        finally:
            if host.boot == boot and not host.down:
                host.in_flight -= 1
        if host.down or host.boot != boot:
            await asyncio.sleep(3600)
        self.served += 1
        path = scope["path"].encode()
        content = b"%s %s %s" % (host.listed.name.encode(), path, body[:200])
        await _send_response(send, 200, content, [])

    async def _status(self, request: Request) -> Response:
        host = await self._find_host(request)
        self._expire_tasks(host)
        tasks = [
            TaskReport(name, task.state, task.order["cores"] * 0.5, task.order["memory_gb"] * 0.5)  # type: ignore[arg-type]
            for name, task in host.tasks.items()
        ]
        status = WorkerStatus(host.boot, host.draining, host.in_flight, tasks)
        return Response(msgspec.json.encode(status), media_type="application/json")

    def _make_order_handler(self, apply: Callable[[FakeHost, dict[str, Any], str], None]) -> Any:
        async def handle(request: Request) -> Response:
            host = await self._find_host(request)
            order = msgspec.json.decode(await request.body())
            if not host.accept_epoch(order["shard"], order["epoch"]):
                return JSONResponse({"error": "older epoch"}, status_code=409)
            apply(host, order, request.path_params.get("task", ""))
            return JSONResponse({})

        return handle

    def _drain(self, host: FakeHost, order: dict[str, Any], task: str) -> None:
        host.draining = True

    def _resume(self, host: FakeHost, order: dict[str, Any], task: str) -> None:
        host.draining = False

    def _reboot(self, host: FakeHost, order: dict[str, Any], task: str) -> None:
        if order["boot"] == host.boot and not host.down:
            host.fail()
            reboot = asyncio.create_task(self._finish_reboot(host))
            self._reboots.add(reboot)
            reboot.add_done_callback(self._reboots.discard)

    async def _finish_reboot(self, host: FakeHost) -> None:
        await asyncio.sleep(self._reboot_s)
        host.recover()

    def _start(self, host: FakeHost, order: dict[str, Any], task: str) -> None:
        now = self._clock()
        existing = host.tasks.get(task)
        if existing is not None:
            existing.lease_expires_at = now + order["lease_s"]
            return
        if host.failing:
            host.tasks[task] = FakeTask(order, now, now)
            host.tasks[task].state = "failed"
            return
        seconds = float(order["command"].removeprefix("sleep ") or 1)
        host.tasks[task] = FakeTask(order, now + seconds, now + order["lease_s"])

    def _stop(self, host: FakeHost, order: dict[str, Any], task: str) -> None:
        existing = host.tasks.get(task)
        if existing is not None and existing.state == "running":
            existing.state = "stopped"

    def _expire_tasks(self, host: FakeHost) -> None:
        now = self._clock()
        for task in host.tasks.values():
            if task.state == "running" and now >= task.lease_expires_at:
                task.state = "stopped"
            elif task.state == "running" and now >= task.ends_at:
                task.state = "done"

    async def _find_host(self, request: Request) -> FakeHost:
        host = self._by_address[request.scope["server"][0]]
        if host.down:
            await asyncio.sleep(3600)
        return host

    @asynccontextmanager
    async def serve(self, runner_ports: Iterable[int]) -> AsyncIterator[None]:
        """Listen on the addresses of all workers and runners until the context ends."""
        addresses = list(self._by_address)
        agents = [bind(address, WORKER_PORT) for address in addresses]
        runners = [bind(address, port) for address in addresses for port in runner_ports]
        async with listen(self.build_workers(), agents), listen(self.run_request, runners):
            yield
        for task in self._reboots:
            task.cancel()


async def _read_body(receive: Any) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def _send_response(
    send: Any, status: int, body: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    length = (b"content-length", str(len(body)).encode())
    start = {"type": "http.response.start", "status": status, "headers": [length, *headers]}
    await send(start)
    await send({"type": "http.response.body", "body": body})


def make_hosts(
    number: int,
    *,
    zones: list[str],
    per_rack: int = 4,
    cores: int = 32,
    memory_gb: int = 128,
    subnet: int = 1,
) -> list[ListedHost]:
    """Make the entries of a host list: racks of equal size, assigned to the zones in turn.

    The addresses of the hosts are on the loopback network, from `127.0.<subnet>.1` on.
    """
    hosts = []
    for index in range(number):
        rack = index // per_rack
        zone = zones[rack % len(zones)]
        address = f"127.0.{subnet + index // 200}.{1 + index % 200}"
        hosts.append(
            ListedHost(f"h{index:04d}", address, f"r{rack:03d}", zone, "main", cores, memory_gb)
        )
    return hosts
