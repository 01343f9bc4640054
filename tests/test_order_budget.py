"""Rate limit of orders for hosts, which the platform applies to all nodes together.

Guards against controllers that exceed the limit and take a rate-limited order for a refusal of the
host. With 297 nodes and 1,470 hosts, 7,117 orders were rejected in 22 s and 452 accepted: the plan
of each rejected move was dropped and the host chosen again 0.1 s later, and rejected maintenance
was recorded in the store and ordered again in the next round. If a rejected order repeated one that
had no answer, the host was released and got tasks although the first order could still be executed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import hypothesis.strategies as st
import pytest
from hypothesis import given

from foxtrestle.control.host_order_sender import HostOrderSender
from foxtrestle.platform.http import CallError, RateLimited, ResponseTimeout
from foxtrestle.scheduling.hosts import HostPlan
from foxtrestle.scheduling.order_budget import BURST_S, ORDER_SHARE, OrderBudget, sort_by_urgency
from foxtrestle.scheduling.partitions import Partition
from foxtrestle.standins.site import Site
from tests.scheduling_fakes import NOW, make_fleet
from tests.test_node import run_nodes, shorten_intervals, wait_for

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["shorten_intervals"]

RATE_LIMITED = RateLimited("over the call rate", step="hosts.machine-move", peer="h")
TIMED_OUT = ResponseTimeout("no answer", step="hosts.machine-move", peer="h")


@given(
    st.floats(1.0, 1000.0),
    st.integers(1, 20),
    st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200),
)
def test_controllers_together_stay_under_the_rate(
    per_s: float, controllers: int, pauses: list[float]
) -> None:
    budgets = [OrderBudget(per_s, controllers) for _ in range(controllers)]
    now, sent = NOW, 0
    for pause in pauses:
        now += pause
        sent += sum(budget.take(now) for budget in budgets)
    rate = per_s * ORDER_SHARE
    # A controller may always send one order, however small its share.
    at_once = max(rate * BURST_S, controllers)
    assert sent <= at_once + rate * (now - NOW) + 1e-6


def test_after_a_refusal_orders_are_sent_at_the_rate_limit() -> None:
    budget = OrderBudget(64.0, 4)
    assert budget.take(NOW)
    budget.note_refusal()
    assert not budget.take(NOW)
    interval_s = 4 / (64.0 * ORDER_SHARE)
    assert not budget.take(NOW + 0.9 * interval_s)
    assert budget.take(NOW + 1.1 * interval_s)


def test_only_as_many_hosts_are_prepared_as_can_be_ordered_soon() -> None:
    budget = OrderBudget(1.0 / ORDER_SHARE, 1)
    burst = int(BURST_S)
    assert budget.count_soon(NOW, 1.0) == burst + 1
    assert [budget.take(NOW) for _ in range(burst + 1)] == [True] * burst + [False]
    assert budget.count_soon(NOW, 0.5) == 0
    assert budget.count_soon(NOW, 1.0) == 1
    assert budget.count_soon(NOW + 2.0, 1.0) == 3
    budget.note_refusal()
    assert budget.count_soon(NOW + 2.0, 1.0) == 1


def test_power_offs_are_ordered_last() -> None:
    power_off, wave, move = (
        HostPlan("a", "off", 0, "", NOW),
        HostPlan("b", "off", 3, "", NOW),
        HostPlan("c", "main", 0, "", NOW),
    )
    assert sort_by_urgency([power_off, wave, move], "off") == [wave, move, power_off]


class FakePlatform:
    """A platform that answers each order with the next of the given answers."""

    def __init__(self, answers: Iterable[CallError | None]) -> None:
        self.answers = list(answers)

    async def move(self, host: str, pool: str, token: int) -> None:
        answer = self.answers.pop(0)
        if answer is not None:
            raise answer


class FakeRecords:
    async def record(self, host: str) -> bool:
        return True

    def settle(self, host: str) -> None: ...


class FakeTerm:
    number = 1
    partition = Partition()

    def is_valid(self) -> bool:
        return True


async def send_order(answers: Iterable[CallError | None]) -> tuple[HostPlan, bool, OrderBudget]:
    """Order a move; return its plan, whether the worker was released, and the budget."""
    fleet = make_fleet(1)
    plan = HostPlan("h-w-main-0", "other", 0, "w-main-0", NOW)
    fleet.plans[plan.host] = plan
    fleet.workers["w-main-0"].cordoned = True
    plan.apply_event("empty", NOW)
    released: list[Any] = []
    budget = OrderBudget(64.0, 1)
    platform: Any = FakePlatform(answers)
    arguments: Any = (
        fleet,
        FakeTerm(),
        platform,
        FakeRecords(),
        None,
        lambda *call: released.append(call),
        budget,
    )
    await HostOrderSender(*arguments).send(plan)
    assert fleet.workers["w-main-0"].cordoned, "the worker must not serve again"
    return plan, bool(released), budget


@pytest.fixture
def short_retry_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("foxtrestle.control.host_order_sender.RETRY_S", 0.01)


async def test_a_rate_limited_order_waits_for_the_budget(short_retry_pause: None) -> None:
    plan, released, budget = await send_order([RATE_LIMITED])
    assert plan.state == "emptying"
    assert not released
    assert not budget.take(NOW)


async def test_after_an_unanswered_order_a_rate_limited_one_decides_nothing(
    short_retry_pause: None,
) -> None:
    plan, released, _ = await send_order([TIMED_OUT, RATE_LIMITED, RATE_LIMITED, RATE_LIMITED])
    assert plan.state == "changing", "the host counts as moving until the list shows its state"
    assert not released
    plan, released, _ = await send_order([TIMED_OUT, RATE_LIMITED, None])
    assert plan.state == "changing"
    assert released


async def test_a_wave_continues_after_the_platform_rejected_orders() -> None:
    site = Site()
    async with run_nodes(site, hosts=4) as (_, nodes):
        await wait_for(lambda: any(running_node.node.controller for running_node in nodes))
        site.faults.rate_limited_orders = 3
        names = sorted(site.hosts)
        site.write("op/wave/1", {"wave": 1, "machines": names, "withinS": 30, "upperLimit": 2})
        await wait_for(
            lambda: all(host.maintenance_count == 1 for host in site.hosts.values()), 30.0
        )
        assert not site.faults.rate_limited_orders
