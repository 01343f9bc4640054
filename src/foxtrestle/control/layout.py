"""The number of partitions into which control is divided, decided once and kept in the store.

A node that accepts a job must store it in the partition whose controller looks for it, so the
number never changes while any state is stored that depends on it.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.keys import LAYOUT_KEY, Keys, build_keys
from foxtrestle.control.layout_claim import LayoutClaim
from foxtrestle.control.log import Outage, log
from foxtrestle.control.stored import decode_json, decode_stored
from foxtrestle.platform.http import CallError, RateLimited
from foxtrestle.platform.workers import WORKER_PREFIX
from foxtrestle.scheduling.layout_decision import (
    LayoutProposal,
    propose_by_hosts,
    propose_by_workers,
    propose_undivided,
)
from foxtrestle.scheduling.partitions import Partition, find_partition_number
from foxtrestle.store import (
    ABSENT,
    RateExceeded,
    StoreError,
    Transaction,
    TransactionConflict,
    compute_backoff,
)

if TYPE_CHECKING:
    from foxtrestle.platform.hosts import HostClient
    from foxtrestle.platform.store import PlatformStore

RETRY_S: Final = 0.3
"""Mean pause after a failed call, seconds."""
MAX_HOST_LIST_WAIT_S: Final = 5.0
"""Seconds for which the host list may be unavailable before the fleet's size is taken from the
workers' entries instead. A refusal because too many nodes request the list does not count: when it
did, a fleet of 3,003 hosts was permanently left undivided, and no request was served."""


class LayoutRecord(msgspec.Struct, frozen=True):
    """Layout as stored."""

    partitions: int
    """Number of partitions."""


class Layout:
    """Division of control into partitions, as loaded by this node."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        """Create a layout that has not been loaded."""
        self.count = 0
        """Number of partitions; 0 until it is loaded."""

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
        return Partition(find_partition_number(job, self.count), self.count)

    def find_keys(self, job: str) -> Keys:
        """Return the keys of the partition to which a job belongs.

        Raises:
            StoreError: The layout is not known yet.
        """
        return build_keys(self.find_partition(job).number)

    async def load(self, store: PlatformStore, hosts: HostClient) -> None:
        """Load the layout from the store, and decide it if no node has."""
        began_at = read_clock()
        outage = Outage("store", "layout")
        claim = LayoutClaim(store)
        rng = random.Random()
        attempts = 0
        while not self.count:
            attempts += 1
            pause_s = compute_backoff(attempts, rng)
            try:
                await self._load_once(store, hosts, claim, began_at)
                outage.note_success()
            except (RateExceeded, RateLimited) as error:
                outage.note_failure(error)
            except (StoreError, CallError) as error:
                outage.note_failure(error)
                # No exponential backoff: without a store, a node has nothing to do but wait.
                attempts = 0
                pause_s = random.uniform(RETRY_S / 2, RETRY_S * 1.5)
            if not self.count:
                await asyncio.sleep(pause_s)
        log("layout.known", partitions=self.count)

    async def _load_once(
        self, store: PlatformStore, hosts: HostClient, claim: LayoutClaim, began_at: float
    ) -> None:
        record = await store.get(LAYOUT_KEY)
        if record is not None:
            self.count = decode_stored(record, decode_json(LayoutRecord)).partitions
            return
        if not await claim.acquire():
            return
        proposal = await _propose(store, hosts, began_at)
        value = msgspec.json.encode(LayoutRecord(proposal.partitions))
        try:
            await store.commit(Transaction({LAYOUT_KEY: ABSENT}, {LAYOUT_KEY: value}))
        except TransactionConflict:
            # Another node was first; the next attempt reads its layout.
            return
        self.count = proposal.partitions
        log("layout.decided", partitions=proposal.partitions, counted=proposal.counted,
            ground=proposal.basis, waited_s=round(read_clock() - began_at, 2))  # fmt: skip


async def _propose(store: PlatformStore, hosts: HostClient, began_at: float) -> LayoutProposal:
    """Propose a number of partitions, with the basis of the proposal.

    Raises:
        CallError: The host list cannot be read now.
        StoreError: The store did not answer.
    """
    if await store.get(build_keys(0).term) is not None:
        return propose_undivided()
    try:
        listed = await hosts.list_hosts()
    except RateLimited:
        raise
    except CallError:
        if read_clock() - began_at < MAX_HOST_LIST_WAIT_S:
            raise
        entries = await store.scan(WORKER_PREFIX)
        return propose_by_workers(len(entries.records))
    return propose_by_hosts(len(listed))
