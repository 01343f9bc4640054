"""Each waiting step of a queue with a policy is asked about in its turn.

Guards against steps that are never asked about. The oldest waiting step without a valid answer came
first, even if no worker could run it. Once the questions about the oldest steps took as long as
answers are valid, these steps were asked about again and again, and later ones never: five small
jobs behind twenty that no worker had the room for never started.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from foxtrestle.scheduling.model import Queue, Shape, Step
from foxtrestle.scheduling.policy_steps import choose_question
from tests.scheduling_fakes import NOW, add_job_entry, make_fleet, make_job

if TYPE_CHECKING:
    from foxtrestle.scheduling.state import Fleet

SMALL = Step(shape=Shape(1000, 100))
TOO_LARGE = Step(shape=Shape(99_000, 100))
VALID_S = 2.5
ANSWER_S = 1.0
MAX_WORKERS = 100


def make_policy_fleet(*steps: Step) -> Fleet:
    """Make a fleet of three workers and a waiting job of each step, oldest first."""
    fleet = make_fleet(3)
    assert fleet.configuration is not None
    queue = Queue("q", "h", "/q/", "main", uses_policy=True)
    fleet.configuration = msgspec.structs.replace(fleet.configuration, queues=(queue,))
    for number, step in enumerate(steps):
        add_job_entry(fleet, make_job(step, id=f"{number:016x}"))
    return fleet


def ask_in_turn(fleet: Fleet, questions: int) -> list[int]:
    """Ask until a number of questions is answered; return the numbers of the jobs asked about."""
    asked_at: dict[tuple[str, int, int], float] = {}
    asked, now = [], NOW
    for _ in range(questions):
        for worker in fleet.workers.values():
            worker.record_answer(now)
        question = choose_question(fleet, asked_at, MAX_WORKERS, now)
        if question is None:
            break
        asked.append(int(question.key.job, 16))
        asked_at[question.key[:3]] = now
        tickets = fleet.tickets.setdefault(question.key[:3], {})
        tickets.update(dict.fromkeys(question.workers, ("ticket", now + VALID_S)))
        now += ANSWER_S
    return asked


def test_steps_that_no_worker_can_run_are_not_asked_about() -> None:
    fleet = make_policy_fleet(TOO_LARGE, TOO_LARGE, SMALL)
    assert ask_in_turn(fleet, 1) == [2]
    assert choose_question(make_policy_fleet(TOO_LARGE), {}, MAX_WORKERS, NOW) is None


def test_every_step_has_its_turn_though_answers_lapse_before_all_were_asked_about() -> None:
    assert ask_in_turn(make_policy_fleet(*[SMALL] * 6), 12) == [0, 1, 2, 3, 4, 5] * 2


def test_a_step_that_came_later_has_its_turn_after_those_that_were_asked_about_before() -> None:
    fleet = make_policy_fleet(SMALL, SMALL)
    asked_at = {("0" * 16, 0, 0): NOW + 1.0}
    entry = fleet.jobs[f"{1:016x}"]
    [task] = entry.ready.values()
    task.waiting_since = NOW + 2.0
    question = choose_question(fleet, asked_at, MAX_WORKERS, NOW)
    assert question is not None
    assert question.key.job == "0" * 16


def test_a_question_names_no_more_workers_than_allowed_and_the_others_are_asked_about_next() -> (
    None
):
    fleet = make_policy_fleet(SMALL)
    first = choose_question(fleet, {}, 2, NOW)
    assert first is not None
    assert len(first.workers) == 2
    fleet.tickets[first.key[:3]] = dict.fromkeys(first.workers, ("", NOW + VALID_S))
    second = choose_question(fleet, {}, 2, NOW)
    assert second is not None
    assert set(first.workers) | set(second.workers) == fleet.workers.keys()
