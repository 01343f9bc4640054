"""The claim to read the host list on behalf of all nodes while the layout is not decided."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.keys import LAYOUT_KEY, LAYOUT_READER_KEY
from foxtrestle.control.log import log
from foxtrestle.control.stored import decode_json, decode_or_skip
from foxtrestle.scheduling.layout_decision import (
    ObservedClaim,
    ReaderAction,
    ReaderClaim,
    choose_reader_action,
)
from foxtrestle.store import ABSENT, Transaction, TransactionConflict

if TYPE_CHECKING:
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.store import Record

CLAIM_JITTER_S: Final = 0.5
"""Longest random delay before a node tries to become the reader, seconds: all nodes start within
0.3 s, and one claim is enough."""


class LayoutClaim:
    """A node's view of the claim.

    The claim only saves calls: two readers do no harm, as the layout is written conditionally.
    """

    def __init__(self, store: PlatformStore) -> None:
        """Create a view that has not read the claim.

        Args:
            store: The platform's store.
        """
        self._store = store
        self._name = uuid.uuid4().hex[:12]
        self._last_record: Record | None = None
        self._unchanged_since = 0.0

    async def acquire(self) -> bool:
        """Return whether this node is the reader, after trying to become it if none is active.

        Raises:
            StoreError: The store did not answer.
        """
        observed = await self._read_claim()
        if observed is None:
            await asyncio.sleep(random.uniform(0.0, CLAIM_JITTER_S))
            observed = await self._read_claim()
        action = choose_reader_action(observed, self._name)
        if action is ReaderAction.CLAIM:
            return await self._try_claim(observed)
        return action is ReaderAction.READ

    async def _read_claim(self) -> ObservedClaim | None:
        record = await self._store.get(LAYOUT_READER_KEY)
        if record is None:
            return None
        now = read_clock()
        if self._last_record is None or self._last_record.revision != record.revision:
            self._last_record = record
            self._unchanged_since = now
        claim = decode_or_skip(record, decode_json(ReaderClaim), "layout.claim-unreadable")
        reader = claim.reader if claim is not None else ""
        return ObservedClaim(reader, record.revision, now - self._unchanged_since)

    async def _try_claim(self, observed: ObservedClaim | None) -> bool:
        conditions = {
            LAYOUT_KEY: ABSENT,
            LAYOUT_READER_KEY: observed.revision if observed else ABSENT,
        }
        value = msgspec.json.encode(ReaderClaim(self._name))
        try:
            await self._store.commit(Transaction(conditions, {LAYOUT_READER_KEY: value}))
        except TransactionConflict:
            return False
        log("layout.claimed", reader=self._name, former=observed.reader if observed else "")
        return True
