"""Operations that must not run twice: the state of idempotency keys at their owner, without I/O.

The hash of a key determines its range, and each range is owned by one daemon. The owner runs an
operation only after the key is recorded (claimed) in the range's record in the store or, while the
store is unavailable, in the memory of a quorum of witnesses. A daemon that takes a range over reads
the record and asks the witnesses first, so that it has every key that may have run.
"""

from __future__ import annotations

import hashlib
from array import array
from bisect import bisect_left
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.chart import load_chart

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable

    from foxtrestle.messages import Answer

RANGE_COUNT: Final = 8
"""Number of ranges into which the keys are divided."""
KEY_HASH_BYTES: Final = 8
"""Size of a key's hash, bytes. On a hash collision an operation is refused, never run twice."""
SEGMENT_CLOSE_KEYS: Final = 4096
"""Number of claims in the tail at which they are moved to a closed segment."""
MAX_ANSWER_BYTES: Final = 8 << 20
"""Maximum size of the answers that a daemon keeps for callers that repeat a key, bytes."""
MAX_ENTRIES: Final = 10_000
"""Maximum number of operations whose state a range keeps, in addition to the claims."""


class Witness(msgspec.Struct, frozen=True):
    """A daemon that keeps claims in memory while the store is unavailable."""

    incarnation: str
    """Incarnation of the daemon; after a restart it has lost the claims and is no witness."""
    address: str
    """Peer address of the daemon, `ip:port`."""


class RangeRecord(msgspec.Struct, frozen=True):
    """Head record of a range in the store."""

    epoch: int = 0
    """Increases with each change of owner."""
    holder: str = ""
    """Incarnation of the owner; empty after a clean release."""
    sequence: int = 0
    """Increases with each write."""
    segments: int = 0
    """Number of closed segments."""
    tail: bytes = b""
    """Claims that are not in a closed segment yet, `KEY_HASH_BYTES` each."""
    witnesses: list[Witness] = []
    """Witnesses that must be asked for claims before the range is taken over."""
    sealing: bool = False
    """Whether a takeover has begun and the witnesses have not been asked yet."""
    doubt_until: float = 0.0
    """Wall time until which a key without a recorded claim may have run, seconds."""


class SegmentRecord(msgspec.Struct, frozen=True):
    """A closed segment of claims."""

    closed_at: float
    """Wall time at which the segment was closed, seconds."""
    keys: bytes
    """Claims, `KEY_HASH_BYTES` each, sorted."""


def hash_key(team: str, service: str, key: str) -> int:
    """Hash a caller's idempotency key, which is scoped to a team and a service, to 64 bits."""
    text = f"{team}\0{service}\0{key}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=KEY_HASH_BYTES).digest(), "big")


def find_range(key: int) -> int:
    """Return the number of the range to which a key's hash belongs."""
    return key % RANGE_COUNT


def compute_quorums(number: int) -> tuple[int, int]:
    """Compute the witness quorums of a range for a claim and for a takeover.

    Every claim quorum and every takeover quorum have at least one witness in common.

    Returns:
        Number of witnesses for a claim, number of witnesses for a takeover.
    """
    claim = number // 2 + 1
    return claim, number - claim + 1


def pack_keys(keys: Iterable[int]) -> bytes:
    """Pack key hashes into bytes, sorted."""
    return array("Q", sorted(keys)).tobytes()


def unpack_keys(packed: bytes) -> array[int]:
    """Unpack key hashes from bytes."""
    keys = array("Q")
    keys.frombytes(packed)
    return keys


class OperationEntry:
    """One operation at the owner of its key."""

    __slots__ = ("answer", "answer_future", "fingerprint", "state")

    def __init__(self, fingerprint: bytes, answer_future: asyncio.Future[Answer]) -> None:
        """Create an operation that has just been received."""
        self.state = load_chart("operation").start
        """State in the state chart `charts/operation.toml`."""
        self.fingerprint = fingerprint
        """Digest of the request, to detect a different request under the same key."""
        self.answer_future = answer_future
        """Future that is set to the answer."""
        self.answer: Answer | None = None
        """The answer; None before the operation has run or when the answer is no longer kept."""

    def apply_event(self, event: str) -> None:
        """Apply an event to the state chart."""
        self.state = load_chart("operation").apply_event(self.state, event)


class Ledger:
    """Claims of one range, and its recent operations with their answers."""

    def __init__(self) -> None:
        """Create an empty ledger."""
        self.entries: OrderedDict[int, OperationEntry] = OrderedDict()
        """Operations of this owner, oldest first."""
        self.tail: set[int] = set()
        """Claims that are not in a closed segment yet."""
        self.answer_bytes = 0
        """Total size of the kept answers, bytes."""
        self._segments: dict[str, array[int]] = {}

    def add_segment(self, name: str, keys: array[int]) -> None:
        """Add a closed segment of sorted keys under its name."""
        self._segments[name] = keys

    def count_claims(self) -> int:
        """Return the number of claims."""
        return len(self.tail) + sum(len(keys) for keys in self._segments.values())

    def is_claimed(self, key: int) -> bool:
        """Return whether a key is claimed, so that its operation may have run."""
        return key in self.tail or any(_contains(keys, key) for keys in self._segments.values())

    def list_tail(self) -> array[int]:
        """Return the keys of the tail, sorted, as in a segment."""
        return array("Q", sorted(self.tail))

    def keep_answer(self, entry: OperationEntry, answer: Answer) -> None:
        """Keep an answer, and drop the oldest answers and operations beyond their limits."""
        entry.answer = answer
        self.answer_bytes += len(answer.body)
        for old in self.entries.values():
            if self.answer_bytes <= MAX_ANSWER_BYTES:
                break
            if old.answer is not None and old is not entry:
                self.answer_bytes -= len(old.answer.body)
                old.answer = None
        while len(self.entries) > MAX_ENTRIES:
            key, oldest = next(iter(self.entries.items()))
            if not oldest.answer_future.done():
                break
            self.answer_bytes -= len(oldest.answer.body) if oldest.answer else 0
            del self.entries[key]


def _contains(keys: array[int], key: int) -> bool:
    index = bisect_left(keys, key)
    return index < len(keys) and keys[index] == key


class WitnessClaims:
    """Claims that this daemon keeps for the owners of ranges while the store is unavailable."""

    def __init__(self) -> None:
        """Create an empty set of claims."""
        self._sealed_epochs: dict[int, int] = {}
        self._claims: dict[int, dict[int, set[int]]] = {}

    def claim(self, number: int, epoch: int, keys: Iterable[int]) -> bool:
        """Keep claims of an owner.

        Returns:
            False if the range has been sealed at a newer epoch.
        """
        if epoch < self._sealed_epochs.get(number, 0):
            return False
        self._claims.setdefault(number, {}).setdefault(epoch, set()).update(keys)
        return True

    def release(self, number: int, epoch: int, keys: Iterable[int]) -> None:
        """Discard claims that have been recorded in the store."""
        by_epoch = self._claims.get(number, {})
        if epoch in by_epoch:
            by_epoch[epoch] -= set(keys)
            if not by_epoch[epoch]:
                del by_epoch[epoch]

    def seal(self, number: int, epoch: int) -> list[int] | None:
        """Reject claims of epochs before `epoch` from now on.

        Returns:
            The claims of older epochs, or None if the range has been sealed at a newer epoch.
        """
        if epoch < self._sealed_epochs.get(number, 0):
            return None
        self._sealed_epochs[number] = epoch
        by_epoch = self._claims.get(number, {})
        return sorted({key for older, keys in by_epoch.items() if older < epoch for key in keys})

    def count_keys(self) -> int:
        """Return the number of claims that are kept."""
        return sum(len(keys) for by_epoch in self._claims.values() for keys in by_epoch.values())
