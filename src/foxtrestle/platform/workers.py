"""Workers: their entries in the store, and calls that start, stop and pace runs or renew leases.

The platform calls the renewal of a worker's lease a hold.
"""

from __future__ import annotations

import ipaddress
import re
from contextlib import suppress
from typing import TYPE_CHECKING, Annotated, Any, Final, Literal, cast

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.errors import FoxtrestleError
from foxtrestle.platform._capacity import Capacity
from foxtrestle.platform._numbers import Count, Quantity
from foxtrestle.platform.http import (
    CallError,
    MalformedMessage,
    NoOpenConnection,
    NotSent,
    Reply,
    call,
    decode,
)
from foxtrestle.platform.incarnations import Incarnations, Sighting, is_same
from foxtrestle.platform.jobs import format_task, parse_task
from foxtrestle.scheduling.model import (
    EndedRun,
    EndKind,
    RunningTask,
    StartOrder,
    TaskKey,
    WorkerInfo,
    WorkerReport,
)

if TYPE_CHECKING:
    from foxtrestle.platform.connections import Connections

WORKER_PREFIX: Final = "servers/"
"""Prefix of the workers' entries in the store."""
LEASE_CALL_MARGIN_S: Final = 0.5
"""Seconds beyond its wait after which a lease call counts as unanswered."""
ID_PATTERN: Final = re.compile(r"[!-~]{1,200}")
"""Form of a worker's id: each call names it in a header field."""
ADDRESS_PATTERN: Final = re.compile(r"([0-9.]+):([0-9]{1,5})")
"""Form of a worker's address, an IPv4 address and a port."""
MAX_PORT: Final = 65_535
"""Highest port."""
MAX_IDENTIFICATIONS: Final = 3
"""Calls that identify the incarnation at an address, for one call to it: other calls may take the
connections that they open."""
Refusal = Literal["fence", "old", "late", "room", "ticket"]
"""Why a worker refuses an order: `fence` if it has received a higher fencing token, `old` if the
run has existed before, `late` if the order's lease has already expired on the worker's clock,
`room` if the run exceeds the worker's free capacity, `ticket` if the order's ticket is invalid."""


class OrderRefused(FoxtrestleError):
    """A worker refused an order and did nothing."""

    def __init__(self, refusal: str, clock_ms: int, *, step: str, peer: str) -> None:
        """Create an error that carries the worker's reason and its clock."""
        super().__init__(f"refused: {refusal}", step=step, peer=peer)
        self.refusal = refusal
        """The worker's reason; the HTTP status if the worker gave none."""
        self.clock_ms = clock_ms
        """The worker's monotonic clock, milliseconds; 0 if the worker did not report it."""


class IncarnationMismatch(FoxtrestleError):
    """The address belongs to another incarnation; the intended one has therefore ended."""


class IncarnationChanged(CallError):
    """Another incarnation answers under the worker's id; the call was not sent to it."""

    def __init__(self, report: WorkerReport, *, step: str, peer: str) -> None:
        """Create an error that carries the report of the other incarnation."""
        super().__init__("another incarnation has this id", step=step, peer=peer)
        self.report = report
        """The other incarnation's report."""


NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]


class _Entry(msgspec.Struct):
    # Clients other than workers can write entries too; a malformed entry is not used as a worker.
    service: NonEmptyText
    address: str
    zone: str = ""
    state: Literal["ready", "draining"] = "ready"
    capacity: Capacity = msgspec.field(default_factory=Capacity)
    labels: tuple[str, ...] = ()
    machine: str = ""
    born: Count = 0
    # Only a preference, decoded by itself: a bad value must not make the entry unreadable.
    coldRemainingMs: msgspec.Raw = msgspec.Raw(b"0")


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: Count
    checkpoint: str
    percent: Quantity
    usage: Quantity = 0


class _EndedRow(msgspec.Struct, array_like=True):
    number: Count
    task: str
    run: Count
    kind: str
    checkpoint: str


class _Answer(msgspec.Struct):
    clockMs: Quantity = 0
    reason: str = ""
    running: list[_RunningRow] = []
    endTime: list[_EndedRow] = []  # runs that have ended, not times
    born: Count = 0


def decode_worker(key: str, value: bytes) -> WorkerInfo:
    """Decode a worker's entry; the worker that it describes can be called.

    Raises:
        MalformedMessage: The entry does not have the documented form.
    """
    entry = decode(value, _Entry, step="workers.decode", peer=key)
    worker_id = key.removeprefix(WORKER_PREFIX)
    if not ID_PATTERN.fullmatch(worker_id):
        raise MalformedMessage("not an id", step="workers.decode", peer=repr(key))
    if not _is_address(entry.address):
        raise MalformedMessage("not an address and port", step="workers.decode", peer=key)
    return WorkerInfo(
        id=worker_id,
        pool=entry.service,
        address=entry.address,
        zone=entry.zone,
        draining=entry.state != "ready",
        capacity=entry.capacity.to_shape(),
        labels=entry.labels,
        host=entry.machine,
        incarnation_started_ms=entry.born,
        warmup_left_s=_parse_warmup_s(entry.coldRemainingMs),
    )


def _is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address with a port that can be connected to."""
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(match[1])
    except ValueError:
        return False
    return True


def _parse_warmup_s(value: msgspec.Raw) -> float:
    """Return the warm-up time that a worker has left, seconds; 0 if the value is no time."""
    try:
        return msgspec.json.decode(value, type=Quantity) / 1000
    except msgspec.DecodeError:
        return 0.0


class WorkerClient:
    """Client of all workers.

    Each call is meant for one incarnation of its worker, `WorkerInfo.incarnation_started_ms`, and
    is not sent to another one under the same id, which raises `IncarnationChanged`.
    """

    def __init__(self, connections: Connections) -> None:
        """Create a client on the connections of this process."""
        self._connections = connections
        self._incarnations = Incarnations()

    async def start(
        self, worker: WorkerInfo, order: StartOrder, expires_ms: int, timeout_s: float
    ) -> int:
        """Start a run; the call is idempotent.

        Args:
            worker: The worker's incarnation.
            order: The run to start.
            expires_ms: End of the lease on the worker's clock, milliseconds.
            timeout_s: Time-out of the call, seconds.

        Returns:
            The worker's clock, milliseconds.
        """
        body: dict[str, Any] = {
            "task": format_task(order.key),
            "runId": order.run,
            "spec": order.text,
            "expiresMs": expires_ms,
            "fencingToken": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return int((await self._order(worker, "run-start", body, timeout_s)).clockMs)

    async def stop(
        self, worker: WorkerInfo, key: TaskKey, run: int, token: int, timeout_s: float
    ) -> int:
        """Stop a run; a start of the run that arrives later will be refused."""
        body = {"task": format_task(key), "runId": run, "fencingToken": token}
        return int((await self._order(worker, "run-stop", body, timeout_s)).clockMs)

    async def pace(
        self, worker: WorkerInfo, key: TaskKey, run: int, percent: int, token: int, timeout_s: float
    ) -> int:
        """Limit a run to a percentage of its full speed."""
        body = {
            "task": format_task(key),
            "runId": run,
            "percent": percent,
            "fencingToken": token,
        }
        return int((await self._order(worker, "pace", body, timeout_s)).clockMs)

    async def renew_lease(
        self,
        worker: WorkerInfo,
        token: int,
        acknowledged: int,
        *,
        expires_ms: int | None = None,
        wait_ms: int = 0,
        timeout_s: float = LEASE_CALL_MARGIN_S,
    ) -> WorkerReport:
        """Renew the lease of all runs on a worker, and read its running and ended runs.

        Args:
            worker: The worker's incarnation.
            token: Fencing token.
            acknowledged: The worker discards ended runs up to this number.
            expires_ms: New end of the lease on the worker's clock, milliseconds; None leaves the
                lease unchanged.
            wait_ms: How long the worker may wait for a run to end before it answers, milliseconds;
                it does not wait if the call neither extends the lease nor acknowledges ends.
            timeout_s: Time-out of the call in addition to the wait, seconds.
        """
        body: dict[str, int] = {"fencingToken": token, "lastSeen": acknowledged}
        if expires_ms is not None:
            body["expiresMs"] = expires_ms
        if expires_ms is None and not acknowledged:
            # Whichever incarnation answers, the call changes nothing and its report names it.
            return await self._look(worker, token, timeout_s)
        if wait_ms:
            body["waitMs"] = wait_ms
        answer = await self._order(worker, "hold", body, wait_ms / 1000 + timeout_s)
        return _to_report(answer, worker.id)

    async def is_reachable(self, address: str, timeout_s: float) -> bool:
        """Return whether a worker's address can be reached; any response counts.

        The connection is not kept, because the answer does not name the incarnation.
        """
        url = f"http://{address}/health"
        try:
            await call(self._connections, "GET", url, step="workers.look", timeout_s=timeout_s,
                       headers={"Connection": "close"})  # fmt: skip
        except CallError:
            return False
        return True

    async def _order(
        self, worker: WorkerInfo, path: str, body: dict[str, Any], timeout_s: float
    ) -> _Answer:
        """Make a call that only the intended incarnation may carry out.

        Raises:
            IncarnationChanged: Another incarnation answers; the call was not sent.
            NotSent: The incarnation could not be identified.
        """
        intended_ms = worker.incarnation_started_ms
        for _ in range(MAX_IDENTIFICATIONS):
            await self._incarnations.wait_for_looks(worker.address)
            if self._incarnations.is_at(worker.address, intended_ms):
                with suppress(NoOpenConnection):
                    return await self._post(worker, path, body, timeout_s, open_only=True)
            try:
                report = await self._look(worker, body["fencingToken"], timeout_s)
            except CallError as error:
                raise NotSent(error) from error
            if not is_same(report.incarnation_started_ms, intended_ms):
                raise IncarnationChanged(report, step=f"workers.{path}", peer=worker.id)
        # The worker keeps no connections open. It has just answered as the intended incarnation.
        return await self._post(worker, path, body, timeout_s)

    async def _look(self, worker: WorkerInfo, token: int, timeout_s: float) -> WorkerReport:
        """Read the report of whichever incarnation is at a worker's address."""
        sent_at = read_clock()
        body = {"fencingToken": token, "lastSeen": 0}
        with self._incarnations.looking(worker.address):
            answer = await self._post(worker, "hold", body, timeout_s)
            if self._incarnations.note(worker.address, Sighting(answer.born, sent_at)):
                self._connections.drop_idle(worker.address)
        return _to_report(answer, worker.id)

    async def _post(
        self,
        worker: WorkerInfo,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
        *,
        open_only: bool = False,
    ) -> _Answer:
        step = f"workers.{path}"
        reply = await call(
            self._connections,
            "POST",
            f"http://{worker.address}/-/{path}",
            step=step,
            timeout_s=timeout_s,
            body=msgspec.json.encode(body),
            headers={"Foxtrestle-Target-Instance": worker.id},
            open_only=open_only,
        )
        if reply.status == 200:
            return decode(reply.body, _Answer, step=step, peer=worker.id)
        if reply.status == 421:
            raise IncarnationMismatch(
                "another incarnation has this address", step=step, peer=worker.id
            )
        reason, clock_ms = _read_refusal(reply)
        raise OrderRefused(reason, clock_ms, step=step, peer=worker.id)


def _read_refusal(reply: Reply) -> tuple[str, int]:
    """Return the reason of a refusal and the worker's clock; an unhealthy worker sends neither."""
    try:
        answer = decode(reply.body, _Answer, step="workers.refusal", peer="")
    except MalformedMessage:
        return str(reply.status), 0
    return answer.reason or str(reply.status), int(answer.clockMs)


def _to_report(answer: _Answer, worker: str) -> WorkerReport:
    try:
        running = tuple(
            RunningTask(
                parse_task(row.task), row.run, row.checkpoint, int(row.percent), int(row.usage)
            )
            for row in answer.running
        )
        ends = tuple(
            EndedRun(
                row.number, parse_task(row.task), row.run, cast("EndKind", row.kind), row.checkpoint
            )
            for row in answer.endTime
        )
    except ValueError as error:
        reason = f"malformed row of a report: {error}"
        raise MalformedMessage(reason, step="workers.hold", peer=worker) from error
    return WorkerReport(int(answer.clockMs), running, ends, answer.born)


__all__ = [
    "CallError",
    "IncarnationChanged",
    "IncarnationMismatch",
    "OrderRefused",
    "WorkerClient",
    "decode_worker",
]
