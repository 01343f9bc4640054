"""A host whose order was confirmed without effect, as it had been carried out before, serves on.

Guards against releasing a worker that is running. The platform confirms an order that it has
carried out before and does nothing. A controller repeats the maintenance of a host if it never
learned that an earlier order for it was carried out: the answers were lost, or the former
controller's record of it was. The worker was released as gone with its host, and an incarnation
that was released is not used again in the same term.
"""

from __future__ import annotations

from foxtrestle.standins.site import Site
from tests.test_node import (
    has_job_state,
    make_job_id,
    read_wave,
    run_nodes,
    shorten_intervals,
    wait_for,
)
from tests.test_unanswered_host_orders import wait_for_controller

__all__ = ["shorten_intervals"]


async def test_a_host_that_was_maintained_for_the_wave_before_serves_on() -> None:
    site = Site()
    async with run_nodes(site, hosts=1) as (client, nodes):
        controller = await wait_for_controller(nodes, 1)
        site.hosts["h0"].waves.add(1)
        site.write("op/wave/1", {"wave": 1, "machines": ["h0"], "withinS": 3, "upperLimit": 1})
        await wait_for(lambda: read_wave(site) == b'{"state":"completed"}')
        await wait_for(lambda: not controller.fleet.plans)
        assert await client.submit(make_job_id(1)) == 200
        await wait_for(lambda: has_job_state(client, make_job_id(1), "completed"))
        assert site.host_orders == []
