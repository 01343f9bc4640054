"""Control moves to a node that reaches all zones when two of them cannot reach each other.

If two zones cannot reach each other for 5.5 s while a third reaches both, a controller in one of
the two cannot extend the leases of the healthy workers of the other. If it kept control, their runs
would end `lapsed` 5 s after the controller's last answered call: 28 runs lapsed this way although
the workers kept writing their entries to the store.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from eliot import add_destinations, remove_destination

from foxtrestle.clock import read_clock
from foxtrestle.control.hand_over import HandOver, decode_hand_over
from foxtrestle.control.keys import build_keys
from foxtrestle.control.leader_election import RESERVED_TOKENS, LeaderElection, LockRecord, Term
from foxtrestle.platform.connections import Connections
from foxtrestle.platform.workers import WorkerClient
from foxtrestle.scheduling.reachability import SAME_ZONE_DELAY_S
from foxtrestle.standins.site import Site
from foxtrestle.store import Record
from tests.test_node import count_starts, has_job_state, make_job_id, shorten_intervals, wait_for
from tests.zone_fakes import (
    ZONES,
    count_lapsed,
    describe_long,
    find_controller_zones,
    is_in_control,
    list_events,
    running_zones,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from foxtrestle.store import Transaction
    from tests.test_node import Client

__all__ = ["shorten_intervals"]

KEYS = build_keys(0)
JOB = make_job_id(1)


@pytest.fixture
def lines() -> Iterator[list[dict[str, Any]]]:
    """Return the log lines written during the test."""
    logged: list[dict[str, Any]] = []
    add_destinations(logged.append)
    # The first destination of a process gets the lines of earlier tests as well.
    logged.clear()
    yield logged
    remove_destination(logged.append)


async def start_everywhere(site: Site, client: Client, count: int = 12) -> None:
    """Start a task on every worker."""
    body = {"count": count, "cpu": 1000, "apart": 1, "mostPerWorker": 1}
    assert await client.submit(JOB, body) == 200
    await wait_for(lambda: sum(len(w.running) for w in site.workers.values()) == count)


def count_terms(site: Site) -> int:
    """Return how many terms there have been; each uses one number and reserves further ones."""
    record = site.engine.get(KEYS.term)
    return int(record.value) // (1 + RESERVED_TOKENS) if record is not None else 0


async def test_a_node_of_the_third_zone_takes_control_and_no_run_lapses(
    monkeypatch: pytest.MonkeyPatch, lines: list[dict[str, Any]]
) -> None:
    site = Site(describe=describe_long)
    async with running_zones(site, monkeypatch) as (client, nodes, cuts):
        await start_everywhere(site, client)
        began_at = read_clock()
        cuts.cut("a", "b")
        await wait_for(lambda: is_in_control(nodes[2]), 4.0)
        assert read_clock() - began_at < 3.0
        await wait_for(
            lambda: all(w.runs_known for w in nodes[2].node.controller.fleet.workers.values())
        )
        await wait_for(lambda: has_job_state(client, JOB, "completed", node=2))
        assert count_lapsed(site) == 0
        assert set(count_starts(site).values()) == {1}
        assert find_controller_zones(nodes) == ["c"]
        [apart] = list_events(lines, "zone.apart")
        assert apart["zone"] == "b"
        assert apart["silent"] == apart["expected"] == 4
        assert [line["term"] for line in list_events(lines, "control.handed-over")] == [1]
        unreached_zones = sorted(
            line["unreached"] for line in list_events(lines, "control.candidate")
        )
        assert [] in unreached_zones
        assert ["a"] in unreached_zones, "the node in b checked as well and does not reach a"


async def test_new_tasks_start_in_all_zones(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site()
    async with running_zones(site, monkeypatch) as (client, nodes, cuts):
        cuts.cut("a", "b")
        await wait_for(lambda: is_in_control(nodes[2]), 4.0)
        await start_briefly(site, client, 12)
        assert {worker.info.zone for worker in site.list_workers() if worker.starts} == set(ZONES)


async def start_briefly(site: Site, client: Client, count: int) -> None:
    body = {"count": count, "cpu": 20_000}
    assert await client.submit(JOB, body, node=2) == 200
    await wait_for(lambda: has_job_state(client, JOB, "completed", node=2))


async def test_control_is_handed_over_once_if_no_node_reaches_all_zones(
    monkeypatch: pytest.MonkeyPatch, lines: list[dict[str, Any]]
) -> None:
    site = Site(describe=describe_long)
    async with running_zones(site, monkeypatch, nodes=("a", "a", "b")) as (_, nodes, cuts):
        cuts.cut("a", "b")
        await wait_for(lambda: list_events(lines, "control.handed-over"), 4.0)
        # The former controller is there for some milliseconds after its line is logged.
        await wait_for(lambda: count_terms(site) == 2 and find_controller_zones(nodes), 4.0)
        await asyncio.sleep(5.0)
        assert count_terms(site) == 2
        assert len(list_events(lines, "control.handed-over")) == 1
        assert {line["known"] for line in list_events(lines, "zone.apart")} == {False, True}


async def test_the_next_candidate_takes_control_if_the_first_is_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The hand-over record exists and the lock is free, but the third zone's only node is down."""
    site = Site(describe=describe_long)
    async with running_zones(site, monkeypatch) as (client, nodes, cuts):
        await start_everywhere(site, client)
        cuts.cut("a", "b")
        await nodes[2].kill()
        await wait_for(lambda: site.engine.get(KEYS.hand_over), 4.0)
        freed_at = read_clock()
        await wait_for(lambda: count_terms(site) == 2 and find_controller_zones(nodes), 4.0)
        assert read_clock() - freed_at < 2.5
        [controlling_node] = [node for node in nodes if node.node.controller is not None]
        assert controlling_node.settings.zone == "b", (
            "among equal candidates the former controller goes last"
        )
        await wait_for(lambda: has_job_state(client, JOB, "completed", node=1), 25.0)
        assert_no_task_completed_twice(site)


def assert_no_task_completed_twice(site: Site) -> None:
    """Assert that no task was completed by two runs."""
    for worker in site.list_workers():
        worker.advance()
    ends = [end for worker in site.list_workers() for end in worker.ended_runs]
    done = [end.key for end in ends if end.kind == "done"]
    assert len(done) == len(set(done)), "no task ends done twice"


async def test_a_zone_without_power_causes_no_hand_over(
    monkeypatch: pytest.MonkeyPatch, lines: list[dict[str, Any]]
) -> None:
    site = Site(describe=describe_long)
    async with running_zones(site, monkeypatch) as (client, nodes, _):
        await start_everywhere(site, client)
        site.faults.unpowered_zones.add("b")
        await asyncio.sleep(3.5)
        assert list_events(lines, "zone.apart") == []
        assert find_controller_zones(nodes) == ["a"]
        assert count_terms(site) == 1


async def test_no_hand_over_with_a_single_zone_in_the_settings(
    monkeypatch: pytest.MonkeyPatch, lines: list[dict[str, Any]]
) -> None:
    site = Site(describe=describe_long)
    async with running_zones(site, monkeypatch, zones=("a",)) as (_, nodes, cuts):
        cuts.cut("a", "b")
        await asyncio.sleep(3.5)
        assert list_events(lines, "zone.apart") == []
        assert site.calls["health"] == 0
        assert find_controller_zones(nodes) == ["a"]


async def test_a_hand_over_whose_answer_is_lost_takes_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("foxtrestle.node.process.STORE_TIMEOUT_S", 0.3)
    site = Site(describe=describe_long)
    async with running_zones(site, monkeypatch) as (client, nodes, cuts):
        await start_everywhere(site, client)
        former = nodes[0].node.controller
        cuts.cut("a", "b")
        site.faults.lost_write_share = 1.0
        await wait_for(lambda: site.engine.get(KEYS.hand_over), 4.0)
        site.faults.lost_write_share = 0.0
        await wait_for(lambda: is_in_control(nodes[2]), 4.0)
        await wait_for(lambda: nodes[0].node.controller is not former)
        await wait_for(lambda: has_job_state(client, JOB, "completed", node=2))
        assert count_lapsed(site) == 0
        assert set(count_starts(site).values()) == {1}
        assert count_terms(site) == 2


async def test_a_store_outage_at_the_hand_over_leaves_one_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site(describe=describe_long)
    async with running_zones(site, monkeypatch) as (client, nodes, cuts):
        await start_everywhere(site, client)
        [controller] = [node.node.controller for node in nodes if node.node.controller]
        cuts.cut("a", "b")
        term = controller._term
        await wait_for(lambda: term.hand_over_requested.is_set() or term.lost.is_set(), 4.0)
        site.faults.store_down = True
        await asyncio.sleep(2.0)
        site.faults.store_down = False
        await wait_for(
            lambda: len(find_controller_zones(nodes)) == 1 and count_terms(site) > 1, 6.0
        )
        await wait_for(lambda: has_job_state(client, JOB, "completed", node=2), 25.0)
        assert_no_task_completed_twice(site)
        assert len(find_controller_zones(nodes)) == 1


async def test_a_former_controller_that_hangs_sends_no_orders_when_it_resumes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The controller's store call hangs between its decision and the release of the lock."""
    site = Site(describe=describe_long)
    async with running_zones(site, monkeypatch) as (client, nodes, cuts):
        await start_everywhere(site, client)
        term = nodes[0].node.controller._term
        resumed = asyncio.Event()
        store = nodes[0].node.controller._store
        commit = store.commit

        async def commit_once_resumed(transaction: Any) -> int:
            if KEYS.hand_over in transaction.puts:
                await resumed.wait()
            return await commit(transaction)

        monkeypatch.setattr(store, "commit", commit_once_resumed)
        cuts.cut("a", "b")
        await wait_for(lambda: is_in_control(nodes[2]) or is_in_control(nodes[1]), 8.0)
        assert count_terms(site) == 2
        resumed.set()
        await asyncio.sleep(0.5)
        assert term.lost.is_set()
        assert site.engine.get(KEYS.hand_over) is None, "another node holds the lock by now"
        assert len(find_controller_zones(nodes)) == 1
        await wait_for(lambda: has_job_state(client, JOB, "completed", node=2), 25.0)
        assert_no_task_completed_twice(site)


async def test_a_hand_over_of_an_earlier_term_is_ignored(
    monkeypatch: pytest.MonkeyPatch, lines: list[dict[str, Any]]
) -> None:
    site = Site()
    async with running_zones(site, monkeypatch) as (_, nodes, _cuts):
        old_hand_over = HandOver("old", "a", 0, ("b",), {"b": ("127.0.0.1:1",)})
        site.write(KEYS.hand_over, msgspec.to_builtins(old_hand_over))
        await nodes[0].kill()
        await wait_for(lambda: is_in_control(nodes[1]) or is_in_control(nodes[2]), 4.0)
        former_nodes = [line["former"] for line in list_events(lines, "control.candidate")]
        assert "old" not in former_nodes


class RecordingStore:
    """A store that records the values that transactions write."""

    def __init__(self) -> None:
        self.puts: dict[str, bytes] = {}

    async def commit(self, transaction: Transaction) -> int:
        self.puts |= transaction.puts
        return 1


async def do_nothing(_: Term) -> None:
    pass


async def test_a_hand_over_stays_valid_when_more_numbers_are_reserved_later() -> None:
    """A hand-over record stays valid if more numbers are reserved after its decision.

    The record states the highest number reserved at the decision, and more may be reserved for
    unanswered calls until the lock is released. A candidate compares that number with the newest
    one: without an update at the release, it would consider the record used and ignore it.
    """
    store: Any = RecordingStore()
    election = LeaderElection(store, "n", 0.0, do_nothing)
    term = Term(3, Record(KEYS.lock, b"", 1), read_clock() + 60.0, reserved=1000)
    term.request_hand_over(HandOver("n", "a", 3, ("b",), {}, term.reserved))
    term.reserved = 2000
    await election._hand_over(term)
    record = Record(KEYS.hand_over, store.puts[KEYS.hand_over], 1)
    assert decode_hand_over(record, 2000) is not None
    assert decode_hand_over(record, 3001) is None


@pytest.mark.parametrize("address", ["", "a b:x", "[::", "a" * 300 + ":1"])
async def test_a_malformed_address_does_not_answer(address: str) -> None:
    """A malformed address in a worker's entry counts as unreachable.

    The HTTP client raises `UnicodeError` for a host name with a part of more than 63 characters,
    which cannot be encoded. A candidate calls addresses of all zones and continues to wait for the
    lock after a `StoreError` only, so any other error would end its wait.
    """
    async with Connections() as connections:
        assert not await WorkerClient(connections).is_reachable(address, 0.25)


async def test_a_lock_without_a_zone_delays_no_node_without_one() -> None:
    """A node without a zone is not delayed by a lock without one.

    If two unknown zones compared as equal, such nodes would let others go first although none is in
    another zone.
    """
    store: Any = RecordingStore()
    for zone, delay_s in (("", 0.0), ("a", SAME_ZONE_DELAY_S), ("b", 0.0)):
        election = LeaderElection(store, "n", 0.0, do_nothing, zone=zone, prefer_other_zones=True)
        lock_record = LockRecord("other", "1", "a" if zone else "")
        election._former_lock = Record(KEYS.lock, msgspec.json.encode(lock_record), 1)
        assert (await election._assess_takeover())[1] == delay_s
