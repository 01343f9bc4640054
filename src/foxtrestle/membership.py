"""This daemon's lease, and the live daemons according to the store."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from foxtrestle.records import MEMBER_PREFIX, MemberRecord, decode_record, encode_record, replace
from foxtrestle.store import StoreError, swap_with_retry

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.store import Mirror, Store

MAX_KEEP_ALIVES_PER_S: Final = 15.0
"""Maximum rate of lease renewals by all daemons together, calls per second."""
RENEWALS_PER_TTL: Final = 3
"""Renewals within the time to live of a lease."""


def choose_ttl(base_s: float, members: int) -> float:
    """Choose the time to live of a lease that keeps all renewals within their share of the writes.

    Args:
        base_s: Minimum time to live, seconds.
        members: Number of live daemons.
    """
    return max(base_s, RENEWALS_PER_TTL * members / MAX_KEEP_ALIVES_PER_S)


class Membership:
    """Keeps this daemon's lease and member record alive, and lists the other live daemons."""

    def __init__(
        self,
        own_record: MemberRecord,
        store: Store,
        mirror: Mirror,
        base_ttl_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a membership without a lease."""
        self.own_record = own_record
        """This daemon's member record."""
        self.lease = 0
        """Id of the current lease; 0 for none."""
        self.renewed_at = -1e9
        """Clock reading at which the last successful renewal was requested, seconds."""
        self._store = store
        self._mirror = mirror
        self._base_ttl_s = base_ttl_s
        self._ttl_s = base_ttl_s
        self._clock = clock
        self._decoded_records: dict[str, tuple[int, MemberRecord]] = {}

    def list_members(self) -> dict[str, MemberRecord]:
        """Return the live daemons by incarnation, according to the mirror."""
        members = {}
        for key, record in self._mirror.records.items():
            if not key.startswith(MEMBER_PREFIX):
                continue
            cached = self._decoded_records.get(key)
            if cached is None or cached[0] != record.revision:
                cached = (record.revision, decode_record(record.value, MemberRecord, key))
                self._decoded_records[key] = cached
            members[cached[1].incarnation] = cached[1]
        return members

    def list_peers(self) -> dict[str, MemberRecord]:
        """Return the other live daemons by incarnation."""
        members = self.list_members()
        members.pop(self.own_record.incarnation, None)
        return members

    def is_lease_valid(self) -> bool:
        """Return whether the lease was renewed within its time to live, by this daemon's clock."""
        return bool(self.lease) and self._clock() - self.renewed_at < self._ttl_s

    async def renew(self) -> None:
        """Renew the lease, or obtain a new one and write the member record under it.

        Raises:
            StoreError: The store did not respond.
        """
        if self._clock() - self.renewed_at < self._ttl_s / RENEWALS_PER_TTL and self.lease:
            return
        requested_at = self._clock()
        if self.lease and not await self._store.keep_alive(self.lease):
            self.lease = 0
        if not self.lease:
            self._ttl_s = choose_ttl(self._base_ttl_s, len(self.list_members()))
            requested_at = self._clock()
            lease = await self._store.grant(self._ttl_s)
            await self._write_member_record(lease)
            self.lease = lease
        self.renewed_at = requested_at

    async def announce_stop(self) -> None:
        """Announce to the other daemons that this daemon claims no more shards."""
        self.own_record = replace(self.own_record, stopping=True)
        if self.lease:
            await self._write_member_record(self.lease)

    async def leave(self) -> None:
        """Revoke the lease, which also deletes the member record and all shard locks."""
        if self.lease:
            lease, self.lease = self.lease, 0
            await self._store.revoke(lease)

    async def _write_member_record(self, lease: int) -> None:
        key = MEMBER_PREFIX + self.own_record.incarnation
        stored = await self._store.get(key)
        expected = stored.revision if stored else 0
        swap = await swap_with_retry(
            self._store, key, encode_record(self.own_record), expected, lease=lease
        )
        if not swap.done:
            raise StoreError(
                "the member record was changed concurrently", step="membership", peer=key
            )
        if swap.record is not None:
            self._mirror.apply_record(swap.record)
