"""A record that only a term's controller writes, and that a late write cannot set back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from foxtrestle.control.log import log
from foxtrestle.store import ABSENT, Transaction, TransactionConflict

if TYPE_CHECKING:
    from foxtrestle.control.leader_election import Term
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.store import Record

MAX_ATTEMPTS: Final = 2
"""Attempts to write: the first may conflict with an earlier write that got no answer."""


class GuardedRecord:
    """A record whose writes take effect in their order, or not at all.

    A write that gets no answer may be carried out seconds later, if its conditions still hold. Each
    write therefore has the condition that the record has not been written since the previous one.
    That does not hold for a record that is removed at times, since it has the same revision each
    time that it is absent. Such a record has a companion key, which each write of it writes as
    well and which is never removed.
    """

    def __init__(self, store: PlatformStore, term: Term, key: str, companion_key: str = "") -> None:
        """Create a record that does not exist, as far as is known.

        Args:
            store: The platform's store.
            term: The controller's term.
            key: Key of the record.
            companion_key: Companion key; empty for a record that is never removed.
        """
        self._store = store
        self._term = term
        self._key = key
        self._version_key = companion_key or key
        self._revision = ABSENT
        self._lock = asyncio.Lock()

    def adopt(self, version_record: Record | None) -> None:
        """Continue from the record of an earlier controller, or from its companion."""
        self._revision = version_record.revision if version_record is not None else ABSENT

    async def write(self, value: bytes | None) -> None:
        """Write the record.

        Args:
            value: The new value; None to remove the record.

        Raises:
            StoreError: The record was not written, or only perhaps.
        """
        async with self._lock:
            for attempt in range(1, MAX_ATTEMPTS + 1):
                try:
                    self._revision = await self._store.commit(self._build_transaction(value))
                    return
                except TransactionConflict as conflict:
                    if attempt == MAX_ATTEMPTS or not self._adopt_conflict(conflict):
                        raise

    def _build_transaction(self, value: bytes | None) -> Transaction:
        lock = self._term.lock
        puts = {self._version_key: b""} if self._version_key != self._key else {}
        if value is not None:
            puts[self._key] = value
        removals = (self._key,) if value is None else ()
        conditions = {lock.key: lock.revision, self._version_key: self._revision}
        return Transaction(conditions, puts, removals)

    def _adopt_conflict(self, conflict: TransactionConflict) -> bool:
        """Adopt the revision in the store; return False if the lock is lost."""
        lock = conflict.records.get(self._term.lock.key)
        if lock is None or lock.revision != self._term.lock.revision:
            return False
        self.adopt(conflict.records.get(self._version_key))
        log("record.lost-answer", key=self._key, revision=self._revision)
        return True
