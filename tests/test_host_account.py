"""Account of what the hosts are used for: every host once, and why a worker takes no tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foxtrestle.control.host_accounts import ALL_USES, HostAccounts, read_host_gauges
from foxtrestle.scheduling.eligibility import ANSWER_OVERDUE_S, Ineligibility, is_usable
from foxtrestle.scheduling.host_account import HostUse, account_hosts
from foxtrestle.scheduling.hosts import HostPlan, build_host_views
from foxtrestle.scheduling.jobs import Run
from foxtrestle.scheduling.model import HostInfo
from foxtrestle.scheduling.runs import place_run
from tests.scheduling_fakes import HOST_CAPACITY, NOW, add_job_entry, make_fleet, make_job

if TYPE_CHECKING:
    from collections import Counter

    from foxtrestle.scheduling.host_account import Use
    from foxtrestle.scheduling.state import Fleet


def count(fleet: Fleet) -> Counter[Use]:
    return account_hosts(build_host_views(fleet).values(), "off", NOW)


def add_plan(fleet: Fleet, host: str, *events: str) -> HostPlan:
    plan = HostPlan(host, "other", 0, "", NOW)
    fleet.plans[host] = plan
    for event in events:
        plan.apply_event(event, NOW)
    return plan


def test_hosts_without_a_plan_are_counted_by_what_their_workers_do() -> None:
    fleet = make_fleet(3)
    entry = add_job_entry(fleet, make_job())
    task = next(iter(entry.ready.values()))
    assert isinstance(place_run(fleet, task, fleet.workers["w-main-0"], 1, NOW), Run)
    fleet.workers["w-main-1"].last_answer_at = NOW - ANSWER_OVERDUE_S
    fleet.hosts["h-off"] = HostInfo("h-off", "off", "up", "z", (), HOST_CAPACITY, "")
    fleet.hosts["h-new"] = HostInfo("h-new", "main", "up", "z", (), HOST_CAPACITY, "")
    fleet.hosts["h-down"] = HostInfo("h-down", "main", "down", "z", (), HOST_CAPACITY, "")
    assert count(fleet) == {
        HostUse.WORKING: 1,
        Ineligibility.SILENT: 1,
        HostUse.IDLE: 1,
        HostUse.OFF: 1,
        HostUse.WITHOUT_WORKER: 1,
        HostUse.AWAY: 1,
    }


def test_hosts_with_a_plan_are_counted_by_the_progress_of_their_orders() -> None:
    fleet = make_fleet(4)
    add_plan(fleet, "h-w-main-0")
    add_plan(fleet, "h-w-main-1", "empty")
    add_plan(fleet, "h-w-main-2", "empty", "accepted")
    add_plan(fleet, "h-w-main-3", "empty").unanswered = True
    assert count(fleet) == {
        HostUse.EMPTYING: 1,
        HostUse.ORDERING: 1,
        HostUse.CHANGING: 1,
        HostUse.UNANSWERED: 1,
    }


def test_a_worker_that_is_cordoned_without_a_plan_stands_out() -> None:
    fleet = make_fleet(1)
    worker = fleet.workers["w-main-0"]
    worker.cordoned = True
    assert not is_usable(worker, NOW)
    assert count(fleet) == {Ineligibility.CORDONED: 1}


def test_the_account_is_taken_once_a_second_and_every_use_has_a_gauge() -> None:
    fleet = make_fleet(2)
    accounts = HostAccounts()
    accounts.update(build_host_views(fleet).values(), "off", NOW)
    fleet.workers["w-main-0"].cordoned = True
    accounts.update(build_host_views(fleet).values(), "off", NOW + 0.5)
    assert read_host_gauges([accounts])["idle"] == 2
    accounts.update(build_host_views(fleet).values(), "off", NOW + 1.0)
    gauges = read_host_gauges([accounts, accounts])
    assert (gauges["idle"], gauges["cordoned"]) == (2, 2)
    assert gauges.keys() == {use.value for use in ALL_USES}
