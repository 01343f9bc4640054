"""The daemon process of one entry host: creates and connects its parts; all daemons are equal."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
import uuid
from collections import Counter
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import eliot
from returns.result import Failure

from foxtrestle.configuration import Configuration
from foxtrestle.control.log import log_libraries
from foxtrestle.dispatch import Dispatcher
from foxtrestle.errors import FoxtrestleError
from foxtrestle.events import HybridLogicalClock, Timeline
from foxtrestle.fleet_shard import FleetShard, ShardContext
from foxtrestle.gossip import Gossip
from foxtrestle.host_client import HostListClient, PlatformError, WorkerAgents
from foxtrestle.http_store import HttpStore
from foxtrestle.invariant_checks import InvariantChecks
from foxtrestle.job_shard import JobShard
from foxtrestle.listener import bind, listen
from foxtrestle.listening.admission import Admission
from foxtrestle.listening.limits import (
    CONNECTION_BYTES,
    LARGE_BUFFER_BYTES,
    MAX_STATUS_CONNECTIONS,
    TLS_CONNECTION_BYTES,
    ProcessLimits,
    RequestLimits,
    plan_process_limits,
    read_descriptor_limit,
    read_machine_memory_mb,
)
from foxtrestle.listening.policy import ListenerPolicy
from foxtrestle.membership import Membership
from foxtrestle.messages import (
    Claim,
    ConfigurationReply,
    ConfigurationRequest,
    Operation,
    RangeHolding,
    RunnerLoad,
    Seal,
    Status,
)
from foxtrestle.metrics import Metrics, read_process
from foxtrestle.operation_router import RANGE_SHARD_PREFIX, OperationRouter
from foxtrestle.operations import RANGE_COUNT, WitnessClaims
from foxtrestle.peers import DaemonIdentity, PeerLinks, PeerServer
from foxtrestle.proxy import Proxy, encode_caller_refusal
from foxtrestle.range_shard import RangeShard, choose_witnesses
from foxtrestle.ranges import OwnedRange, RangeContext, handle_witness_request
from foxtrestle.records import (
    CONFIGURATION_KEY,
    FLEET_PREFIX,
    SHARED_PREFIX,
    FleetRecord,
    MemberRecord,
    decode_record,
)
from foxtrestle.runner_discovery import list_runners
from foxtrestle.settings import read_settings
from foxtrestle.shards import HolderRecord, ShardHolder
from foxtrestle.store import Mirror, StoreError
from foxtrestle.upstream import Upstream

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from foxtrestle.settings import Settings
    from foxtrestle.shards import ShardWork

MAX_STATUS_LOADS: Final = 8
"""Maximum number of runners, the busiest first, whose load one status reports."""
JOB_SHARD_PREFIX: Final = "jobs/"
FLEET_SHARD_PREFIX: Final = "fleets/"


class Daemon:
    """One daemon: its parts and its state."""

    def __init__(self, settings: Settings) -> None:
        """Create the parts that need neither an event loop nor sockets."""
        self.settings = settings
        """Settings of the daemon, fixed at its start."""
        self.incarnation = uuid.uuid4().hex[:16]
        """Random identifier of this run of the process."""
        self.started_at = time.time()
        """Wall time of the start, seconds since the epoch."""
        self.stopping = False
        """Whether a planned stop is in progress."""
        self.timeline = Timeline(settings.name, HybridLogicalClock())
        """Newest events of this daemon."""
        self.checks = InvariantChecks(self.timeline)
        """Invariants checked at run time, with the violations found."""
        self.configuration = Configuration(self.checks)
        """The installed configuration."""
        self.mirror = Mirror(SHARED_PREFIX, self.on_change)
        """Local copy of the shared records in the store."""
        self.metrics = Metrics()
        """Metrics of all parts."""
        self.counters: dict[str, Counter[str]] = {
            name: Counter() for name in ("operations", "routing", "fleet", "jobs", "config")
        }
        """Counters by part."""
        self.witness_claims = WitnessClaims()
        """Claims of other daemons that this daemon keeps as a witness."""
        self.fleets: dict[str, FleetRecord] = {}
        """Newest fleet record by region."""
        self.admission = Admission(_plan_limits(settings))
        """What the clients of all listeners may hold together."""
        self._identity = DaemonIdentity(settings.name, self.incarnation, settings.peer_token)
        self.links = PeerLinks(self._identity, self.timeline.clock)
        """Connections to the other daemons."""

    # The parts below need HTTP sessions; `connect` creates them.
    store: HttpStore
    """Client of the platform's store."""
    host_list: HostListClient
    """Client of the platform's host list."""
    membership: Membership
    """This daemon's lease, and the daemons whose lease is valid."""
    gossip: Gossip
    """Status exchange with the other daemons."""
    shards: ShardHolder
    """Shards that this daemon holds."""
    dispatcher: Dispatcher
    """Sends requests to runners."""
    proxy: Proxy
    """HTTP application for callers."""
    router: OperationRouter
    """Routes requests with an idempotency key to the owner of the key's range."""

    async def connect(self, stack: AsyncExitStack) -> None:
        """Create the parts that need HTTP sessions; the exit stack closes them."""
        settings = self.settings

        def connector(**options: Any) -> aiohttp.TCPConnector:
            return aiohttp.TCPConnector(limit=0, enable_cleanup_closed=False, **options)

        async def open_session(**options: Any) -> aiohttp.ClientSession:
            session = aiohttp.ClientSession(
                connector=connector(**options),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            )
            return await stack.enter_async_context(session)

        platform = await stack.enter_async_context(aiohttp.ClientSession(connector=connector()))
        self.store = HttpStore(
            settings.platform, platform, settings.store_writes_per_s, settings.store_reads_per_s
        )
        self.host_list = HostListClient(settings.platform, platform)
        own_record = MemberRecord(
            name=settings.name,
            incarnation=self.incarnation,
            zone=settings.zone,
            address=settings.address,
            caller_port=settings.caller_port,
            admin_port=settings.admin_port,
            peer_port=settings.peer_port,
        )
        self.membership = Membership(own_record, self.store, self.mirror, settings.member_ttl_s)
        self.gossip = Gossip(self.membership, self.links, settings.peers, self._make_status)
        holder = HolderRecord(self.incarnation, own_record.peer_address)
        self.shards = ShardHolder(
            holder, self.store, self.mirror, self.timeline, self._create_shard_work
        )
        pooled = await open_session(keepalive_timeout=2.0)
        unpooled = await open_session(force_close=True)
        self.dispatcher = Dispatcher(
            Upstream(
                pooled,
                unpooled,
                settings.max_body_bytes,
                reserve=self.admission.reserve,
                release=self.admission.release,
            ),
            self.checks,
        )
        self.router = OperationRouter(
            self.incarnation,
            self._find_owned_range,
            self.shards.get_holder,
            self.links,
            lambda: self.configuration.team_levels,
            self.counters["routing"],
            self.checks,
        )
        self.proxy = Proxy(
            settings, self.configuration, self.dispatcher, self.router.run, self.checks
        )
        self._workers = WorkerAgents(platform)
        stack.push_async_callback(self.links.close)
        self._add_metrics()

    def _create_shard_work(self, shard: str) -> ShardWork:
        if shard.startswith(RANGE_SHARD_PREFIX):
            return RangeShard(
                int(shard.removeprefix(RANGE_SHARD_PREFIX)), self._make_range_context()
            )
        if shard.startswith(JOB_SHARD_PREFIX):
            return JobShard(shard.removeprefix(JOB_SHARD_PREFIX), self._make_shard_context("jobs"))
        return FleetShard(shard.removeprefix(FLEET_SHARD_PREFIX), self._make_shard_context("fleet"))

    def _make_range_context(self) -> RangeContext:
        return RangeContext(
            incarnation=self.incarnation,
            store=self.store,
            send_to_peer=self._send_to_peer,
            execute=self.dispatcher.send,
            list_witnesses=lambda: choose_witnesses(self.membership.list_peers().values()),
            is_alive=lambda incarnation: incarnation in self.membership.list_members(),
            witness_claims=self.witness_claims,
            checks=self.checks,
            counts=self.counters["operations"],
        )

    def _make_shard_context(self, part: str) -> ShardContext:
        return ShardContext(
            incarnation=self.incarnation,
            store=self.store,
            mirror=self.mirror,
            configuration=self.configuration,
            host_list=self.host_list,
            workers=self._workers,
            timeline=self.timeline,
            counters=self.counters[part],
            checks=self.checks,
            period_s=self.settings.control_period_s,
            has_quorum=self.gossip.has_quorum,
            min_drain_s=self.settings.drain_settle_s,
        )

    async def _send_to_peer(self, address: str, incarnation: str, message: object) -> object:
        return await self.links.get_link(address, incarnation).request(message, 1.0)

    def _find_owned_range(self, number: int) -> OwnedRange | None:
        work = self.shards.work_by_shard.get(f"{RANGE_SHARD_PREFIX}{number}")
        return work.range if isinstance(work, RangeShard) else None

    def list_shards(self) -> list[str]:
        """List all shards that exist under the installed configuration."""
        regions = {pool.region for pool in self.configuration.declaration.pools}
        names = [f"{RANGE_SHARD_PREFIX}{number}" for number in range(RANGE_COUNT)]
        for region in sorted(regions):
            names += [FLEET_SHARD_PREFIX + region, JOB_SHARD_PREFIX + region]
        return names

    async def handle(self, sender: str, message: Any) -> Any:
        """Handle a message of another daemon and return the reply, or None."""
        match message:
            case Status():
                await self._handle_status(message)
            case Operation():
                return await self.router.run_forwarded(message)
            case Claim() | Seal():
                return handle_witness_request(self.witness_claims, message)
            case ConfigurationRequest():
                newer = self.configuration.version > message.known
                return ConfigurationReply(self.configuration.encoded_record if newer else b"")
        return None

    async def _handle_status(self, status: Status) -> None:
        if not self.gossip.accept_status(status):
            return
        if status.configuration <= self.configuration.version or self.mirror.synced:
            return
        peer = self.membership.list_peers().get(status.incarnation)
        if peer is None:
            return
        with suppress(FoxtrestleError):
            request = ConfigurationRequest(self.configuration.version)
            reply = await self.links.get_link(peer.peer_address).request(request, 1.0)
            if reply.value and self.configuration.install(reply.value, confirmed=False):
                self._record_configuration("from a peer")

    def on_change(self, keys: set[str]) -> None:
        """Apply changes of the mirrored records."""
        stored = self.mirror.records.get(CONFIGURATION_KEY)
        if (
            CONFIGURATION_KEY in keys
            and stored
            and self.configuration.install(stored.value, confirmed=True)
        ):
            self._record_configuration("from the store")
        fleets = [key for key in keys if key.startswith(FLEET_PREFIX)]
        for key in fleets:
            record = self.mirror.records.get(key)
            if record is not None:
                region = key.removeprefix(FLEET_PREFIX)
                self.fleets[region] = decode_record(record.value, FleetRecord, key)
        if fleets:
            self.update_routes()

    def _record_configuration(self, source: str) -> None:
        version = str(self.configuration.version)
        self.timeline.add("configuration.installed", version, source)
        self.update_routes()

    def _list_leaving_hosts(self) -> set[str]:
        """List the hosts whose status in the host list is `leaving`."""
        return {name for name, host in self.host_list.hosts.items() if host.status == "leaving"}

    def update_routes(self) -> None:
        """Update the balancers from the fleet records, the host list and the configuration."""
        services = self.configuration.services
        leaving = self._list_leaving_hosts() | self.gossip.list_leaving_hosts()
        runners = list_runners(services.values(), self.fleets.values(), leaving)
        for name, service in services.items():
            self.dispatcher.get_balancer(name).set_runners(runners[name], service.slots)
        for name in self.dispatcher.balancers.keys() - services.keys():
            self.dispatcher.balancers[name].set_runners({}, 1)

    async def poll_host_list(self) -> None:
        """Poll the host list until cancelled."""
        while True:
            try:
                if await self.host_list.poll():
                    self.update_routes()
            except PlatformError:
                self.counters["fleet"]["host-list-failures"] += 1
            await asyncio.sleep(self.settings.host_list_poll_s)

    async def exchange_statuses(self) -> None:
        """Send this daemon's status to peers and apply theirs, until cancelled."""
        leaving: set[str] = set()
        while True:
            pause_s = await self.gossip.send_status()
            loads = self.gossip.sum_loads()
            for name, balancer in self.dispatcher.balancers.items():
                balancer.set_peer_loads(loads.get(name, Counter()))
            if leaving != self.gossip.list_leaving_hosts():
                leaving = self.gossip.list_leaving_hosts()
                self.update_routes()
            await asyncio.sleep(pause_s)

    def _make_status(self, sequence: int) -> Status:
        loads = [
            RunnerLoad(f"{name}@{host}", number)
            for name, balancer in self.dispatcher.balancers.items()
            for host, number in balancer.list_in_flight().items()
        ]
        loads.sort(key=lambda load: -load.in_flight)
        holdings = [
            RangeHolding(work.range.number, work.range.record.epoch)
            for work in self.shards.work_by_shard.values()
            if isinstance(work, RangeShard)
        ]
        return Status(
            incarnation=self.incarnation,
            sequence=sequence,
            configuration=self.configuration.version,
            checksum=self.configuration.checksum[:16],
            loads=loads[:MAX_STATUS_LOADS],
            leaving=sorted(self._list_leaving_hosts()),
            holdings=holdings,
            stopping=self.stopping,
        )

    async def maintain_lease_and_shards(self) -> None:
        """Renew this daemon's lease and reconcile its shards, until cancelled."""
        while True:
            try:
                await self.membership.renew()
                if self.mirror.synced:
                    await self._reconcile_shards()
            except StoreError:
                self.counters["config"]["store-failures"] += 1
            await asyncio.sleep(self.settings.control_period_s)

    async def _reconcile_shards(self) -> None:
        members = [
            member.incarnation
            for member in self.membership.list_members().values()
            if not member.stopping
        ]
        await self.shards.reconcile(self.list_shards(), members, self.membership.lease)

    async def stop(self) -> None:
        """Prepare a planned stop.

        Hands the shards over, then continues to serve for `look_away_s` seconds, so that the load
        balancer in front can stop sending requests.
        """
        self.stopping = True
        self.timeline.add("daemon.stopping", self.settings.name)
        with suppress(StoreError):
            await self.membership.announce_stop()
        await self.shards.close()
        self.proxy.close_connections = True
        await asyncio.sleep(self.settings.look_away_s)

    def _add_metrics(self) -> None:
        add = self.metrics.add
        add("process", "Processor seconds and peak memory.", read_process)
        add("answers", "Answers to callers by outcome.", lambda: self.proxy.counts)
        add("dispatch", "Requests and retries.", lambda: self.dispatcher.counts)
        add("balancer", "Requests sent and refused, all services.", self._sum_balancers)
        add("store_calls", "Calls to the platform's store.", lambda: self.store.calls)
        for name, counter in self.counters.items():
            add(name, f"Counters of {name}.", counter.copy)
        add("connections", "Clients' connections.", self.admission.read_gauges)
        add("connections_refused", "Requests and connections of clients that do not keep the "
            "limits.", self.admission.read_refusals)  # fmt: skip
        add("violations", "Promises found broken.", lambda: self.checks.violations)
        add("state", "State of this daemon.", self._read_state)

    def _sum_balancers(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for balancer in self.dispatcher.balancers.values():
            total.update(balancer.counts)
        return total

    def _read_state(self) -> dict[str, float]:
        return {
            "configuration_version": self.configuration.version,
            "shards": len(self.shards.work_by_shard),
            "members": len(self.membership.list_members()),
            "in_flight": self.proxy.in_flight,
            "peer_bytes_sent": self.links.sum_bytes_sent(),
            "violations": self.count_violations(),
        }

    def count_violations(self) -> int:
        """Return the number of invariant violations that this daemon has found."""
        return self.checks.count_violations()


@asynccontextmanager
async def open_daemon(settings: Settings) -> AsyncIterator[Daemon]:
    """Run a daemon within the context; leaving the context is a planned stop."""
    from foxtrestle.admin import build_admin  # noqa: PLC0415 - admin needs Daemon

    daemon = Daemon(settings)
    async with AsyncExitStack() as stack:
        await daemon.connect(stack)
        peers = daemon.admission.add_listener("peers", 0)
        server = PeerServer(
            daemon._identity, daemon.timeline.clock, daemon.handle, peers.note_refusal
        )
        await server.start(bind(settings.address, settings.peer_port))
        stack.push_async_callback(server.close)
        stack.push_async_callback(_leave, daemon)
        loops: list[Callable[[], Awaitable[None]]] = [
            lambda: daemon.mirror.run_watch(daemon.store),
            daemon.maintain_lease_and_shards,
            daemon.poll_host_list,
            daemon.exchange_statuses,
        ]
        for loop in loops:
            task = asyncio.create_task(_supervise(loop, daemon))
            stack.push_async_callback(_cancel, task)
        serve = partial(listen, certificate=settings.tls_certificate, key=settings.tls_key)
        admin = bind(settings.address, settings.admin_port)
        await stack.enter_async_context(
            serve(build_admin(daemon), [admin], policy=_make_operator_policy(daemon))
        )
        # Runs after the listener has closed, which waits for the requests in flight.
        stack.callback(_check_no_requests_in_flight, daemon)
        callers = bind(settings.address, settings.caller_port)
        await stack.enter_async_context(
            serve(
                daemon.proxy,
                [callers],
                stop_limit_s=settings.stop_limit_s,
                policy=_make_caller_policy(daemon),
            )
        )
        daemon.timeline.add("daemon.started", settings.name, daemon.incarnation)
        try:
            yield daemon
        finally:
            await daemon.stop()


def _plan_limits(settings: Settings) -> ProcessLimits:
    connection_bytes = TLS_CONNECTION_BYTES if settings.tls_certificate else CONNECTION_BYTES
    memory_mb = settings.memory_mb or read_machine_memory_mb()
    descriptors = read_descriptor_limit()
    return plan_process_limits(memory_mb, descriptors, connection_bytes, LARGE_BUFFER_BYTES)


def _make_operator_policy(daemon: Daemon) -> ListenerPolicy:
    from foxtrestle.admin import MAX_BODY_BYTES  # noqa: PLC0415 - admin needs Daemon

    limits = RequestLimits(max_body_bytes=MAX_BODY_BYTES)
    listener = daemon.admission.add_listener("operators", MAX_STATUS_CONNECTIONS)
    return ListenerPolicy(listener, lambda: limits, buffer_bytes=LARGE_BUFFER_BYTES)


def _make_caller_policy(daemon: Daemon) -> ListenerPolicy:
    settings = daemon.settings
    limits = RequestLimits(
        settings.max_header_bytes,
        settings.max_body_bytes,
        settings.header_timeout_s,
        settings.idle_timeout_s,
    )
    listener = daemon.admission.add_listener("callers", daemon.admission.limits.max_connections)
    return ListenerPolicy(listener, lambda: limits, encode_caller_refusal, LARGE_BUFFER_BYTES)


async def _supervise(loop: Callable[[], Awaitable[None]], daemon: Daemon) -> None:
    """Restart a loop that returned or failed, after a pause; count and record each failure."""
    while True:
        try:
            await loop()
        except Exception as error:
            daemon.counters["config"]["loop-failures"] += 1
            daemon.timeline.add("daemon.loop-failed", daemon.settings.name, repr(error))
        await asyncio.sleep(1.0)


def _check_no_requests_in_flight(daemon: Daemon) -> None:
    if daemon.proxy.in_flight:
        detail = f"{daemon.proxy.in_flight} requests in flight at the end of a planned stop"
        daemon.checks.report_violation("stop-cuts-nothing", daemon.settings.name, detail)


async def _leave(daemon: Daemon) -> None:
    """Cancel the work on all shards and revoke the daemon's lease."""
    daemon.shards.cancel_work()
    with suppress(StoreError):
        await daemon.membership.leave()


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


async def _run(settings: Settings) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    async with open_daemon(settings):
        await stop_requested.wait()


def main() -> None:
    """Run the command `foxtrestled SETTINGS`."""
    if len(sys.argv) != 2 or sys.argv[1] in ("-h", "--help"):
        print("usage: foxtrestled SETTINGS.toml", file=sys.stderr)
        sys.exit(2)
    path = Path(sys.argv[1])
    result = read_settings(path)
    if isinstance(result, Failure):
        for fault in result.failure():
            print(f"{path}: {fault}", file=sys.stderr)
        sys.exit(2)
    eliot.to_file(sys.stdout)
    log_libraries()
    asyncio.run(_run(result.unwrap()))


if __name__ == "__main__":
    main()
