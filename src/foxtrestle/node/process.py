"""The node process: assembles its components, serves requests, and shuts down in order."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from foxtrestle.clock import read_clock
from foxtrestle.control.controller import Controller
from foxtrestle.control.host_accounts import read_host_gauges
from foxtrestle.control.layout import Layout
from foxtrestle.control.leader_election import LeaderElection, compute_election_delay
from foxtrestle.control.log import log, log_libraries, start_logging
from foxtrestle.control.node_metrics import NodeMetrics
from foxtrestle.listener import bind, listen
from foxtrestle.listening.admission import Admission
from foxtrestle.listening.limits import (
    MAX_STATUS_CONNECTIONS,
    plan_process_limits,
    read_descriptor_limit,
)
from foxtrestle.listening.policy import ListenerPolicy
from foxtrestle.node.drained_zones import DrainedZones
from foxtrestle.node.job_service import JobService
from foxtrestle.node.loop_lag import measure_loop_lag
from foxtrestle.node.operators import OperatorMirror
from foxtrestle.node.store_health import StoreHealth
from foxtrestle.node.store_rate_usage import StoreRateUsage
from foxtrestle.node.zone_gauges import ZoneGauges
from foxtrestle.platform.client_api import build_client_app, build_status_app
from foxtrestle.platform.connections import (
    CONNECTIONS_PER_PEER,
    CONNECTIONS_PER_WORKER,
    Connections,
)
from foxtrestle.platform.hosts import HostClient
from foxtrestle.platform.policy import PolicyClient
from foxtrestle.platform.settings import find_settings, read_settings
from foxtrestle.platform.store import PlatformStore
from foxtrestle.platform.workers import WorkerClient
from foxtrestle.scheduling.partitions import find_partition_number

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from socket import socket

    from foxtrestle.control.leader_election import Term
    from foxtrestle.node.settings import NodeSettings

STORE_TIMEOUT_S: Final = 0.8
"""Time-out of store calls, seconds; the store answers in 4 ms, or up to 0.3 s when it is slow."""
STOP_DELAY_S: Final = 2.5
"""Seconds for which a stopping node keeps serving: the platform checks readiness every second and
stops sending requests to a node after two failed checks."""
CALL_LOG_INTERVAL_S: Final = 10.0
"""Seconds between two log lines with the number of calls for which the platform charges."""
MAX_CLIENT_REQUESTS: Final = 32
"""Maximum number of clients' requests in process at once, each with a call to the store."""
METRICS_PORT: Final = 9464
"""TCP port of the metrics, as named in the deploy file."""
REQUEST_GRACE_S: Final = 2.0
"""Seconds that requests in flight get after `STOP_DELAY_S`; the whole shutdown stays below the
platform's grace period of 6 s."""


class Node:
    """Components of one node."""

    def __init__(self, settings: NodeSettings) -> None:
        """Create a node that is not running yet."""
        self.settings = settings
        """Settings of the node."""
        self.stopping = False
        """Whether a planned stop is under way."""
        self.layout = Layout()
        """Division of the fleet into partitions."""
        self.controllers: dict[int, Controller] = {}
        """Controllers of the partitions whose locks this node holds, by partition number."""

    @property
    def controller(self) -> Controller | None:
        """The first controller on this node; None while the node holds no lock."""
        return next(iter(self.controllers.values()), None)

    def is_ready(self) -> bool:
        """Return whether clients may send requests to this node."""
        return (
            not self.stopping
            and self.layout.count > 0
            and self.operators.configuration is not None
            and self.operators.is_current()
            and not self.health.unavailable
        )  # fmt: skip

    async def serve(self, stop: asyncio.Event) -> None:
        """Serve until a stop is requested, then shut down in order."""
        settings = self.settings
        async with AsyncExitStack() as stack:
            connections, worker_connections, client_calls = [
                await stack.enter_async_context(Connections(per_peer))
                for per_peer in (CONNECTIONS_PER_PEER, CONNECTIONS_PER_WORKER, MAX_CLIENT_REQUESTS)
            ]
            store = PlatformStore(settings.store_address, connections, STORE_TIMEOUT_S)
            workers = WorkerClient(worker_connections)
            policy = None
            if settings.policy_address:
                policy = PolicyClient(settings.policy_address, connections)
            hosts = HostClient(settings.hosts_address, settings.name, connections, STORE_TIMEOUT_S)
            metrics = NodeMetrics()
            self.operators = self._build_mirror(store)
            self.health = StoreHealth(store)

            async def run_controller(term: Term) -> None:
                controller = Controller(
                    term, settings, store, workers, hosts, self.operators, policy, metrics
                )  # fmt: skip
                self.controllers[term.partition.number] = controller
                try:
                    await controller.run()
                except Exception as error:
                    log("control.failed", term=term.number, reason=repr(error))
                    term.lose("controller failed")
                    raise
                finally:
                    del self.controllers[term.partition.number]

            elections: list[LeaderElection] = []

            async def run_elections() -> None:
                await self.layout.load(store, hosts)
                elections.extend(self._build_elections(store, workers, run_controller))
                await asyncio.gather(*(election.run() for election in elections))

            # Requests of clients never make this node's own calls wait for a connection.
            job_service = JobService(store.lend(client_calls), self.operators, self.layout)
            self._add_sources(metrics, store, hosts)
            status_app = build_status_app(self.is_ready, metrics)
            client_app = build_client_app(
                job_service, self.operators, lambda: self.health.unavailable, metrics
            )
            admission = _build_admission(settings)
            metrics.add_admission(admission)
            sockets = [_bind(settings.ready_address), *_bind_metrics(settings)]
            status = ListenerPolicy(admission.add_listener("status", MAX_STATUS_CONNECTIONS))
            await stack.enter_async_context(listen(status_app, sockets, policy=status))
            clients = self._build_client_policy(admission)
            for component in (
                self.operators.run(),
                self.health.run(),
                run_elections(),
                _log_calls(store, hosts),
                measure_loop_lag(metrics),
            ):
                stack.push_async_callback(
                    _cancel, asyncio.create_task(_run_or_stop_node(component))
                )
            sockets = [_bind(settings.client_address)]
            await stack.enter_async_context(
                listen(client_app, sockets, stop_limit_s=REQUEST_GRACE_S, policy=clients)
            )
            log("node.started", zone=settings.zone)
            await stop.wait()
            log("node.stopping")
            self.stopping = True
            closing = [election.close() for election in elections]
            await asyncio.gather(*closing, asyncio.sleep(STOP_DELAY_S))
        log("node.stopped")

    def _add_sources(self, metrics: NodeMetrics, store: PlatformStore, hosts: HostClient) -> None:
        """Register the gauges whose values are read on each request for metrics."""
        settings = self.settings
        usage = StoreRateUsage(store.calls, settings.store_reads_per_s, settings.store_writes_per_s)
        gauges = ZoneGauges(self.operators.zones)

        def read_zones() -> dict[str, float]:
            return gauges.read(controller.zone_drains for controller in self.controllers.values())

        def read_host_uses() -> dict[str, float]:
            return read_host_gauges(
                controller.host_accounts for controller in self.controllers.values()
            )

        metrics.add_source("store_calls", "Calls to the store.", lambda: store.calls)
        metrics.add_source("store_share", "Share of the store's rates.", usage.read)
        metrics.add_source("host_calls", "Calls about hosts.", lambda: hosts.calls)
        metrics.add_source("hosts", "Hosts by use.", read_host_uses)
        metrics.add_source("state", "State of this node.", self._read_state)
        metrics.add_source("drained_zones", "Drained zones.", read_zones)

    def _build_client_policy(self, admission: Admission) -> ListenerPolicy:
        listener = admission.add_listener(
            "clients", admission.limits.max_connections, MAX_CLIENT_REQUESTS
        )
        return ListenerPolicy(listener, self.operators.read_request_limits)

    def _build_mirror(self, store: PlatformStore) -> OperatorMirror:
        limits = self.settings.operating_limits
        zones = DrainedZones(self.settings.zones, limits.drain_zone_s)
        return OperatorMirror(store, self._wake_controllers, limits.apply_s, zones)

    def _build_elections(
        self,
        store: PlatformStore,
        workers: WorkerClient,
        run_controller: Callable[[Term], Awaitable[None]],
    ) -> list[LeaderElection]:
        """Build the leader election of every partition; a node is preferred for one of them."""
        settings = self.settings
        delay_s = compute_election_delay(settings.cpu_cores, settings.link_mbps)
        preferred_partition = find_partition_number(settings.name, self.layout.count)
        probe = workers.is_reachable if len(settings.zones) > 1 else None
        return [
            LeaderElection(
                store,
                settings.name,
                delay_s,
                run_controller,
                partition,
                preferred=partition.number == preferred_partition,
                zone=settings.zone,
                probe=probe,
                prefer_other_zones=settings.zone_failures_tolerated > 0,
            )
            for partition in self.layout.list_partitions()
        ]  # fmt: skip

    def _read_state(self) -> dict[str, float]:
        """Return the gauges of this node's state."""
        configuration = self.operators.configuration
        state = {
            "ready": float(self.is_ready()),
            "store_away": float(self.health.unavailable),
            "configuration_version": configuration.version if configuration else 0.0,
            "configuration_age_s": read_clock() - self.operators.synced_until,
            "controls": float(len(self.controllers)),
        }
        fleets = [controller.fleet for controller in self.controllers.values()]
        if fleets:
            state["term"] = max(fleet.term for fleet in fleets)
            state["jobs_active"] = sum(len(fleet.active) for fleet in fleets)
            state["workers"] = sum(len(fleet.workers) for fleet in fleets)
            state["host_interface_away"] = sum(
                controller.is_host_interface_away() for controller in self.controllers.values()
            )
            state["host_plans"] = sum(len(fleet.plans) for fleet in fleets)
            state["organisations_at_limit"] = sum(
                len(fleet.organisations_at_limit) for fleet in fleets
            )
            state["jobs_beyond_share"] = sum(
                entry.excess or entry.job.id in fleet.jobs_over_share
                for fleet in fleets
                for entry in fleet.active.values()
                if entry.ready
            )
        return state

    def _wake_controllers(self) -> None:
        for controller in self.controllers.values():
            controller.wake()


async def _log_calls(store: PlatformStore, hosts: HostClient) -> None:
    """Log the number of calls to the store and the host interface periodically."""
    while True:
        await asyncio.sleep(CALL_LOG_INTERVAL_S)
        log("node.calls", hosts=hosts.calls, **store.calls)


async def _run_or_stop_node(component: Awaitable[None]) -> None:
    try:
        await component
    except Exception as error:
        # A failed component stops the whole node: the platform restarts it with a clean state.
        log("node.failed", reason=repr(error))
        signal.raise_signal(signal.SIGTERM)
        raise


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def _build_admission(settings: NodeSettings) -> Admission:
    descriptors = min(settings.max_descriptors, read_descriptor_limit())
    limits = plan_process_limits(settings.memory_mb, descriptors)
    log("limits.planned", connections=limits.max_connections, held_bytes=limits.max_held_bytes)
    return Admission(limits)


def _bind(address: str) -> socket:
    ip, _, port = address.rpartition(":")
    return bind(ip, int(port))


def _bind_metrics(settings: NodeSettings) -> list[socket]:
    """Bind the fixed metrics port; if it is taken, the ready address alone serves the metrics."""
    ip, _, _ = settings.ready_address.rpartition(":")
    try:
        return [bind(ip, METRICS_PORT)]
    except OSError as error:
        log("metrics.port-taken", port=METRICS_PORT, reason=str(error))
        return []


async def _run(settings: NodeSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _check_reload)
    await Node(settings).serve(stop)


def _check_reload() -> None:
    """Check a changed settings file; changes take effect at the next start."""
    result = read_settings(find_settings())
    if isinstance(result, Failure):
        log("settings.refused", faults=[str(fault) for fault in result.failure()])
    else:
        log("settings.reloaded")


def main() -> int:
    """Run a node with the settings file that the platform names."""
    result = read_settings(find_settings())
    if isinstance(result, Failure):
        for fault in result.failure():
            print(fault, file=sys.stderr)
        return 2
    settings = result.unwrap()
    start_logging(settings.name)
    log_libraries()
    gc.freeze()
    asyncio.run(_run(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
