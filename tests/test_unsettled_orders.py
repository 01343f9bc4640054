"""Orders without an answer that may still be carried out: what hosts and tasks do meanwhile.

Guards against a host that is out of use although its worker answers, and against what a late order
would do once the host is used again: more hosts of a wave down than its limit, crashes counted for
harmless tasks, long-running tasks placed where they would be ended first.
"""

from __future__ import annotations

import pytest

from foxtrestle.scheduling.hosts import (
    ORDER_EFFECT_S,
    HostPlan,
    build_host_views,
    has_outlived_order,
    is_overtaken,
    update_cordon,
)
from foxtrestle.scheduling.losses import LossReason, is_crash
from foxtrestle.scheduling.maintenance_waves import choose_wave_hosts, count_in_maintenance
from foxtrestle.scheduling.model import HostInfo, Wave
from foxtrestle.scheduling.state import Fleet, WaveEntry
from foxtrestle.scheduling.task_placement import choose_placements
from foxtrestle.scheduling.unsettled_orders import (
    MAX_ORDER_DELAY_S,
    UnsettledOrder,
    note_settled,
    note_unsettled,
    remove_expired,
)
from tests.scheduling_fakes import (
    HOST_CAPACITY,
    NOW,
    add_job_entry,
    add_worker,
    make_fleet,
    make_job,
)

HOST = "h-w-main-0"
LATER = NOW + 1.0


def make_unanswered_plan(fleet: Fleet, *, wave: int = 0, pool: str = "off") -> HostPlan:
    plan = HostPlan(HOST, pool, wave, "", NOW)
    plan.record_worker(fleet.workers["w-main-0"])
    plan.apply_event("empty", NOW)
    plan.unanswered = True
    fleet.plans[HOST] = plan
    note_unsettled(fleet, plan, NOW)
    return plan


def test_an_answer_after_the_order_shows_that_it_had_no_effect() -> None:
    fleet = make_fleet(1)
    plan, worker = make_unanswered_plan(fleet), fleet.workers["w-main-0"]
    assert not has_outlived_order(plan, worker, LATER), "the worker has not answered since"
    worker.record_answer(NOW + ORDER_EFFECT_S / 2)
    assert not has_outlived_order(plan, worker, LATER), "sent before the order, perhaps"
    worker.record_answer(NOW + ORDER_EFFECT_S * 2)
    assert has_outlived_order(plan, worker, LATER)
    plan.awaiting_answer = True
    assert not has_outlived_order(plan, worker, LATER), "the order is being sent again"


@pytest.mark.parametrize("lost", ["silent", "entry gone", "other incarnation"])
def test_a_worker_that_may_be_gone_shows_nothing(lost: str) -> None:
    fleet = make_fleet(1)
    plan, worker = make_unanswered_plan(fleet), fleet.workers["w-main-0"]
    plan.old_started_ms = worker.incarnation_started_ms = 5
    worker.record_answer(NOW + 0.5)
    if lost == "silent":
        worker.record_unanswered_call(NOW + 0.6)
    worker.entry_gone = lost == "entry gone"
    worker.incarnation_started_ms = 6 if lost == "other incarnation" else 5
    assert not has_outlived_order(plan, worker, LATER)
    assert is_overtaken(plan, worker) == (lost == "other incarnation")


def test_a_confirmed_order_is_judged_from_its_confirmation() -> None:
    fleet = make_fleet(1)
    plan, worker = make_unanswered_plan(fleet, wave=1, pool="main"), fleet.workers["w-main-0"]
    plan.unanswered = False
    worker.record_answer(NOW + 0.5, waited_s=0.5)
    assert not has_outlived_order(plan, worker, LATER), "its answer is awaited"
    plan.apply_event("accepted", NOW + 0.4)
    assert not has_outlived_order(plan, worker, LATER)
    worker.record_answer(NOW + 0.9, waited_s=0.6)
    assert not has_outlived_order(plan, worker, LATER), "called before the confirmation"
    worker.record_answer(NOW + 0.9, waited_s=0.3)
    assert has_outlived_order(plan, worker, LATER)


def test_an_unsettled_order_is_forgotten_in_time_or_once_it_is_carried_out() -> None:
    fleet = make_fleet(1)
    plan = make_unanswered_plan(fleet)
    note_settled(fleet, HostPlan(HOST, "other", 0, "", NOW))
    assert fleet.unsettled_orders, "another order was carried out"
    remove_expired(fleet, NOW + MAX_ORDER_DELAY_S - 0.1)
    assert fleet.unsettled_orders
    remove_expired(fleet, NOW + MAX_ORDER_DELAY_S + 0.1)
    assert not fleet.unsettled_orders
    note_unsettled(fleet, plan, NOW)
    note_settled(fleet, plan)
    assert not fleet.unsettled_orders


@pytest.mark.parametrize(
    ("wave", "listed_pool", "reason", "crashed"),
    [
        (0, "off", LossReason.NEW_WORKER, False),
        (0, "main", LossReason.NEW_WORKER, True),
        (1, "main", LossReason.NEW_WORKER, False),
        (1, "main", LossReason.HOST_DOWN, True),
        (0, "off", LossReason.HOST_DOWN, True),
    ],
)
def test_a_late_order_is_no_crash(
    wave: int, listed_pool: str, reason: LossReason, *, crashed: bool
) -> None:
    fleet = make_fleet(1)
    plan = make_unanswered_plan(fleet, wave=wave, pool="main" if wave else "off")
    plan.apply_event("drop", NOW)
    del fleet.plans[HOST]
    fleet.hosts[HOST] = HostInfo(HOST, listed_pool, "up", "z", (), HOST_CAPACITY, "next")
    worker = fleet.workers["w-main-0"]
    worker.record_unanswered_call(LATER)
    assert is_crash(fleet, worker, reason) == crashed


def test_a_host_whose_maintenance_may_begin_late_holds_its_slot() -> None:
    fleet = make_fleet(3)
    names = tuple(sorted(fleet.hosts))
    entry = WaveEntry(Wave(1, names, 60.0, 1))
    make_unanswered_plan(fleet, wave=1, pool="main")
    del fleet.plans[HOST]
    views = build_host_views(fleet)
    chosen = choose_wave_hosts(entry, views, {"main": 99.0}, 0.0)
    assert [view.info.name for view in chosen] == [HOST], "it is ordered again, and no other"
    assert count_in_maintenance(entry, views) == 1
    assert count_in_maintenance(entry, views, besides=HOST) == 0
    assert choose_wave_hosts(entry, views, {"main": 99.0}, 0.0, [HOST]) == []


def test_tasks_go_to_other_workers_first() -> None:
    fleet = make_fleet(2)
    fleet.unsettled_orders[HOST] = UnsettledOrder("off", 0, NOW)
    for worker in fleet.workers.values():
        update_cordon(fleet, worker)
    add_job_entry(fleet, make_job())
    [placement] = choose_placements(fleet, NOW)
    assert [worker.info.id for _, worker in placement.members] == ["w-main-1"]
    fleet.workers["w-main-1"].cordoned = True
    [placement] = choose_placements(fleet, NOW)
    assert [worker.info.id for _, worker in placement.members] == ["w-main-0"]


def test_a_worker_that_is_added_later_is_not_ordered_away_by_the_former_one_s_plan() -> None:
    fleet = make_fleet(1)
    make_unanswered_plan(fleet)
    worker = add_worker(fleet, "next", host=HOST)
    update_cordon(fleet, worker)
    assert not worker.cordoned
    assert worker.may_be_ordered_away
