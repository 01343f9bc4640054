"""The system's own processes under a crowd: started with limits, and watched from outside."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import sys
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import aiohttp

from foxtrestle.listener import bind, listen
from foxtrestle.standins.hosts import FakeFleet, make_hosts
from foxtrestle.standins.keyvalue import KeyValueEngine
from foxtrestle.standins.site import Site
from soak.mixed_daemons import CONFIGURATION_TEXT
from soak.ports import find_free_port
from tests.test_node import CONFIGURATION

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MEMORY_MB: Final = 160
"""Memory of the smallest machine that a site file gives, MB."""
DESCRIPTORS: Final = 600
"""Descriptors of a process, lowered from 4,100 so that a small crowd shows the fault."""
FILE_DESCRIPTORS: Final = 200
"""Descriptors that the platform reserves for files; sockets take the others."""
SAMPLE_S: Final = 0.05
"""Seconds between two samples of a process."""
ATTEMPTS: Final = 60
"""Attempts of an ordinary caller, each on a connection of its own."""
ATTEMPT_S: Final = 3.0
"""Seconds for which an ordinary caller waits for one answer."""
DATA: Final = Path(__file__).parent / "data"
ADMIN_TOKEN: Final = "operator-token"
CALLER_TOKEN: Final = "caller-token"
SUBNET: Final = 150
"""Third octet of the loopback addresses on which the stand-in hosts listen."""


class WatchedProcess:
    """A process with the limits of its machine, and the most that it has held."""

    def __init__(self, process: asyncio.subprocess.Process, ports: set[int]) -> None:
        self.process = process
        self.ports = ports
        """Ports on which the process listens."""
        self.peak_bytes = 0
        """Most memory seen, with what has arrived and is not read, and what is not sent."""
        self.peak_descriptors = 0
        """Most open descriptors seen."""

    async def watch(self) -> None:
        """Sample the process until it ends."""
        while self.process.returncode is None:
            with suppress(OSError):
                self.sample()
            await asyncio.sleep(SAMPLE_S)

    def sample(self) -> None:
        """Take one sample."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        resident = [line for line in status.splitlines() if line.startswith("VmRSS:")]
        if not resident:
            return  # the process has ended
        held = int(resident[0].split()[1]) * 1024 + self._read_queued_bytes()
        self.peak_bytes = max(self.peak_bytes, held)
        descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def _read_queued_bytes(self) -> int:
        """Return the bytes in the kernel's queues of this process's connections."""
        queued = 0
        table = Path(f"/proc/{self.process.pid}/net/tcp").read_text(encoding="ascii")
        for line in table.splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if int(local.partition(":")[2], 16) in self.ports and state != "0A":
                unsent, _, unread = queues.partition(":")
                queued += int(unsent, 16) + int(unread, 16)
        return queued

    def check(self, descriptors: int = DESCRIPTORS) -> None:
        """Check that the process lives, and that it kept its bounds."""
        assert self.process.returncode is None, "the process has ended"
        assert self.peak_bytes <= MEMORY_MB << 20, f"{self.peak_bytes >> 20} MB"
        assert self.peak_descriptors <= descriptors - FILE_DESCRIPTORS, "descriptors"


@asynccontextmanager
async def run_process(
    arguments: list[str],
    log: Path,
    ports: set[int],
    descriptors: int = DESCRIPTORS,
    **variables: str,
) -> AsyncIterator[WatchedProcess]:
    """Run a process of the system with a limit on its descriptors; kill it at the end."""

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    with log.open("ab") as output:
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=output, stderr=output,
            env={**os.environ, **variables}, preexec_fn=limit_descriptors,
        )  # fmt: skip
    watched = WatchedProcess(process, ports)
    watching = asyncio.create_task(watched.watch())
    try:
        yield watched
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        await watching


class RunningNode:
    """A node process, its platform and an ordinary client."""

    def __init__(self, folder: Path, site: Site, descriptors: int) -> None:
        self.front = f"127.0.0.1:{find_free_port()}"
        self.ready = f"127.0.0.1:{find_free_port()}"
        self.metrics = "127.0.0.1:9464"
        self.settings = folder / "node.toml"
        self.process: WatchedProcess
        self._jobs = 0
        self.settings.write_text(
            f'nodeName = "n"\nzone = "z"\n'
            f'[listenAddrs]\nfront = "{self.front}"\nready = "{self.ready}"\n'
            f'[platform]\naddress = "{site.store_address}"\n'
            f'[cloudApi]\naddress = "{site.hosts_address}"\n'
            f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {descriptors}\n"
        )

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        status, _ = await call("GET", f"http://{self.ready}/-/ready")
        return status == 200

    async def is_served(self) -> bool:
        """Return whether an ordinary client hands in a job, as its next attempt."""
        self._jobs += 1
        job = {"spec": "text", "steps": [{"count": 1, "cpu": 1000}]}
        return await self.submit(f"{self._jobs:016x}", job) == 200

    async def submit(self, job_id: str, job: dict[str, Any]) -> int:
        """Hand in a job once; return the status."""
        url = f"http://{self.front}/q/{job_id}"
        status, _ = await call("POST", url, headers={"Host": "jobs.example"}, json=job)
        return status


class RunningDaemon:
    """A daemon process, its platform and an ordinary caller."""

    def __init__(self, folder: Path, platform: int, *, tls: bool) -> None:
        self.tls = tls
        self.callers, self.admin, self.peers = (f"127.0.0.1:{find_free_port()}" for _ in range(3))
        self.settings = folder / "daemon.toml"
        self.process: WatchedProcess
        self.service = find_free_port()
        self._scheme = "https" if tls else "http"
        ports = [address.rpartition(":")[2] for address in (self.callers, self.admin, self.peers)]
        certificate = (
            f'tls_certificate = "{DATA / "certificate.pem"}"\ntls_key = "{DATA / "key.pem"}"\n'
        )
        self.settings.write_text(
            'name = "d"\nzone = "z0"\naddress = "127.0.0.1"\n'
            f'platform = "http://127.0.0.1:{platform}"\n'
            f"caller_port = {ports[0]}\nadmin_port = {ports[1]}\npeer_port = {ports[2]}\n"
            'peer_token = "peer-token"\nhost_list_poll_s = 0.2\nstore_writes_per_s = 40.0\n'
            + (certificate if tls else "")
            + self.list_limits()
            + f'[admin_tokens]\nann = "{ADMIN_TOKEN}"\n[team_tokens]\nteam-a = "{CALLER_TOKEN}"\n'
        )

    def list_limits(self) -> str:
        """Return the settings of the memory and the descriptors, if the daemon knows them."""
        from foxtrestle.settings import Settings

        known = Settings.__struct_fields__
        return f"memory_mb = {MEMORY_MB}\n" if "memory_mb" in known else ""

    async def apply(self) -> bool:
        """Return whether the daemon has taken the fleet file."""
        status, _ = await call(
            "POST", f"{self._scheme}://{self.admin}/v1/apply",
            data=CONFIGURATION_TEXT.format(port=self.service).encode(),
            headers={"Authorization": f"Bearer {ADMIN_TOKEN}"},
        )  # fmt: skip
        return status == 200

    async def is_served(self) -> bool:
        """Return whether an ordinary caller and an operator are answered."""
        status, _ = await call(
            "GET", f"{self._scheme}://{self.callers}/s/x",
            headers={"Authorization": f"Bearer {CALLER_TOKEN}"},
        )  # fmt: skip
        if status != 200:
            return False
        status, _ = await call("GET", f"{self._scheme}://{self.admin}/healthz")
        return status == 200


async def call(method: str, url: str, **options: Any) -> tuple[int, bytes]:
    """Make one call on a connection of its own; status 0 if there is no answer."""
    timeout = aiohttp.ClientTimeout(total=ATTEMPT_S)
    with suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, ssl=False, **options) as response,
        ):
            return response.status, await response.read()
    return 0, b""


async def attempt(is_done: Callable[[], Any], what: str) -> None:
    """Repeat a call until it succeeds.

    Raises:
        AssertionError: No attempt succeeded.
    """
    for _ in range(ATTEMPTS):
        if await is_done():
            return
        await asyncio.sleep(0.25)
    raise AssertionError(f"{what}: no success in {ATTEMPTS} attempts")


@asynccontextmanager
async def run_node(folder: Path, descriptors: int = DESCRIPTORS) -> AsyncIterator[RunningNode]:
    """Run a node process that serves."""
    async with AsyncExitStack() as stack:
        site = await stack.enter_async_context(Site().serve())
        site.write("op/config", CONFIGURATION)
        await site.add_host("h0", "main")
        node = RunningNode(folder, site, descriptors)
        ports = {int(address.rpartition(":")[2]) for address in (node.front, node.ready)} | {9464}
        node.process = await stack.enter_async_context(
            run_process(
                ["src/foxtrestled_node.py"], folder / "node.log", ports, descriptors,
                FOXTRESTLE_SETTINGS=str(node.settings),
            )
        )  # fmt: skip
        await attempt(node.is_ready, "the node is ready")
        await attempt(node.is_served, "a job before the crowd")
        yield node


@asynccontextmanager
async def run_daemon(folder: Path, *, tls: bool = False) -> AsyncIterator[RunningDaemon]:
    """Run a daemon process that serves."""
    async with AsyncExitStack() as stack:
        fleet = FakeFleet(make_hosts(6, zones=["z0", "z1"], per_rack=2, subnet=SUBNET))
        platform = find_free_port()
        daemon = RunningDaemon(folder, platform, tls=tls)
        await stack.enter_async_context(fleet.serve([daemon.service]))
        app = fleet.build_platform_app(KeyValueEngine())
        await stack.enter_async_context(listen(app, [bind("127.0.0.1", platform)]))
        addresses = (daemon.callers, daemon.admin, daemon.peers)
        ports = {int(address.rpartition(":")[2]) for address in addresses}
        daemon.process = await stack.enter_async_context(
            run_process(
                ["-m", "foxtrestle.daemon", str(daemon.settings)], folder / "daemon.log", ports
            )
        )
        await attempt(daemon.apply, "the fleet file is applied")
        await attempt(daemon.is_served, "a call before the crowd")
        yield daemon


@asynccontextmanager
async def crowd(
    address: str, payload: str, connections: int, limit: int, *, tls: bool = False
) -> AsyncIterator[dict[str, int]]:
    """Run a crowd; within the context it has sent its bytes, and its connections are open."""
    options = ["--tls"] if tls else []
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.crowd", address, payload, str(connections), str(limit),
        *options, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        yield json.loads(await process.stdout.readline())
    finally:
        process.stdin.close()
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
