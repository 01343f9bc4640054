"""The ledger: nobody goes on before the record of their own job is in the store."""

from __future__ import annotations

import asyncio
from typing import Any

from foxtrestle.control.ledger import MAX_ENTRIES, Ledger
from foxtrestle.control.measures import Measures
from foxtrestle.control.ownership import Term
from foxtrestle.scheduling.runs import end_job
from foxtrestle.standins.keyvalue import Engine
from foxtrestle.store import OutcomeUnknown, Record, StoreError, Transaction
from tests.scheduling_fakes import enter, make_fleet, make_job


class FailingStore:
    """A store whose next commits go wrong as ordered: refused, or done without an answer."""

    def __init__(self) -> None:
        self.engine = Engine(writes_per_s=0)
        self.plan: list[str] = []

    async def commit(self, transaction: Transaction) -> int:
        entries = len(transaction.conditions) + len(transaction.puts) + len(transaction.removals)
        assert entries <= 32
        await asyncio.sleep(0.002)
        fate = self.plan.pop(0) if self.plan else ""
        if fate == "refused":
            raise StoreError("try later", step="test")
        revision = self.engine.commit(transaction)
        if fate == "lost":
            raise OutcomeUnknown("no answer", step="test")
        return revision


def set_up(jobs: int) -> tuple[FailingStore, Any, Ledger]:
    store = FailingStore()
    lock = "foxtrestle/control/lock"
    revision = store.engine.commit(Transaction({}, {lock: b"me"}))
    fleet = make_fleet()
    for number in range(jobs):
        enter(fleet, make_job(id=f"{number:016x}"))
    term = Term(1, Record(lock, b"me", revision), 1e18)
    return store, fleet, Ledger(store, fleet, term, Measures())  # type: ignore[arg-type]


def is_recorded(store: FailingStore, job: str) -> bool:
    keys = (f"foxtrestle/progress/{job}", f"foxtrestle/ended/{job}")
    return any(store.engine.get(key) for key in keys)


async def wait_and_check(store: FailingStore, ledger: Ledger, job: str) -> None:
    await ledger.record([job])
    assert is_recorded(store, job), job


async def run_batches(plan: list[str], *, end_after: int = 0) -> None:
    store, fleet, ledger = set_up(40)
    store.plan = plan
    waits = [asyncio.create_task(wait_and_check(store, ledger, job)) for job in list(fleet.jobs)]
    await asyncio.sleep(0)
    loop = asyncio.create_task(ledger.run())
    await asyncio.sleep(0.01)
    # Ended jobs take more entries, so a batch that is written again is cut differently.
    for entry in list(fleet.jobs.values())[:end_after]:
        end_job(fleet, entry, "cancelled")
    async with asyncio.timeout(10):
        await asyncio.gather(*waits)
    loop.cancel()


async def test_records_are_written_before_anybody_goes_on() -> None:
    await run_batches([])


async def test_a_refused_batch_releases_nobody() -> None:
    await run_batches(["refused", "refused"], end_after=12)


async def test_a_batch_whose_answer_was_lost_releases_nobody_too_early() -> None:
    await run_batches(["lost", "refused", "lost"], end_after=12)


def test_a_batch_of_ends_fits_into_a_transaction() -> None:
    assert MAX_ENTRIES <= 30
