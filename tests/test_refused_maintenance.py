"""A host serves while its maintenance is refused, or cannot be ordered yet.

Guards against hosts that are out of use for an order that cannot succeed or be sent. The plan of a
refused maintenance went back to emptying: the host, which was empty, was ordered again in each
round and took no tasks for as long as the platform refused. After a takeover the hosts of a wave
were emptied at once, although the former controller's orders delay maintenance by seconds.
"""

from __future__ import annotations

from foxtrestle.clock import read_clock
from foxtrestle.control.hosts import EMPTYING_LEAD_S
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


async def test_after_a_takeover_hosts_are_emptied_only_shortly_before_they_may_be_ordered() -> None:
    site = Site()
    async with run_nodes(site, nodes=2, hosts=6) as (client, nodes):
        assert await client.submit(make_job_id(1)) == 200
        # The controller powers hosts off and records the orders; its successor inherits them.
        await wait_for(lambda: len(site.host_orders) >= 2)
        [holder] = [running_node for running_node in nodes if running_node.node.controller]
        await holder.kill()
        [successor] = [running_node for running_node in nodes if running_node is not holder]
        await wait_for(
            lambda: successor.node.controller and successor.node.controller._hosts._loaded
        )
        controller = successor.node.controller
        assert controller is not None
        assert controller._hosts._records.inherited
        wave = {"wave": 1, "machines": ["h0", "h1"], "withinS": 5, "upperLimit": 2}
        site.write("op/wave/1", wave)
        await wait_for(lambda: any(plan.wave for plan in controller.fleet.plans.values()))
        assert controller._hosts._may_maintain(read_clock() + EMPTYING_LEAD_S)
        await wait_for(lambda: read_wave(site) == b'{"state":"completed"}', 25)
