"""Refusals of a node under pressure: cache updates, choice of jobs, no refusal of a stored job."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from zlib import crc32

import msgspec

from foxtrestle.control.keys import ENDED_JOB_PREFIX, build_keys
from foxtrestle.control.layout import Layout
from foxtrestle.node import job_service as job_service_module
from foxtrestle.node import pressure_cache as pressure_cache_module
from foxtrestle.node.drained_zones import DrainedZones
from foxtrestle.node.job_service import JobService
from foxtrestle.platform.operators import CONFIGURATION_KEY
from foxtrestle.scheduling.access import RequestTarget
from foxtrestle.scheduling.model import JobSpec, Organisation, Step
from foxtrestle.scheduling.organisation_keys import digest_key
from foxtrestle.scheduling.partitions import find_partition_number
from foxtrestle.scheduling.pressure import (
    OrganisationPressure,
    PoolPressure,
    Pressure,
    Refusal,
)
from foxtrestle.scheduling.progress import Progress
from foxtrestle.standins.keyvalue import KeyValueEngine
from foxtrestle.store import OutcomeUnknown, Record, StoreError, Transaction
from tests.scheduling_fakes import make_configuration

if TYPE_CHECKING:
    import pytest

SPEC = JobSpec("text", (Step(estimate_ms=1000),))
LOUD = RequestTarget("h", "/q/x", digest_key("k1"))
"""Requests of an organisation that is over its share under `HIGH_PRESSURE`."""
CALM = RequestTarget("h", "/q/x", digest_key("k2"))
"""Requests of an organisation that is within its share."""
PRESSURE_KEY = build_keys(0).pressure
HIGH_PRESSURE = Pressure({"main": PoolPressure({}, {"loud": OrganisationPressure(0.9, {0: 3.5})})})


class Store:
    """A store that counts its calls and fails on request."""

    def __init__(self) -> None:
        self.engine = KeyValueEngine(writes_per_s=0, reads_per_s=0)
        self.conditions: list[dict[str, int]] = []
        self.reads = 0
        self.failure = ""
        self.ends_after_read = ""
        """Id of a job that ends right after a read has found no record of its end."""

    async def commit(self, transaction: Transaction) -> int:
        self.conditions.append(dict(transaction.conditions))
        if self.failure == "lost":
            raise OutcomeUnknown("no answer", step="test")
        return self.engine.commit(transaction)

    async def get(self, key: str, *, stale: bool = False) -> Record | None:
        self.reads += 1
        if self.failure == "no reads":
            raise StoreError("away", step="test")
        if key.startswith("foxtrestle/inbox/job/"):
            await asyncio.sleep(0.01)
        record = self.engine.get(key)
        if self.ends_after_read and key == ENDED_JOB_PREFIX + self.ends_after_read:
            progress = Progress("done", [], 1, "loud", "x")
            puts = {key: msgspec.msgpack.encode(progress)}
            job = f"foxtrestle/inbox/job/{self.ends_after_read}"
            self.engine.commit(Transaction({}, puts, (job,)))
        return record

    def write_pressure(self, pressure: Pressure | None, key: str = PRESSURE_KEY) -> None:
        if pressure is None:
            self.engine.commit(Transaction({}, {}, (key,)))
        else:
            self.engine.commit(Transaction({}, {key: msgspec.json.encode(pressure)}))


class Operators:
    """A configuration mirror that counts its refreshes."""

    def __init__(self, store: Store, weight: float) -> None:
        self.refreshed = 0
        self.zones = DrainedZones()
        self._store = store
        store.engine.commit(Transaction({}, {CONFIGURATION_KEY: b"1"}))
        owners = {digest_key("k1"): "loud", digest_key("k2"): "calm"}
        organisations = {name: Organisation(name, weight=weight) for name in ("loud", "calm")}
        self.configuration = msgspec.structs.replace(
            make_configuration(), requires_keys=True, owners=owners, organisations=organisations
        )
        self.sync_revision()

    def sync_revision(self) -> None:
        revision = self._store.engine.get(CONFIGURATION_KEY).revision
        self.configuration = msgspec.structs.replace(self.configuration, revision=revision)

    async def refresh(self) -> None:
        self.refreshed += 1
        self.sync_revision()


def make_service(weight: float = 10.0, partitions: int = 1) -> tuple[Store, Operators, JobService]:
    store = Store()
    operators = Operators(store, weight)
    layout = Layout()
    layout.count = partitions
    return store, operators, JobService(store, operators, layout)


def pick_job_id(
    hash_below: float = 0.0,
    hash_above: float = 1.0,
    partition: tuple[int, int] = (0, 1),
    skip: frozenset[str] = frozenset(),
) -> str:
    """Return a job id whose hash is below one fraction, or at least another fraction."""
    for number in range(100_000):
        job = f"{number:016x}"
        hash_fraction = crc32(job.encode()) / (1 << 32)
        fits = hash_fraction < hash_below if hash_below else hash_fraction >= hash_above
        if job not in skip and fits and find_partition_number(job, partition[1]) == partition[0]:
            return job
    raise AssertionError


REFUSED, ACCEPTED = pick_job_id(hash_below=0.9), pick_job_id(hash_above=0.9)
"""Jobs of the loud organisation that are refused and accepted under `HIGH_PRESSURE`."""


async def test_without_weights_the_pressure_key_is_not_in_the_conditions() -> None:
    store, _, job_service = make_service(weight=0.0)
    store.write_pressure(HIGH_PRESSURE)
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"
    assert store.conditions == [
        {
            CONFIGURATION_KEY: 1 + 1,
            "foxtrestle/control/backlog": 0,
            f"foxtrestle/inbox/job/{REFUSED}": 0,
            ENDED_JOB_PREFIX + REFUSED: 0,
        }
    ]
    assert store.reads == 0


async def test_a_submission_is_one_call_while_the_pressure_does_not_change() -> None:
    store, operators, job_service = make_service()
    for number in range(5):
        assert await job_service.submit(LOUD, f"{number:016x}", SPEC) == "accepted"
    assert len(store.conditions) == 5
    assert store.reads == operators.refreshed == 0
    assert all(conditions[PRESSURE_KEY] == 0 for conditions in store.conditions)


async def test_a_change_in_the_refused_write_s_response_is_applied_at_once() -> None:
    store, operators, job_service = make_service()
    store.write_pressure(HIGH_PRESSURE)
    outcome = await job_service.submit(LOUD, REFUSED, SPEC)
    assert isinstance(outcome, Refusal)
    assert outcome.reason == "beyond its share"
    assert 2 <= outcome.retry_after_s <= 3
    assert len(store.conditions) == 1
    assert operators.refreshed == 0, "the configuration is not read again for a change of pressure"
    assert store.engine.get(f"foxtrestle/inbox/job/{REFUSED}") is None, "the job is not stored"
    # With the pressure cached, a job is refused without a write, after a lookup of stored jobs.
    assert isinstance(await job_service.submit(LOUD, REFUSED, SPEC), Refusal)
    assert len(store.conditions) == 1
    assert await job_service.submit(LOUD, ACCEPTED, SPEC) == "accepted"
    assert await job_service.submit(CALM, REFUSED, SPEC) == "accepted"
    assert len(store.conditions) == 3


async def test_a_job_that_ends_during_the_lookup_is_not_refused() -> None:
    """A stored job that ended between the two reads of the lookup was reported as refused.

    The record of the job and the record of its end were read concurrently. If the latter is read
    before the end and the former after it, neither is found. The test writes the end between the
    two reads.
    """
    store, _, job_service = make_service()
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"
    store.write_pressure(HIGH_PRESSURE)
    assert isinstance(
        await job_service.submit(LOUD, pick_job_id(0.9, skip=frozenset({REFUSED})), SPEC), Refusal
    )
    job_key = f"foxtrestle/inbox/job/{REFUSED}"
    read_record = store.get

    async def end_between_reads(key: str, *, stale: bool = False) -> Record | None:
        if key == ENDED_JOB_PREFIX + REFUSED:
            record = await read_record(key)
            if store.engine.get(job_key) is not None:
                progress = Progress("completed", [], 1, "loud", "q")
                puts = {key: msgspec.msgpack.encode(progress)}
                store.engine.commit(Transaction({}, puts, (job_key,)))
            return record
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return await read_record(key)

    store.get = end_between_reads  # type: ignore[method-assign]
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"


async def test_the_end_of_pressure_is_detected_by_the_next_write() -> None:
    store, _, job_service = make_service()
    store.write_pressure(HIGH_PRESSURE)
    assert isinstance(await job_service.submit(LOUD, REFUSED, SPEC), Refusal)
    store.write_pressure(None)
    assert await job_service.submit(CALM, ACCEPTED, SPEC) == "accepted"
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"


async def test_a_cached_record_past_its_maximum_age_refuses_nothing_until_confirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store, _, job_service = make_service()
    now = 1000.0
    monkeypatch.setattr(pressure_cache_module, "read_clock", lambda: now)
    store.write_pressure(HIGH_PRESSURE)
    assert isinstance(await job_service.submit(LOUD, REFUSED, SPEC), Refusal)
    now += pressure_cache_module.MAX_AGE_S + 0.1
    store.write_pressure(None)
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"
    store.write_pressure(HIGH_PRESSURE)
    other_job = pick_job_id(hash_below=0.9, skip=frozenset({REFUSED}))
    assert isinstance(await job_service.submit(LOUD, other_job, SPEC), Refusal)
    now += pressure_cache_module.MAX_AGE_S + 0.1
    assert await job_service.submit(LOUD, other_job, SPEC) == "accepted", (
        "the pressure is still the same: this write confirms it"
    )
    third_job = pick_job_id(hash_below=0.9, skip=frozenset({REFUSED, other_job}))
    assert isinstance(await job_service.submit(LOUD, third_job, SPEC), Refusal), (
        "the cached record is fresh again"
    )


async def test_changing_pressure_neither_uses_up_the_attempts_nor_loops_forever() -> None:
    store, operators, job_service = make_service()
    attempts = 0
    commit = store.commit

    async def change_before_commit(transaction: Transaction) -> int:
        nonlocal attempts
        attempts += 1
        store.write_pressure(Pressure({"main": PoolPressure({0: attempts / 10})}))
        return await commit(transaction)

    store.commit = change_before_commit
    assert await job_service.submit(CALM, ACCEPTED, SPEC) == "accepted"
    assert attempts == 4, "the last attempt is made without the condition"
    assert operators.refreshed == 0
    assert PRESSURE_KEY not in store.conditions[-1]


async def test_a_change_of_pressure_and_configuration_rereads_the_configuration() -> None:
    store, operators, job_service = make_service()
    store.write_pressure(Pressure({"main": PoolPressure({0: 0.7})}))
    store.engine.commit(Transaction({}, {CONFIGURATION_KEY: b"2"}))
    assert await job_service.submit(CALM, ACCEPTED, SPEC) == "accepted"
    assert operators.refreshed == 1
    assert len(store.conditions) == 2


async def test_a_stored_job_is_accepted_even_if_the_pressure_has_changed() -> None:
    store, _, job_service = make_service()
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"
    store.write_pressure(HIGH_PRESSURE)
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted", (
        "found in the records of the conflict"
    )
    assert await job_service.submit(CALM, REFUSED, SPEC) == "taken"


async def test_a_retry_of_a_job_stored_by_another_node_is_not_refused() -> None:
    store, operators, job_service = make_service()
    layout = Layout()
    layout.count = 1
    other_node_service = JobService(store, operators, layout)
    assert await other_node_service.submit(LOUD, REFUSED, SPEC) == "accepted"
    store.write_pressure(HIGH_PRESSURE)
    assert await job_service.submit(LOUD, ACCEPTED, SPEC) == "accepted"
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"
    assert await job_service.submit(CALM, ACCEPTED, SPEC) == "taken"


async def test_the_outcome_is_unknown_if_the_lookup_of_a_stored_job_fails() -> None:
    store, _, job_service = make_service()
    store.write_pressure(HIGH_PRESSURE)
    assert await job_service.submit(LOUD, ACCEPTED, SPEC) == "accepted"
    store.failure = "no reads"
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "unknown"


async def test_a_job_whose_write_had_no_response_is_never_refused() -> None:
    store, _, job_service = make_service()
    store.failure = "lost"
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "unknown"
    store.failure = ""
    store.write_pressure(HIGH_PRESSURE)
    assert await job_service.submit(LOUD, ACCEPTED, SPEC) == "accepted"
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted", "stored, not refused"


async def test_jobs_are_judged_by_the_pressure_of_their_own_partition() -> None:
    store, _, job_service = make_service(partitions=2)
    store.write_pressure(HIGH_PRESSURE, build_keys(1).pressure)
    first, second = (pick_job_id(hash_below=0.9, partition=(number, 2)) for number in range(2))
    assert await job_service.submit(LOUD, first, SPEC) == "accepted"
    assert isinstance(await job_service.submit(LOUD, second, SPEC), Refusal)
    assert [PRESSURE_KEY in conditions for conditions in store.conditions] == [True, False]


async def test_a_job_that_ends_between_the_reads_of_the_lookup_is_not_refused() -> None:
    """Guards against concurrent reads of the record of a job and the record of its end.

    If the record of the end is read before it is written, and the record of the job after it is
    removed, neither is found although the job is stored. The store of the test answers reads of
    open jobs more slowly, and the job ends as soon as the record of its end was read.
    """
    store, _, job_service = make_service()
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"
    store.write_pressure(HIGH_PRESSURE)
    other_job = pick_job_id(hash_below=0.9, skip=frozenset({REFUSED}))
    assert isinstance(await job_service.submit(LOUD, other_job, SPEC), Refusal)
    store.ends_after_read = REFUSED
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"


async def test_the_newest_unsettled_jobs_are_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    """A job whose retry had no response could be refused soon after.

    The job kept its old position among the remembered ids instead of becoming the newest one. The
    test retries the first of two remembered jobs before a third one is added.
    """
    monkeypatch.setattr(job_service_module, "MAX_UNSETTLED", 2)
    store, _, job_service = make_service()
    store.failure = "lost"
    for job in (REFUSED, "b" * 16, REFUSED, "c" * 16):
        assert await job_service.submit(LOUD, job, SPEC) == "unknown"
    store.failure = ""
    store.write_pressure(HIGH_PRESSURE)
    assert await job_service.submit(LOUD, REFUSED, SPEC) == "accepted"
