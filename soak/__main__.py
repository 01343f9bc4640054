"""Runs one soak: `python -m soak --seed 1 --seconds 30`; exits with 1 on any violation."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, Literal, TypeAlias

import aiohttp
import cyclopts

from foxtrestle.scheduling.model import Shape, TaskKey
from foxtrestle.standins.site import Site
from soak.invariant_monitor import DRAIN_S, JOB_TEXT_PREFIX, InvariantMonitor, ZoneDrain
from soak.misbehaving_clients import MisbehavingClients
from soak.ports import find_free_port
from soak.proxy import Proxy

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

NODES: Final = 3
HOSTS: Final = 8
ZONES: Final = ("z0", "z1", "z2")
LateCall: TypeAlias = Literal["start", "acknowledgement"]
"""Kind of a call that is executed later."""
SETTLE_S: Final = 45.0
"""Seconds after the last fault within which every accepted job must end: a lease after a takeover
lasts 13 s, and jobs that waited during the faults need capacity."""
MEMORY_MB: Final = 300
"""Memory of a node's machine, MB, as its settings say."""
CONFIGURATION: Final[dict[str, Any]] = {
    "version": 1,
    "routes": [
        {"name": "r", "host": "jobs.example", "pathPrefix": "/q/", "service": "main",
         "targetLatencyMs": 600, "maxAttempts": 3, "stretch": 1.6}
    ],
    "services": [{"name": "main"}, {"name": "off", "headroom": True}],
}  # fmt: skip


def describe_task(key: TaskKey) -> tuple[Shape, float, Any]:
    """Return size, duration and end of a task; jobs whose id begins with f are long-running."""
    if key.job.startswith("f"):
        return Shape(2000, 500), float("inf"), "done"
    return Shape(3000, 500), 100.0 + 200.0 * (key.number % 5), "done"


class NodeProcess:
    """One node, run as its own process."""

    def __init__(self, name: str, folder: Path, store_proxy: Proxy, hosts_address: str) -> None:
        """Create a node that is not started."""
        self.name = name
        """Name of the node."""
        self.client_port = find_free_port()
        """Port for clients."""
        self.store_proxy = store_proxy
        """Proxy through which the node reaches the store."""
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._starting = False
        self.soak_ended = False
        """Whether the soak has ended, so that the process must not be started any more."""
        ready = find_free_port()
        self._settings.write_text(
            f'nodeName = "{name}"\nzone = "z"\n'
            f'[listenAddrs]\nfront = "127.0.0.1:{self.client_port}"\nready = "127.0.0.1:{ready}"\n'
            f'[platform]\naddress = "{store_proxy.address}"\n'
            f"[limits]\nmemoryMb = {MEMORY_MB}\n"
            f'[cloudApi]\naddress = "{hosts_address}"\n'
            f"[bounds]\nevacuateMs = {DRAIN_S * 1000:.0f}\n[zones]\n"
            + "".join(f'{zone} = "r"\n' for zone in ZONES)
        )

    async def start(self) -> None:
        """Start the process unless it is running: two overlapping faults may both restart the node.

        If a node had two processes, one of them would outlive the soak and try to acquire the lock
        from whichever process listens on the port of its store next.
        """
        running = self._process is not None and self._process.returncode is None
        if running or self._starting or self.soak_ended:
            return
        self._starting = True
        try:
            self._process = await self._launch()
        finally:
            self._starting = False

    async def _launch(self) -> asyncio.subprocess.Process:
        with self._log.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "src/foxtrestled_node.py",
                stdout=log,
                stderr=log,
                env={**os.environ, "FOXTRESTLE_SETTINGS": str(self._settings)},
            )

    def read_peak_memory_mb(self) -> int:
        """Return the most memory that the running process has held, MB; 0 if none runs."""
        if self._process is None or self._process.returncode is not None:
            return 0
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        peaks = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(peaks[0]) // 1024 if peaks else 0

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        if self._process is not None:
            await self._process.wait()


class Soak:
    """State of one run."""

    def __init__(
        self, seed: int, seconds: float, folder: Path, late_call: LateCall = "start"
    ) -> None:
        """Create a soak that has not started."""
        self._late_call = late_call
        self.seed = seed
        """Seed of the run."""
        self.rng = random.Random(seed)
        """Random generator of the choices other than worker restarts and zone drains."""
        self.restart_rng = random.Random(f"restarts {seed}")
        """Random generator of the choices about worker restarts; separate, so that a seed
        gives the same other choices with and without them."""
        self.zone_rng = random.Random(f"zones {seed}")
        """Random generator of the choices about zone drains, separate for the same reason."""
        self.site = Site(describe=describe_task, seed=seed)
        """The simulated platform."""
        self.monitor = InvariantMonitor(self.site)
        """Checks of the invariants."""
        self.nodes: list[NodeProcess] = []
        """The nodes."""
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._tasks: set[asyncio.Task[None]] = set()
        self._job_count = 0
        self._wave_count = 0
        self._fault_count = 0

    async def run(self) -> list[str]:
        """Run to the end; return the violations."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.site.serve())
            self.site.write("op/config", CONFIGURATION)
            for number in range(HOSTS):
                pool = "main" if number < HOSTS // 2 else "off"
                await self.site.add_host(f"h{number}", pool, ZONES[number % len(ZONES)])
            for number in range(NODES):
                proxy = Proxy(self.site.store_address)
                await proxy.open()
                stack.callback(proxy.close)
                node = NodeProcess(f"n{number}", self._folder, proxy, self.site.hosts_address)
                self.nodes.append(node)
                stack.push_async_callback(self._terminate_node, node)
                await node.start()
            session = await stack.enter_async_context(
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=3.0))
            )
            monitoring = asyncio.create_task(self.monitor.run())
            stack.callback(monitoring.cancel)
            await asyncio.sleep(3.0)
            restarts = asyncio.create_task(self._restart_workers())
            stack.callback(restarts.cancel)
            drains = asyncio.create_task(self._drain_zones())
            stack.callback(drains.cancel)
            clients = MisbehavingClients(self._seed, [node.client_port for node in self.nodes])
            misbehaving = asyncio.create_task(clients.run())
            stack.callback(misbehaving.cancel)
            await self._run_workload(session)
            misbehaving.cancel()
            states = await self._settle(session)
            self.monitor.finish(states)
            self._check_memory()
        counts = (
            f"{self._job_count} jobs, {len(self.monitor.accepted)} accepted, "
            f"{self._fault_count} faults"
        )
        print(f"{counts}, {len(self.monitor.violations)} violations", flush=True)
        return self.monitor.violations

    def _check_memory(self) -> None:
        """Check that no node that runs at the end has ever held more than its machine has."""
        for node in self.nodes:
            peak_mb = node.read_peak_memory_mb()
            if peak_mb > MEMORY_MB:
                self.monitor.violations.append(f"{node.name} held {peak_mb} of {MEMORY_MB} MB")

    async def _terminate_node(self, node: NodeProcess) -> None:
        node.soak_ended = True
        node.send(signal.SIGCONT)
        node.send(signal.SIGKILL)
        await node.wait()

    def _run_in_background(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_workload(self, session: aiohttp.ClientSession) -> None:
        end = time.monotonic() + self._seconds
        next_fault = time.monotonic() + 1.0
        while time.monotonic() < end:
            self._run_in_background(self._submit(session))
            if time.monotonic() > next_fault:
                next_fault = time.monotonic() + self.rng.uniform(0.3, 3.0)
                fault = self.rng.choice(self._list_faults())
                self._fault_count += 1
                self._run_in_background(fault())
            await asyncio.sleep(self.rng.expovariate(5.0))

    # Clients.

    async def _submit(self, session: aiohttp.ClientSession) -> None:
        """Submit one job as the documentation requires of clients, and perhaps cancel the job."""
        self._job_count += 1
        long_running = self.rng.random() < 0.1
        name = f"{'f' if long_running else '0'}{self._job_count:015x}"
        step = {"count": self.rng.randint(1, 5), "cpu": 3000, "memMb": 500}
        steps: list[dict[str, Any]] = [
            step | ({"longRunning": True, "may_miss": 1} if long_running else {})
        ]
        if not long_running and self.rng.random() < 0.4:
            steps.append({"count": 2, "cpu": 3000, "memMb": 500, "dependsOn": [0]})
        self.monitor.submitted.add(name)
        body = {"spec": JOB_TEXT_PREFIX + name, "steps": steps}
        cancel = long_running or self.rng.random() < 0.05
        outcome_unknown = False
        for _ in range(4):
            status = await self._call(session, "POST", name, body)
            if status == 200:
                self.monitor.accepted.add(name)
                break
            outcome_unknown = outcome_unknown or status in {0, 502, 504}
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        else:
            if not outcome_unknown:
                self.monitor.refused.add(name)
            return
        if cancel:
            await asyncio.sleep(self.rng.uniform(0.1, 6.0))
            while await self._call(session, "DELETE", name) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.5)
            self.monitor.cancelled.add(name)

    async def _call(
        self, session: aiohttp.ClientSession, method: str, name: str, body: Any = None
    ) -> int:
        node = self.rng.choice(self.nodes)
        url = f"http://127.0.0.1:{node.client_port}/q/{name}"
        headers = {"Host": "jobs.example"}
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.request(method, url, json=body, headers=headers) as response:
                await response.read()
                return response.status
        return 0

    async def _read_state(self, session: aiohttp.ClientSession, name: str) -> str:
        node = self.rng.choice(self.nodes)
        url = f"http://127.0.0.1:{node.client_port}/q/{name}"
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.get(url, headers={"Host": "jobs.example"}) as response:
                if response.status == 200:
                    return str((await response.json())["state"])
                return str(response.status)
        return "no answer"

    async def _settle(self, session: aiohttp.ClientSession) -> dict[str, str]:
        """Wait until all faults have ended and every accepted job has ended."""
        deadline = time.monotonic() + SETTLE_S
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=SETTLE_S)
        states: dict[str, str] = {}
        open_jobs = set(self.monitor.accepted)
        while open_jobs and time.monotonic() < deadline + SETTLE_S:
            for name in sorted(open_jobs):
                states[name] = await self._read_state(session, name)
            open_jobs = {n for n in open_jobs if states[n] not in {"completed", "cancelled"}}
            await asyncio.sleep(0.5)
        # Runs of the last cancelled jobs may take as long to stop as the documentation allows.
        await asyncio.sleep(4.0)
        return states

    # Faults.

    def _list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._kill_node, self._kill_node, self._pause_node, self._pause_node,
            self._restart_node, self._disturb_store_connection, self._disturb_store_connection,
            self._silence_connections, self._take_store_down, self._lose_write_responses,
            self._delay_calls,
            self._compact_history, self._revoke_lock, self._silence_worker, self._crash_worker,
            self._begin_wave, self._change_configuration,
        ]  # fmt: skip

    async def _kill_node(self) -> None:
        node = self.rng.choice(self.nodes)
        node.send(signal.SIGKILL)
        await node.wait()
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        await node.start()

    async def _restart_node(self) -> None:
        node = self.rng.choice(self.nodes)
        node.send(signal.SIGTERM)
        await node.wait()
        await node.start()

    async def _pause_node(self) -> None:
        node = self.rng.choice(self.nodes)
        node.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        node.send(signal.SIGCONT)

    async def _disturb_store_connection(self) -> None:
        proxy = self.rng.choice(self.nodes).store_proxy
        kind = self.rng.choice(["silent", "one-way", "reset", "slow"])
        if kind == "slow":
            proxy.delay_s = self.rng.uniform(0.05, 0.3)
        else:
            proxy.mode = kind  # type: ignore[assignment]
        if kind == "reset":
            proxy.reset()
        await asyncio.sleep(self.rng.uniform(0.5, 6.0))
        proxy.mode = "open"
        proxy.delay_s = 0.0

    async def _silence_connections(self) -> None:
        for node in self.nodes:
            node.store_proxy.silence_open(self.rng.choice([0, 2, 3]))

    async def _take_store_down(self) -> None:
        faults = self.site.faults
        name = self.rng.choice(["store_down", "store_silent"])
        setattr(faults, name, True)
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        setattr(faults, name, False)

    async def _lose_write_responses(self) -> None:
        self.site.faults.lost_write_share = 0.3
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        self.site.faults.lost_write_share = 0.0

    async def _delay_calls(self) -> None:
        """Leave some calls unanswered; the worker, or its next incarnation, executes them later."""
        faults = self.site.faults
        setattr(faults, f"late_{self._late_call}_share", 0.3)
        setattr(faults, f"late_{self._late_call}_delay_s", self.rng.uniform(0.5, 6.0))
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        setattr(faults, f"late_{self._late_call}_share", 0.0)

    async def _compact_history(self) -> None:
        self.site.engine.compact()

    async def _revoke_lock(self) -> None:
        lease = self.site.engine._lease_of.get("foxtrestle/control/lock")
        if lease is not None:
            self.site.engine.revoke(lease)

    async def _silence_worker(self) -> None:
        if not self.site.workers:
            return
        worker = self.rng.choice(sorted(self.site.workers))
        self.site.faults.unresponsive_workers.add(worker)
        await asyncio.sleep(self.rng.uniform(0.5, 9.0))
        self.site.faults.unresponsive_workers.discard(worker)

    async def _crash_worker(self) -> None:
        ready = [host for host in self.site.hosts.values() if host.state == "up" and host.worker]
        if not ready:
            return
        host = self.rng.choice(ready)
        host.state = "down"
        self.site.terminate_worker(host.worker)
        host.worker = ""
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        host.state = "up"
        await self.site._start_worker(host)

    async def _restart_workers(self) -> None:
        """Restart workers under their ids, either quickly or after their leases have expired."""
        rng = self.restart_rng
        end = time.monotonic() + self._seconds
        self.site.faults.reuses_worker_ids = rng.random() < 0.5
        # Drawn from its own generator, so that a seed gives the same restarts as before.
        connections_rng = random.Random(f"connections {self.seed}")
        self.site.faults.connections_end_with_crash = connections_rng.random() < 0.5
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            if self.site.workers:
                worker = rng.choice(sorted(self.site.workers))
                away_s = rng.choice([rng.uniform(0.25, 1.5), rng.uniform(4.0, 8.0)])
                self._fault_count += 1
                self._run_in_background(self.site.restart_worker(worker, away_s))

    async def _drain_zones(self) -> None:
        """Drain a zone as operators do for some seconds, one zone after the other."""
        rng = self.zone_rng
        end = time.monotonic() + self._seconds
        while time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.3, 5.0))
            zone = rng.choice(ZONES)
            self._fault_count += 1
            self.site.drain_zone(zone)
            drain = ZoneDrain(zone)
            self.monitor.drains.append(drain)
            await asyncio.sleep(rng.uniform(0.2, 9.0))
            drain.until = time.monotonic()
            self.site.cancel_zone_drain(zone)

    async def _begin_wave(self) -> None:
        self._wave_count += 1
        limit = self.rng.randint(1, 3)
        hosts = sorted(self.rng.sample(sorted(self.site.hosts), k=3))
        self.monitor.wave_limits[self._wave_count] = limit
        wave = {"wave": self._wave_count, "machines": hosts, "withinS": 10, "upperLimit": limit}
        self.site.write(f"op/wave/{self._wave_count}", wave)

    async def _change_configuration(self) -> None:
        version = CONFIGURATION["version"] + self._fault_count
        self.site.write("op/config", CONFIGURATION | {"version": version})


app = cyclopts.App(name="soak", help="Soak the real nodes under random faults.")


@app.default
def main(
    *,
    seed: int = 1,
    seconds: float = 30.0,
    logs: Path | None = None,
    late_call: LateCall = "start",
) -> None:
    """Run one soak.

    Args:
        seed: Seed of all choices.
        seconds: How long faults are injected.
        logs: Folder for the nodes' logs; a temporary one if not given.
        late_call: Kind of the calls that workers leave unanswered and execute later.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        violations = asyncio.run(Soak(seed, seconds, folder, late_call).run())
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    app()
