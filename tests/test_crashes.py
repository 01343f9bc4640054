"""Tasks that crash their workers are given up in time; tasks that run beside them are not.

The simulated load is that of `test_crashing_task`, without network: tasks that crash every worker
they start on, some of them after a long delay, among harmless tasks, on a pool of few workers whose
hosts come back after 2 s, under controllers that take over from each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given, settings

from foxtrestle.scheduling.checks import check_start
from foxtrestle.scheduling.crashes import (
    LONG_RUNNING_SUSPECT_S,
    MAX_CRASHES,
    PROVEN_CRASHES,
)
from foxtrestle.scheduling.hosts import HostPlan
from foxtrestle.scheduling.jobs import JobEntry
from foxtrestle.scheduling.losses import LossReason, is_crash
from foxtrestle.scheduling.maintenance_waves import choose_evacuation_stops, count_absent
from foxtrestle.scheduling.model import RunningTask, Shape, Step
from foxtrestle.scheduling.progress import decode_progress, encode_progress, restore
from foxtrestle.scheduling.runs import (
    add_job,
    place_run,
    reconcile_runs,
    record_end,
    release_worker,
)
from foxtrestle.scheduling.state import Fleet
from foxtrestle.scheduling.task_placement import choose_placements
from foxtrestle.scheduling.unsettled_starts import remove_settled
from tests.properties import scale
from tests.scheduling_fakes import (
    NOW,
    add_job_entry,
    add_worker,
    make_ended_run,
    make_fleet,
    make_job,
)
from tests.test_node import make_job_id

if TYPE_CHECKING:
    from foxtrestle.scheduling.jobs import Task
    from foxtrestle.scheduling.workers import Worker

SMALL = Shape(1000, 100)
STEP_S = 0.05
WORK_S = 0.6
"""Seconds that a harmless task takes."""
DETECTION_S = 0.3
"""Seconds after a crash until it is detected."""
REPLACEMENT_S = 2.0
"""Seconds after which the host of a crashed worker has a new worker."""


class Simulation:
    """A fleet, its controllers and its workers, advanced in steps of simulated time."""

    def __init__(self, workers: int, crash_delays: dict[tuple[str, int], float]) -> None:
        self.fleet = make_fleet(workers)
        self.crash_delays = crash_delays
        """Seconds after which a task crashes its worker, by job and task number."""
        self.now = NOW
        self.created_workers = workers
        self.began: dict[tuple[Task, int], float] = {}
        # Crashed workers, with the time at which the crash is detected.
        self.detected_at: dict[str, float] = {}
        self.replacements_due: list[float] = []
        self.crashes: dict[tuple[str, int], int] = {}
        # Starts of a task after three of its workers have crashed.
        self.late_starts: dict[tuple[str, int], int] = {}
        self.lost_workers = 0

    def step(self) -> None:
        self.now = round(self.now + STEP_S, 3)
        for due in [due for due in self.replacements_due if due <= self.now]:
            self.replacements_due.remove(due)
            self.created_workers += 1
            add_worker(self.fleet, f"w{self.created_workers}").first_seen = self.now
        for worker in list(self.fleet.workers.values()):
            if worker.info.id in self.detected_at:
                self._detect_crash(worker)
            else:
                self._work(worker)
        remove_settled(self.fleet, self.now)
        for placement in choose_placements(self.fleet, self.now):
            for task, worker in placement.members:
                assert not check_start(self.fleet, task, worker)
                self._start(task, worker, placement.run)

    def _start(self, task: Task, worker: Worker, number: int) -> None:
        run = place_run(self.fleet, task, worker, number, self.now)
        run.sent_at = self.now
        run.apply_event("confirm")
        run.confirmed_at = worker.last_alive_at = self.now
        task_id = task.key.job, task.key.number
        if self.crashes.get(task_id, 0) >= 3:
            self.late_starts[task_id] = self.late_starts.get(task_id, 0) + 1

    def _work(self, worker: Worker) -> None:
        worker.record_answer(self.now)
        listed = []
        for (key, number), run in list(worker.runs.items()):
            age_s = self.now - run.placed_at
            crash_delay = self.crash_delays.get((key.job, key.number))
            if crash_delay is not None and age_s >= crash_delay:
                self._crash(worker)
                return
            task = self.fleet.jobs[key.job].tasks[key]
            harmless = (
                (key.job, 0) not in self.crash_delays if task.step.gang else crash_delay is None
            )
            if not task.step.lasting and harmless and age_s >= WORK_S:
                record_end(self.fleet, worker, make_ended_run(key, number, "done"), self.now)
            else:
                listed.append(RunningTask(key, number, "", 1))
        reconcile_runs(self.fleet, worker, listed, self.now)

    def _crash(self, worker: Worker) -> None:
        worker.record_unanswered_call(self.now, connection_lost=True)
        self.detected_at[worker.info.id] = self.now + DETECTION_S
        self.replacements_due.append(self.now + REPLACEMENT_S)
        self.lost_workers += 1
        for key, number in list(worker.runs):
            task_id = key.job, key.number
            self.crashes[task_id] = self.crashes.get(task_id, 0) + 1
            self._break_gang(key.job, number, worker)

    def _break_gang(self, job: str, number: int, lost: Worker) -> None:
        """End the other members of a gang after one was lost with its worker."""
        for worker in self.fleet.workers.values():
            if worker is lost or worker.info.id in self.detected_at:
                continue
            for key, other in list(worker.runs):
                if key.job == job and self.fleet.jobs[job].tasks[key].step.gang:
                    record_end(self.fleet, worker, make_ended_run(key, other, "broken"), self.now)

    def _detect_crash(self, worker: Worker) -> None:
        if self.now < self.detected_at[worker.info.id]:
            return
        release = release_worker(self.fleet, worker, self.now, crashed=True)
        del self.fleet.workers[worker.info.id]
        for stop in release.stops:
            other = self.fleet.workers[stop.worker]
            record_end(self.fleet, other, make_ended_run(stop.key, stop.run, "stopped"), self.now)

    def take_over(self) -> None:
        """Replace the controller by one that has only the recorded state; the workers stay."""
        former = self.fleet
        self.fleet = Fleet(former.term + 1)
        self.fleet.configuration = former.configuration
        for worker in former.workers.values():
            added = add_worker(self.fleet, worker.info.id)
            added.last_alive_at, added.contact_loss = worker.last_alive_at, worker.contact_loss
        for entry in former.jobs.values():
            restored_entry = JobEntry(entry.job, 1, entry.created_at)
            add_job(self.fleet, restored_entry)
            progress = decode_progress(encode_progress(entry))
            restore(self.fleet, restored_entry, progress, 0.0, self.now,
                    lambda worker_id, host: self.fleet.workers[worker_id])  # fmt: skip
            for task in restored_entry.tasks.values():
                for run in task.runs.values():
                    run.apply_event("confirm")
                    run.placed_at = entry.tasks[task.key].runs[run.number].placed_at
                    run.confirmed_at = self.now

    def state(self, job: str) -> str:
        return self.fleet.jobs[job].state

    def continues_without_faulty(self, job: str, *, sole_cause: bool) -> bool:
        """Return whether a job of long-running tasks continues without its faulty first task.

        Args:
            job: Id of the job.
            sole_cause: Whether only the faulty task may be given up.
        """
        faulty, *others = self.fleet.jobs[job].tasks.values()
        given_up = [task for task in others if task.given_up]
        assert faulty.step.lasting, "only long-running jobs continue without one of their tasks"
        assert not faulty.step.gang
        assert faulty.given_up
        assert not faulty.runs
        assert not (sole_cause and given_up)
        assert len(given_up) < len(others), "a job fails once all of its tasks are given up"
        return all(bool(task.runs) != task.given_up for task in others)


jobs_strategy = st.lists(
    st.tuples(
        st.builds(
            Step,
            count=st.integers(1, 5),
            shape=st.just(SMALL),
            gang=st.sampled_from((False, False, False, True)),
            lasting=st.sampled_from((False, False, True)),
            max_per_worker=st.sampled_from((0, 0, 2)),
        ),
        st.sampled_from((None, None, None, 0.0, 0.0, 0.05, 0.4, 1.5)),
    ),
    min_size=1,
    max_size=5,
)


@settings(max_examples=scale(60), deadline=None)
@given(
    jobs_strategy, st.integers(4, 8), st.lists(st.integers(1, 200), max_size=2), st.integers(0, 20)
)
def test_tasks_that_crash_workers_are_given_up_and_no_others(
    jobs: list, workers: int, takeovers: list[int], gap: int
) -> None:
    """Jobs are submitted a few steps apart, so that some start on workers in use."""
    crash_delays = {
        (make_job_id(n), 0): crash_delay
        for n, (_, crash_delay) in enumerate(jobs)
        if crash_delay is not None
    }
    simulation = Simulation(workers, crash_delays)
    entered = 0
    for step in range(900):
        if step % (gap + 1) == 0 and entered < len(jobs):
            add_job_entry(
                simulation.fleet,
                make_job(jobs[entered][0], id=make_job_id(entered)),
                created_at=simulation.now,
            )
            entered += 1
        if step in takeovers:
            simulation.take_over()
        simulation.step()
    assert max(simulation.late_starts.values(), default=0) < 3
    assert simulation.lost_workers <= MAX_CRASHES * len(crash_delays)
    for job, _ in crash_delays:
        assert simulation.state(job) == "failed" or simulation.continues_without_faulty(
            job, sole_cause=len(crash_delays) == 1
        )
    if len(crash_delays) == 1:
        # Several faulty tasks may be confused with each other, and harmless ones beside them too.
        harmless = [
            make_job_id(n) for n, (_, crash_delay) in enumerate(jobs) if crash_delay is None
        ]
        assert all(simulation.state(job) != "failed" for job in harmless)


def test_tasks_beside_a_task_that_crashes_its_worker_complete() -> None:
    """Five tasks of one job and one task of another job repeatedly run beside the faulty task."""
    simulation = Simulation(6, {(make_job_id(9), 0): 0.0})
    for number, count in ((1, 5), (2, 1), (9, 2)):
        add_job_entry(
            simulation.fleet, make_job(Step(count=count, shape=SMALL), id=make_job_id(number))
        )
    for _ in range(200):
        simulation.step()
    assert [simulation.state(make_job_id(number)) for number in (1, 2, 9)] == [
        "completed",
        "completed",
        "failed",
    ]
    assert simulation.lost_workers == PROVEN_CRASHES


CRASH_REASONS = {
    LossReason.HOST_DOWN,
    LossReason.NEW_WORKER,
    LossReason.ADDRESS_REUSED,
    LossReason.RESTARTED,
}


def lose_contact(worker: Worker, after_s: float = 0.01) -> None:
    worker.record_unanswered_call(NOW + after_s, connection_lost=True)


def test_a_worker_with_a_host_down_or_another_incarnation_has_crashed() -> None:
    fleet = make_fleet(1)
    worker = fleet.workers["w-main-0"]
    lose_contact(worker)
    for reason in CRASH_REASONS:
        assert is_crash(fleet, worker, reason)


def test_a_disconnected_or_ordered_away_worker_has_not_crashed() -> None:
    fleet = make_fleet(1)
    worker = fleet.workers["w-main-0"]
    lose_contact(worker)
    others = set(LossReason) - CRASH_REASONS
    assert not any(is_crash(fleet, worker, reason) for reason in others)
    plan = HostPlan(worker.info.host, "other", 0, worker.info.id, NOW)
    plan.apply_event("empty", NOW)
    fleet.plans[plan.host] = plan
    assert not is_crash(fleet, worker, LossReason.HOST_DOWN)


def test_a_worker_that_was_leaving_when_contact_was_lost_has_not_crashed() -> None:
    for sign in ("draining", "gone"):
        fleet = make_fleet(1)
        worker = fleet.workers["w-main-0"]
        if sign == "gone":
            worker.entry_gone = True
        else:
            worker.info = msgspec.structs.replace(worker.info, draining=True)
        lose_contact(worker)
        assert not is_crash(fleet, worker, LossReason.NEW_WORKER)


def test_an_entry_that_disappears_after_contact_loss_does_not_show_leaving() -> None:
    fleet = make_fleet(1)
    worker = fleet.workers["w-main-0"]
    lose_contact(worker)
    worker.entry_gone = True
    assert is_crash(fleet, worker, LossReason.NEW_WORKER)


def lose(fleet: Fleet, name: str, after_s: float = 0.01) -> None:
    lose_contact(fleet.workers[name], after_s)
    release_worker(fleet, fleet.workers[name], NOW + after_s, crashed=True)
    del fleet.workers[name]


def place(fleet: Fleet, task: Task, name: str, number: int = 1) -> None:
    run = place_run(fleet, task, fleet.workers[name], number, NOW)
    run.sent_at = NOW
    run.apply_event("confirm")
    run.confirmed_at = NOW
    fleet.workers[name].last_alive_at = NOW


def test_a_start_that_was_never_sent_is_not_suspected() -> None:
    fleet = make_fleet(1)
    [task] = add_job_entry(fleet, make_job(Step(shape=SMALL))).tasks.values()
    place_run(fleet, task, fleet.workers["w-main-0"], 1, NOW)
    lose(fleet, "w-main-0")
    assert task.crashes == 0
    assert not task.probation


def test_a_start_that_was_sent_to_a_crashed_worker_is_not_suspected() -> None:
    fleet = make_fleet(1)
    [task] = add_job_entry(fleet, make_job(Step(shape=SMALL))).tasks.values()
    lose_contact(fleet.workers["w-main-0"])
    place_run(fleet, task, fleet.workers["w-main-0"], 1, NOW).sent_at = NOW + 1.1
    lose(fleet, "w-main-0")
    assert task.crashes == 0


def test_an_unanswered_start_on_a_worker_without_power_is_not_suspected() -> None:
    """A task that never ran must not be given up after two starts in a rack without power.

    A worker that loses power is detected as unresponsive 1.5 s later. Until then it counts as the
    worker with the most free capacity, on which a task on probation is placed first.
    """
    fleet = make_fleet(1)
    [task] = add_job_entry(fleet, make_job(Step(shape=SMALL))).tasks.values()
    worker = fleet.workers["w-main-0"]
    place_run(fleet, task, worker, 1, NOW).sent_at = NOW
    worker.record_unanswered_call(NOW + 1.5, connection_lost=False)
    release_worker(fleet, worker, NOW + 2.0, crashed=True)
    assert task.crashes == 0
    assert not task.probation


def test_an_unanswered_start_is_suspected_if_the_connection_breaks() -> None:
    fleet = make_fleet(1)
    [task] = add_job_entry(fleet, make_job(Step(shape=SMALL))).tasks.values()
    place_run(fleet, task, fleet.workers["w-main-0"], 1, NOW).sent_at = NOW
    lose(fleet, "w-main-0")
    assert task.crashes == 1
    assert task.probation


def test_tasks_on_probation_are_placed_on_separate_workers_of_their_own() -> None:
    fleet = make_fleet(3)
    [first] = add_job_entry(fleet, make_job(Step(shape=SMALL), id=make_job_id(1))).tasks.values()
    [second] = add_job_entry(fleet, make_job(Step(shape=SMALL), id=make_job_id(2))).tasks.values()
    place(fleet, first, "w-main-0")
    place(fleet, second, "w-main-0")
    lose(fleet, "w-main-0")
    assert first.probation
    assert second.probation
    add_job_entry(fleet, make_job(Step(count=3, shape=SMALL), id=make_job_id(3)))
    placed = {p.job: w.info.id for p in choose_placements(fleet, NOW) for _, w in p.members}
    assert len({placed[make_job_id(1)], placed[make_job_id(2)]}) == 2
    assert make_job_id(3) not in placed, "both workers are reserved for probation"


def test_a_worker_whose_connection_broke_gets_no_runs_until_it_answers() -> None:
    fleet = make_fleet(1)
    add_job_entry(fleet, make_job(Step(shape=SMALL)))
    worker = fleet.workers["w-main-0"]
    lose_contact(worker)
    assert choose_placements(fleet, NOW) == []
    worker.record_answer(NOW)
    assert len(choose_placements(fleet, NOW)) == 1


def test_crash_counts_are_restored_by_the_next_controller() -> None:
    fleet = make_fleet(1)
    entry = add_job_entry(fleet, make_job(Step(shape=SMALL)))
    [task] = entry.tasks.values()
    place(fleet, task, "w-main-0")
    lose(fleet, "w-main-0")
    next_fleet = make_fleet(1)
    restored_entry = JobEntry(entry.job, 1, NOW)
    add_job(next_fleet, restored_entry)
    restore(next_fleet, restored_entry, decode_progress(encode_progress(entry)), 0.0, NOW,
            lambda worker_id, host: next_fleet.workers[worker_id])  # fmt: skip
    [restored] = restored_entry.tasks.values()
    assert (restored.crashes, restored.suspected_crashes, restored.probation) == (1, 1, True)
    assert restored.crash_age_s == task.crash_age_s


def give_up_one(step: Step) -> tuple[Fleet, JobEntry, list[Task]]:
    """Give up the first task of a step by a last crash of its worker; the others run elsewhere."""
    fleet = make_fleet(step.count)
    entry = add_job_entry(fleet, make_job(step))
    tasks = list(entry.tasks.values())
    tasks[0].crashes = MAX_CRASHES - 1
    for number, task in enumerate(tasks):
        place(fleet, task, f"w-main-{number}")
    lose(fleet, "w-main-0")
    return fleet, entry, tasks


LASTING = Step(count=3, shape=SMALL, lasting=True, max_absent=1)


def test_a_given_up_long_running_task_never_restarts_and_the_others_continue() -> None:
    fleet, entry, [first, *others] = give_up_one(LASTING)
    assert (entry.state, first.given_up, entry.ready) == ("running", True, {})
    assert [run.state for task in others for run in task.runs.values()] == ["running"] * 2
    assert entry.job.id in fleet.active
    assert not choose_placements(fleet, NOW)
    first.crashes = 0
    assert check_start(fleet, first, fleet.workers["w-main-1"]) == "crashes"


def test_a_given_up_task_counts_as_absent() -> None:
    fleet, _, [first, *others] = give_up_one(LASTING)
    for task in others:
        for run in task.runs.values():
            run.percent = 100
            fleet.workers[run.worker].last_answer_at = NOW
    assert count_absent(fleet, first.key, 0.0, NOW) == 1
    assert not choose_evacuation_stops(fleet, fleet.workers["w-main-1"], 1.0, 1.0, 0.0, NOW)


def test_a_given_up_task_stays_given_up_under_the_next_controller() -> None:
    _, entry, [first, *_] = give_up_one(LASTING)
    next_fleet = make_fleet(3)
    restored_entry = JobEntry(entry.job, 1, NOW)
    add_job(next_fleet, restored_entry)
    restore(next_fleet, restored_entry, decode_progress(encode_progress(entry)), 0.0, NOW,
            lambda worker_id, host: next_fleet.workers[worker_id])  # fmt: skip
    assert restored_entry.state == "running"
    assert restored_entry.tasks[first.key].given_up
    assert not restored_entry.ready
    assert not choose_placements(next_fleet, NOW)


@pytest.mark.parametrize(
    "step",
    [
        Step(count=3, shape=SMALL),
        msgspec.structs.replace(LASTING, gang=True),
        msgspec.structs.replace(LASTING, count=1),
    ],
)
def test_a_job_that_cannot_continue_without_its_given_up_task_fails(step: Step) -> None:
    fleet, entry, _ = give_up_one(step)
    assert entry.state == "failed"
    assert entry.job.id not in fleet.active


def test_a_job_fails_once_all_its_tasks_are_given_up() -> None:
    fleet, entry, [_, *others] = give_up_one(LASTING)
    for number, task in enumerate(others, 1):
        assert entry.state == "running"
        task.crashes = MAX_CRASHES - 1
        lose(fleet, f"w-main-{number}")
    assert entry.state == "failed"


def test_a_record_of_an_earlier_version_has_no_crashes() -> None:
    fleet = make_fleet(1)
    entry = add_job_entry(fleet, make_job(Step(shape=SMALL)))
    entry.tasks[next(iter(entry.tasks))].starts = 1
    value = msgspec.msgpack.decode(encode_progress(entry))
    value["tasks"] = [row[:8] for row in value["tasks"]]
    [record] = decode_progress(msgspec.msgpack.encode(value)).tasks
    assert (record.crashes, record.suspected_crashes, record.probation) == (0, 0, False)
    assert not record.given_up


def test_an_old_run_of_a_long_running_task_is_not_suspected_of_a_crash() -> None:
    fleet = make_fleet(1)
    [task] = add_job_entry(fleet, make_job(Step(shape=SMALL, lasting=True))).tasks.values()
    place(fleet, task, "w-main-0")
    lose(fleet, "w-main-0", LONG_RUNNING_SUSPECT_S + 1.0)
    assert task.crashes == 0
