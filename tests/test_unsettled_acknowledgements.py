"""Acknowledgements without an answer, which a worker's next incarnation may carry out.

Guards against completed tasks that are started again: a worker left an acknowledgement of 20 ends
unanswered and crashed. Its next incarnation carried it out before any call, and discarded its own
first 20 ends as they came; their runs counted as absent, and their tasks were started again.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec
import pytest

from foxtrestle.clock import read_clock
from foxtrestle.control.orders import TRIAL_LEASE_S, WORKER_LEASE_S
from foxtrestle.control.statistics_record import StatisticsRecord, decode_statistics
from foxtrestle.errors import FoxtrestleError
from foxtrestle.platform.http import CallError, MalformedMessage, NoResponse, ResponseTimeout
from foxtrestle.platform.workers import IncarnationMismatch, OrderRefused
from foxtrestle.scheduling.model import Shape, Step, WorkerReport
from foxtrestle.scheduling.runs import place_run
from foxtrestle.scheduling.task_placement import choose_placements
from foxtrestle.scheduling.unsettled_acknowledgements import (
    GANG_TRIAL_WAIT_S,
    MAX_WORKERS,
    UnsettledAcknowledgement,
    may_lack_ends,
    note_end_listed,
    note_first_report,
    note_sent,
    remove_settled,
    restore,
)
from foxtrestle.scheduling.unsettled_orders import MAX_ORDER_DELAY_S
from foxtrestle.scheduling.unsettled_starts import MAX_CLOCK_DIFFERENCE_S
from foxtrestle.standins.site import Site
from foxtrestle.store import Record
from tests.scheduling_fakes import NOW, add_job_entry, add_worker, make_fleet, make_job
from tests.test_late_start_before_any_call import crash_and_restart
from tests.test_node import has_job_state, run_nodes, shorten_intervals, wait_for
from tests.test_unanswered_calls import Control
from tests.test_waiting_lease_call import make_link
from tests.test_worker_restart import (
    JOB_AFTER_RESTART,
    JOB_BEFORE_RESTART,
    find_repeated_starts,
    run_a_job,
)

if TYPE_CHECKING:
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

__all__ = ["shorten_intervals"]

FORMER_MS = 1_700_000_000_000
SENT_MS = FORMER_MS + 60_000
NEXT_MS = SENT_MS + 5_000
LONGEST_MS = int((MAX_ORDER_DELAY_S + MAX_CLOCK_DIFFERENCE_S) * 1000)


def make_next(started_ms: int = NEXT_MS) -> tuple[Fleet, Worker]:
    """Make a worker whose former incarnation has left an acknowledgement unanswered."""
    fleet = make_fleet(1)
    [worker] = fleet.workers.values()
    worker.incarnation_started_ms = FORMER_MS
    note_sent(fleet, worker, NOW, SENT_MS)
    worker.incarnation_started_ms = started_ms
    note_first_report(fleet, worker)
    return fleet, worker


@pytest.mark.parametrize(
    ("started_ms", "may_lack"),
    [
        (FORMER_MS, False),
        (0, False),
        (NEXT_MS, True),
        (SENT_MS + LONGEST_MS, True),
        (SENT_MS + LONGEST_MS + 1, False),
    ],
)
def test_the_next_incarnation_may_lack_ends_if_it_began_soon_enough(
    started_ms: int, *, may_lack: bool
) -> None:
    fleet, worker = make_next(started_ms)
    assert worker.may_lack_ends == may_lack
    note_end_listed(fleet, worker)
    assert not worker.may_lack_ends
    assert not may_lack_ends(fleet, worker), "it has listed one, so it lists all later ones"


def count_placed(fleet: Fleet, now: float = NOW) -> int:
    for worker in fleet.workers.values():
        worker.last_answer_at = now
    return sum(len(placement.members) for placement in choose_placements(fleet, now))


def test_a_worker_that_may_lack_ends_gets_one_task_at_a_time() -> None:
    fleet, worker = make_next()
    add_job_entry(fleet, make_job(Step(count=4)))
    assert count_placed(fleet) == 1
    note_end_listed(fleet, worker)
    assert count_placed(fleet) == 4


def test_a_worker_that_may_lack_ends_gets_no_task_before_its_lease_has_lapsed() -> None:
    fleet, worker = make_next()
    worker.lease_expires_at = NOW
    add_job_entry(fleet, make_job(Step(count=1)))
    assert count_placed(fleet) == 0
    assert count_placed(fleet, NOW + 0.1) == 1


def test_a_worker_on_which_an_earlier_controller_has_placed_runs_lacks_no_ends() -> None:
    fleet, worker = make_next()
    [task] = add_job_entry(fleet, make_job(Step(count=1))).tasks.values()
    run = place_run(fleet, task, worker, 1, NOW)
    note_first_report(fleet, worker)
    assert worker.may_lack_ends, "it does not list the run"
    run.apply_event("confirm")
    note_first_report(fleet, worker)
    assert not worker.may_lack_ends


def test_a_gang_waits_for_other_workers_first() -> None:
    fleet, _ = make_next()
    add_job_entry(fleet, make_job(Step(count=1, gang=True)))
    assert count_placed(fleet, NOW + GANG_TRIAL_WAIT_S) == 0
    assert count_placed(fleet, NOW + GANG_TRIAL_WAIT_S + 0.1) == 1


def test_settled_acknowledgements_are_forgotten() -> None:
    fleet, worker = make_next(FORMER_MS)
    worker.last_answer_at = NOW + MAX_ORDER_DELAY_S
    remove_settled(fleet, NOW + 60)
    assert fleet.unsettled_acknowledgements, "its next incarnation may still carry it out"
    worker.last_answer_at += 0.1
    remove_settled(fleet, NOW + 60)
    assert not fleet.unsettled_acknowledgements
    fleet, worker = make_next()
    worker.last_answer_at = NOW + 60
    remove_settled(fleet, NOW + 60)
    assert may_lack_ends(fleet, worker), "it may have carried it out before it was called"


def test_the_number_of_remembered_workers_is_limited() -> None:
    fleet = make_fleet(1)
    for number in range(MAX_WORKERS + 1):
        note_sent(fleet, add_worker(fleet, f"w{number}"), NOW, SENT_MS)
    assert len(fleet.unsettled_acknowledgements) == MAX_WORKERS
    assert "w0" not in fleet.unsettled_acknowledgements


def test_the_next_controller_knows_them() -> None:
    acknowledgements = {"w": UnsettledAcknowledgement(FORMER_MS, SENT_MS, 7.0)}
    value = msgspec.json.encode(StatisticsRecord(acknowledgements=acknowledgements))
    decoded = decode_statistics(Record("k", value, 1)).acknowledgements
    assert decoded == acknowledgements
    restored = {"w": UnsettledAcknowledgement(FORMER_MS, SENT_MS, NOW)}
    assert restore(decoded, NOW) == restored, "it may have been sent until the takeover"


class Answers:
    """A worker that answers each lease renewal in the given way."""

    def __init__(self, answer: FoxtrestleError | WorkerReport) -> None:
        self.answer = answer
        self.expiries: list[int | None] = []

    async def renew_lease(self, *_: object, expires_ms: int | None, **__: object) -> WorkerReport:
        self.expiries.append(expires_ms)
        if isinstance(self.answer, FoxtrestleError):
            raise self.answer
        return self.answer


CALL = {"step": "call", "peer": "w"}


@pytest.mark.parametrize(
    ("answer", "settled"),
    [
        (WorkerReport(0, (), (), FORMER_MS), True),
        (WorkerReport(0, (), (), NEXT_MS), False),
        (CallError("not sent", **CALL), True),
        (OrderRefused("fence", 0, **CALL), True),
        (IncarnationMismatch("other", **CALL), True),
        (NoResponse("none", **CALL), False),
        (ResponseTimeout("none", **CALL), False),
        (MalformedMessage("none", **CALL), False),
    ],
)
async def test_an_acknowledgement_is_settled_by_an_answer_of_its_incarnation(
    answer: FoxtrestleError | WorkerReport, *, settled: bool
) -> None:
    fleet = make_fleet(1)
    [worker] = fleet.workers.values()
    worker.incarnation_started_ms = FORMER_MS
    link = make_link(fleet, worker, client=Answers(answer))
    with contextlib.suppress(FoxtrestleError):
        await link._renew_lease(read_clock(), 20, 3)
    assert bool(fleet.unsettled_acknowledgements) != settled
    acknowledgement = UnsettledAcknowledgement(FORMER_MS, 1, NOW)
    fleet.unsettled_acknowledgements[worker.info.id] = acknowledgement
    with contextlib.suppress(FoxtrestleError):
        await link._renew_lease(read_clock(), 20, 3)
    kept = fleet.unsettled_acknowledgements[worker.info.id] == acknowledgement
    assert kept == settled, "an earlier one stays as it was"


@pytest.mark.parametrize(
    ("may_lack_ends", "lease_s"), [(False, WORKER_LEASE_S), (True, TRIAL_LEASE_S)]
)
async def test_the_lease_of_a_worker_that_may_lack_ends_soon_lapses(
    *, may_lack_ends: bool, lease_s: float
) -> None:
    control = Control()
    control.worker.may_lack_ends = may_lack_ends
    started_at = read_clock()
    await control.start()
    [expires_ms] = control.calls.expiries
    assert lease_s * 1000 - 2 < expires_ms - started_at * 1000 < lease_s * 1000 + 100


async def test_the_lease_of_a_worker_that_may_lack_ends_is_not_extended() -> None:
    fleet, worker = make_next()
    worker.record_answer(read_clock())
    answers = Answers(WorkerReport(0, (), (), NEXT_MS))
    link = make_link(fleet, worker, client=answers)
    await link._renew_lease(read_clock(), 0, 3)
    worker.may_lack_ends = False
    await link._renew_lease(read_clock(), 0, 3)
    assert [expires_ms is None for expires_ms in answers.expiries] == [True, False]


async def test_tasks_of_an_incarnation_that_discards_its_first_ends_run_once() -> None:
    """With a whole node: the acknowledgement is carried out before the entry is written."""
    site = Site(describe=lambda key: (Shape(1000, 100), 100.0, "done"))
    async with run_nodes(site, hosts=1) as (client, _):
        [worker] = site.workers.values()
        await wait_for(lambda: worker.highest_token)
        site.faults.late_acknowledgement_share = 1.0
        site.faults.late_acknowledgement_delay_s = 3.6
        await run_a_job(client, JOB_BEFORE_RESTART, 4)
        await wait_for(lambda: site.late_acknowledgements)
        site.faults.late_acknowledgement_share = 0.0
        await crash_and_restart(site, worker, down_s=3.2, first_entry_s=1.0)
        assert worker._acknowledged > 0, "the next incarnation has carried it out"
        assert await client.submit(JOB_AFTER_RESTART, {"count": 3, "cpu": 1000}) == 200
        await wait_for(lambda: has_job_state(client, JOB_AFTER_RESTART, "completed"), 30.0)
        kinds = [end.kind for end in worker.ended_runs if end.key.job == JOB_AFTER_RESTART]
        assert kinds.count("done") == 3
        assert find_repeated_starts(site, JOB_BEFORE_RESTART) == {}
