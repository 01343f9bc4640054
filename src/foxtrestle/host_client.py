"""Clients of the platform's host list and of the agents on the workers, with JSON over HTTP."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, Literal

import aiohttp
import msgspec

from foxtrestle.errors import FoxtrestleError
from foxtrestle.fleet import Host, Shape

if TYPE_CHECKING:
    from collections.abc import Mapping

WORKER_PORT: Final = 9100
"""TCP port of the agent on each worker."""
CALL_TIMEOUT_S: Final = 2.0
"""Seconds to wait for one answer."""
STATUS_TIMEOUT_S: Final = 0.5
"""Seconds to wait for a worker's status; a round of a control loop waits no longer than this."""
NOT_MODIFIED: Final = 304
CONFLICT: Final = 409


class PlatformError(FoxtrestleError):
    """The platform or a worker did not answer as expected."""


class StaleEpoch(PlatformError):
    """A worker rejected an order because it has received an order with a newer epoch."""


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the platform's host list."""

    name: str
    """Unique name."""
    address: str
    """IP address."""
    rack: str
    """Rack."""
    zone: str
    """Availability zone."""
    region: str
    """Region."""
    cores: int
    """Processor cores."""
    memory_gb: int
    """Memory, GB."""
    accelerators: int = 0
    """Accelerators."""
    status: Literal["live", "leaving"] = "live"
    """Whether the host stays (`live`) or is about to be removed (`leaving`)."""

    def to_host(self) -> Host:
        """Return the properties of the host that do not change."""
        shape = Shape(self.accelerators, self.cores, self.memory_gb)
        return Host(self.name, self.address, self.rack, self.zone, self.region, shape)


class TaskReport(msgspec.Struct, frozen=True):
    """One task as reported by its worker; the usage figures lag behind."""

    id: str
    """Job and attempt, `job.attempt`."""
    state: Literal["running", "done", "failed", "stopped"]
    """State of the task on the worker."""
    cores_used: float = 0.0
    """Cores used recently."""
    memory_gb_used: float = 0.0
    """Peak memory used, GB."""


class WorkerStatus(msgspec.Struct, frozen=True):
    """Status reported by a worker."""

    boot: int
    """Number of the current boot."""
    draining: bool
    """Whether the worker accepts no new work."""
    in_flight: int
    """Callers' requests that its runners are processing."""
    tasks: list[TaskReport] = []
    """Tasks that are running, or that have ended and are not yet acknowledged."""


class TaskOrder(msgspec.Struct, frozen=True):
    """Order to a worker to run a task."""

    epoch: int
    """Epoch of the shard that sends the order; workers reject older epochs."""
    shard: str
    """Shard that sends the order."""
    lease_s: float
    """Seconds the task may run without a renewal of its lease."""
    cores: float
    """Cores declared."""
    memory_gb: float
    """Memory declared, GB."""
    accelerators: int
    """Accelerators declared."""
    command: str
    """Command to run."""


class HostListClient:
    """Client of the platform's host list that reads it with conditional requests."""

    def __init__(self, base: str, session: aiohttp.ClientSession) -> None:
        """Create a client of the list at `base`."""
        self.hosts: dict[str, ListedHost] = {}
        """Hosts of the newest list read, by name."""
        self.read_count = 0
        """Number of reads that were answered."""
        self.read_at = 0.0
        """Wall time of the last read that was answered, seconds."""
        self._base_url = base
        self._session = session
        self._etag = ""

    async def poll(self) -> bool:
        """Read the list.

        Returns:
            Whether the list has changed.

        Raises:
            PlatformError: No usable answer; the list read before is kept.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.get(
                f"{self._base_url}/hosts", headers=headers, timeout=timeout
            ) as response:
                if response.status == NOT_MODIFIED:
                    self._mark_read()
                    return False
                response.raise_for_status()
                listed = msgspec.json.decode(await response.read(), type=list[ListedHost])
                self._etag = response.headers.get("ETag", "")
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise PlatformError(str(error), step="hosts.poll", peer=self._base_url) from error
        self.hosts = {host.name: host for host in listed}
        self._mark_read()
        return True

    def _mark_read(self) -> None:
        self.read_count += 1
        self.read_at = time.time()


class WorkerAgents:
    """Client of the agents on the workers."""

    def __init__(self, session: aiohttp.ClientSession, port: int = WORKER_PORT) -> None:
        """Create a client that connects to every worker on the same port."""
        self._session = session
        self._port = port

    async def read_status(self, address: str) -> WorkerStatus:
        """Read a worker's status."""
        body = await self._call("GET", address, "/status", None, STATUS_TIMEOUT_S)
        return msgspec.json.decode(body, type=WorkerStatus)

    async def drain(self, address: str, shard: str, epoch: int) -> None:
        """Order a worker to accept no new work."""
        await self._call("POST", address, "/drain", {"shard": shard, "epoch": epoch})

    async def reboot(self, address: str, shard: str, epoch: int, boot: int) -> None:
        """Order a worker to reboot if its current boot is still `boot`."""
        order = {"shard": shard, "epoch": epoch, "boot": boot}
        await self._call("POST", address, "/reboot", order)

    async def resume(self, address: str, shard: str, epoch: int) -> None:
        """Order a worker to accept work again."""
        await self._call("POST", address, "/resume", {"shard": shard, "epoch": epoch})

    async def start_task(self, address: str, task: str, order: TaskOrder) -> None:
        """Start a task or renew its lease."""
        await self._call("PUT", address, f"/tasks/{task}", msgspec.to_builtins(order))

    async def stop_task(
        self, address: str, task: str, shard: str, epoch: int, *, checkpoint: bool
    ) -> None:
        """Stop a task, after a checkpoint if `checkpoint` is set."""
        order = {"shard": shard, "epoch": epoch, "checkpoint": checkpoint}
        await self._call("POST", address, f"/tasks/{task}/stop", order)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: Mapping[str, object] | None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> bytes:
        step, peer = f"worker{path}", f"{address}:{self._port}"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, f"http://{peer}{path}", json=body, timeout=timeout
            ) as response:
                if response.status == CONFLICT:
                    raise StaleEpoch("the worker has received a newer epoch", step=step, peer=peer)
                response.raise_for_status()
                return await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformError(str(error) or type(error).__name__, step=step, peer=peer) from error
