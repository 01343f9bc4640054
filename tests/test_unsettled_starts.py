"""Starts without an answer, which a worker's next incarnation may carry out before any call.

Guards against two runs of a task at once, and against a run after an acknowledged end: a start had
no answer, its worker crashed, and the task was placed elsewhere at once. The next incarnation,
which had seen no fencing token, then carried the start out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from foxtrestle.platform.http import CallError, NoResponse, NotSent, ResponseTimeout
from foxtrestle.platform.workers import IncarnationMismatch
from foxtrestle.scheduling.checks import check_start
from foxtrestle.scheduling.incarnations import choose_end_acknowledgement
from foxtrestle.scheduling.model import HostInfo, HostState, RunningTask, Step, TaskKey
from foxtrestle.scheduling.progress import decode_progress, encode_progress, restore
from foxtrestle.scheduling.runs import (
    confirm_run,
    drop_run,
    place_run,
    record_end,
    release_worker,
    requeue,
)
from foxtrestle.scheduling.task_placement import choose_placements
from foxtrestle.scheduling.unsettled_orders import MAX_ORDER_DELAY_S
from foxtrestle.scheduling.unsettled_starts import (
    HEARD_AFTER_S,
    MAX_CLOCK_DIFFERENCE_S,
    MAX_LASTING_WAIT_S,
    MAX_WITHHELD_ENDS,
    RECENT_S,
    find_withheld_end,
    may_start_on,
    note_answered,
    note_sent,
    remove_settled,
)
from tests.scheduling_fakes import (
    HOST_CAPACITY,
    NOW,
    add_job_entry,
    add_worker,
    make_ended_run,
    make_fleet,
    make_job,
)
from tests.test_unanswered_calls import Control, fail, refuse

if TYPE_CHECKING:
    from foxtrestle.scheduling.jobs import JobEntry, Task
    from foxtrestle.scheduling.state import Fleet

FORMER, OTHER = "w-main-0", "w-main-1"
HOST = f"h-{FORMER}"
EXPIRED = NOW + MAX_ORDER_DELAY_S + 0.1
WALL_MS = 1_700_000_000_000.0


def make_unsettled(
    step: Step | None = None, *, heard: bool = True
) -> tuple[Fleet, JobEntry, list[Task]]:
    """Make a job whose first task was lost with its worker, after a start without an answer."""
    fleet = make_fleet(2)
    entry = add_job_entry(fleet, make_job(step or Step(count=2)))
    tasks = list(entry.tasks.values())
    worker = fleet.workers[FORMER]
    run = place_run(fleet, tasks[0], worker, 1, NOW)
    note_sent(fleet, tasks[0], worker, NOW, WALL_MS)
    # The second copy is answered.
    note_answered(fleet, tasks[0], worker, tasks[0].unsettled_starts[FORMER], heard=heard)
    run.apply_event("confirm")
    release_worker(fleet, worker, NOW, crashed=True)
    worker.runs_known = False
    return fleet, entry, tasks


def list_placed(fleet: Fleet, now: float = NOW) -> list[tuple[int, str]]:
    for worker in fleet.workers.values():
        worker.last_answer_at = now
    return [
        (task.key.number, worker.info.id)
        for placement in choose_placements(fleet, now)
        for task, worker in placement.members
    ]


def test_only_the_task_of_the_start_waits_for_its_worker() -> None:
    fleet, _, [task, _] = make_unsettled()
    assert list_placed(fleet) == [(1, OTHER)]
    assert check_start(fleet, task, fleet.workers[OTHER]) == "unsettled"
    fleet.workers[FORMER].runs_known = True
    assert (0, FORMER) in list_placed(fleet), "its next incarnation may have the task at once"


def test_copies_of_a_speculative_task_may_run_beside_a_late_start() -> None:
    fleet, _, _ = make_unsettled(Step(count=1, speculative=True))
    assert list_placed(fleet) == [(0, OTHER)]


def test_a_gang_waits_for_the_worker_of_each_unsettled_member() -> None:
    fleet, _, _ = make_unsettled(Step(count=2, gang=True))
    assert list_placed(fleet) == []
    fleet.workers[FORMER].runs_known = True
    assert len(list_placed(fleet)) == 2


def test_an_answered_start_is_settled_but_an_earlier_copy_is_not() -> None:
    fleet, _, [_, task] = make_unsettled()
    worker = fleet.workers[OTHER]
    note_sent(fleet, task, worker, NOW, WALL_MS)
    note_answered(fleet, task, worker, None)
    assert may_start_on(task, FORMER)
    note_sent(fleet, task, worker, NOW, WALL_MS)
    first = task.unsettled_starts[OTHER]
    note_sent(fleet, task, worker, NOW + 0.2, WALL_MS)
    note_answered(fleet, task, worker, first)
    assert task.unsettled_starts == {OTHER: first}
    assert not may_start_on(task, FORMER)


def test_another_worker_on_the_host_settles_a_start_at_once() -> None:
    """It has an id of its own, so it refuses what was meant for the former one."""
    fleet, _, [task, _] = make_unsettled()
    add_worker(fleet, "next", host=HOST).last_answer_at = NOW - 0.1
    assert remove_settled(fleet, NOW) == [], "it answered before the start was sent"
    fleet.workers["next"].last_answer_at = NOW + 0.1
    assert [row[:2] for row in remove_settled(fleet, NOW + 0.2)] == [(task.key, FORMER)]
    assert may_start_on(task, OTHER)
    assert not fleet.unsettled_starts.by_task


def test_the_same_worker_settles_a_start_when_it_answers_after_the_longest_delay() -> None:
    fleet, _, _ = make_unsettled()
    worker = fleet.workers[FORMER]
    worker.runs_known = True
    worker.last_answer_at = EXPIRED
    assert remove_settled(fleet, NOW + MAX_ORDER_DELAY_S) == [], "it may crash once more"
    worker.unknown_runs = 1
    assert remove_settled(fleet, EXPIRED) == [], "the late start has begun a run there"
    worker.unknown_runs = 0
    assert remove_settled(fleet, EXPIRED)


@pytest.mark.parametrize(
    ("state", "listed", "settled"),
    [("up", FORMER, False), ("up", "", False), ("up", "next", True), ("down", FORMER, True)],
)
def test_the_host_list_shows_whether_a_late_run_may_be_active(
    state: HostState, listed: str, *, settled: bool
) -> None:
    fleet, _, _ = make_unsettled()
    fleet.hosts[HOST] = HostInfo(HOST, "main", state, "z", (), HOST_CAPACITY, listed)
    fleet.hosts_requested_at = EXPIRED
    assert remove_settled(fleet, EXPIRED) == [], "the list may show the state before"
    fleet.hosts_requested_at = EXPIRED + 2.0
    assert bool(remove_settled(fleet, EXPIRED + 2.0)) == settled


def test_without_any_evidence_a_late_run_lasts_for_the_longest_lease() -> None:
    fleet, _, _ = make_unsettled()
    longest_s = MAX_ORDER_DELAY_S + fleet.unsettled_starts.longest_lease_s
    assert remove_settled(fleet, NOW + longest_s) == []
    assert remove_settled(fleet, NOW + longest_s + 0.1)


def test_a_start_that_probably_went_with_its_worker_is_settled_by_time() -> None:
    fleet, _, _ = make_unsettled(heard=False)
    assert remove_settled(fleet, NOW + MAX_ORDER_DELAY_S) == []
    assert remove_settled(fleet, EXPIRED)


@pytest.mark.parametrize(("heard", "wait_s"), [(False, MAX_LASTING_WAIT_S), (True, 22.4)])
def test_a_long_running_task_waits_for_a_worker_that_was_heard_since(
    *, heard: bool, wait_s: float
) -> None:
    """It may be away for some seconds only, so it does not wait for each worker that crashes."""
    fleet, _, _ = make_unsettled(Step(count=1, lasting=True), heard=heard)
    assert remove_settled(fleet, NOW + wait_s - 0.1) == []
    assert remove_settled(fleet, NOW + wait_s + 0.1)


def test_an_answer_of_the_same_incarnation_shows_that_a_worker_is_still_there() -> None:
    fleet, _, [task, _] = make_unsettled(heard=False)
    worker = fleet.workers[FORMER]
    worker.last_reached_at = NOW + HEARD_AFTER_S
    remove_settled(fleet, NOW + 1.0)
    assert not task.unsettled_starts[FORMER].heard, "the answer may be from before"
    worker.last_reached_at += 0.01
    worker.incarnation_started_ms = 5
    remove_settled(fleet, NOW + 1.0)
    assert not task.unsettled_starts[FORMER].heard, "its next incarnation has answered"
    worker.incarnation_started_ms = 0
    remove_settled(fleet, NOW + 1.0)
    assert task.unsettled_starts[FORMER].heard


# The next controller.


def take_over(entry: JobEntry, wall_ms: float = WALL_MS) -> tuple[Fleet, list[Task]]:
    fleet = make_fleet(2)
    for worker in fleet.workers.values():
        worker.runs_known = False
    fleet.unsettled_starts.takeover_at = NOW
    fresh = add_job_entry(fleet, entry.job)
    fresh.tasks.clear()
    fresh.released.clear()
    progress = decode_progress(encode_progress(entry))
    restore(fleet, fresh, progress, wall_ms, NOW, lambda name, _: fleet.workers[name])
    return fleet, list(fresh.tasks.values())


def test_the_next_controller_knows_which_starts_had_no_answer() -> None:
    fleet, [task, other] = take_over(make_unsettled()[1])
    assert not may_start_on(task, OTHER)
    assert may_start_on(other, OTHER)
    assert remove_settled(fleet, NOW + MAX_ORDER_DELAY_S) == []


def test_the_next_controller_forgets_starts_that_are_too_old() -> None:
    age_ms = (MAX_ORDER_DELAY_S + MAX_CLOCK_DIFFERENCE_S) * 1000
    _, [task, _] = take_over(make_unsettled()[1], WALL_MS + age_ms)
    assert not may_start_on(task, OTHER)
    _, [task, _] = take_over(make_unsettled()[1], WALL_MS + age_ms + 1)
    assert may_start_on(task, OTHER)


def make_running(placed_ms: float = WALL_MS) -> JobEntry:
    fleet = make_fleet(2)
    entry = add_job_entry(fleet, make_job(Step(count=2)))
    run = place_run(fleet, next(iter(entry.tasks.values())), fleet.workers[FORMER], 1, NOW)
    run.placed_ms = int(placed_ms)
    return entry


def test_the_start_of_a_run_that_was_placed_long_ago_is_settled() -> None:
    """The earlier controller would have recorded that it had no answer."""
    _, [task, _] = take_over(make_running(WALL_MS - RECENT_S * 1000))
    assert not may_start_on(task, OTHER)
    _, [task, _] = take_over(make_running(WALL_MS - RECENT_S * 1000 - 1))
    assert may_start_on(task, OTHER)
    [run] = task.runs.values()
    assert run.placed_ms == WALL_MS - RECENT_S * 1000 - 1, "the controller after it knows as well"
    _, [task, _] = take_over(make_running(0))
    assert may_start_on(task, OTHER), "an earlier version has recorded no time"


@pytest.mark.parametrize("shown", ["running", "ended"])
def test_a_run_that_its_worker_lists_had_an_answer_unless_it_is_known_otherwise(
    shown: str,
) -> None:
    fleet, [task, _] = take_over(make_running())
    worker = fleet.workers[FORMER]
    assert not may_start_on(task, OTHER), "the former controller may have had no answer"
    if shown == "running":
        confirm_run(fleet, RunningTask(task.key, 1, "", 5), worker, NOW)
    else:
        record_end(fleet, worker, make_ended_run(task.key, 1, "failed"), NOW)
    assert may_start_on(task, OTHER)


def test_a_run_that_its_worker_does_not_list_stays_unsettled() -> None:
    fleet, [task, _] = take_over(make_running())
    drop_run(task, 1, fleet.workers[FORMER])
    requeue(fleet.jobs[task.key.job], task, NOW)
    assert not may_start_on(task, OTHER)
    _, [task, _] = take_over(fleet.jobs[task.key.job])
    assert not may_start_on(task, OTHER), "the controller after that one knows it as well"


# Ends.


def test_an_end_is_not_acknowledged_while_its_start_may_be_carried_out() -> None:
    fleet, _, [task, other] = make_unsettled()
    worker = fleet.workers[FORMER]
    ends = [make_ended_run(other.key, 1, "done", 1), make_ended_run(task.key, 1, "done", 2)]
    worker.record_answer(NOW)
    worker.recorded_end = 2
    worker.withheld_end = find_withheld_end(fleet, worker, ends, NOW)
    assert choose_end_acknowledgement(worker, NOW) == 1, "the ends before it are acknowledged"
    worker.withheld_end = find_withheld_end(fleet, worker, ends, EXPIRED)
    worker.record_answer(EXPIRED)
    assert choose_end_acknowledgement(worker, EXPIRED) == 2


def test_ends_that_a_report_could_lack_otherwise_are_acknowledged() -> None:
    fleet, _, [task, _] = make_unsettled()
    ends = [make_ended_run(task.key, 1, "done", number + 1) for number in range(MAX_WITHHELD_ENDS)]
    worker = fleet.workers[FORMER]
    assert find_withheld_end(fleet, worker, ends, NOW) == 1
    more = make_ended_run(task.key, 1, "done", MAX_WITHHELD_ENDS + 1)
    assert find_withheld_end(fleet, worker, [*ends, more], NOW) == 0


def test_ends_of_unknown_jobs_are_withheld_after_a_takeover() -> None:
    """The earlier controller has archived the job, with what it knew of the job's starts."""
    fleet = make_fleet(1)
    worker = fleet.workers[FORMER]
    end = make_ended_run(TaskKey("f" * 16, 0, 0, 0), 1, "done")
    assert find_withheld_end(fleet, worker, [end], NOW) == 0
    fleet.unsettled_starts.takeover_at = NOW
    assert find_withheld_end(fleet, worker, [end], NOW) == 1
    assert find_withheld_end(fleet, worker, [end], EXPIRED) == 0
    fleet.note_ended(end.key.job)
    assert find_withheld_end(fleet, worker, [end], NOW) == 0, "it ended under this controller"


# Orders.


@pytest.mark.parametrize("kind", [NoResponse, ResponseTimeout])
async def test_a_start_without_an_answer_is_unsettled_although_its_second_copy_is_answered(
    kind: type[CallError],
) -> None:
    control = Control(fail(kind))
    await control.start()
    assert list(control.task.unsettled_starts) == [control.worker.info.id]
    assert control.task.key.job in control.fleet.dirty, "the next controller has to know of it"


@pytest.mark.parametrize(
    "answer",
    [
        None,
        refuse("room"),
        refuse("503"),
        fail(CallError),
        NotSent(fail(ResponseTimeout)),
        IncarnationMismatch("other", step="call"),
    ],
)
async def test_a_start_that_was_answered_or_not_sent_is_settled(answer: Exception | None) -> None:
    control = Control(answer)
    await control.start()
    assert control.task.unsettled_starts == {}
    assert control.fleet.unsettled_starts.by_task == {}


async def test_a_start_under_way_counts_as_unsettled() -> None:
    """Its worker may be given up before the call times out."""
    control = Control()
    seen: list[bool] = []
    control.calls.before_answer = lambda: seen.append(may_start_on(control.task, "other"))
    await control.start()
    assert seen == [False]


async def test_a_start_that_was_not_sent_counts_for_no_crash() -> None:
    control = Control(*[NotSent(fail(ResponseTimeout))] * 3)
    await control.start()
    assert control.run.sent_at == 0.0
    assert control.task.key in control.fleet.jobs[control.task.key.job].ready
