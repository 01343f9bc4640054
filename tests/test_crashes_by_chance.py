"""A harmless task whose first two workers crash by chance is started once more.

Seen in the soak (seed 942): a worker crashed with ten runs, 0.1 s after they had begun; one of
their tasks, lasting and harmless, was placed alone on a second worker, which the soak crashed 0.5 s
after the first. The task was given up and its job failed. It came about as a task on probation has
its worker to itself, so the next crash is laid to it alone; that hosts crash by themselves, two
within a second, is not reckoned with. Proof: the lines of the lost runs, `crashes` 1 and 2, and
both hosts listed as down without an order for either. The platform allows a third start.
"""

from __future__ import annotations

from foxtrestle.scheduling.model import Shape, Step
from tests.scheduling_fakes import enter, make_fleet, make_job
from tests.test_crashes import lose, place


def test_two_crashes_by_chance_do_not_condemn_a_harmless_task() -> None:
    fleet = make_fleet(3)
    entry = enter(fleet, make_job(Step(shape=Shape(1000, 100), lasting=True)))
    beside = enter(fleet, make_job(Step(shape=Shape(1000, 100), count=9), id="beside"))
    [task] = entry.tasks.values()
    for other in [task, *beside.tasks.values()]:
        place(fleet, other, "w-main-0")
    lose(fleet, "w-main-0", 0.09)
    place(fleet, task, "w-main-1")
    lose(fleet, "w-main-1", 0.02)
    assert not entry.ended, "another worker may crash by chance, and a third start is allowed"
