"""Health of the interface for hosts, and what is not ordered while it does not answer.

Guards against hosts that are emptied for orders that cannot be sent. While the interface was
silent, all hosts that were surplus or due for maintenance were emptied and ordered, again and
again, and pools lost workers that were running well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis.strategies as st
import pytest
from hypothesis import given

from foxtrestle.scheduling.host_interface import (
    FIRST_ORDERS,
    MAX_TIMEOUT_S,
    MIN_OVERDUE_S,
    MIN_TIMEOUT_S,
    HostInterface,
    InterfaceState,
)
from foxtrestle.scheduling.hosts import HostPlan, build_host_views
from foxtrestle.scheduling.model import Step
from foxtrestle.scheduling.reservations import RESERVATION_WAIT_S, update_reservation
from foxtrestle.standins.site import Site
from tests.scheduling_fakes import NOW, add_job_entry, make_fleet, make_job
from tests.test_node import (
    has_job_state,
    make_job_id,
    read_wave,
    run_nodes,
    shorten_intervals,
    wait_for,
)
from tests.test_unanswered_host_orders import shorten_waits, wait_for_controller

if TYPE_CHECKING:
    from foxtrestle.scheduling.reservations import HostReservation
    from foxtrestle.scheduling.state import Fleet

__all__ = ["shorten_intervals", "shorten_waits"]


def answer_orders(interface: HostInterface, count: int) -> None:
    for number in [interface.begin_order(NOW) for _ in range(count)]:
        interface.note_order_answer(number, NOW + 0.01)


def test_nothing_is_ordered_after_a_failure_until_a_later_call_is_answered() -> None:
    interface = HostInterface()
    assert interface.count_further_orders(0, NOW) is None
    interface.note_failure(NOW)
    assert interface.find_state(NOW) is InterfaceState.AWAY
    assert interface.count_further_orders(0, NOW + 60.0) == 0
    interface.note_answer(NOW + 1.0, 0.01)
    assert interface.find_state(NOW + 1.0) is InterfaceState.RECOVERING
    assert not interface.note_failure(NOW + 0.5), "sent before the call that was answered"
    assert interface.find_state(NOW + 2.0) is InterfaceState.RECOVERING


def test_a_few_orders_are_sent_first_and_any_number_once_they_were_answered() -> None:
    interface = HostInterface()
    interface.note_failure(NOW)
    interface.note_answer(NOW + 0.1, 0.01)
    assert interface.count_further_orders(0, NOW) == FIRST_ORDERS
    assert interface.count_further_orders(FIRST_ORDERS - 1, NOW) == 1
    assert interface.count_further_orders(FIRST_ORDERS + 1, NOW) == 0
    numbers = [interface.begin_order(NOW) for _ in range(FIRST_ORDERS)]
    assert interface.count_further_orders(0, NOW) == 0
    for number in numbers:
        interface.note_order_answer(number, NOW + 0.01)
    assert interface.find_state(NOW) is InterfaceState.ANSWERING


def test_an_overdue_answer_holds_the_others_back() -> None:
    interface = HostInterface()
    answer_orders(interface, 3)
    number = interface.begin_order(NOW)
    assert interface.count_further_orders(0, NOW + MIN_OVERDUE_S * 0.9) is None
    assert interface.find_state(NOW + MIN_OVERDUE_S * 1.1) is InterfaceState.OVERDUE
    assert interface.count_further_orders(0, NOW + MIN_OVERDUE_S * 1.1) == 0
    interface.end_order(number)
    assert interface.find_state(NOW + MIN_OVERDUE_S * 1.1) is InterfaceState.ANSWERING


def test_an_interface_known_to_be_slow_is_used_as_before() -> None:
    interface = HostInterface()
    assert interface.choose_timeout() == MIN_TIMEOUT_S
    interface.note_answer(NOW, 0.5)
    assert interface.choose_timeout() == pytest.approx(1.5)
    interface.begin_order(NOW)
    assert interface.find_state(NOW + 1.2) is InterfaceState.ANSWERING
    for _ in range(10):
        interface.note_answer(NOW, 0.01)
    assert interface.choose_timeout() == MIN_TIMEOUT_S
    interface.note_failure(NOW + 2.0)
    assert interface.choose_timeout() == MAX_TIMEOUT_S, "it may only be slow"


@given(
    st.lists(st.tuples(st.sampled_from(["order", "answer", "fail", "end", "list", "list fails"]),
                       st.floats(0.01, 1.0)), max_size=60)
)  # fmt: skip
def test_it_recovers_by_answers_whatever_happened(events: list[tuple[str, float]]) -> None:
    interface, now = HostInterface(), NOW
    open_orders: list[int] = []
    for event, pause in events:
        now += pause
        if event == "order":
            open_orders.append(interface.begin_order(now))
        elif event == "list":
            interface.note_answer(now, pause)
        elif event == "list fails":
            interface.note_failure(now)
        elif open_orders and event == "answer":
            interface.note_order_answer(open_orders.pop(0), now)
        elif open_orders and event == "fail":
            interface.note_order_failure(open_orders.pop(0))
        elif open_orders:
            interface.end_order(open_orders.pop(0))
        further = interface.count_further_orders(0, now)
        away = interface.find_state(now) is InterfaceState.AWAY
        assert further is None or further >= 0
        assert not away or further == 0
        assert MIN_TIMEOUT_S <= interface.choose_timeout() <= MAX_TIMEOUT_S
    for number in open_orders:
        interface.end_order(number)
    interface.note_answer(now + 1.0, 0.01)
    for _ in range(FIRST_ORDERS):
        interface.note_order_answer(interface.begin_order(now + 1.0), now + 1.01)
    assert interface.count_further_orders(0, now + 1.02) is None


def reserve(fleet: Fleet, *, may_move: bool) -> HostReservation | None:
    now = NOW + RESERVATION_WAIT_S + 0.1
    for worker in fleet.workers.values():
        worker.record_answer(now)
    return update_reservation(fleet, build_host_views(fleet), now, may_move=may_move)


def test_no_host_of_another_pool_is_reserved_while_none_can_be_moved() -> None:
    fleet = make_fleet(2, ("main", "other"))
    add_job_entry(fleet, make_job(Step(3, fleet.hosts["h-w-main-0"].capacity, gang=True)))
    assert reserve(fleet, may_move=False) is None
    reservation = reserve(fleet, may_move=True)
    assert reservation is not None
    assert reserve(fleet, may_move=False) is None, "the hosts of the other pool serve again"
    moved = next(iter(reservation.hosts & {"h-w-other-0", "h-w-other-1"}))
    assert reserve(fleet, may_move=True) is not None
    plan = HostPlan(moved, "main", 0, "", NOW)
    plan.apply_event("empty", NOW)
    fleet.plans[moved] = plan
    assert reserve(fleet, may_move=False) is not None, "its host has been ordered"


async def test_hosts_serve_and_no_orders_are_sent_while_the_interface_is_silent() -> None:
    site = Site()
    async with run_nodes(site, hosts=4) as (client, nodes):
        controller = await wait_for_controller(nodes, 4)
        site.faults.hosts_silent = True
        names = sorted(site.hosts)
        site.write("op/wave/1", {"wave": 1, "machines": names, "withinS": 3, "upperLimit": 4})
        reads_before = site.page_request_count
        await wait_for(lambda: site.page_request_count > reads_before + 6)
        assert site.calls["order"] <= len(names), "an order for each host was already on its way"
        await wait_for(lambda: not controller.fleet.plans)
        steps = {"count": 4, "cpu": 1000, "antiAffinity": 1}
        assert await client.submit(make_job_id(1), steps) == 200
        await wait_for(lambda: has_job_state(client, make_job_id(1), "completed"))
        site.faults.hosts_silent = False
        await wait_for(lambda: read_wave(site) == b'{"state":"completed"}', 25)
        assert all(host.maintenance_count == 1 for host in site.hosts.values())
