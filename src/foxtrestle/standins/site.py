"""Stand-in of the users' platform: store, workers and hosts over HTTP, with injected faults.

One process serves everything on loopback: the store and the host list on one address each, and
every worker on its own address.
"""

from __future__ import annotations

import asyncio
import base64
import random
import time
from collections import Counter
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Any, Final

import msgspec
from starlette.applications import Starlette
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from foxtrestle.listener import bind, listen
from foxtrestle.platform.jobs import format_task, parse_task
from foxtrestle.scheduling.model import Shape, TaskKey, WorkerInfo
from foxtrestle.standins.keyvalue import KeyValueEngine
from foxtrestle.standins.worker import OrderRejected, SimulatedWorker
from foxtrestle.store import Compacted, LeaseExpired, StoreError, Transaction, TransactionConflict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from starlette.requests import Request
    from uvicorn import Server

    from foxtrestle.scheduling.model import EndKind, WorkerReport
    from foxtrestle.store import Record

LOOPBACK: Final = "127.0.0.1"
"""Address on which the store, the host list and the workers listen."""
WORKER_CAPACITY: Final = Shape(32_000, 131_072, 0)
"""Capacity of a worker: 32 cores, 128 GB."""
CRASH_AFTER_S: Final = 0.01
"""Seconds that a task runs before it crashes its worker; as on the users' platform."""
MAX_PAGE_HOSTS: Final = 500
"""Maximum number of hosts on a page of the host list."""
POLL_S: Final = 0.01
"""Seconds between two checks of a long-polling call."""


class SiteFaults:
    """Faults that are injected into the platform; set by tests."""

    def __init__(self) -> None:
        """Create a set of faults that are all inactive."""
        self.store_down = False
        """Whether the store rejects every call with status 503."""
        self.store_silent = False
        """Whether the store leaves every call without a response."""
        self.lost_write_share = 0.0
        """Fraction of transactions that take effect and get no response."""
        self.stalled_watches = False
        """Whether watches return no changes, without an error."""
        self.unresponsive_workers: set[str] = set()
        """Ids of workers that do not answer; their runs continue."""
        self.unpowered_zones: set[str] = set()
        """Zones whose workers do not answer and do not write their entries."""
        self.late_start_share = 0.0
        """Fraction of starts that get no response and are executed later, by the incarnation that
        is running then; one that has not been called yet accepts any token."""
        self.late_start_delay_s = 0.5
        """Delay of a start that is executed later, seconds."""
        self.late_acknowledgement_share = 0.0
        """Fraction of lease renewals with an acknowledgement that get no response and are executed
        later, as late starts are."""
        self.late_acknowledgement_delay_s = 0.5
        """Delay of a lease renewal that is executed later, seconds."""
        self.long_poll_delay_s = 0.0
        """Seconds that a long-polling lease renewal takes to reach its worker; the incarnation that
        is running by then receives it."""
        self.connections_end_with_crash = False
        """Whether the connections of a crashed worker are reset once it is back, and calls on
        connections that were opened while it was away are executed by its next incarnation.
        Otherwise, calls on any connection reach the incarnation that is there, and those that
        arrive while the worker is away get no response."""
        self.late_answer_s = 0.0
        """Seconds by which the response to a lease renewal that reports ends arrives late, even if
        the incarnation that sent it has ended meanwhile."""
        self.lost_order_answer_share = 0.0
        """Fraction of host orders that take effect and get no response."""
        self.rate_limited_lists = 0
        """How many of the next requests for host list pages exceed the rate limit."""
        self.rate_limited_orders = 0
        """How many of the next host orders exceed the rate limit."""
        self.refuses_orders = False
        """Whether the platform refuses every order for hosts as `busy`."""
        self.hosts_down = False
        """Whether the host list rejects every call with status 503."""
        self.hosts_silent = False
        """Whether calls about hosts get no response and are not executed."""
        self.crashing_tasks: set[TaskKey] = set()
        """Tasks that crash each worker that starts them."""
        self.reuses_worker_ids = False
        """Whether the next worker of a host has the id and address of the host's former worker."""
        self.host_recovery_s = 0.3
        """Seconds after which the host of a crashed worker gets a new worker."""


class SimulatedHost(msgspec.Struct):
    """A host of the stand-in."""

    name: str
    """Name of the host."""
    pool: str
    """Pool that the host is in."""
    zone: str = "z"
    """Availability zone."""
    state: str = "up"
    """State as in the platform's host list."""
    worker: str = ""
    """Id of the host's worker; empty while the host has none."""
    maintenance_count: int = 0
    """Number of times that the host was maintained."""
    wave: int = 0
    """Wave for which the host was last maintained; 0 for none."""
    waves: set[int] = msgspec.field(default_factory=set)
    """All waves for which the host was maintained."""


class Site:
    """State of the simulated platform."""

    def __init__(
        self,
        *,
        capacity: Shape = WORKER_CAPACITY,
        describe: Callable[[TaskKey], tuple[Shape, float, EndKind]] | None = None,
        reserve_pool: str = "off",
        seed: int = 0,
    ) -> None:
        """Create a platform without hosts.

        Args:
            capacity: Capacity of every worker.
            describe: Returns the size of a task, the duration of its work in milliseconds, and how
                it ends.
            reserve_pool: Pool whose hosts are powered off.
            seed: Seed of the faults.
        """
        self.faults = SiteFaults()
        """Faults that are injected."""
        self.engine = KeyValueEngine(writes_per_s=0, reads_per_s=0)
        """State of the store."""
        self.workers: dict[str, SimulatedWorker] = {}
        """Workers that are not terminated, by id."""
        self.terminated_workers: list[SimulatedWorker] = []
        """Workers that are terminated."""
        self.hosts: dict[str, SimulatedHost] = {}
        """Hosts by name."""
        self.page_request_count = 0
        """Number of requests for host list pages."""
        self.calls: Counter[str] = Counter()
        """Number of calls by kind."""
        self.host_orders: list[tuple[str, str, int]] = []
        """Executed host orders: kind, host, fencing token."""
        self.store_address = ""
        """Address of the store; empty until the store is served."""
        self.hosts_address = ""
        """Address of the host list; empty until the list is served."""
        self._capacity = capacity
        self._describe = describe or (lambda key: (Shape(1000, 100, 0), 50.0, "done"))
        self._reserve_pool = reserve_pool
        self._rng = random.Random(seed)
        self._stack: AsyncExitStack | None = None
        self._servers: dict[str, Server] = {}
        self._worker_count = 0
        self._last_start_ms = 0
        self.late_starts: set[tuple[str, TaskKey, int]] = set()
        """Starts that are executed late, as worker id, task and run."""
        self.late_acknowledgements: set[str] = set()
        """Ids of the workers that have executed, or will execute, an acknowledgement late."""
        self._background_tasks: set[asyncio.Task[None]] = set()

    # Operators.

    def write(self, key: str, value: Any) -> None:
        """Write a key as operators do."""
        self.engine.commit(Transaction({}, {key: msgspec.json.encode(value)}))

    def drain_zone(self, zone: str) -> None:
        """Request as an operator that a zone gets no new runs."""
        self.write(f"op/evacuate/{zone}", {})

    def cancel_zone_drain(self, zone: str) -> None:
        """Remove the request to drain a zone."""
        self.engine.commit(Transaction({}, {}, (f"op/evacuate/{zone}",)))

    # Workers and hosts.

    async def add_host(self, name: str, pool: str, zone: str = "z") -> None:
        """Add a host; it gets a worker unless its pool is powered off."""
        host = SimulatedHost(name, pool, zone)
        self.hosts[name] = host
        if pool != self._reserve_pool:
            await self._start_worker(host)

    async def _start_worker(self, host: SimulatedHost) -> None:
        assert self._stack is not None
        former = self._find_former_worker(host) if self.faults.reuses_worker_ids else None
        if former is not None:
            self._restart_former_worker(former, host)
            return
        self._worker_count += 1
        worker_id = f"i-{self._worker_count:04d}"
        socket = bind(LOOPBACK, 0)
        address = f"{LOOPBACK}:{socket.getsockname()[1]}"
        info = WorkerInfo(
            worker_id, host.pool, address, host.zone, False, self._capacity, ("a", "r1"), host.name,
            self._choose_start_ms(),
        )  # fmt: skip
        worker = SimulatedWorker(info, lambda: time.monotonic() * 1000, self._describe)
        app = self._build_worker(worker)
        server = await self._stack.enter_async_context(listen(app, [socket]))
        self._servers[worker_id] = server
        self.workers[worker_id] = worker
        host.worker = worker_id
        self.write_entry(worker)

    def _find_former_worker(self, host: SimulatedHost) -> SimulatedWorker | None:
        return next(
            (worker for worker in self.terminated_workers if worker.info.host == host.name), None
        )

    def _restart_former_worker(self, worker: SimulatedWorker, host: SimulatedHost) -> None:
        """Start the next incarnation of a host's former worker once the host is back in service."""
        self.terminated_workers.remove(worker)
        worker.info = msgspec.structs.replace(worker.info, pool=host.pool)
        worker.terminated = False
        worker.restart(self._choose_start_ms())
        self.workers[worker.info.id] = worker
        host.worker = worker.info.id
        self.write_entry(worker)

    def _choose_start_ms(self) -> int:
        """Return the wall time in milliseconds, at least 1 ms after the previous start."""
        self._last_start_ms = max(int(time.time() * 1000), self._last_start_ms + 1)
        return self._last_start_ms

    async def restart_worker(
        self, worker_id: str, away_s: float = 0.0, *, updates_entry: bool = True
    ) -> None:
        """Crash a worker, and start it again under its id and address, without any state.

        Args:
            worker_id: Id of the worker.
            away_s: Seconds for which the worker does not answer before it starts again.
            updates_entry: Whether the worker's entry is written at once; otherwise the entry of
                the former incarnation stays.
        """
        worker = self.workers[worker_id]
        if worker.down:
            # The restart after an earlier crash is still pending and must not be brought forward.
            return
        worker.crash()
        former_connections = set(self._servers[worker_id].server_state.connections)
        crashed_incarnation = worker.incarnation
        await asyncio.sleep(away_s)
        if worker.terminated or worker.incarnation != crashed_incarnation:
            # The host was ordered away meanwhile, and its next worker may have begun already.
            return
        if self.faults.connections_end_with_crash:
            self._reset_connections(worker_id, former_connections)
        worker.restart(self._choose_start_ms())
        if updates_entry:
            self.write_entry(worker)

    def _reset_connections(self, worker_id: str, former: set[Any]) -> None:
        """Reset the connections that a crashed worker process had accepted."""
        for connection in former & self._servers[worker_id].server_state.connections:
            connection.transport.abort()

    def write_entry(self, worker: SimulatedWorker, state: str = "ready") -> None:
        """Write a worker's entry."""
        info = worker.info
        entry = {
            "service": info.pool,
            "address": info.address,
            "zone": info.zone,
            "state": state,
            "capacity": {
                "cpu": info.capacity.cpu,
                "memMb": info.capacity.memory_mb,
                "gpu": info.capacity.gpu,
            },
            "labels": list(info.labels),
            "machine": info.host,
            "born": worker.incarnation_started_ms,
        }
        self.write(f"servers/{info.id}", entry)

    async def write_entries(self, every_s: float) -> None:
        """Write each running worker's entry every `every_s` seconds, in turn, until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(every_s / max(1, len(self.workers)))
            number += 1
            workers = list(self.workers.values())
            if not workers:
                continue
            worker = workers[number % len(workers)]
            if not worker.down and worker.info.zone not in self.faults.unpowered_zones:
                self.write_entry(worker)

    def terminate_worker(self, worker_id: str, *, removes_entry: bool = True) -> None:
        """Terminate a worker and everything that runs there."""
        worker = self.workers.pop(worker_id)
        worker.terminated = True
        worker.running.clear()
        self.terminated_workers.append(worker)
        if removes_entry:
            self.engine.commit(Transaction({}, {}, (f"servers/{worker_id}",)))

    def crash(self, worker_id: str) -> None:
        """Terminate a worker without notice: its entry stays, its host is down for a while."""
        self.terminate_worker(worker_id, removes_entry=False)
        host = next(host for host in self.hosts.values() if host.worker == worker_id)
        host.worker = ""
        host.state = "down"
        self._background_tasks.add(asyncio.create_task(self._recover_host(host)))

    async def _crash_after_start(self, worker: SimulatedWorker) -> None:
        """Crash a worker just after it has answered a start."""
        await asyncio.sleep(CRASH_AFTER_S)
        if not worker.terminated:
            self.crash(worker.info.id)

    async def _recover_host(self, host: SimulatedHost) -> None:
        await asyncio.sleep(self.faults.host_recovery_s)
        host.state = "up"
        await self._start_worker(host)

    def list_workers(self) -> list[SimulatedWorker]:
        """List all workers, including those that are terminated."""
        return [*self.workers.values(), *self.terminated_workers]

    # Serving.

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[Site]:
        """Serve the store and the host list until the context ends."""
        async with AsyncExitStack() as stack:
            self._stack = stack
            store, hosts = bind(LOOPBACK, 0), bind(LOOPBACK, 0)
            self.store_address = f"{LOOPBACK}:{store.getsockname()[1]}"
            self.hosts_address = f"{LOOPBACK}:{hosts.getsockname()[1]}"
            await stack.enter_async_context(listen(self._build_store(), [store]))
            await stack.enter_async_context(listen(self._build_hosts(), [hosts]))
            yield self

    def _build_store(self) -> Starlette:
        def route(
            path: str, method: str, handle: Callable[[Request], Awaitable[Response]]
        ) -> Route:
            async def answer(request: Request) -> Response:
                self.calls[path] += 1
                if self.faults.store_silent:
                    await asyncio.sleep(3600)
                if self.faults.store_down:
                    return JSONResponse({"error": "try later"}, status_code=503)
                try:
                    return await handle(request)
                except Compacted:
                    return Response(status_code=410)
                except StoreError as error:
                    return JSONResponse({"error": str(error)}, status_code=503)

            return Route(f"/-/{path}", answer, methods=[method])

        return Starlette(
            routes=[
                route("kv-key", "GET", self._get),
                route("kv-range", "GET", self._range),
                route("kv-watch", "GET", self._watch),
                route("kv-txn", "POST", self._transact),
                route("kv-lease", "POST", self._grant),
                route("kv-keep/{lease:int}", "POST", self._keep_alive),
                route("kv-lease-end/{lease:int}", "DELETE", self._end_lease),
            ]
        )

    async def _get(self, request: Request) -> Response:
        record = self.engine.get(request.query_params["tlsKey"])
        if record is None:
            return Response(status_code=404)
        return JSONResponse(_encode_item(record) | {"at": self.engine.revision})

    async def _range(self, request: Request) -> Response:
        after = request.query_params.get("dependsOn", "")
        listing = self.engine.scan(request.query_params["pathPrefix"])
        records = [record for record in listing.records if record.key > after]
        page = [_encode_item(record) for record in records[:500]]
        return JSONResponse({"items": page, "more": len(records) > 500, "at": listing.revision})

    async def _watch(self, request: Request) -> Response:
        query = request.query_params
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changes = self.engine.list_changes(query["pathPrefix"], int(query["dependsOn"]))
            if self.faults.stalled_watches:
                changes = []
            if changes or time.monotonic() > deadline:
                break
            await asyncio.sleep(POLL_S)
        events = [
            _encode_item(change.record)
            if change.record is not None
            else {"tlsKey": change.key, "revision": change.revision, "gone": True}
            for change in changes
        ]
        at = int(query["dependsOn"]) if self.faults.stalled_watches else self.engine.revision
        return JSONResponse({"events": events, "at": at})

    async def _transact(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body())
        put = body.get("put", [])
        transaction = Transaction(
            conditions={row["tlsKey"]: row["revision"] for row in body.get("expectedRev", [])},
            puts={row["tlsKey"]: base64.b64decode(row["value"]) for row in put},
            removals=tuple(body.get("remove", [])),
            lease=max((row.get("lease", 0) for row in put), default=0),
            leased=frozenset(row["tlsKey"] for row in put if row.get("lease")),
        )
        entries = len(transaction.conditions) + len(transaction.puts) + len(transaction.removals)
        if entries > 32:
            return JSONResponse({"error": "over 32 entries"}, status_code=400)
        try:
            revision = self.engine.commit(transaction)
        except TransactionConflict as conflict:
            items = [_encode_item(record) for record in conflict.records.values()]
            return JSONResponse({"items": items}, status_code=412)
        except LeaseExpired:
            return Response(status_code=404)
        if self._rng.random() < self.faults.lost_write_share:
            await asyncio.sleep(3600)
        return JSONResponse({"revision": revision})

    async def _grant(self, request: Request) -> Response:
        ttl_ms = msgspec.json.decode(await request.body())["ttl_ms"]
        return JSONResponse({"lease": self.engine.grant(ttl_ms / 1000), "ttl_ms": ttl_ms})

    async def _keep_alive(self, request: Request) -> Response:
        renewed = self.engine.keep_alive(request.path_params["lease"])
        return JSONResponse({"ttl_ms": 0}) if renewed else Response(status_code=404)

    async def _end_lease(self, request: Request) -> Response:
        self.engine.revoke(request.path_params["lease"])
        return JSONResponse({})

    def _build_worker(self, worker: SimulatedWorker) -> Starlette:
        def route(
            path: str, handle: Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]
        ) -> Route:
            async def serve(request: Request) -> Response:
                self.calls[path] += 1
                body = msgspec.json.decode(await request.body())
                if body.get("waitMs"):
                    await asyncio.sleep(self.faults.long_poll_delay_s)
                if self.faults.connections_end_with_crash and worker.down:
                    await self._wait_for_restart(worker, request)
                if self._is_unresponsive(worker):
                    await asyncio.sleep(3600)
                target = request.headers.get("Foxtrestle-Target-Instance", worker.info.id)
                if worker.terminated or target != worker.info.id:
                    return Response(status_code=421)
                incarnation = worker.incarnation
                try:
                    answer, status = await handle(body), 200
                except OrderRejected as refusal:
                    answer, status = {"reason": str(refusal)}, 409
                clock = {"clockMs": int(worker.read_clock_ms())}
                if answer.get("endTime") and self.faults.late_answer_s:
                    await asyncio.sleep(self.faults.late_answer_s)
                    return JSONResponse(clock | answer, status_code=status)
                unpowered = worker.info.zone in self.faults.unpowered_zones
                if worker.down or unpowered or worker.incarnation != incarnation:
                    # The incarnation that received the call cannot respond any more.
                    await asyncio.sleep(3600)
                if worker.terminated:
                    return Response(status_code=421)
                return JSONResponse(clock | answer, status_code=status)

            return Route(f"/-/{path}", serve, methods=["POST"])

        async def start(body: dict[str, Any]) -> dict[str, Any]:
            def start_run() -> None:
                if worker.down:
                    return
                worker.start(
                    parse_task(body["task"]),
                    body["runId"],
                    body["fencingToken"],
                    body["expiresMs"],
                    body["spec"],
                )

            if self._rng.random() < self.faults.late_start_share:
                late_start = (worker.info.id, parse_task(body["task"]), body["runId"])
                self.late_starts.add(late_start)
                await self._execute_late("start", start_run, self.faults.late_start_delay_s)
            start_run()
            if parse_task(body["task"]) in self.faults.crashing_tasks:
                self._background_tasks.add(asyncio.create_task(self._crash_after_start(worker)))
            return {}

        async def stop(body: dict[str, Any]) -> dict[str, Any]:
            worker.stop(parse_task(body["task"]), body["runId"], body["fencingToken"])
            return {}

        async def hold(body: dict[str, Any]) -> dict[str, Any]:
            return await self._hold(worker, body)

        async def report_health(request: Request) -> Response:
            self.calls["health"] += 1
            if self._is_unresponsive(worker):
                await asyncio.sleep(3600)
            return Response()

        return Starlette(
            routes=[
                route("run-start", start),
                route("run-stop", stop),
                route("hold", hold),
                Route("/health", report_health),
            ]
        )

    async def _wait_for_restart(self, worker: SimulatedWorker, request: Request) -> None:
        """Hold a call to a worker that is away until its next incarnation can carry it out."""
        while worker.down:  # noqa: ASYNC110 - workers have no event for it
            await asyncio.sleep(POLL_S)
        if await request.is_disconnected():
            # The caller has given the call up, or the connection was one of the former process.
            await asyncio.sleep(3600)

    def _is_unresponsive(self, worker: SimulatedWorker) -> bool:
        faults = self.faults
        unresponsive = worker.info.id in faults.unresponsive_workers
        return worker.down or unresponsive or worker.info.zone in faults.unpowered_zones

    async def _hold(self, worker: SimulatedWorker, body: dict[str, Any]) -> dict[str, Any]:
        """Carry out the renewal of a worker's lease."""

        def renew_lease() -> WorkerReport:
            return worker.renew_lease(body["fencingToken"], body["lastSeen"], body.get("expiresMs"))

        def renew_lease_late() -> None:
            if not worker.down:
                renew_lease()

        share = self.faults.late_acknowledgement_share
        if share and body["lastSeen"] and self._rng.random() < share:
            self.late_acknowledgements.add(worker.info.id)
            await self._execute_late(
                "acknowledgement", renew_lease_late, self.faults.late_acknowledgement_delay_s
            )
        report = renew_lease()
        deadline = time.monotonic() + body.get("waitMs", 0) / 1000
        while not report.ends and time.monotonic() < deadline and not worker.terminated:
            await asyncio.sleep(POLL_S)
            report = worker.report()
        return {
            "born": report.incarnation_started_ms,
            "running": [
                [format_task(task.key), task.run, task.checkpoint, task.percent, task.usage]
                for task in report.running
            ],
            "endTime": [
                [end.number, format_task(end.key), end.run, end.kind, end.checkpoint]
                for end in report.ends
            ],
        }

    async def _execute_late(self, kind: str, execute: Callable[[], None], delay_s: float) -> None:
        """Execute a call later, and never answer it."""

        async def execute_late() -> None:
            await asyncio.sleep(delay_s)
            try:
                execute()
            except OrderRejected:
                self.calls[f"late {kind} refused"] += 1

        self._background_tasks.add(asyncio.create_task(execute_late()))
        await asyncio.sleep(3600)

    def _build_hosts(self) -> Starlette:
        async def list_hosts(request: Request) -> Response:
            self.page_request_count += 1
            if self.faults.hosts_silent:
                await asyncio.sleep(3600)
            if self.faults.hosts_down:
                return Response(status_code=503)
            if self.faults.rate_limited_lists:
                self.faults.rate_limited_lists -= 1
                return Response(status_code=429)
            offset = int(request.query_params.get("pageToken", "0"))
            remaining = list(self.hosts.values())[offset:]
            machines = [
                {
                    "machine": host.name,
                    "pool": host.pool,
                    "state": host.state,
                    "zone": host.zone,
                    "capacity": {
                        "cpu": self._capacity.cpu,
                        "memMb": self._capacity.memory_mb,
                        "gpu": 0,
                    },
                    "id": host.worker or None,
                }
                for host in remaining[:MAX_PAGE_HOSTS]
            ]
            next_token = str(offset + MAX_PAGE_HOSTS) if len(remaining) > MAX_PAGE_HOSTS else None
            return JSONResponse({"machines": machines, "nextToken": next_token})

        async def order(request: Request) -> Response:
            self.calls["order"] += 1
            if self.faults.hosts_silent:
                await asyncio.sleep(3600)
            if self.faults.rate_limited_orders:
                self.faults.rate_limited_orders -= 1
                return Response(status_code=429)
            body = msgspec.json.decode(await request.body())
            host = self.hosts.get(body["machine"])
            if host is None:
                return Response(status_code=400)
            token = int(request.headers["Foxtrestle-Fencing-Token"])
            if body.get("wave") in host.waves or body.get("pool") == host.pool:
                # A repeated order gets the same response as a new one.
                return JSONResponse({})
            if host.state != "up" or self.faults.refuses_orders:
                return JSONResponse({"reason": "busy"}, status_code=409)
            kind = "maintain" if "wave" in body else "move"
            if "wave" in body:
                host.wave = body["wave"]
                host.waves.add(host.wave)
            self.host_orders.append((kind, host.name, token))
            task = asyncio.create_task(
                self._take_out_of_service(host, body.get("pool", host.pool), kind)
            )
            self._background_tasks.add(task)
            if self._rng.random() < self.faults.lost_order_answer_share:
                await asyncio.sleep(3600)
            return JSONResponse({})

        return Starlette(
            routes=[
                Route("/-/machines", list_hosts),
                Route("/-/machine-move", order, methods=["POST"]),
                Route("/-/machine-upkeep", order, methods=["POST"]),
            ]
        )

    async def _take_out_of_service(self, host: SimulatedHost, pool: str, kind: str) -> None:
        if host.worker in self.workers:
            self.terminate_worker(host.worker)
        host.worker = ""
        host.state = "upkeep" if kind == "maintain" else "moving"
        host.maintenance_count += kind == "maintain"
        await asyncio.sleep(0.1)
        host.pool = pool
        host.state = "up"
        if pool != self._reserve_pool:
            await self._start_worker(host)


def _encode_item(record: Record) -> dict[str, Any]:
    value = base64.b64encode(record.value).decode()
    return {"tlsKey": record.key, "value": value, "revision": record.revision}
