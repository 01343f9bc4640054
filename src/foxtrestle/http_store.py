"""Client of the platform's key-value service over the etcd v3 JSON gateway (`/v3/kv/*`).

Source: etcd v3 API, gRPC-gateway form. Keys and values are encoded in base64, 64-bit numbers as
strings. Every call is subject to one rate limit; a watch counts as one read.
"""

from __future__ import annotations

import asyncio
import base64
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import msgspec

from foxtrestle.store import (
    Change,
    Compacted,
    Listing,
    OutcomeUnknown,
    RateExceeded,
    Record,
    StoreError,
    SwapResult,
    TokenBucket,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CALL_TIMEOUT_S: Final = 2.0
"""Seconds to wait for the answer to one call."""
WATCH_IDLE_TIMEOUT_S: Final = 30.0
"""Seconds without data after which a watch is opened again."""
TOO_MANY_REQUESTS: Final = 429


class HttpStore:
    """Client of the platform's store over HTTP."""

    def __init__(
        self, base: str, session: aiohttp.ClientSession, writes_per_s: float, reads_per_s: float
    ) -> None:
        """Create a client of the store at `base` within the two call rates."""
        self.calls = {"write": 0, "read": 0, "watch": 0}
        """Number of calls made, by kind."""
        self._base_url = base
        self._session = session
        self._write_limit = TokenBucket(writes_per_s)
        self._read_limit = TokenBucket(reads_per_s)

    async def get(self, key: str) -> Record | None:
        """Read one key."""
        body = await self._read("range", {"key": _encode(key)})
        records = [_decode_record(item) for item in body.get("kvs", [])]
        return records[0] if records else None

    async def scan(self, prefix: str) -> Listing:
        """Read every key under a prefix."""
        body = await self._read("range", {"key": _encode(prefix), "range_end": _encode_end(prefix)})
        records = [_decode_record(item) for item in body.get("kvs", [])]
        return Listing(records, int(body["header"]["revision"]))

    async def swap(
        self, key: str, value: bytes | None, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write a key (delete it if `value` is None) if its current revision is `expected`."""
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "mod_revision": str(expected),
            "result": "EQUAL",
        }
        if value is None:
            success: dict[str, Any] = {"request_delete_range": {"key": _encode(key)}}
        else:
            put = {"key": _encode(key), "value": base64.b64encode(value).decode()}
            success = {"request_put": put | ({"lease": str(lease)} if lease else {})}
        read = {"request_range": {"key": _encode(key)}}
        body = await self._write(
            "kv/txn", {"compare": [compare], "success": [success], "failure": [read]}
        )
        if body.get("succeeded"):
            revision = int(body["header"]["revision"])
            return SwapResult(True, None if value is None else Record(key, value, revision))
        records = body["responses"][0]["response_range"].get("kvs", [])
        return SwapResult(False, _decode_record(records[0]) if records else None)

    async def grant(self, ttl_s: float) -> int:
        """Obtain a lease."""
        body = await self._write("lease/grant", {"TTL": str(max(1, round(ttl_s)))})
        return int(body["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; returns False if it has ended."""
        body = await self._write("lease/keepalive", {"ID": str(lease)})
        return int(body["result"].get("TTL", 0)) > 0

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._write("lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[list[Change]]:
        """Follow the changes under a prefix, starting at a revision."""
        await asyncio.sleep(self._read_limit.reserve())
        self.calls["watch"] += 1
        request = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _encode_end(prefix),
                "start_revision": str(revision),
            }
        }
        timeout = aiohttp.ClientTimeout(
            total=None, connect=CALL_TIMEOUT_S, sock_read=WATCH_IDLE_TIMEOUT_S
        )
        try:
            async with self._session.post(
                f"{self._base_url}/v3/watch", json=request, timeout=timeout
            ) as response:
                _check_status(response.status, "store.watch", self._base_url)
                async for line in response.content:
                    yield _decode_changes(line, self._base_url)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreError(_describe(error), step="store.watch", peer=self._base_url) from error

    async def _read(self, path: str, request: dict[str, Any]) -> dict[str, Any]:
        await asyncio.sleep(self._read_limit.reserve())
        self.calls["read"] += 1
        return await self._call(f"kv/{path}", request)

    async def _write(self, path: str, request: dict[str, Any]) -> dict[str, Any]:
        await asyncio.sleep(self._write_limit.reserve())
        self.calls["write"] += 1
        return await self._call(path, request)

    async def _call(self, path: str, request: dict[str, Any]) -> dict[str, Any]:
        step = f"store.{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.post(
                f"{self._base_url}/v3/{path}", json=request, timeout=timeout
            ) as response:
                _check_status(response.status, step, self._base_url)
                body: dict[str, Any] = msgspec.json.decode(await response.read())
                return body
        except aiohttp.ClientConnectorError as error:
            raise StoreError(_describe(error), step=step, peer=self._base_url) from error
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise OutcomeUnknown(_describe(error), step=step, peer=self._base_url) from error


def _check_status(status: int, step: str, peer: str) -> None:
    if status == TOO_MANY_REQUESTS:
        raise RateExceeded("over the call rate", step=step, peer=peer)
    if status != 200:
        raise OutcomeUnknown(f"status {status}", step=step, peer=peer)


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _encode_end(prefix: str) -> str:
    """Encode the first key after all keys that start with a prefix."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return base64.b64encode(bytes(raw)).decode()


def _decode_record(item: dict[str, Any]) -> Record:
    key = base64.b64decode(item["key"]).decode()
    return Record(key, base64.b64decode(item.get("value", "")), int(item["mod_revision"]))


def _decode_changes(line: bytes, peer: str) -> list[Change]:
    result = msgspec.json.decode(line)["result"]
    if result.get("canceled"):
        raise Compacted("the requested changes are compacted", step="store.watch", peer=peer)
    return [_decode_change(event) for event in result.get("events", [])]


def _decode_change(event: dict[str, Any]) -> Change:
    record = _decode_record(event["kv"])
    deleted = event.get("type") == "DELETE"
    return Change(record.key, None if deleted else record, record.revision)
