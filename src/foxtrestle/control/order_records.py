"""Record of host orders, so that the next controller sends no orders for these hosts too soon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.log import log
from foxtrestle.control.stored import decode_json, decode_or_skip
from foxtrestle.scheduling.hosts import LIST_LAG_S
from foxtrestle.store import StoreError, Transaction, TransactionConflict

if TYPE_CHECKING:
    from foxtrestle.control.leader_election import Term
    from foxtrestle.platform.store import PlatformStore

UNSETTLED: Final = float("inf")
"""Settlement time of an order that may still be sent."""


class OrdersRecord(msgspec.Struct, frozen=True):
    """Recent host orders; the next controller must not send orders for these hosts too soon."""

    hosts: list[str]
    """Hosts for which this controller or its predecessor sent orders in the last seconds."""
    settled_s: dict[str, float] = {}
    """Seconds since the outcome of a host's last order became known. A host is missing if that
    outcome is unknown, or if a version of foxtrestle without this field wrote the record."""


class OrderRecords:
    """Records each order before it is sent, and holds the orders of earlier controllers."""

    def __init__(self, store: PlatformStore, term: Term, hand_over_gap_s: float) -> None:
        """Create the records of a term.

        Args:
            store: The platform's store.
            term: The term under which orders are sent.
            hand_over_gap_s: Minimum seconds between orders for one host by two controllers.
        """
        self.inherited: dict[str, float] = {}
        """Hosts for which an earlier controller sent orders recently, each with the latest
        monotonic time at which the order can have been settled."""
        self._store = store
        self._term = term
        self._hand_over_gap_s = hand_over_gap_s
        self._settled_at: dict[str, float] = {}
        self._recorded: frozenset[str] = frozenset()
        self._revision = 0
        self._write_lock = asyncio.Lock()

    async def load(self, started_at: float) -> None:
        """Read the record of an earlier controller, which sent no order after this term began.

        Raises:
            StoreError: The store did not answer.
        """
        record = await self._store.get(self._term.keys.host_orders)
        if record is None:
            return
        self._revision = record.revision
        stored = decode_or_skip(record, decode_json(OrdersRecord), "host.record-unreadable")
        if stored is None:
            return
        self.inherited = {
            name: started_at - stored.settled_s.get(name, 0.0) for name in stored.hosts
        }
        # The inherited hosts are recorded again: a third controller may take over before the first
        # one's orders are old enough.
        self._settled_at.update(self.inherited)

    def list_cooling_down(self, now: float) -> frozenset[str]:
        """List hosts for which an earlier controller may have sent an order too recently."""
        return frozenset(
            name
            for name, settled_at in self.inherited.items()
            if now - settled_at <= self._hand_over_gap_s
        )

    def settle(self, host: str) -> None:
        """Note that the outcome of a host's order is known, or that it will not be retried."""
        self._settled_at[host] = read_clock()
        self._recorded -= {host}

    async def record(self, host: str) -> bool:
        """Record that an order for a host is about to be sent; concurrent orders share a write.

        Returns:
            Whether the order is recorded; if not, it must not be sent.
        """
        self._settled_at[host] = UNSETTLED
        async with self._write_lock:
            # Let concurrent callers add their hosts first.
            await asyncio.sleep(0)
            return host in self._recorded or await self._write()

    async def _write(self) -> bool:
        value = msgspec.json.encode(self._describe(read_clock()))
        included = frozenset(
            name for name, settled_at in self._settled_at.items() if settled_at == UNSETTLED
        )
        keys = self._term.keys
        conditions = {keys.lock: self._term.lock.revision, keys.host_orders: self._revision}
        try:
            transaction = Transaction(conditions, {keys.host_orders: value})
            self._revision = await self._store.commit(transaction)
        except TransactionConflict as conflict:
            # The answer to an earlier write of this term was lost: continue from the stored record.
            stored = conflict.records.get(keys.host_orders)
            self._revision = stored.revision if stored is not None else 0
            log("host.record-conflict", revision=self._revision)
            return False
        except StoreError as error:
            log("host.record-failed", hosts=len(included), reason=error.reason)
            return False
        self._recorded = included
        return True

    def _describe(self, now: float) -> OrdersRecord:
        oldest = now - max(self._hand_over_gap_s, LIST_LAG_S)
        self._settled_at = {
            name: settled_at for name, settled_at in self._settled_at.items() if settled_at > oldest
        }
        settled_s = {
            name: round(now - settled_at, 2)
            for name, settled_at in sorted(self._settled_at.items())
            if settled_at != UNSETTLED
        }
        return OrdersRecord(sorted(self._settled_at), settled_s)
