"""Stand-in of the platform's key-value service: engine with faults, HTTP routes, direct client."""

from __future__ import annotations

import asyncio
import base64
import random
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, Final, TypeVar

import msgspec
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from foxtrestle.store import (
    Change,
    Compacted,
    LeaseExpired,
    Listing,
    OutcomeUnknown,
    RateExceeded,
    Record,
    StoreError,
    SwapResult,
    Transaction,
    TransactionConflict,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from starlette.requests import Request

T = TypeVar("T")

MAX_VALUE_BYTES: Final = 1 << 20
"""Maximum size of a value, bytes."""
WATCH_BACKLOG: Final = 10_000
"""Maximum number of changes kept for watches that start at an earlier revision."""


class StoreFaults:
    """Faults that are injected into the service; set by tests."""

    def __init__(self) -> None:
        """Create a set of faults that are all inactive."""
        self.down = False
        """Whether every call fails."""
        self.added_latency_s = 0.0
        """Seconds added to every call."""
        self.lost_answer_share = 0.0
        """Fraction of calls that take effect and whose responses are lost."""


class KeyValueEngine:
    """In-memory keys, leases and watches; the service's call rates are counted and enforced."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        *,
        writes_per_s: float = 100.0,
        reads_per_s: float = 2000.0,
        seed: int = 0,
    ) -> None:
        """Create an empty engine; rates are calls per second, 0 for no limit."""
        self.faults = StoreFaults()
        """Faults that are injected."""
        self.calls: Counter[str] = Counter()
        """Number of calls by kind: `read`, `write`, `watch`, `refused`."""
        self.revision = 1
        """Store-wide revision of the newest write."""
        self._clock = clock
        self._rates = {"write": writes_per_s, "read": reads_per_s}
        self._windows: dict[str, tuple[int, int]] = {}
        self._rng = random.Random(seed)
        self._records: dict[str, Record] = {}
        self._lease_of: dict[str, int] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._changes: list[Change] = []
        self._watches: set[asyncio.Event] = set()
        self._compacted = 0

    def admit(self, kind: str) -> None:
        """Count one call; reject it if the service is down or the call rate is exceeded."""
        if self.faults.down:
            raise StoreError("the service is down", step="standin.admit")
        self.calls[kind] += 1
        rate = self._rates.get("read" if kind == "watch" else kind, 0.0)
        second = int(self._clock())
        window, count = self._windows.get(kind, (second, 0))
        count = count + 1 if window == second else 1
        self._windows[kind] = (second, count)
        if rate and count > rate:
            self.calls["refused"] += 1
            raise RateExceeded("over the call rate", step="standin.admit")

    def is_response_lost(self) -> bool:
        """Decide at random whether the response to the current call is lost."""
        return self._rng.random() < self.faults.lost_answer_share

    def get(self, key: str) -> Record | None:
        """Read one key."""
        self._expire()
        return self._records.get(key)

    def scan(self, prefix: str) -> Listing:
        """Read every key under a prefix."""
        self._expire()
        records = [self._records[key] for key in sorted(self._records) if key.startswith(prefix)]
        return Listing(records, self.revision)

    def swap(self, key: str, value: bytes | None, expected: int, lease: int = 0) -> SwapResult:
        """Write or delete a key if its revision is `expected`."""
        self._expire()
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise StoreError("value over 1 MB", step="standin.swap", peer=key)
        existing = self._records.get(key)
        if (existing.revision if existing else 0) != expected or (
            lease and lease not in self._leases
        ):
            return SwapResult(False, existing)
        return SwapResult(True, self._write(key, value, lease))

    def commit(self, transaction: Transaction) -> int:
        """Apply a transaction atomically.

        Raises:
            TransactionConflict: A condition did not hold.
            LeaseExpired: The lease of the transaction has expired or was revoked.
        """
        self._expire()
        existing = {
            key: self._records[key] for key in transaction.conditions if key in self._records
        }
        for key, revision in transaction.conditions.items():
            if (existing[key].revision if key in existing else 0) != revision:
                raise TransactionConflict(existing, step="standin.commit")
        if transaction.leased and transaction.lease not in self._leases:
            raise LeaseExpired("the lease has expired or was revoked", step="standin.commit")
        for key in transaction.removals:
            if key in self._records:
                self._write(key, None, 0)
        for key, value in transaction.puts.items():
            self._write(key, value, transaction.lease if key in transaction.leased else 0)
        if transaction.puts:
            # All writes of a transaction share one revision.
            for key in transaction.puts:
                self._records[key] = Record(key, self._records[key].value, self.revision)
        return self.revision

    def compact(self) -> None:
        """Discard the history: watches that start before the current revision are rejected."""
        self._changes.clear()
        self._compacted = self.revision

    def list_changes(self, prefix: str, after: int) -> list[Change]:
        """List the changes under a prefix after a revision.

        Raises:
            Compacted: The requested changes have been discarded.
        """
        self._expire()
        if after < self._compacted:
            raise Compacted("older changes have been discarded", step="standin.watch")
        return self._find_changes(prefix, after + 1)

    def grant(self, ttl_s: float) -> int:
        """Create a lease."""
        lease = self._rng.getrandbits(48) | 1
        self._leases[lease] = (ttl_s, self._clock() + ttl_s)
        return lease

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""
        self._expire()
        if lease not in self._leases:
            return False
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, self._clock() + ttl_s)
        return True

    def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        self._leases.pop(lease, None)
        for key in [key for key, owner in self._lease_of.items() if owner == lease]:
            self._write(key, None, 0)

    async def watch_prefix(self, prefix: str, revision: int) -> AsyncIterator[list[Change]]:
        """Yield the changes under a prefix; an empty list marks half a second without changes."""
        if (
            self._changes
            and self._changes[0].revision > revision
            and revision > 1
            and (len(self._changes) >= WATCH_BACKLOG)
        ):
            raise StoreError("older changes have been discarded", step="standin.watch")
        wake = asyncio.Event()
        self._watches.add(wake)
        try:
            while not self.faults.down:
                self._expire()
                changes = self._find_changes(prefix, revision)
                if changes:
                    revision = changes[-1].revision + 1
                yield changes
                wake.clear()
                try:
                    async with asyncio.timeout(0.5):
                        await wake.wait()
                except TimeoutError:
                    pass
        finally:
            self._watches.discard(wake)

    def _find_changes(self, prefix: str, revision: int) -> list[Change]:
        matching = []
        for change in reversed(self._changes):
            if change.revision < revision:
                break
            if change.key.startswith(prefix):
                matching.append(change)
        return matching[::-1]

    def _write(self, key: str, value: bytes | None, lease: int) -> Record | None:
        self.revision += 1
        self._lease_of.pop(key, None)
        record = None
        if value is None:
            self._records.pop(key, None)
        else:
            record = Record(key, value, self.revision)
            self._records[key] = record
            if lease:
                self._lease_of[key] = lease
        self._changes.append(Change(key, record, self.revision))
        if len(self._changes) > WATCH_BACKLOG:
            del self._changes[: WATCH_BACKLOG // 2]
        for wake in self._watches:
            wake.set()
        return record

    def _expire(self) -> None:
        now = self._clock()
        for lease in [lease for lease, (_, end) in self._leases.items() if end <= now]:
            self.revoke(lease)


class DirectStore:
    """Implementation of `foxtrestle.store.Store` over the engine, for tests without sockets."""

    def __init__(
        self, engine: KeyValueEngine, is_disconnected: Callable[[], bool] = lambda: False
    ) -> None:
        """Create a client of `engine`; its calls fail while `is_disconnected` returns True."""
        self._engine = engine
        self._is_disconnected = is_disconnected

    async def get(self, key: str) -> Record | None:
        """Read one key."""
        return await self._call("read", lambda: self._engine.get(key))

    async def scan(self, prefix: str) -> Listing:
        """Read every key under a prefix."""
        return await self._call("read", lambda: self._engine.scan(prefix))

    async def swap(
        self, key: str, value: bytes | None, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write or delete a key if its revision is `expected`."""
        return await self._call("write", lambda: self._engine.swap(key, value, expected, lease))

    async def grant(self, ttl_s: float) -> int:
        """Create a lease."""
        return await self._call("write", lambda: self._engine.grant(ttl_s))

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""
        return await self._call("write", lambda: self._engine.keep_alive(lease))

    async def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""
        await self._call("write", lambda: self._engine.revoke(lease))

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[list[Change]]:
        """Yield the changes under a prefix from a revision on."""
        self._engine.admit("watch")
        async for changes in self._engine.watch_prefix(prefix, revision):
            yield changes

    async def _call(self, kind: str, execute: Callable[[], T]) -> T:
        if self._engine.faults.added_latency_s:
            await asyncio.sleep(self._engine.faults.added_latency_s)
        if self._is_disconnected():
            raise StoreError("the client is disconnected", step="standin.call")
        self._engine.admit(kind)
        result = execute()
        if self._engine.is_response_lost():
            raise OutcomeUnknown("answer lost", step="standin.call")
        return result


def build_routes(engine: KeyValueEngine) -> list[Route]:
    """Build the HTTP routes of an engine, a subset of the etcd v3 JSON gateway."""

    async def answer(request: Request, kind: str, execute: Callable[[Any], Any]) -> Response:
        if engine.faults.added_latency_s:
            await asyncio.sleep(engine.faults.added_latency_s)
        try:
            engine.admit(kind)
            body = execute(msgspec.json.decode(await request.body()))
        except RateExceeded:
            return JSONResponse({"error": "rate"}, status_code=429)
        except StoreError as error:
            return JSONResponse({"error": str(error)}, status_code=503)
        if engine.is_response_lost():
            return JSONResponse({"error": "answer lost"}, status_code=504)
        return JSONResponse(body)

    async def read(request: Request) -> Response:
        return await answer(request, "read", lambda body: _read_range(engine, body))

    async def write(request: Request) -> Response:
        return await answer(request, "write", lambda body: _transact(engine, body))

    async def grant(request: Request) -> Response:
        def execute(body: Any) -> Any:
            return {"ID": str(engine.grant(float(body["TTL"]))), "TTL": body["TTL"]}

        return await answer(request, "write", execute)

    async def keep_alive(request: Request) -> Response:
        def execute(body: Any) -> Any:
            renewed = engine.keep_alive(int(body["ID"]))
            return {"result": {"ID": body["ID"], "TTL": "1" if renewed else "0"}}

        return await answer(request, "write", execute)

    async def revoke(request: Request) -> Response:
        def execute(body: Any) -> Any:
            engine.revoke(int(body["ID"]))
            return {"header": _make_header(engine)}

        return await answer(request, "write", execute)

    async def watch(request: Request) -> Response:
        create = msgspec.json.decode(await request.body())["create_request"]
        try:
            engine.admit("watch")
        except StoreError as error:
            return JSONResponse({"error": str(error)}, status_code=503)
        prefix, revision = _decode(create["key"]), int(create["start_revision"])
        return StreamingResponse(
            _stream_changes(engine, prefix, revision), media_type="application/json"
        )

    return [
        Route("/v3/kv/range", read, methods=["POST"]),
        Route("/v3/kv/txn", write, methods=["POST"]),
        Route("/v3/lease/grant", grant, methods=["POST"]),
        Route("/v3/lease/keepalive", keep_alive, methods=["POST"]),
        Route("/v3/lease/revoke", revoke, methods=["POST"]),
        Route("/v3/watch", watch, methods=["POST"]),
    ]


async def _stream_changes(
    engine: KeyValueEngine, prefix: str, revision: int
) -> AsyncIterator[bytes]:
    async for changes in engine.watch_prefix(prefix, revision):
        events = [
            {
                "type": "DELETE" if change.record is None else "PUT",
                "kv": _encode_record(change.record or Record(change.key, b"", change.revision)),
            }
            for change in changes
        ]
        yield (
            msgspec.json.encode({"result": {"header": _make_header(engine), "events": events}})
            + b"\n"
        )


def _read_range(engine: KeyValueEngine, body: dict[str, str]) -> dict[str, Any]:
    if "range_end" in body:
        records = engine.scan(_decode(body["key"])).records
    else:
        record = engine.get(_decode(body["key"]))
        records = [record] if record else []
    return {"header": _make_header(engine), "kvs": [_encode_record(record) for record in records]}


def _transact(engine: KeyValueEngine, body: dict[str, Any]) -> dict[str, Any]:
    key, expected = _decode(body["compare"][0]["key"]), int(body["compare"][0]["mod_revision"])
    put = body["success"][0].get("request_put")
    value = base64.b64decode(put["value"]) if put else None
    swap = engine.swap(key, value, expected, int(put.get("lease", 0)) if put else 0)
    current = [_encode_record(swap.record)] if swap.record else []
    responses = [] if swap.done else [{"response_range": {"kvs": current}}]
    revision = swap.record.revision if swap.done and swap.record else engine.revision
    header = {"revision": str(revision)}
    return {"header": header, "succeeded": swap.done, "responses": responses}


def _make_header(engine: KeyValueEngine) -> dict[str, str]:
    return {"revision": str(engine.revision)}


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _encode_record(record: Record) -> dict[str, str]:
    return {
        "key": base64.b64encode(record.key.encode()).decode(),
        "value": base64.b64encode(record.value).decode(),
        "mod_revision": str(record.revision),
    }
