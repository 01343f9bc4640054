"""Operation ranges at their owner: claims in the store or at witnesses, and takeover.

A daemon may write a range's record only while the record holds its incarnation and epoch, by
compare-and-swap, so that the claims of a paused owner that resumes after a takeover are refused.
Ownership never depends on a clock.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from foxtrestle.errors import FoxtrestleError
from foxtrestle.messages import Claim, ClaimReply, Seal, SealReply
from foxtrestle.operations import (
    SEGMENT_CLOSE_KEYS,
    Ledger,
    OperationEntry,
    RangeRecord,
    SegmentRecord,
    Witness,
    compute_quorums,
    pack_keys,
    unpack_keys,
)
from foxtrestle.records import OPERATION_RANGE_PREFIX, decode_record, encode_record, replace
from foxtrestle.store import ABSENT, OutcomeUnknown, StoreError, compute_backoff, swap_with_retry
from foxtrestle.upstream import make_error_answer

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Awaitable, Callable, Iterable

    from foxtrestle.invariant_checks import InvariantChecks
    from foxtrestle.messages import Answer
    from foxtrestle.operations import WitnessClaims
    from foxtrestle.store import Store
    from foxtrestle.upstream import Request

RETENTION_S: Final = 86_400.0
"""Retention of a key, seconds; a caller must not send the key again after that."""
PEER_TIMEOUT_S: Final = 1.0
"""Timeout for the answer of a witness, seconds."""
STORE_WAIT_S: Final = 0.5
"""Seconds that a claim waits for the store before the witnesses are asked."""
STORE_ATTEMPTS: Final = 2
"""Attempts to write claims to the store before the witnesses are asked instead."""


class PeerRequester(Protocol):
    """Sends a message to a daemon of a given incarnation and returns its reply."""

    async def __call__(self, address: str, incarnation: str, message: object) -> object:
        """Send the message; raises `FoxtrestleError` if there is no reply."""
        ...


class RangeLost(FoxtrestleError):
    """Another daemon owns the range now."""


class RangeContext(msgspec.Struct, frozen=True):
    """Dependencies that all ranges of a daemon share."""

    incarnation: str
    """This daemon's incarnation."""
    store: Store
    """The platform's store."""
    send_to_peer: PeerRequester
    """Sends a message to a peer and returns its reply."""
    execute: Callable[[Request], Awaitable[Answer]]
    """Executes a request once at a runner."""
    list_witnesses: Callable[[], list[Witness]]
    """Lists the other live daemons that may keep claims."""
    is_alive: Callable[[str], bool]
    """Returns whether an incarnation's lease is valid, as last read from the store."""
    witness_claims: WitnessClaims
    """Claims that this daemon keeps for other owners."""
    checks: InvariantChecks
    """Runtime checks of invariants."""
    counts: Counter[str]
    """Counters: `claimed`, `witnessed`, `fenced`, `replayed`, `doubted`."""
    wall_clock: Callable[[], float] = time.time
    """Wall clock, seconds; used only for retention."""


class OwnedRange:
    """A range that this daemon owns."""

    def __init__(self, number: int, context: RangeContext) -> None:
        """Create a range that has not been taken over yet."""
        self.number = number
        """Number of the range."""
        self.record = RangeRecord()
        """Head record as this owner last wrote it."""
        self.ledger = Ledger()
        """Claims and recent operations of the range."""
        self.accepting = False
        """Whether operations may run."""
        self._context = context
        self._head_key = f"{OPERATION_RANGE_PREFIX}{number}/head"
        self._revision = ABSENT
        self._next_batch: dict[int, asyncio.Future[None]] = {}
        self._claims_added = asyncio.Event()
        self._witnessed_keys: set[int] = set()
        self._store_unavailable = False
        self._failures = 0
        self._write_task: asyncio.Task[None] | None = None
        self._lock = asyncio.Lock()
        self._witnesses_uncertain = False
        self._rng = random.Random()
        self._running_count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def take_over(self) -> None:
        """Become the owner: fence the former owner, load its claims, then accept operations.

        Raises:
            RangeLost: Another daemon took the range over first.
            StoreError: The store does not answer.
        """
        stored = await self._context.store.get(self._head_key)
        previous = (
            decode_record(stored.value, RangeRecord, self._head_key) if stored else RangeRecord()
        )
        self._revision = stored.revision if stored else ABSENT
        self.record = replace(previous, epoch=previous.epoch + 1, holder=self._context.incarnation)
        await self._write(sealing=bool(previous.witnesses))
        await self._load_segments()
        self.ledger.tail = set(unpack_keys(self.record.tail))
        claims_missing = await self._seal_witnesses() if self.record.sealing else False
        doubt_until = self.record.doubt_until
        if claims_missing:
            self._context.counts["doubted"] += 1
            doubt_until = self._context.wall_clock() + RETENTION_S
        await self._write(
            sealing=False,
            tail=pack_keys(self.ledger.tail),
            witnesses=self._context.list_witnesses(),
            doubt_until=doubt_until,
        )
        self.accepting = True

    async def submit(self, key: int, request: Request) -> Answer:
        """Run an operation, or answer with the recorded outcome if its key may have run."""
        fingerprint = hashlib.sha256(
            f"{request.method} {request.path}\n".encode() + request.body
        ).digest()
        entry = self.ledger.entries.get(key)
        if entry is not None and entry.fingerprint != fingerprint:
            return make_error_answer(422, "not-run", "the key was used for another request")
        if entry is not None and entry.state not in ("released", "refused"):
            return await self._answer_repeated(entry, request)
        if entry is None and self.ledger.is_claimed(key):
            return make_error_answer(409, "may-have-run", "may have run; was not run again")
        if entry is None and self._context.wall_clock() < self.record.doubt_until:
            reason = "may have run before daemons were lost; was not run again"
            return make_error_answer(409, "may-have-run", reason)
        if not self.accepting:
            return make_error_answer(
                503, "may-have-run", "the range is changing hands", retry_after_s=0.5
            )
        return await self._run(key, fingerprint, request)

    async def serve(self) -> None:
        """Write claims in batches until the range is lost or the task is cancelled.

        Raises:
            RangeLost: Another daemon owns the range now.
        """
        try:
            while True:
                await self._wait_for_work()
                batch, self._next_batch = self._next_batch, {}
                try:
                    await self._claim_batch(batch)
                finally:
                    self._fail_unconfirmed(batch)
                if self._store_unavailable:
                    await self._flush_witnessed()
        finally:
            self.accepting = False
            self._fail_unconfirmed(self._next_batch)
            if self._write_task is not None:
                self._write_task.cancel()
                await asyncio.gather(self._write_task, return_exceptions=True)

    async def refresh_witnesses(self) -> None:
        """Update the witnesses in the record if they have changed and the store is available.

        Raises:
            RangeLost: Another daemon owns the range now.
        """
        witnesses = self._context.list_witnesses()
        if not self.accepting or self._store_unavailable or witnesses == self.record.witnesses:
            return
        async with self._lock:
            # Until the write is confirmed, the stored record may name former or new witnesses.
            self._witnesses_uncertain = True
            tail = pack_keys(self.ledger.tail)
            await self._write(witnesses=witnesses, tail=tail)

    async def release(self) -> None:
        """Release the range cleanly: wait for running operations, then clear the holder."""
        self.accepting = False
        await self._idle.wait()
        async with self._lock:
            tail = pack_keys(self.ledger.tail)
            await self._write(holder="", witnesses=[], sealing=False, tail=tail)

    async def _run(self, key: int, fingerprint: bytes, request: Request) -> Answer:
        loop = asyncio.get_running_loop()
        entry = self.ledger.entries.get(key)
        claimed = entry is not None and entry.state == "released"
        if entry is None or entry.state == "refused":
            entry = OperationEntry(fingerprint, loop.create_future())
            self.ledger.entries[key] = entry
        else:
            entry.answer_future = loop.create_future()
        # Applied before the first await, so that a concurrent call finds the operation in progress.
        entry.apply_event("claim")
        self._running_count += 1
        self._idle.clear()
        work = loop.create_task(self._execute_operation(key, entry, request, claimed=claimed))
        work.add_done_callback(lambda _: self._count_finished())
        return await asyncio.shield(entry.answer_future)

    async def _execute_operation(
        self, key: int, entry: OperationEntry, request: Request, *, claimed: bool
    ) -> None:
        """Claim the key, execute the request and set the answer, even if the caller disconnects."""
        if not claimed:
            try:
                await self._enqueue(key)
            except FoxtrestleError as error:
                entry.apply_event("withdrawn")
                # This request was not executed, but another owner may have run the key before.
                refusal = make_error_answer(
                    503, "may-have-run", f"not claimed: {error.reason}", retry_after_s=1.0
                )
                entry.answer_future.set_result(refusal)
                return
            entry.apply_event("claimed")
        if entry.state != "running" or not self.ledger.is_claimed(key):
            self._context.checks.report_violation(
                "at-most-once", str(key), "about to run without a claim"
            )
            entry.answer_future.set_result(
                make_error_answer(500, "not-run", "run without a claim; stopped")
            )
            return
        try:
            answer = await self._context.execute(request)
        except Exception as error:
            answer = make_error_answer(500, "may-have-run", f"the exchange failed: {error}")
        if answer.outcome == "not-run":
            entry.apply_event("refused_upstream")
        elif answer.outcome == "ran":
            entry.apply_event("answer")
            self.ledger.keep_answer(entry, answer)
        else:
            entry.apply_event("doubt")
        entry.answer_future.set_result(answer)

    def _count_finished(self) -> None:
        self._running_count -= 1
        if not self._running_count:
            self._idle.set()

    async def _answer_repeated(self, entry: OperationEntry, request: Request) -> Answer:
        """Answer a caller that repeats a key."""
        self._context.counts["replayed"] += 1
        if entry.state == "unknown":
            return make_error_answer(409, "may-have-run", "may have run; was not run again")
        if entry.state == "answered" and entry.answer is None:
            return make_error_answer(409, "ran", "it ran; its answer is no longer kept")
        if entry.answer is not None:
            return entry.answer
        try:
            async with asyncio.timeout(max(0.0, request.deadline - time.monotonic())):
                return await asyncio.shield(entry.answer_future)
        except TimeoutError:
            return make_error_answer(504, "may-have-run", "still under way", retry_after_s=1.0)

    async def _enqueue(self, key: int) -> None:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._next_batch[key] = future
        self._claims_added.set()
        await future

    async def _wait_for_work(self) -> None:
        """Wait for claims to write, at most until the next retry of an unavailable store."""
        if self._store_unavailable:
            pause = compute_backoff(self._failures, self._rng)
            try:
                async with asyncio.timeout(pause):
                    await self._claims_added.wait()
            except TimeoutError:
                pass
        else:
            await self._claims_added.wait()
        self._claims_added.clear()

    async def _claim_batch(self, batch: dict[int, asyncio.Future[None]]) -> None:
        """Claim a batch in the store, or at witnesses while the store is unavailable."""
        if not self._store_unavailable and await self._claim_in_store(batch.keys()):
            self._confirm(batch, "claimed")
        elif batch and await self._ask_witnesses(batch.keys()):
            self._confirm(batch, "witnessed")

    async def _claim_in_store(self, keys: Iterable[int]) -> bool:
        """Write claims to the store; return False if the write fails or takes too long."""
        self._write_task = asyncio.create_task(self._write_claims(keys))
        await asyncio.wait({self._write_task}, timeout=STORE_WAIT_S)
        if not self._write_task.done():
            self._store_unavailable = True
            return False
        write_task, self._write_task = self._write_task, None
        try:
            write_task.result()
        except StoreError:
            self._store_unavailable = True
            return False
        return True

    async def _flush_witnessed(self) -> None:
        """Write the claims that witnesses keep to the store, one write at a time."""
        if self._write_task is None:
            self._write_task = asyncio.create_task(self._write_claims(()))
            await asyncio.wait({self._write_task}, timeout=0.01)
        if not self._write_task.done():
            return
        write_task, self._write_task = self._write_task, None
        try:
            write_task.result()
        except StoreError:
            self._failures += 1
            return
        self._store_unavailable, self._failures = False, 0
        released = self._witnessed_keys & set(unpack_keys(self.record.tail))
        self._witnessed_keys -= released
        if self._witnessed_keys:
            self._store_unavailable = True
        message = Claim(self.number, self.record.epoch, sorted(released), release=True)
        if released:
            await asyncio.gather(
                *(self._send_to_witness(witness, message) for witness in self.record.witnesses)
            )

    async def _write_claims(self, keys: Iterable[int]) -> None:
        new_claims = set(keys)
        async with self._lock:
            await self._write(tail=pack_keys(self.ledger.tail | new_claims))
            self.ledger.tail |= new_claims
            if len(self.ledger.tail) >= SEGMENT_CLOSE_KEYS and not self._witnessed_keys:
                await self._close_segment()

    async def _close_segment(self) -> None:
        """Move the tail to a segment: store the segment first, then the head that refers to it."""
        number, keys = self.record.segments, self.ledger.list_tail()
        segment = SegmentRecord(self._context.wall_clock(), keys.tobytes())
        # The epoch in the name keeps a resumed owner from overwriting its successors' segments.
        name = f"{self.record.epoch:08d}-{number:08d}"
        path = f"{OPERATION_RANGE_PREFIX}{self.number}/segments/{name}"
        value = encode_record(segment)
        stored = await self._context.store.get(path)
        swap = await swap_with_retry(
            self._context.store, path, value, stored.revision if stored else ABSENT
        )
        if not swap.done:
            raise OutcomeUnknown(
                "another write changed the segment", step="ranges.close", peer=path
            )
        remaining_keys = self.ledger.tail - set(keys)
        await self._write(segments=number + 1, tail=pack_keys(remaining_keys))
        self.ledger.add_segment(name, keys)
        self.ledger.tail -= set(keys)

    async def _load_segments(self) -> None:
        listing = await self._context.store.scan(f"{OPERATION_RANGE_PREFIX}{self.number}/segments/")
        oldest = self._context.wall_clock() - RETENTION_S
        for stored in listing.records:
            segment = decode_record(stored.value, SegmentRecord, stored.key)
            if segment.closed_at >= oldest:
                self.ledger.add_segment(stored.key.rpartition("/")[2], unpack_keys(segment.keys))
            else:
                await self._context.store.swap(stored.key, None, stored.revision)

    async def _write(self, **changes: object) -> None:
        """Write the head record with some fields changed; the caller holds the lock.

        Raises:
            RangeLost: The head record belongs to another owner.
            StoreError: The write failed, or its outcome is unknown.
        """
        record = replace(self.record, sequence=self.record.sequence + 1, **changes)
        value = encode_record(record)
        for _ in range(STORE_ATTEMPTS):
            swap = await swap_with_retry(
                self._context.store, self._head_key, value, self._revision, attempts=STORE_ATTEMPTS
            )
            if swap.done and swap.record is not None:
                self._revision, self.record = swap.record.revision, record
                self._witnesses_uncertain = False
                return
            if swap.record is None:
                raise RangeLost(
                    "the head record was deleted", step="ranges.write", peer=self._head_key
                )
            current = decode_record(swap.record.value, RangeRecord, self._head_key)
            if (current.holder, current.epoch) != (self._context.incarnation, self.record.epoch):
                self._context.counts["fenced"] += 1
                raise RangeLost(
                    "another daemon owns the range", step="ranges.write", peer=self._head_key
                )
            # An earlier write by this owner took effect but its answer was lost: write again on the
            # new revision, with a higher sequence number.
            self._revision = swap.record.revision
            record = replace(record, sequence=max(record.sequence, current.sequence) + 1)
            value = encode_record(record)
        raise OutcomeUnknown("the record keeps changing", step="ranges.write", peer=self._head_key)

    async def _ask_witnesses(self, keys: Iterable[int]) -> bool:
        """Claim keys at a quorum of witnesses before they run; return False without a quorum."""
        new_claims = list(keys)
        witnesses = self.record.witnesses
        if not witnesses or self._witnesses_uncertain or self.record.sealing:
            return False
        needed, _ = compute_quorums(len(witnesses))
        message = Claim(self.number, self.record.epoch, new_claims)
        accepted = 0
        calls = [
            asyncio.create_task(self._send_to_witness(witness, message)) for witness in witnesses
        ]
        for reply in asyncio.as_completed(calls):
            answer = await reply
            accepted += isinstance(answer, ClaimReply) and answer.accepted
            if accepted >= needed:
                break
        if accepted < needed:
            return False
        self._witnessed_keys.update(new_claims)
        self.ledger.tail |= set(new_claims)
        return True

    async def _seal_witnesses(self) -> bool:
        """Seal the range at the former owner's witnesses and load claims that are not in the store.

        Returns:
            Whether claims may be missing, because too many witnesses are lost permanently.
        """
        witnesses = self.record.witnesses
        _, needed = compute_quorums(len(witnesses))
        message = Seal(self.number, self.record.epoch)
        attempt = 0
        while True:
            replies = await asyncio.gather(
                *(self._send_to_witness(witness, message) for witness in witnesses)
            )
            sealed = [reply for reply in replies if isinstance(reply, SealReply) and reply.accepted]
            for reply in sealed:
                self.ledger.tail.update(reply.keys)
            if len(sealed) >= needed:
                return False
            alive = sum(self._context.is_alive(witness.incarnation) for witness in witnesses)
            if alive < needed:
                return True
            attempt += 1
            await asyncio.sleep(compute_backoff(attempt, self._rng))

    async def _send_to_witness(self, witness: Witness, message: Claim | Seal) -> object:
        if witness.incarnation == self._context.incarnation:
            return handle_witness_request(self._context.witness_claims, message)
        try:
            return await self._context.send_to_peer(witness.address, witness.incarnation, message)
        except FoxtrestleError:
            return None

    def _confirm(self, batch: dict[int, asyncio.Future[None]], counter: str) -> None:
        for future in batch.values():
            self._context.counts[counter] += 1
            if not future.done():
                future.set_result(None)

    def _fail_unconfirmed(self, batch: dict[int, asyncio.Future[None]]) -> None:
        """Fail the claims of a batch that have not been confirmed."""
        error = StoreError("the store is away and too few witnesses answer", step="ranges.claim")
        for future in batch.values():
            if not future.done():
                future.set_exception(error)


def handle_witness_request(
    witness_claims: WitnessClaims, message: Claim | Seal
) -> ClaimReply | SealReply:
    """Handle an owner's claim or a new owner's seal as a witness."""
    if isinstance(message, Seal):
        keys = witness_claims.seal(message.range, message.epoch)
        return SealReply(keys is not None, keys or [])
    if message.release:
        witness_claims.release(message.range, message.epoch, message.keys)
        return ClaimReply(True)
    return ClaimReply(witness_claims.claim(message.range, message.epoch, message.keys))
