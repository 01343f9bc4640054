"""A host serves again after an order that had no answer and was not carried out.

Guards against hosts that are never used again. A worker was cordoned when its host was planned, and
only dropped plans removed the cordon. An order without an answer ends with the host list showing
the host as up, or with another incarnation under the worker's id: its plan was removed, the cordon
stayed, and 27 of 30 hosts took no tasks for the rest of the controller's term.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from foxtrestle.clock import read_clock
from foxtrestle.scheduling.hosts import HostPlan
from foxtrestle.standins.site import Site
from tests.test_node import has_job_state, make_job_id, run_nodes, shorten_intervals, wait_for

if TYPE_CHECKING:
    from foxtrestle.control.controller import Controller
    from tests.test_node import RunningNode

__all__ = ["shorten_intervals"]


@pytest.fixture(autouse=True)
def shorten_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the controller give an order up sooner, and believe the host list sooner."""
    monkeypatch.setattr("foxtrestle.control.host_order_sender.RETRY_S", 0.01)
    monkeypatch.setattr("foxtrestle.scheduling.hosts.LIST_LAG_S", 0.1)
    monkeypatch.setattr("foxtrestle.scheduling.host_list_polling.REFLECTION_DELAY_S", 0.1)


async def wait_for_controller(nodes: list[RunningNode], hosts: int) -> Controller:
    """Wait until a node controls hosts whose workers have all answered."""
    await wait_for(lambda: any(running_node.node.controller for running_node in nodes))
    [controller] = [
        running_node.node.controller for running_node in nodes if running_node.node.controller
    ]
    fleet = controller.fleet
    await wait_for(
        lambda: len(fleet.hosts) == hosts and all(w.runs_known for w in fleet.workers.values())
    )
    return controller


def plan_power_off(controller: Controller) -> HostPlan:
    """Plan to power off the only host, as the reconciler would."""
    [worker] = controller.fleet.workers.values()
    plan = HostPlan(worker.info.host, "off", 0, worker.info.id, read_clock())
    plan.record_worker(worker)
    worker.cordoned = True
    controller.fleet.plans[plan.host] = plan
    return plan


async def test_a_host_whose_order_was_not_carried_out_takes_tasks_again() -> None:
    site = Site()
    async with run_nodes(site, hosts=1) as (client, nodes):
        controller = await wait_for_controller(nodes, 1)
        site.faults.hosts_silent = True
        plan = plan_power_off(controller)
        await wait_for(lambda: site.calls["order"])
        await wait_for(lambda: plan.state in {"changing", "over"})
        site.faults.hosts_silent = False
        await wait_for(lambda: plan.host not in controller.fleet.plans)
        assert await client.submit(make_job_id(1)) == 200
        await wait_for(lambda: has_job_state(client, make_job_id(1), "completed"))
        assert site.host_orders == []


async def test_a_host_takes_tasks_while_the_interface_is_still_silent() -> None:
    """The worker answers, so the order has had no effect; it is not sent again meanwhile."""
    site = Site()
    async with run_nodes(site, hosts=1) as (client, nodes):
        controller = await wait_for_controller(nodes, 1)
        site.faults.hosts_silent = True
        plan = plan_power_off(controller)
        assert await client.submit(make_job_id(1)) == 200
        await wait_for(lambda: has_job_state(client, make_job_id(1), "completed"))
        assert plan.unanswered
        assert site.calls["order"] == 1


async def test_a_worker_that_restarts_under_its_id_during_an_order_takes_tasks_again() -> None:
    site = Site()
    async with run_nodes(site, hosts=1) as (client, nodes):
        controller = await wait_for_controller(nodes, 1)
        [worker_id] = site.workers
        site.faults.hosts_silent = True
        plan = plan_power_off(controller)
        await wait_for(lambda: site.calls["order"])
        await site.restart_worker(worker_id, away_s=0.1)
        await wait_for(lambda: plan.host not in controller.fleet.plans)
        site.faults.hosts_silent = False
        assert await client.submit(make_job_id(1)) == 200
        await wait_for(lambda: has_job_state(client, make_job_id(1), "completed"))
        assert site.host_orders == []
