"""Shards of control work: which daemon holds which shard, and the locks that record the holders.

A lock is a key bound to its holder's lease. Locks spread the work and show every daemon which
daemon holds a shard; safety does not depend on locks but on the epoch in each shard's own record.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from foxtrestle.errors import FoxtrestleError
from foxtrestle.records import SHARED_PREFIX, decode_record, encode_record
from foxtrestle.store import ABSENT, StoreError, swap_with_retry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from foxtrestle.events import Timeline
    from foxtrestle.store import Mirror, Store

SHARD_LOCK_PREFIX: Final = SHARED_PREFIX + "holders/"
"""Prefix of the shard locks."""


class HolderRecord(msgspec.Struct, frozen=True):
    """Lock of one shard; the store deletes its key when the holder's lease ends."""

    incarnation: str
    """Incarnation of the holder."""
    address: str
    """Peer address of the holder, `ip:port`."""


class ShardPlan(msgspec.Struct, frozen=True):
    """Shards that a daemon should claim and release now."""

    claim: list[str]
    """Shards to claim."""
    release: list[str]
    """Shards to release so that the work is spread evenly."""


class ShardWork(Protocol):
    """Work on one shard."""

    async def run(self) -> None:
        """Run until cancelled; returns or raises when the shard is lost."""
        ...

    async def release(self) -> None:
        """Hand over the shard cleanly; called before `run` is cancelled."""
        ...


def choose_shards(
    shards: Iterable[str], holders: dict[str, str], members: Iterable[str], own_incarnation: str
) -> ShardPlan:
    """Choose the shards that a daemon claims and releases.

    Free shards go to the daemons with the fewest shards; ties are broken by a hash, so that all
    daemons make the same choice from the same state. A daemon releases a shard when it holds at
    least two more than some other daemon.

    Args:
        shards: All shards.
        holders: Incarnation of the holder of each locked shard.
        members: Incarnations of the daemons that are alive and not stopping.
        own_incarnation: This daemon's incarnation.
    """
    names = sorted(shards)
    load = Counter(dict.fromkeys(members, 0))
    if own_incarnation not in load:
        return ShardPlan([], [name for name in names if holders.get(name) == own_incarnation])
    for name in names:
        if holders.get(name) in load:
            load[holders[name]] += 1
    claim = []
    for name in names:
        if name in holders:
            continue
        target = min(load, key=lambda member: (load[member], _compute_rank(name, member)))
        load[target] += 1
        if target == own_incarnation:
            claim.append(name)
    own = [name for name in names if holders.get(name) == own_incarnation]
    release = (
        own[-1:] if own and not claim and load[own_incarnation] > min(load.values()) + 1 else []
    )
    return ShardPlan(claim, release)


def _compute_rank(shard: str, member: str) -> bytes:
    return hashlib.blake2b(f"{shard}\0{member}".encode(), digest_size=8).digest()


class ShardHolder:
    """Claims, runs and releases this daemon's shards."""

    def __init__(
        self,
        own_lock: HolderRecord,
        store: Store,
        mirror: Mirror,
        timeline: Timeline,
        make_work: Callable[[str], ShardWork],
    ) -> None:
        """Create a holder without shards.

        Args:
            own_lock: Record that this daemon writes into locks.
            store: The platform's store.
            mirror: Mirror of the shared records, including the locks.
            timeline: Timeline to which changes of holder are added.
            make_work: Creates the work on a shard.
        """
        self.work_by_shard: dict[str, ShardWork] = {}
        """Work on each held shard, by name of the shard."""
        self._own_lock = own_lock
        self._store = store
        self._mirror = mirror
        self._timeline = timeline
        self._make_work = make_work
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._releasing: set[str] = set()
        self._decoded_locks: dict[str, tuple[int, HolderRecord]] = {}
        self._closed = False

    def list_holders(self) -> dict[str, HolderRecord]:
        """Return the holder of each locked shard according to the mirror."""
        names = [
            key.removeprefix(SHARD_LOCK_PREFIX)
            for key in self._mirror.records
            if key.startswith(SHARD_LOCK_PREFIX)
        ]
        holders = {name: self.get_holder(name) for name in names}
        return {name: holder for name, holder in holders.items() if holder is not None}

    def get_holder(self, name: str) -> HolderRecord | None:
        """Return the holder of one shard according to the mirror, or None if it is free."""
        stored = self._mirror.records.get(SHARD_LOCK_PREFIX + name)
        if stored is None:
            return None
        cached = self._decoded_locks.get(name)
        if cached is None or cached[0] != stored.revision:
            cached = (stored.revision, decode_record(stored.value, HolderRecord, stored.key))
            self._decoded_locks[name] = cached
        return cached[1]

    async def reconcile(self, shards: Iterable[str], members: Iterable[str], lease: int) -> None:
        """Reconcile the held shards with the plan and the mirrored locks."""
        if self._closed:
            return
        locks = self._list_locks()
        for name in [name for name in self._tasks if self._is_lost(name, locks)]:
            await self._stop_work(name, "lost")
        plan = choose_shards(shards, locks, members, self._own_lock.incarnation)
        for name in plan.claim:
            await self._claim(name, lease)
        for name in plan.release:
            await self.release(name)
        for name, holder in self._list_locks().items():
            # This daemon holds the lock without running work if the answer to its claim was lost.
            idle = name not in self._tasks and name not in self._releasing
            if holder == self._own_lock.incarnation and idle and not self._closed:
                self._start_work(name)

    async def release(self, name: str) -> None:
        """Hand over and unlock one shard."""
        self._releasing.add(name)
        try:
            work = self.work_by_shard.get(name)
            if work is not None:
                await self._hand_over(name, work)
            await self._unlock(name)
        finally:
            self._releasing.discard(name)

    async def _hand_over(self, name: str, work: ShardWork) -> None:
        try:
            await work.release()
        except FoxtrestleError as error:
            self._timeline.add("shard.release-failed", name, str(error))
        await self._stop_work(name, "released")

    def _list_locks(self) -> dict[str, str]:
        return {name: holder.incarnation for name, holder in self.list_holders().items()}

    async def close(self) -> None:
        """Hand over and unlock all shards concurrently, and claim no more."""
        self._closed = True
        await asyncio.gather(*(self.release(name) for name in list(self.work_by_shard)))

    def cancel_work(self) -> None:
        """Cancel all work immediately, without unlocking shards in the store."""
        for task in self._tasks.values():
            task.cancel()

    def _is_lost(self, name: str, locks: dict[str, str]) -> bool:
        """Return whether work must stop: this daemon lost the lock, or the work itself ended."""
        if self._tasks[name].done():
            return True
        return self._mirror.synced and locks.get(name, "") != self._own_lock.incarnation

    async def _claim(self, name: str, lease: int) -> None:
        key = SHARD_LOCK_PREFIX + name
        try:
            swap = await swap_with_retry(
                self._store, key, encode_record(self._own_lock), ABSENT, lease=lease, attempts=2
            )
        except StoreError:
            return
        if swap.record is not None:
            self._mirror.apply_record(swap.record)
        if swap.done:
            self._start_work(name)

    def _start_work(self, name: str) -> None:
        work = self._make_work(name)
        self.work_by_shard[name] = work
        self._tasks[name] = asyncio.create_task(self._run_work(name, work))
        self._timeline.add("shard.taken", name)

    async def _run_work(self, name: str, work: ShardWork) -> None:
        try:
            await work.run()
        except Exception as error:
            self._timeline.add("shard.failed", name, str(error) or repr(error))

    async def _stop_work(self, name: str, event: str) -> None:
        task = self._tasks.pop(name, None)
        self.work_by_shard.pop(name, None)
        if task is None:
            return
        ended = task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self._timeline.add(f"shard.{event}", name)
        if ended:
            await self._unlock(name)

    async def _unlock(self, name: str) -> None:
        """Delete the lock if this daemon holds it."""
        key = SHARD_LOCK_PREFIX + name
        stored = self._mirror.records.get(key)
        if stored is None:
            return
        if decode_record(stored.value, HolderRecord, key).incarnation != self._own_lock.incarnation:
            return
        try:
            await self._store.swap(key, None, stored.revision)
        except StoreError:
            return
        self._mirror.records.pop(key, None)
