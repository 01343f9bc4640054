"""Fencing tokens within a term, issued from numbers that are reserved ahead of use.

An unanswered call may be executed seconds later, possibly by the worker's next incarnation, which
starts without state and accepts any token until it has seen a higher one. Each unanswered call
therefore raises its worker's token at once, and any later call fences off the unanswered one,
whether it reaches the same incarnation or the next. Raising a token needs no write, so fencing also
works while the store is unavailable. What the next incarnation carries out before its first call
cannot be fenced off: see `scheduling.unsettled_starts` and `scheduling.unsettled_acknowledgements`.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from foxtrestle.control.leader_election import RESERVED_TOKENS
from foxtrestle.control.log import Outage, log
from foxtrestle.control.stored import decode_stored
from foxtrestle.store import ABSENT, StoreError, Transaction, TransactionConflict

if TYPE_CHECKING:
    from foxtrestle.control.leader_election import Term
    from foxtrestle.platform.store import PlatformStore

RETRY_S: Final = 0.15
"""Mean pause after a failed call, seconds."""
LOW_WATER_MARK: Final = RESERVED_TOKENS // 2
"""Number of unused tokens below which more are reserved; these must last for a store outage."""


class FencingTokens:
    """Issues fencing tokens that are below the next term's number."""

    def __init__(self, store: PlatformStore, term: Term) -> None:
        """Create the tokens of a term."""
        self._store = store
        self._term = term
        self._outage = Outage("store", "fencing token")
        self._highest_issued = term.number
        self._reserving: asyncio.Task[None] | None = None

    def raise_above(self, token: int) -> int:
        """Return a token above that of an unanswered call to the same worker.

        Each worker compares tokens on its own, so two workers may have the same one. If no reserved
        number is left, which takes hundreds of unanswered calls to one worker while the store is
        unavailable, the given token is returned and the unanswered call is not fenced off.
        """
        if token >= self._term.reserved:
            self._reserve()
            return token
        self._record_use(token + 1)
        return token + 1

    async def issue(self) -> int:
        """Return a token above all tokens returned before, and below the next term's number.

        Waits only if no number is left, until more are reserved or the term is lost.
        """
        while self._highest_issued >= self._term.reserved:
            await asyncio.shield(self._reserve())
            if self._term.lost.is_set():
                return self._highest_issued
        self._record_use(self._highest_issued + 1)
        log("control.token", term=self._term.number, token=self._highest_issued)
        return self._highest_issued

    def _record_use(self, token: int) -> None:
        self._highest_issued = max(self._highest_issued, token)
        if self._term.reserved - self._highest_issued < LOW_WATER_MARK:
            self._reserve()

    def _reserve(self) -> asyncio.Task[None]:
        """Start reserving more numbers; all callers share one write at a time."""
        if self._reserving is None or self._reserving.done():
            self._reserving = asyncio.create_task(self._reserve_more())
        return self._reserving

    async def _reserve_more(self) -> None:
        while not self._term.lost.is_set():
            try:
                self._term.reserved = await self._write_reserved()
            except StoreError as error:
                self._outage.note_failure(error)
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
                continue
            self._outage.note_success()
            log("control.tokens-reserved", term=self._term.number, newest=self._highest_issued,
                reserved=self._term.reserved)  # fmt: skip
            return

    async def _write_reserved(self) -> int:
        """Raise the number above which the next term starts.

        While this term holds the lock, no other node writes that number. If the answer to a write
        is lost, the numbers that it reserved belong to this term as well.
        """
        keys = self._term.keys
        term_record = await self._store.get(keys.term)
        reserved = (
            max(self._highest_issued, decode_stored(term_record, int) if term_record else 0)
            + RESERVED_TOKENS
        )
        transaction = Transaction(
            conditions={
                keys.lock: self._term.lock.revision,
                keys.term: term_record.revision if term_record else ABSENT,
            },
            puts={keys.term: str(reserved).encode()},
        )
        try:
            await self._store.commit(transaction)
        except TransactionConflict as conflict:
            lock = conflict.records.get(keys.lock)
            if lock is None or lock.revision != self._term.lock.revision:
                self._term.lose("lock is no longer held by this term")
            raise
        return reserved
