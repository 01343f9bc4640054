"""Into how many partitions control is divided: decided once, kept in the store, the same for all.

Whoever accepts a job must know in which partition its controller looks for it, so the number never
changes while anything is kept under it.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.keys import LAYOUT, Keys, build_keys
from foxtrestle.control.log import Outage, log
from foxtrestle.platform.http import CallError
from foxtrestle.scheduling.partitions import Partition, count_partitions, find_number
from foxtrestle.store import ABSENT, Conflict, StoreError, Transaction

if TYPE_CHECKING:
    from foxtrestle.platform.hosts import HostCalls
    from foxtrestle.platform.store import PlatformStore

PROPOSE_PAUSE_S: Final = 0.5
"""Longest pause before a node proposes: all start within 0.3 s, and one proposal is enough."""
RETRY_S: Final = 0.3
"""Mean pause after a failed call, seconds."""
HOSTS_WAIT_S: Final = 5.0
"""Seconds for which the host list may be away; then control is not divided, which a fleet too large
for one controller bears badly, and any other well."""


class LayoutRecord(msgspec.Struct, frozen=True):
    """What is kept in the store."""

    partitions: int
    """How many partitions there are."""


class Proposal(msgspec.Struct, frozen=True):
    """A division that a node would have, with its grounds."""

    partitions: int
    """Into how many partitions control should be divided."""
    hosts: int
    """Hosts that were counted; 0 if none were."""
    ground: str
    """What it rests on."""


class Layout:
    """The division of control, as far as this node knows it."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        """Create a layout that is not known."""
        self.count = 0
        """How many partitions there are; 0 while that is not known."""

    def list_partitions(self) -> list[Partition]:
        """List all partitions."""
        return [Partition(number, self.count) for number in range(self.count)]

    def find_partition(self, job: str) -> Partition:
        """Return the partition to which a job belongs.

        Raises:
            StoreError: The layout is not known yet.
        """
        if not self.count:
            raise StoreError("the layout is not known yet", step="layout.find", peer=job)
        return Partition(find_number(job, self.count), self.count)

    def find_keys(self, job: str) -> Keys:
        """Return the keys of the partition to which a job belongs.

        Raises:
            StoreError: The layout is not known yet.
        """
        return build_keys(self.find_partition(job).number)

    async def load(self, store: PlatformStore, hosts: HostCalls) -> None:
        """Read the layout, and decide it if nobody has."""
        began_at = read_clock()
        outage = Outage("store", "layout")
        while not self.count:
            try:
                await self._load_once(store, hosts, read_clock() - began_at)
                outage.note_success()
            except (StoreError, CallError) as error:
                outage.note_failure(error)
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
        log("layout.known", partitions=self.count)

    async def _load_once(self, store: PlatformStore, hosts: HostCalls, waited_s: float) -> None:
        for pause_s in (0.0, PROPOSE_PAUSE_S):
            await asyncio.sleep(random.uniform(0.0, pause_s))
            record = await store.get(LAYOUT)
            if record is not None:
                self.count = msgspec.json.decode(record.value, type=LayoutRecord).partitions
                return
        proposal = await _propose(store, hosts, waited_s)
        count = proposal.partitions
        value = msgspec.json.encode(LayoutRecord(count))
        try:
            await store.commit(Transaction({LAYOUT: ABSENT}, {LAYOUT: value}))
        except Conflict:
            # Another node was first; its decision is read next.
            return
        self.count = count
        log("layout.decided", partitions=count, hosts=proposal.hosts, ground=proposal.ground,
            waited_s=round(waited_s, 2))  # fmt: skip


async def _propose(store: PlatformStore, hosts: HostCalls, waited_s: float) -> Proposal:
    """Return how many partitions there should be, and why.

    Raises:
        CallError: The host list cannot be read now.
        StoreError: The store did not answer.
    """
    if await store.get(build_keys(0).term) is not None:
        # What a former release keeps is not divided.
        return Proposal(1, 0, "former release")
    try:
        listed = await hosts.list_hosts()
    except CallError:
        if waited_s > HOSTS_WAIT_S:
            return Proposal(1, 0, "no host list")
        raise
    return Proposal(count_partitions(len(listed)), len(listed), "host list")
