"""A late start that meets a worker's next life before that has been called under a higher token.

Seen in the soak (seeds 1067, 1069, 1095): tasks ran once more after their ends had been noted.
The first copy of a start had no answer, the second ran and ended; the worker started again under
its id, got a start for another task, and then carried out the late first copy. Cause: until a
life has seen a higher token, it takes what was meant for the former, and the controller learns of
it from its entry or from the next answered call, up to 1.5 s later if the store is away. Proved
by the lines: `worker.other-life` up to 1.2 s after the birth, and `run.unwanted` for the run of
the ended job.
"""

from __future__ import annotations

import asyncio

from foxtrestle.scheduling.model import Shape
from foxtrestle.standins.site import Site
from tests.test_node import is_state, running, short_times, wait_for
from tests.test_second_life import AFTER, BEFORE, find_repeated

__all__ = ["short_times"]

ONE = {"count": 1, "cpu": 1000}


async def test_a_late_start_does_not_meet_a_life_that_has_only_seen_the_former_token() -> None:
    site = Site(describe=lambda key: (Shape(1000, 100), 50.0, "done"))
    async with running(site, hosts=1) as (client, _):
        [(id_, worker)] = site.workers.items()
        await wait_for(lambda: worker.highest_token)
        site.faults.lost_starts = 1.0
        site.faults.late_s = 1.2
        assert await client.submit(BEFORE, ONE) == 200
        await wait_for(lambda: site.calls["run-start"])
        site.faults.lost_starts = 0.0
        await wait_for(lambda: is_state(client, BEFORE, "completed"))
        await site.restart_worker(id_, away_s=0.25, tells=False)
        assert await client.submit(AFTER, ONE) == 200
        await asyncio.sleep(1.2)
        await wait_for(lambda: is_state(client, AFTER, "completed"))
        assert find_repeated(site, BEFORE) == {}
