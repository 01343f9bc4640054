"""All members of a gang are started with the same checkpoint.

Guards against a gang that never works again. Each member was started with the checkpoint that its
own runs had reported last. After a crash these differ: the lost member's is older. A gang begins
only if all members bring the same checkpoint, so every start ended after the wait for the others,
and the job was never done although its workers were held for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from foxtrestle.scheduling.model import RunningTask, Step, TaskKey
from foxtrestle.scheduling.runs import confirm_run, record_end, release_worker, share_checkpoint
from tests.scheduling_fakes import NOW, add_job_entry, make_ended_run, make_fleet, make_job
from tests.test_runs import place_all

if TYPE_CHECKING:
    from foxtrestle.scheduling.state import Fleet

GANG = Step(count=3, gang=True, checkpoints=True, max_per_worker=1)


def report(fleet: Fleet, key: TaskKey, run: int, worker: str, checkpoint: str) -> None:
    listed = RunningTask(key, run, checkpoint, 50, 0.0)
    assert confirm_run(fleet, listed, fleet.workers[worker], NOW) is None


def list_checkpoints(fleet: Fleet, key: TaskKey) -> list[str]:
    return [task.checkpoint for task in fleet.jobs[key.job].tasks.values()]


def test_the_newest_checkpoint_of_any_member_serves_all() -> None:
    fleet = make_fleet(3)
    add_job_entry(fleet, make_job(GANG))
    placed = place_all(fleet)
    for key, run, worker in placed:
        report(fleet, key, run, worker, "after 2 s")
    key, run, crashed = placed[0]
    release_worker(fleet, fleet.workers[crashed], NOW, crashed=True)
    for key, run, worker in placed[1:]:
        end = make_ended_run(key, run, "broken", checkpoint="after 4 s")
        record_end(fleet, fleet.workers[worker], end, NOW)
    assert list_checkpoints(fleet, key) == ["after 4 s"] * 3


def test_members_that_were_recorded_with_different_checkpoints_share_one() -> None:
    fleet = make_fleet(3)
    entry = add_job_entry(fleet, make_job(GANG))
    tasks = list(entry.tasks.values())
    tasks[1].checkpoint, tasks[2].checkpoint = "after 2 s", "after 4 s"
    share_checkpoint(tasks)
    assert len(set(list_checkpoints(fleet, tasks[0].key))) == 1
    assert tasks[0].checkpoint


@pytest.mark.parametrize("step", [Step(count=2, checkpoints=True), Step(count=2, lasting=True)])
def test_other_tasks_keep_checkpoints_of_their_own(step: Step) -> None:
    fleet = make_fleet(2)
    add_job_entry(fleet, make_job(step))
    (key, run, worker), _ = place_all(fleet)
    report(fleet, key, run, worker, "own")
    assert sorted(list_checkpoints(fleet, key)) == ["", "own"]
