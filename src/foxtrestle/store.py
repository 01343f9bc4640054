"""Interface of the platform's key-value service, with handling of lost answers.

Only single-key compare-and-swap, leases and watches are used. `HttpStore` in
`foxtrestle.http_store` is the client of the platform; tests use a stand-in with the same interface.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from foxtrestle.errors import FoxtrestleError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

ABSENT: Final = 0
"""Revision that represents a key that does not exist."""
BACKOFF_BASE_S: Final = 0.1
"""Base of the exponential backoff between attempts while the store does not respond, seconds."""
MAX_BACKOFF_S: Final = 3.0
"""Maximum backoff between two attempts, seconds."""


class Record(msgspec.Struct, frozen=True):
    """One key with its stored value."""

    key: str
    """The key."""
    value: bytes
    """The value, up to 1 MB."""
    revision: int
    """Store-wide revision of the write that set the value."""


class SwapResult(msgspec.Struct, frozen=True):
    """Result of a compare-and-swap."""

    done: bool
    """Whether the value was written."""
    record: Record | None
    """Current record of the key; None if the key does not exist."""


class Change(msgspec.Struct, frozen=True):
    """One change reported by a watch."""

    key: str
    """The key that changed."""
    record: Record | None
    """The new record; None if the key was deleted."""
    revision: int
    """Store-wide revision of the change."""


class Listing(msgspec.Struct, frozen=True):
    """All records under a prefix at one revision."""

    records: list[Record]
    """The records, by key."""
    revision: int
    """Revision at which the listing was taken."""


class StoreError(FoxtrestleError):
    """The store could not be reached; a write certainly did not happen."""


class OutcomeUnknown(StoreError):
    """A call was sent and no answer arrived; a write may have happened."""


class RateExceeded(StoreError):
    """The store rejected the call over its rate limit; a write certainly did not happen."""


class Compacted(StoreError):
    """A watch requested changes older than those the store keeps."""


class LeaseExpired(StoreError):
    """A write named a lease that has ended; nothing was written."""


class StaleCall(StoreError):
    """A call was abandoned: after it was sent, the store became unreachable and then recovered."""


class TransactionConflict(StoreError):
    """A condition of a transaction did not hold; nothing was written."""

    def __init__(self, records: dict[str, Record], *, step: str, peer: str = "") -> None:
        """Create an error that carries the current records of the conditioned keys."""
        super().__init__("a condition did not hold", step=step, peer=peer)
        self.records = records
        """Record of each conditioned key that exists."""


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect atomically if every condition holds."""

    conditions: dict[str, int]
    """Revision that each key must have; `ABSENT` if the key must not exist."""
    puts: dict[str, bytes] = {}
    """New values by key."""
    removals: tuple[str, ...] = ()
    """Keys to delete."""
    lease: int = 0
    """Lease to which the keys in `leased` are bound."""
    leased: frozenset[str] = frozenset()
    """Keys of `puts` that are deleted when the lease ends."""


class Store(Protocol):
    """Operations of the platform's key-value service that the project uses."""

    async def get(self, key: str) -> Record | None:
        """Read one key."""
        ...

    async def scan(self, prefix: str) -> Listing:
        """Read every key under a prefix."""
        ...

    async def swap(
        self, key: str, value: bytes | None, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write a key (delete it if `value` is None) if its current revision is `expected`."""
        ...

    async def grant(self, ttl_s: float) -> int:
        """Obtain a lease."""
        ...

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; returns False if it has ended."""
        ...

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        ...

    def watch(self, prefix: str, revision: int) -> AsyncIterator[list[Change]]:
        """Follow the changes under a prefix, starting at a revision."""
        ...


class TokenBucket:
    """Rate limit for calls, with a burst of one second's worth of calls."""

    def __init__(self, rate: float, clock: Callable[[], float] = time.monotonic) -> None:
        """Create a full bucket that refills at `rate` calls per second."""
        self.rate = rate
        """Calls per second."""
        self._clock = clock
        self._tokens = max(1.0, rate)
        self._refilled_at = clock()

    def reserve(self) -> float:
        """Take one token.

        Returns:
            Seconds to wait before the call may be made.
        """
        now = self._clock()
        self._tokens = min(
            max(1.0, self.rate), self._tokens + (now - self._refilled_at) * self.rate
        )
        self._refilled_at = now
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self.rate)


def compute_backoff(attempt: int, rng: random.Random) -> float:
    """Compute the backoff before another attempt: exponential with full jitter.

    Args:
        attempt: Attempts made so far, from 1.
        rng: Source of jitter.

    Returns:
        Seconds to wait.
    """
    ceiling = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2 ** min(attempt, 10))
    return rng.uniform(ceiling / 4, ceiling)


async def swap_with_retry(
    store: Store, key: str, value: bytes, expected: int, *, lease: int = 0, attempts: int = 5
) -> SwapResult:
    """Compare-and-swap a key, and determine the outcome of the write even if its answer was lost.

    The value must be unique among all values ever written to the key (it carries a writer and
    a sequence number), so that reading it back proves that the write took effect. Sending the
    same call again is safe: at most one of its copies can match the expected revision.

    Raises:
        OutcomeUnknown: A write was sent and the store did not answer in the allowed attempts.
        StoreError: The store could not be reached and no write was sent.
    """
    rng = random.Random()
    sent = False
    for attempt in range(1, attempts + 1):
        try:
            swap = await store.swap(key, value, expected, lease)
        except OutcomeUnknown:
            sent = True
        except RateExceeded:
            pass
        except StoreError:
            if not sent and attempt == attempts:
                raise
        else:
            if swap.done or swap.record is None or swap.record.value != value:
                return swap
            return SwapResult(True, swap.record)
        await asyncio.sleep(compute_backoff(attempt, rng))
    if sent:
        raise OutcomeUnknown("the store does not answer", step="store.swap", peer=key)
    raise RateExceeded("over the call rate", step="store.swap", peer=key)


class Mirror:
    """Copy of the records under a prefix, updated by one watch; never reverts to older values."""

    def __init__(
        self,
        prefix: str,
        on_change: Callable[[set[str]], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an empty mirror.

        Args:
            prefix: Prefix of the mirrored keys.
            on_change: Called with the keys that changed.
            clock: Monotonic clock, seconds.
        """
        self.prefix = prefix
        """Prefix of the mirrored keys."""
        self.records: dict[str, Record] = {}
        """The records by key."""
        self.revision = 0
        """Newest revision applied."""
        self.synced = False
        """Whether the watch is established; False from a failure until the next listing."""
        self.last_answer_at = -1.0e9
        """Monotonic time of the store's last answer, seconds."""
        self._clock = clock
        self._on_change = on_change

    def load_listing(self, listing: Listing) -> set[str]:
        """Replace the records by a complete listing, unless the mirror is newer.

        Returns:
            Keys whose record changed.
        """
        if listing.revision < self.revision:
            return set()
        records = {record.key: record for record in listing.records}
        changed = {
            key
            for key in records.keys() | self.records.keys()
            if records.get(key) != self.records.get(key)
        }
        self.records = records
        self.revision = listing.revision
        self._record_answer_time()
        return changed

    def apply_change(self, change: Change) -> bool:
        """Apply one change.

        Returns:
            Whether the change was newer than the mirrored record.
        """
        if change.revision <= self.revision and change.key in self.records:
            mirrored = self.records[change.key]
            if mirrored.revision >= change.revision:
                return False
        if change.record is None:
            self.records.pop(change.key, None)
        else:
            self.records[change.key] = change.record
        self.revision = max(self.revision, change.revision)
        self._record_answer_time()
        return True

    def apply_record(self, record: Record) -> None:
        """Apply a record that this process has just written or read."""
        if self.apply_change(Change(record.key, record, record.revision)):
            self._on_change({record.key})

    async def run_watch(self, store: Store) -> None:
        """List and watch the prefix in a store to keep the mirror up to date, until cancelled."""
        rng = random.Random()
        failures = 0
        while True:
            try:
                listing = await store.scan(self.prefix)
                self._on_change(self.load_listing(listing))
                self.synced = True
                failures = 0
                async for changes in store.watch(self.prefix, self.revision + 1):
                    self.last_answer_at = self._clock()
                    self._on_change({change.key for change in changes if self.apply_change(change)})
            except StoreError:
                pass
            self.synced = False
            failures += 1
            await asyncio.sleep(compute_backoff(failures, rng))

    def _record_answer_time(self) -> None:
        self.last_answer_at = self._clock()
