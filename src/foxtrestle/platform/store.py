"""Client of the platform's store: items, ranges, watches, transactions and leases."""

from __future__ import annotations

import asyncio
import base64
import binascii
import copy
from typing import TYPE_CHECKING, Any, Final, TypeVar

import msgspec

from foxtrestle.platform._numbers import Quantity, Revision  # noqa: TC001 - msgspec reads annotations
from foxtrestle.platform.http import (
    CallError,
    MalformedMessage,
    NoResponse,
    Reply,
    call,
    decode,
)
from foxtrestle.store import (
    Change,
    Compacted,
    LeaseExpired,
    Listing,
    OutcomeUnknown,
    RateExceeded,
    Record,
    StaleCall,
    StoreError,
    Transaction,
    TransactionConflict,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from foxtrestle.platform.connections import Connections

T = TypeVar("T")

WATCH_WAIT_S: Final = 1.0
"""Seconds a watch call waits at the store for changes. A watch may be cut off silently (in one case
no change arrived for 20 s), so this wait bounds the delay until a change is received. The platform
charges for each call."""
WATCH_MARGIN_S: Final = 0.8
"""Seconds without a received byte, beyond the wait, after which a watch call counts as lost. The
whole of a long answer may take longer over a slow link."""
SCAN_TIMEOUT_S: Final = 6.0
"""Time-out for one page of a listing, seconds: 1 MB takes 1.7 s over the slowest links (5 Mbit/s),
which carry other traffic as well."""


class _Item(msgspec.Struct):
    tlsKey: str = ""
    value: str = ""  # base64
    revision: Revision = 0
    gone: bool = False


class _Page(msgspec.Struct):
    items: list[_Item] = []
    more: bool = False
    at: Revision = 0


class _Single(_Item):
    at: Revision = 0


class _Events(msgspec.Struct):
    events: list[_Item] = []
    at: Revision = 0


class _Committed(msgspec.Struct):
    revision: Revision = 0
    items: list[_Item] = []


class _Lease(msgspec.Struct):
    lease: Revision = 0
    ttl_ms: Quantity = 0


class PlatformStore:
    """Client of the platform's store."""

    def __init__(self, address: str, connections: Connections, timeout_s: float) -> None:
        """Create a client.

        Args:
            address: `ip:port` of the store.
            connections: Connections of this process.
            timeout_s: Time-out of calls other than watches and listings, seconds.
        """
        self.calls = {"write": 0, "read": 0, "watch": 0, "lease": 0}
        """Number of calls made, by kind."""
        self.last_call_answered = False
        """Whether the last call was answered."""
        self._recovery: asyncio.Future[None] | None = None
        self._base = f"http://{address}/-/"
        self._connections = connections
        self._timeout_s = timeout_s

    def lend(self, connections: Connections) -> PlatformStore:
        """Return a client of the same store on other connections; its calls count as this one's.

        Calls of one of them never wait for a connection that calls of the other occupy.
        """
        lent = copy.copy(self)
        lent._connections = connections
        lent._note_outcome = self._note_outcome  # type: ignore[method-assign]
        return lent

    async def get(
        self, key: str, *, stale: bool = False, timeout_s: float | None = None
    ) -> Record | None:
        """Read one key; a stale read is cheaper, but its result may be seconds old."""
        self.calls["read"] += 1
        query = {"tlsKey": key} | ({"stale": "1"} if stale else {})
        reply = await self._call("GET", "kv-key", query=query, timeout_s=timeout_s)
        if reply.status == 404:
            return None
        item = _decode_answer(reply, _Single, "store.get", self._base)
        return _to_record(item)

    async def scan(self, prefix: str, *, stale: bool = False) -> Listing:
        """Read every key under a prefix; a watch from the listing's revision on misses nothing."""
        records: list[Record] = []
        revision = 0
        query = {"pathPrefix": prefix} | ({"stale": "1"} if stale else {})
        while True:
            self.calls["read"] += 1
            reply = await self._call("GET", "kv-range", query=query, timeout_s=SCAN_TIMEOUT_S)
            page = _decode_answer(reply, _Page, "store.scan", self._base)
            records += [_to_record(item) for item in page.items]
            # The listing has the revision of its first page: the watch from there on delivers the
            # changes made while the other pages were read.
            revision = revision or page.at
            if not page.more or not page.items:
                return Listing(records, revision)
            query |= {"dependsOn": page.items[-1].tlsKey}

    async def poll(
        self, prefix: str, after: int, wait_s: float = WATCH_WAIT_S
    ) -> tuple[list[Change], int]:
        """Wait up to `wait_s` seconds for changes under a prefix after a revision.

        Returns:
            The changes, possibly none, and the revision from which to continue.

        Raises:
            Compacted: The store has dropped the requested history.
            StaleCall: The store was unavailable after the call was sent, so the call may never be
                answered.
        """
        self.calls["watch"] += 1
        query = {
            "pathPrefix": prefix,
            "dependsOn": str(after),  # the revision after which to continue, not a dependency
            "waitMs": str(int(wait_s * 1000)),
        }
        response = self._call(
            "GET",
            "kv-watch",
            query=query,
            timeout_s=wait_s + SCAN_TIMEOUT_S,
            read_timeout_s=wait_s + WATCH_MARGIN_S,
        )
        reply = await self._wait_unless_recovered(response)
        events = _decode_answer(reply, _Events, "store.watch", self._base)
        return [_to_change(item) for item in events.events], max(after, events.at)

    async def _wait_unless_recovered(self, response: Coroutine[Any, Any, Reply]) -> Reply:
        """Wait for a response, but only until the store is available again after an outage.

        Raises:
            StaleCall: The store was unavailable, and is available again.
        """
        if self._recovery is None or self._recovery.done():
            self._recovery = asyncio.get_running_loop().create_future()
        recovery = self._recovery
        call = asyncio.ensure_future(response)
        try:
            awaited: set[asyncio.Future[Any]] = {call, recovery}
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
        finally:
            call.cancel()
        raise StaleCall(
            "the store was unavailable during the call", step="store.wait", peer=self._base
        )

    def _note_outcome(self, *, answered: bool) -> None:
        if (
            answered
            and not self.last_call_answered
            and self._recovery
            and not self._recovery.done()
        ):
            self._recovery.set_result(None)
        self.last_call_answered = answered

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction atomically.

        Returns:
            The revision of all records that the transaction wrote.

        Raises:
            TransactionConflict: A condition did not hold; the error carries the current records.
            LeaseExpired: The lease of the transaction has ended.
        """
        self.calls["write"] += 1
        body = {
            "expectedRev": [
                {"tlsKey": key, "revision": revision}
                for key, revision in transaction.conditions.items()
            ],
            "put": [
                {"tlsKey": key, "value": base64.b64encode(value).decode()}
                | ({"lease": transaction.lease} if key in transaction.leased else {})
                for key, value in transaction.puts.items()
            ],
            "remove": list(transaction.removals),
        }
        reply = await self._call("POST", "kv-txn", body=msgspec.json.encode(body))
        if reply.status == 404:
            raise LeaseExpired("the lease has ended", step="store.commit", peer=self._base)
        answer = _decode_answer(reply, _Committed, "store.commit", self._base)
        if reply.status == 412:
            records = {item.tlsKey: _to_record(item) for item in answer.items if item.revision}
            raise TransactionConflict(records, step="store.commit", peer=self._base)
        return answer.revision

    async def grant(self, ttl_s: float) -> int:
        """Create a lease."""
        self.calls["lease"] += 1
        body = msgspec.json.encode({"ttl_ms": int(ttl_s * 1000)})
        reply = await self._call("POST", "kv-lease", body=body)
        return _decode_answer(reply, _Lease, "store.grant", self._base).lease

    async def keep_alive(self, lease: int, *, timeout_s: float | None = None) -> bool:
        """Renew a lease; False if it has ended.

        Raises:
            StaleCall: The store was unavailable after the call was sent, so the call may never be
                answered.
        """
        self.calls["lease"] += 1
        renewal = self._call("POST", f"kv-keep/{lease}", body=b"{}", timeout_s=timeout_s)
        reply = await self._wait_unless_recovered(renewal)
        return reply.status != 404

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.calls["lease"] += 1
        await self._call("DELETE", f"kv-lease-end/{lease}")

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        query: dict[str, str] | None = None,
        timeout_s: float | None = None,
        read_timeout_s: float | None = None,
    ) -> Reply:
        step = f"store.{path.split('/', maxsplit=1)[0]}"
        try:
            reply = await call(
                self._connections,
                method,
                self._base + path,
                step=step,
                timeout_s=timeout_s or self._timeout_s,
                body=body,
                query=query,
                read_timeout_s=read_timeout_s,
            )
        except NoResponse as error:
            self._note_outcome(answered=False)
            raise OutcomeUnknown(error.reason, step=step, peer=self._base) from error
        except CallError as error:
            self._note_outcome(answered=False)
            raise StoreError(error.reason, step=step, peer=self._base) from error
        if reply.status != 429:
            # A refusal by the rate limit is no evidence of an outage, and if watches were cancelled
            # because of it, they would cause even more calls.
            self._note_outcome(answered=reply.status != 503)
        _check_status(reply, step, self._base)
        return reply


def _check_status(reply: Reply, step: str, peer: str) -> None:
    if reply.status in {200, 404, 412}:
        return
    if reply.status == 410:
        raise Compacted("older changes have been compacted", step=step, peer=peer)
    if reply.status == 429:
        raise RateExceeded("call rate limit exceeded", step=step, peer=peer)
    # The statuses 400, 403 and 503 guarantee that the call had no effect.
    reason = f"status {reply.status}: {reply.body[:200].decode(errors='replace')}"
    if reply.status in {400, 403, 503}:
        raise StoreError(reason, step=step, peer=peer)
    raise OutcomeUnknown(reason, step=step, peer=peer)


def _decode_answer(reply: Reply, kind: type[T], step: str, peer: str) -> T:
    """Decode an answer of the store.

    Raises:
        OutcomeUnknown: The answer cannot be read, so what the call did is unknown.
    """
    try:
        return decode(reply.body, kind, step=step, peer=peer)
    except MalformedMessage as error:
        raise OutcomeUnknown(error.reason, step=step, peer=peer) from error


def _to_record(item: _Item) -> Record:
    """Convert an item.

    Raises:
        OutcomeUnknown: The item's value is not encoded as documented.
    """
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise OutcomeUnknown(str(error), step="store.decode", peer=item.tlsKey) from error
    return Record(item.tlsKey, value, item.revision)


def _to_change(item: _Item) -> Change:
    return Change(item.tlsKey, None if item.gone else _to_record(item), item.revision)
