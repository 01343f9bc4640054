"""Leader election of a partition: one controller at a time, in terms with increasing numbers."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.hand_over import decode_hand_over, probe_zones
from foxtrestle.control.keys import build_keys
from foxtrestle.control.log import Outage, log
from foxtrestle.control.stored import decode_json, decode_or_skip, decode_stored
from foxtrestle.scheduling.partitions import Partition
from foxtrestle.scheduling.reachability import (
    HAND_OVER_PAUSE_S,
    SAME_ZONE_DELAY_S,
    Takeover,
    compute_candidate_delay,
)
from foxtrestle.store import (
    ABSENT,
    Compacted,
    OutcomeUnknown,
    Record,
    StaleCall,
    StoreError,
    Transaction,
    TransactionConflict,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from foxtrestle.control.hand_over import HandOver
    from foxtrestle.platform.store import PlatformStore

UNDIVIDED: Final = Partition()
"""The only partition of a fleet that is not divided."""
LEASE_S: Final = 1.4
"""Seconds after its last renewal at which a controller's lock expires. If the controller fails, no
new task starts until the lock has expired. The store grants at least 1 s and answers in up to 0.3 s
when it is slow; renewing every quarter of the lease tolerates two lost answers."""
RENEWAL_INTERVAL_S: Final = 0.35
"""Seconds between renewals."""
FIRST_RENEWAL_TIMEOUT_S: Final = 0.4
"""Time-out of the first renewal after a successful one, seconds: longer than the 0.3 s of a slow
store, and short enough that a second attempt on a fresh connection keeps the lease if all existing
connections have failed. Later attempts use the default time-out, in case the store is slower
than that."""
LEASE_MARGIN_S: Final = 0.15
"""Seconds by which a controller treats its lease as expired before the store does."""
ELECTION_JITTER_S: Final = 0.1
"""Longest random delay before a node tries a free lock, seconds; spreads the nodes' calls."""
MIN_FIT_CORES: Final = 0.9
"""CPU cores from which a node counts as fit to be the controller."""
MIN_FIT_LINK_MBPS: Final = 50.0
"""Link bandwidth from which a node counts as fit: over a slower link, loading the state takes
seconds."""
UNFIT_DELAY_S: Final = 0.5
"""Seconds by which a node delays its attempt for each of the two minimums above that it misses."""
FALLBACK_POLL_S: Final = 2.0
"""Mean seconds between two reads of the lock by a node that is not preferred for a partition. A
failed controller's lease expires after 1.4 s, and preferred nodes then take the free lock within a
second."""
RETRY_S: Final = 0.3
"""Approximate pause after a failed call, seconds."""
RELEASE_TIMEOUT_S: Final = 2.5
"""Seconds for which a controller that stops or hands over tries to release the lock; equal to the
time for which a stopping node keeps serving. If it tried only once, during a store outage, the lock
would only expire some time after the store's return, and no task would start until then."""
RELEASE_RETRY_S: Final = 0.15
"""Mean pause between two attempts to release the lock, seconds."""
GRACE_WITHOUT_STORE_S: Final = 5.0
"""Seconds after its lease has expired for which a controller that cannot reach the store keeps
extending the workers' leases: no new task starts, but a short store outage ends no running task."""
RESERVED_TOKENS: Final = 1_000
"""Fencing tokens above its own number that a term reserves in one write, for calls to workers. Each
unanswered call to a worker raises that worker's token by one, at most about five times a second;
workers may share a number. A controller continues for 5 s without the store."""


def compute_election_delay(cpu_cores: float, link_mbps: float) -> float:
    """Return by how many seconds a node delays its attempt when the lock is free."""
    missed = (cpu_cores < MIN_FIT_CORES) + (link_mbps < MIN_FIT_LINK_MBPS)
    return missed * UNFIT_DELAY_S


class LockRecord(msgspec.Struct, frozen=True):
    """Value of the lock."""

    node: str
    """Name of the controller's node."""
    nonce: str
    """Random text that distinguishes this acquisition from all others."""
    zone: str = ""
    """Availability zone of the node."""


def read_zone(lock: Record) -> str:
    """Return the availability zone in a lock record; empty if there is none."""
    decoded = decode_or_skip(lock, decode_json(LockRecord), "control.lock-unreadable")
    return decoded.zone if decoded is not None else ""


class Term:
    """One term of a controller, from the acquisition of the lock to its loss."""

    def __init__(
        self,
        number: int,
        lock: Record,
        valid_until: float,
        partition: Partition = UNDIVIDED,
        reserved: int = 0,
        takeover: Takeover | None = None,
    ) -> None:
        """Create a term that has just been acquired."""
        self.takeover = takeover or Takeover(read_clock())
        """State of the zones when the term began."""
        self.hand_over: HandOver | None = None
        """Record left for the next controller; None until a hand-over is requested."""
        self.hand_over_requested = asyncio.Event()
        """Set once a hand-over is requested."""
        self.partition = partition
        """Partition that is controlled."""
        self.keys = build_keys(partition.number)
        """Store keys of the partition."""
        self.number = number
        """Number of the term; every order carries it or a higher number as its fencing token."""
        self.reserved = max(number, reserved)
        """Highest number reserved by the term; the next term's number is above it. The numbers
        above the term's own are fencing tokens of calls to workers."""
        self.lock = lock
        """The lock record as written."""
        self.valid_until = valid_until
        """Monotonic time until which no other controller can exist, unless another writer has
        removed the lock."""
        self.closing = False
        """Whether the lock is being released, for a planned stop or a hand-over: no more orders are
        sent, but workers' leases are still extended."""
        self.lost = asyncio.Event()
        """Set once another controller may exist or has been detected."""

    def is_valid(self) -> bool:
        """Return whether orders may be sent now."""
        if self.closing or self.lost.is_set():
            return False
        return read_clock() < self.valid_until

    def may_renew_leases(self) -> bool:
        """Return whether workers' leases may be extended now."""
        limit = self.valid_until + GRACE_WITHOUT_STORE_S
        return not self.lost.is_set() and read_clock() < limit

    def request_hand_over(self, hand_over: HandOver) -> None:
        """Request a hand-over: no more orders; leases are extended until the lock is released."""
        self.closing = True
        self.hand_over = hand_over
        self.hand_over_requested.set()

    def lose(self, reason: str) -> None:
        """End the term."""
        if not self.lost.is_set():
            log("control.lost", term=self.number, reason=reason)
            self.lost.set()


class LeaderElection:
    """Watches a partition's lock and acquires it when it is free."""

    def __init__(
        self,
        store: PlatformStore,
        node: str,
        election_delay_s: float,
        lead: Callable[[Term], Awaitable[None]],
        partition: Partition = UNDIVIDED,
        *,
        preferred: bool = True,
        zone: str = "",
        probe: Callable[[str, float], Awaitable[bool]] | None = None,
        prefer_other_zones: bool = False,
    ) -> None:
        """Create a participant that holds no lock.

        Args:
            store: The platform's store.
            node: Name of this node.
            election_delay_s: Seconds by which this node delays its attempt when the lock is free.
            lead: Runs the controller of each term acquired; cancelled when the term is lost.
            partition: Partition whose lock is watched.
            preferred: Whether this node is among those that acquire a free lock at once; the other
                nodes do so only if none of these has.
            zone: Availability zone of this node.
            probe: Returns whether a worker's address answers within a number of seconds; None if
                control is never handed over because there is only one zone.
            prefer_other_zones: Whether nodes outside the former controller's zone go first, because
                a whole zone may be lost at once.
        """
        self.term: Term | None = None
        """The term held by this node; None if it holds none."""
        self._store = store
        self._node = node
        self._election_delay_s = election_delay_s
        self._partition = partition
        self._keys = build_keys(partition.number)
        self._preferred = preferred
        self._lead = lead
        self._zone = zone
        self._probe = probe
        self._prefer_other_zones = prefer_other_zones
        self._former_lock: Record | None = None
        # This node's last hand-over record, kept here too as the store may not have accepted it.
        self._own_hand_over: HandOver | None = None
        self._handed_over_at = 0.0
        self._closing = False
        self._outage = Outage("store", "lock")

    async def run(self) -> None:
        """Acquire the lock whenever it is free, until cancelled."""
        while not self._closing:
            try:
                if self._preferred:
                    await self._wait_until_free()
                else:
                    await self._wait_until_unclaimed()
                self._outage.note_success()
                delay_s = self._election_delay_s + random.uniform(0, ELECTION_JITTER_S)
                (takeover, yield_s), _ = await asyncio.gather(
                    self._assess_takeover(), asyncio.sleep(delay_s)
                )
                if yield_s:
                    await asyncio.sleep(yield_s)
                if await self._store.get(self._keys.lock) is not None:
                    continue
                if self._closing:
                    return
                term = await self._acquire(takeover)
                if term is not None:
                    await self._serve(term)
            except StoreError as error:
                self._outage.note_failure(error)
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))

    async def close(self) -> None:
        """Release the lock, so that another node takes over at once.

        While the store is unavailable no node can take over, so workers' leases are extended until
        the lock is released or this process must exit.
        """
        self._closing = True
        term = self.term
        if term is None:
            return
        term.closing = True
        await self._release_with_retry(term, "planned stop")

    async def _hand_over(self, term: Term) -> None:
        """Release the lock once a hand-over is requested; `run` then watches it again."""
        await term.hand_over_requested.wait()
        hand_over = term.hand_over
        assert hand_over is not None
        self._own_hand_over, self._handed_over_at = hand_over, read_clock()
        log("control.handed-over", term=term.number, partition=self._partition.number,
            zone=self._zone, apart=hand_over.unreachable_zones,
            looks={zone: len(group) for zone, group in hand_over.probe_addresses.items()},
            held_s=round(read_clock() - term.takeover.at, 3))  # fmt: skip
        await self._release_with_retry(term, "handed over")

    async def _release_with_retry(self, term: Term, reason: str) -> None:
        """Release the lock, retrying for some seconds, and end the term."""
        deadline = read_clock() + RELEASE_TIMEOUT_S
        outage = Outage("store", "release of the lock")
        while term.may_renew_leases() and not await self._release(term, outage):
            if read_clock() > deadline:
                break
            await asyncio.sleep(random.uniform(RELEASE_RETRY_S / 2, RELEASE_RETRY_S * 1.5))
        term.lose(reason)

    async def _release(self, term: Term, outage: Outage) -> bool:
        """Remove the lock; return False if the store did not confirm that."""
        lock = self._keys.lock
        puts = {}
        if term.hand_over is not None:
            # More tokens may have been reserved since the hand-over was requested.
            hand_over = msgspec.structs.replace(term.hand_over, reserved=term.reserved)
            puts[self._keys.hand_over] = msgspec.json.encode(hand_over)
        transaction = Transaction({lock: term.lock.revision}, puts, removals=(lock,))
        try:
            await self._store.commit(transaction)
        except TransactionConflict:
            # The lock is gone: an unanswered attempt has removed it, or the lease has expired.
            return True
        except StoreError as error:
            outage.note_failure(error)
            return False
        outage.note_success()
        return True

    async def _assess_takeover(self) -> tuple[Takeover, float]:
        """Read the former controller's hand-over record and probe the zones that it names.

        Returns:
            The state at takeover, and the seconds by which this node delays its attempt for it.
        """
        if self._probe is not None:
            hand_over_record = await self._store.get(self._keys.hand_over)
            term_record = (
                await self._store.get(self._keys.term) if hand_over_record is not None else None
            )
            hand_over = (
                decode_hand_over(hand_over_record, decode_stored(term_record, int))
                if term_record is not None
                else None
            )
            if hand_over is not None:
                return await self._probe_zones(hand_over, self._probe)
        if (
            self._own_hand_over is not None
            and read_clock() - self._handed_over_at < HAND_OVER_PAUSE_S
        ):
            # Other nodes go first even if the store has not accepted this node's hand-over record.
            unreachable = frozenset(self._own_hand_over.unreachable_zones)
            yield_s = compute_candidate_delay(len(unreachable), released_control=True)
            return Takeover(read_clock(), handed_over=True, unreachable_zones=unreachable), yield_s
        takeover = Takeover(read_clock())
        if self._prefer_other_zones and self._former_lock is not None:
            is_same_zone = bool(self._zone) and read_zone(self._former_lock) == self._zone
            return takeover, SAME_ZONE_DELAY_S * is_same_zone
        return takeover, 0.0

    async def _probe_zones(
        self, hand_over: HandOver, probe: Callable[[str, float], Awaitable[bool]]
    ) -> tuple[Takeover, float]:
        """Probe which zones this node reaches, as the former controller did not reach all."""
        began_at = read_clock()
        unreachable = await probe_zones(hand_over, probe)
        released_control = hand_over.node == self._node
        yield_s = compute_candidate_delay(len(unreachable), released_control=released_control)
        now = read_clock()
        log("control.candidate", former=hand_over.node, former_term=hand_over.term,
            partition=self._partition.number, apart=hand_over.unreachable_zones,
            unreached=sorted(unreachable), yields_s=yield_s,
            took_s=round(now - began_at, 3))  # fmt: skip
        return Takeover(now, handed_over=True, unreachable_zones=unreachable), yield_s

    async def _wait_until_free(self) -> None:
        record, revision = await self._read_lock()
        self._former_lock = record
        while record is not None:
            self._former_lock = record
            try:
                changes, revision = await self._store.poll(self._keys.lock, revision)
            except Compacted:
                record, revision = await self._read_lock()
                continue
            except StaleCall:
                continue
            for change in changes:
                if change.key == self._keys.lock:
                    record = change.record

    async def _wait_until_unclaimed(self) -> None:
        """Wait until two consecutive reads find the lock free; reads are cheap and may be stale."""
        free_reads = 0
        while free_reads < 2:
            await asyncio.sleep(random.uniform(FALLBACK_POLL_S / 2, FALLBACK_POLL_S * 1.5))
            lock_record = await self._store.get(self._keys.lock, stale=True)
            free_reads = free_reads + 1 if lock_record is None else 0

    async def _read_lock(self) -> tuple[Record | None, int]:
        """Return the lock and the store revision from which to watch it.

        The lock's own revision may be older than the history that the store keeps.
        """
        listing = await self._store.scan(self._keys.lock)
        lock_records = [record for record in listing.records if record.key == self._keys.lock]
        return (lock_records[0] if lock_records else None), listing.revision

    async def _acquire(self, takeover: Takeover | None = None) -> Term | None:
        term_record = await self._store.get(self._keys.term)
        keys = self._keys
        number = decode_stored(term_record, int) + 1 if term_record else 1
        reserved = number + RESERVED_TOKENS
        sent_at = read_clock()
        lease = await self._store.grant(LEASE_S)
        value = msgspec.json.encode(LockRecord(self._node, uuid.uuid4().hex[:12], self._zone))
        transaction = Transaction(
            conditions={
                keys.lock: ABSENT,
                keys.term: term_record.revision if term_record else ABSENT,
            },
            # The term's key holds the highest reserved number, not the term's own.
            puts={keys.lock: value, keys.term: str(reserved).encode()},
            lease=lease,
            leased=frozenset({keys.lock}),
        )
        try:
            revision = await self._store.commit(transaction)
        except TransactionConflict as conflict:
            log("control.race-lost", term=number, lock=keys.lock in conflict.records)
            return None
        except OutcomeUnknown:
            current = await self._store.get(self._keys.lock)
            if current is None or current.value != value:
                return None
            revision = current.revision
        self._lease = lease
        valid_until = sent_at + LEASE_S - LEASE_MARGIN_S
        if takeover is not None:
            takeover = msgspec.structs.replace(takeover, at=read_clock())
        lock = Record(keys.lock, value, revision)
        return Term(number, lock, valid_until, self._partition, reserved, takeover)

    async def _serve(self, term: Term) -> None:
        self.term = term
        log("control.acquired", term=term.number, revision=term.lock.revision,
            partition=self._partition.number)  # fmt: skip
        lead = asyncio.ensure_future(self._lead(term))
        loops = [
            asyncio.create_task(self._renew(term)),
            asyncio.create_task(self._watch_lock(term)),
            asyncio.create_task(self._hand_over(term)),
        ]
        try:
            await term.lost.wait()
        finally:
            self.term = None
            for task in [lead, *loops]:
                task.cancel()
            results = await asyncio.gather(lead, *loops, return_exceptions=True)
            for result in results:
                if isinstance(result, Exception):
                    log("control.failed", term=term.number, reason=repr(result))
            log("control.stopped", term=term.number)

    async def _renew(self, term: Term) -> None:
        """Renew the lock's lease; end the term if it expires or the store fails for too long."""
        outage = Outage("store", "renewal")
        failures = 0
        # Attempts continue after the lock's lease should have expired, as long as workers' leases
        # may be extended.
        while term.may_renew_leases():
            if term.closing:
                # The lock is not renewed while it is being released, so that it expires with its
                # lease if it is not released in time.
                await asyncio.sleep(RENEWAL_INTERVAL_S)
                continue
            sent_at = read_clock()
            try:
                renewed = await self._store.keep_alive(
                    self._lease, timeout_s=None if failures else FIRST_RENEWAL_TIMEOUT_S
                )
            except StaleCall:
                continue
            except StoreError as error:
                outage.note_failure(error)
                failures += 1
                if failures > 1:
                    await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S))
                continue
            outage.note_success()
            failures = 0
            if not renewed:
                term.lose("lease has expired")
                return
            term.valid_until = sent_at + LEASE_S - LEASE_MARGIN_S
            await asyncio.sleep(RENEWAL_INTERVAL_S)
        term.lose("store unavailable for too long")

    async def _watch_lock(self, term: Term) -> None:
        """End the term as soon as the lock changes."""
        revision = term.lock.revision
        outage = Outage("store", "own lock")
        while True:
            try:
                changes, revision = await self._store.poll(self._keys.lock, revision)
                outage.note_success()
            except Compacted:
                current, revision = await self._read_lock()
                if current is None or current.revision != term.lock.revision:
                    term.lose("lock removed or replaced")
                    return
                continue
            except StaleCall:
                continue
            except StoreError as error:
                outage.note_failure(error)
                await asyncio.sleep(RETRY_S)
                continue
            if any(change.key == self._keys.lock for change in changes):
                term.lose("handed over" if term.hand_over else "lock removed or replaced")
                return
