"""A host whose maintenance the platform refuses serves on until it is ordered again.

Guards against a host that is out of use for an order that cannot succeed. The plan of a refused
maintenance went back to emptying: the host, which was empty, was ordered again in each round and
took no tasks for as long as the platform refused.
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


async def test_a_host_serves_while_its_maintenance_is_refused() -> None:
    site = Site()
    async with run_nodes(site, hosts=1) as (client, nodes):
        await wait_for_controller(nodes, 1)
        site.faults.refuses_orders = True
        site.write("op/wave/1", {"wave": 1, "machines": ["h0"], "withinS": 3, "upperLimit": 1})
        await wait_for(lambda: site.calls["order"])
        assert await client.submit(make_job_id(1)) == 200
        await wait_for(lambda: has_job_state(client, make_job_id(1), "completed"))
        site.faults.refuses_orders = False
        await wait_for(lambda: read_wave(site) == b'{"state":"completed"}')
        assert site.hosts["h0"].maintenance_count == 1
