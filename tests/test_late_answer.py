"""An answer that arrives late does not show which incarnation of its worker is running.

Guards against acknowledging ends of a former incarnation to the next one. An answer waits in the
socket of a frozen node, or on its way, while its worker crashes and starts again under its id. The
node counted its age from when it processed it, took it for new, and acknowledged its ends. The next
incarnation then never listed its own ends up to that number, and 12 tasks were run up to five times
each.
"""

from __future__ import annotations

import asyncio

from foxtrestle.scheduling.incarnations import FRESH_ANSWER_S, choose_end_acknowledgement
from foxtrestle.scheduling.model import Shape
from foxtrestle.standins.site import Site
from tests.scheduling_fakes import NOW, make_fleet
from tests.test_node import run_nodes, shorten_intervals, wait_for
from tests.test_worker_restart import (
    JOB_AFTER_RESTART,
    JOB_BEFORE_RESTART,
    find_repeated_starts,
    run_a_job,
)

__all__ = ["shorten_intervals"]


def test_ends_are_acknowledged_after_an_answer_that_cannot_be_old() -> None:
    [worker] = make_fleet(1).workers.values()
    worker.recorded_end = 41
    worker.record_answer(NOW, waited_s=FRESH_ANSWER_S / 2)
    assert choose_end_acknowledgement(worker, NOW + FRESH_ANSWER_S / 3) == 41
    assert choose_end_acknowledgement(worker, NOW + FRESH_ANSWER_S) == 0
    worker.record_answer(NOW, waited_s=0.8)
    assert choose_end_acknowledgement(worker, NOW) == 0


async def test_the_ends_of_a_late_answer_are_not_acknowledged_to_the_next_incarnation() -> None:
    site = Site(describe=lambda key: (Shape(1000, 100), 300.0, "done"))
    async with run_nodes(site, hosts=1) as (client, _):
        [(worker_id, worker)] = site.workers.items()
        await wait_for(lambda: worker.highest_token)
        assert await client.submit(JOB_BEFORE_RESTART, {"count": 6, "cpu": 1000}) == 200
        await wait_for(lambda: worker.running)
        site.faults.late_answer_s = 0.6
        await wait_for(lambda: worker.unacknowledged_ends)
        # The ends are reported now, and the answer is on its way.
        await asyncio.sleep(0.1)
        await site.restart_worker(worker_id, away_s=0.2, updates_entry=False)
        site.faults.late_answer_s = 0.0
        await run_a_job(client, JOB_AFTER_RESTART, 4)
        assert find_repeated_starts(site, JOB_AFTER_RESTART) == {}
