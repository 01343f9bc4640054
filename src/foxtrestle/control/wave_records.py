"""Stored state of maintenance waves: progress for the next controller, status for operators."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.control.guarded_record import GuardedRecord
from foxtrestle.control.keys import build_keys
from foxtrestle.control.log import log
from foxtrestle.control.stored import decode_json, decode_or_skip, decode_stored
from foxtrestle.platform.operators import WAVE_STATUS_PREFIX, encode_wave_status
from foxtrestle.store import ABSENT, StoreError, Transaction

if TYPE_CHECKING:
    from foxtrestle.control.leader_election import Term
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.state import WaveEntry

RETRY_S: Final = 0.6
"""Mean pause before the status for operators is written again, seconds."""


class WaveRecord(msgspec.Struct, frozen=True):
    """Progress of a wave, kept for the next controller."""

    done: list[str]
    """Hosts whose maintenance is ordered and confirmed."""
    begun_ms: int = 0
    """Wall time at which a controller first saw the wave, milliseconds."""
    completed: bool = False
    """Whether the partition has finished all its hosts."""


class WaveRecords:
    """Reads and writes the records of waves."""

    def __init__(self, store: PlatformStore, term: Term) -> None:
        """Create records that have not been loaded."""
        self._store = store
        self._term = term
        self._former_records: dict[int, WaveRecord] = {}
        self._records: dict[int, GuardedRecord] = {}

    async def load(self) -> None:
        """Read the records of earlier controllers."""
        prefix = self._term.keys.wave_records
        listing = await self._store.scan(prefix)
        for record in listing.records:
            number = record.key.removeprefix(prefix)
            if not number.isdecimal():
                log("wave.record-unreadable", key=record.key, reason="no number of a wave")
                continue
            self._get_record(int(number)).adopt(record)
            former = decode_or_skip(record, decode_json(WaveRecord), "wave.record-unreadable")
            if former is not None:
                self._former_records[int(number)] = former

    def find(self, number: int) -> WaveRecord | None:
        """Return an earlier controller's record of a wave; None if there is none."""
        return self._former_records.get(number)

    async def record(self, entry: WaveEntry) -> None:
        """Store a wave's progress; losing it only causes repeated orders."""
        record = WaveRecord(sorted(entry.done), entry.begun_ms, entry.completed)
        try:
            await self._get_record(entry.wave.number).write(msgspec.json.encode(record))
        except StoreError as error:
            log("wave.record-failed", wave=entry.wave.number, reason=str(error))

    def _get_record(self, number: int) -> GuardedRecord:
        record = self._records.get(number)
        if record is None:
            key = f"{self._term.keys.wave_records}{number}"
            record = self._records[number] = GuardedRecord(self._store, self._term, key)
        return record

    async def write_status(self, entry: WaveEntry) -> None:
        """Write a wave's status for operators, retrying until the store has it.

        A wave is completed once every partition has finished it. A controller whose partition has
        finished waits for the others and then writes that status, so several may write it.
        """
        while not self._term.lost.is_set():
            try:
                # The status is evaluated on each attempt: the wave may complete between attempts.
                completed = entry.completed and await self._have_others_finished(entry)
                if entry.completed and not completed:
                    await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
                    continue
                await self._publish_status(entry, completed=completed)
            except StoreError as error:
                log("wave.tell-failed", wave=entry.wave.number, reason=str(error))
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
            else:
                return

    async def _publish_status(self, entry: WaveEntry, *, completed: bool) -> None:
        """Write a wave's status, unless another write of it has taken effect meanwhile.

        Raises:
            StoreError: The status was not written, or only perhaps.
        """
        key = f"{WAVE_STATUS_PREFIX}{entry.wave.number}"
        lock = self._term.lock
        current = await self._store.get(key)
        revision = current.revision if current is not None else ABSENT
        value = encode_wave_status(completed=completed)
        conditions = {lock.key: lock.revision, key: revision}
        await self._store.commit(Transaction(conditions, {key: value}))

    async def _have_others_finished(self, entry: WaveEntry) -> bool:
        """Return whether every other partition has finished a wave.

        Raises:
            StoreError: The store did not answer.
        """
        partition = self._term.partition
        if partition.count == 1:
            return True
        await self.record(entry)
        for number in range(partition.count):
            if number != partition.number and not await self._has_finished(number, entry):
                return False
        return True

    async def has_turn(self, entry: WaveEntry) -> bool:
        """Return whether the previous partition has finished a wave.

        Raises:
            StoreError: The store did not answer.
        """
        number = self._term.partition.number
        return number == 0 or await self._has_finished(number - 1, entry)

    async def _has_finished(self, number: int, entry: WaveEntry) -> bool:
        key = f"{build_keys(number).wave_records}{entry.wave.number}"
        record = await self._store.get(key)
        return record is not None and decode_stored(record, decode_json(WaveRecord)).completed
