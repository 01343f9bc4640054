"""What lasts of maintenance waves: progress for the next controller, state for operators."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.control.keys import LOCK, WAVE_RECORDS
from foxtrestle.control.log import log
from foxtrestle.platform.operators import WAVE_STATUS, encode_wave_status
from foxtrestle.store import StoreError, Transaction

if TYPE_CHECKING:
    from foxtrestle.control.ownership import Term
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.state import WaveEntry

RETRY_S: Final = 0.6
"""Mean pause before operators are told again, seconds."""


class WaveRecord(msgspec.Struct, frozen=True):
    """Progress of a wave, kept for the next controller."""

    done: list[str]
    """Hosts whose maintenance is ordered and confirmed."""
    begun_ms: int = 0
    """Wall time at which a controller first saw the wave, milliseconds."""


class WaveRecords:
    """Reads and writes the records of waves."""

    def __init__(self, store: PlatformStore, term: Term) -> None:
        """Create records that have not been read."""
        self._store = store
        self._term = term
        self._held: dict[int, WaveRecord] = {}

    async def load(self) -> None:
        """Read what earlier controllers have left."""
        listing = await self._store.scan(WAVE_RECORDS)
        self._held = {
            int(record.key.removeprefix(WAVE_RECORDS)): msgspec.json.decode(
                record.value, type=WaveRecord
            )
            for record in listing.records
        }

    def find(self, number: int) -> WaveRecord | None:
        """Return what an earlier controller has left about a wave."""
        return self._held.get(number)

    async def record(self, entry: WaveEntry) -> None:
        """Keep a wave's progress; losing it costs repeated orders only."""
        key = f"{WAVE_RECORDS}{entry.wave.number}"
        value = msgspec.json.encode(WaveRecord(sorted(entry.done), entry.begun_ms))
        conditions = {LOCK: self._term.lock.revision}
        try:
            await self._store.commit(Transaction(conditions, {key: value}))
        except StoreError as error:
            log("wave.record-failed", wave=entry.wave.number, reason=str(error))

    async def tell(self, entry: WaveEntry) -> None:
        """Tell operators how far a wave is, until the store has it."""
        key = f"{WAVE_STATUS}{entry.wave.number}"
        while not self._term.lost.is_set():
            # Read each time: a wave may be completed while an earlier message waits.
            value = encode_wave_status(completed=entry.completed)
            transaction = Transaction({LOCK: self._term.lock.revision}, {key: value})
            try:
                await self._store.commit(transaction)
            except StoreError as error:
                log("wave.tell-failed", wave=entry.wave.number, reason=str(error))
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
            else:
                return
