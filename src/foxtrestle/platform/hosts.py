"""Client of the platform's host interface: host list, moves between pools, maintenance."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.control.log import log
from foxtrestle.platform._capacity import Capacity
from foxtrestle.platform.http import CallError, MalformedMessage, RateLimited, Reply, call, decode
from foxtrestle.scheduling.model import HostInfo, HostState
from foxtrestle.store import compute_backoff

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from foxtrestle.platform.connections import Connections

TOO_MANY_REQUESTS: Final = 429
"""HTTP status of a call beyond the platform's rate limit for all nodes together."""
SERVER_ERROR: Final = 500
"""Lowest HTTP status of a call that the platform could not serve; it did nothing."""
LIST_RETRY_BUDGET_S: Final = 10.0
"""Default limit of the total pause while one list is read, seconds: a list that is read only once,
when a fleet starts, can wait. The list of 57,000 hosts has 115 pages, which take 1.8 s at 64 pages
per second."""
MAX_LOGGED_ROWS: Final = 100
"""Maximum number of unreadable rows that are remembered and logged."""


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: HostState
    zone: str = ""
    labels: tuple[str, ...] = ()
    capacity: Capacity = msgspec.field(default_factory=Capacity)
    id: str | None = ""


class _Page(msgspec.Struct):
    machines: list[msgspec.Raw] = []
    nextToken: str | None = None


class _Refused(msgspec.Struct):
    reason: str = ""


class HostOrderRefused(CallError):
    """The platform refused an order for a host and did nothing."""

    def __init__(self, refusal: str, *, step: str, peer: str) -> None:
        """Create an error that carries the platform's reason."""
        super().__init__(f"refused: {refusal}", step=step, peer=peer)
        self.refusal = refusal
        """`fence`, `busy` or `wave`; the HTTP status if the platform gave no reason."""


class HostClient:
    """Client of the platform's host interface."""

    def __init__(self, address: str, node: str, connections: Connections, timeout_s: float) -> None:
        """Create a client.

        Args:
            address: `ip:port` of the platform's interface for hosts.
            node: Name of this node, which is sent with each order.
            connections: Connections of this process.
            timeout_s: Time-out of a call, seconds, until it is changed.
        """
        self.calls = {"list": 0, "list refused": 0, "order": 0}
        """Calls made, by kind; `list refused` counts list pages refused by the rate limit."""
        self.pages = 1
        """Number of pages of the newest list; each page is one call."""
        self.timeout_s = timeout_s
        """Time-out of a call, seconds."""
        self._rng = random.Random()
        self._base = f"http://{address}/-/"
        self._node = node
        self._connections = connections
        self._unreadable: set[bytes] = set()

    async def list_hosts(self, retry_budget_s: float = LIST_RETRY_BUDGET_S) -> list[HostInfo]:
        """Read the whole host list, which lags behind the actual state of the hosts.

        The platform limits the pages per second of all nodes together. A page that is refused by
        this limit is requested again after a growing pause, and the pages read before it are kept.
        A reader that restarted the list after every refusal did not complete seven pages within
        5 s while 300 others were reading.

        Args:
            retry_budget_s: Limit of the total pause, seconds; the first pages may be older than the
                last one by as much.

        Raises:
            RateLimited: The pauses would exceed the limit.
            CallError: The list cannot be read.
        """
        hosts: list[HostInfo] = []
        query: dict[str, str] = {}
        pages = 0
        paused_s = 0.0
        consecutive_refusals = 0
        while True:
            reply = await self._read_page(query)
            if reply.status == TOO_MANY_REQUESTS:
                consecutive_refusals += 1
                pause_s = compute_backoff(consecutive_refusals, self._rng)
                paused_s += pause_s
                if paused_s > retry_budget_s:
                    raise RateLimited(
                        "call rate limit exceeded", step="hosts.list", peer=self._base
                    )
                await asyncio.sleep(pause_s)
                continue
            if reply.status != 200:
                raise CallError(f"status {reply.status}", step="hosts.list", peer=self._base)
            consecutive_refusals = 0
            pages += 1
            page = decode(reply.body, _Page, step="hosts.list", peer=self._base)
            hosts += self._read_rows(page.machines)
            if not page.nextToken:
                self.pages = pages
                return hosts
            query = {"pageToken": page.nextToken}

    async def _read_page(self, query: dict[str, str]) -> Reply:
        self.calls["list"] += 1
        reply = await call(
            self._connections,
            "GET",
            self._base + "machines",
            step="hosts.list",
            timeout_s=self.timeout_s,
            query=query,
        )
        self.calls["list refused"] += reply.status == TOO_MANY_REQUESTS
        return reply

    def _read_rows(self, rows: Iterable[msgspec.Raw]) -> Iterator[HostInfo]:
        """Decode the rows of a page; an unreadable row is logged and skipped."""
        for row in rows:
            try:
                machine = decode(bytes(row), _Machine, step="hosts.list", peer=self._base)
            except MalformedMessage as error:
                self._log_unreadable(bytes(row), error)
            else:
                yield _to_host(machine)

    def _log_unreadable(self, row: bytes, error: MalformedMessage) -> None:
        """Log an unreadable row only once, because the list is read every second."""
        if row not in self._unreadable and len(self._unreadable) < MAX_LOGGED_ROWS:
            self._unreadable.add(row)
            log("host.unreadable", reason=error.reason, row=repr(row[:100]))

    async def move(self, host: str, pool: str, token: int) -> None:
        """Move a host to a pool; its runs are killed, and a new worker joins the pool."""
        await self._order("machine-move", {"machine": host, "pool": pool}, token)

    async def maintain(self, host: str, wave: int, token: int) -> None:
        """Begin maintenance of a host; its runs are killed, and a new worker joins its pool."""
        await self._order("machine-upkeep", {"machine": host, "wave": wave}, token)

    async def _order(self, path: str, body: dict[str, str | int], token: int) -> None:
        step = f"hosts.{path}"
        self.calls["order"] += 1
        reply = await call(
            self._connections,
            "POST",
            self._base + path,
            step=step,
            timeout_s=self.timeout_s,
            body=msgspec.json.encode(body),
            headers={
                "Foxtrestle-Duty-Holder": self._node,
                "Foxtrestle-Fencing-Token": str(token),
            },
        )
        if reply.status == 200:
            return
        if reply.status == TOO_MANY_REQUESTS:
            raise RateLimited("call rate limit exceeded", step=step, peer=str(body["machine"]))
        if reply.status >= SERVER_ERROR:
            raise CallError(f"status {reply.status}", step=step, peer=str(body["machine"]))
        reason = str(reply.status)
        if reply.status == 409:
            reason = decode(reply.body, _Refused, step=step, peer=self._base).reason or reason
        raise HostOrderRefused(reason, step=step, peer=str(body["machine"]))


def _to_host(machine: _Machine) -> HostInfo:
    return HostInfo(
        name=machine.machine,
        pool=machine.pool,
        state=machine.state,
        zone=machine.zone,
        labels=machine.labels,
        capacity=machine.capacity.to_shape(),
        worker=machine.id or "",
    )
