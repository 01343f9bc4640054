"""Host reconciliation: which pool has which host, and when each host is maintained."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.background_tasks import BackgroundTasks
from foxtrestle.control.host_accounts import HostAccounts
from foxtrestle.control.host_list import HostList
from foxtrestle.control.host_order_sender import HostOrderSender
from foxtrestle.control.log import log
from foxtrestle.control.order_records import OrderRecords
from foxtrestle.control.pool_loads import PoolLoads
from foxtrestle.control.wave_records import WaveRecords
from foxtrestle.scheduling.checks import check_maintenance
from foxtrestle.scheduling.fair_share import update_saturation
from foxtrestle.scheduling.host_interface import HostInterface, InterfaceState
from foxtrestle.scheduling.host_list_polling import is_list_newer_than
from foxtrestle.scheduling.host_requirements import find_host_requirements
from foxtrestle.scheduling.hosts import (
    LIST_LAG_S,
    HostPlan,
    build_host_views,
    has_outlived_order,
    is_order_complete,
    is_overtaken,
    update_cordon,
)
from foxtrestle.scheduling.maintenance_waves import (
    POSTPONE_S,
    choose_evacuation_stops,
    choose_wave_hosts,
    count_in_maintenance,
    is_emptying_blocked,
    list_open_waves,
)
from foxtrestle.scheduling.order_budget import OrderBudget, sort_by_urgency
from foxtrestle.scheduling.partitions import compute_wave_limit
from foxtrestle.scheduling.pool_needs import compute_mean_host
from foxtrestle.scheduling.power_off import IdleDrainedHosts, PowerOffBudget
from foxtrestle.scheduling.reservations import update_reservation
from foxtrestle.scheduling.scaling import (
    HostMove,
    choose_cancelled_moves,
    choose_moves,
    count_available,
    divide_hosts,
)
from foxtrestle.scheduling.state import WaveEntry
from foxtrestle.scheduling.unsettled_orders import note_settled, remove_expired
from foxtrestle.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.control.leader_election import Term
    from foxtrestle.control.orders import Orders
    from foxtrestle.node.operators import OperatorMirror
    from foxtrestle.node.settings import NodeSettings
    from foxtrestle.platform.hosts import HostClient
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.scheduling.host_requirements import HostRequirement
    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.losses import LossReason
    from foxtrestle.scheduling.model import Wave
    from foxtrestle.scheduling.pool_needs import PoolNeed
    from foxtrestle.scheduling.reservations import HostReservation
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

RETRY_S: Final = 0.3
"""Mean pause after a failed read, seconds."""
TURN_POLL_S: Final = 0.5
"""Seconds between two checks whether the previous partition has finished a wave; one host's
maintenance takes four times as long."""
EVALUATION_INTERVAL_S: Final = 0.1
"""Minimum seconds between two evaluations of the hosts."""


EMPTYING_LEAD_S: Final = 1.0
"""Seconds for which hosts are emptied ahead of the time from which they may be ordered; most tasks
end within about as long."""


class HostReconciler:
    """Reads the host list, plans moves and maintenance, and starts sending the orders."""

    def __init__(
        self,
        fleet: Fleet,
        term: Term,
        settings: NodeSettings,
        store: PlatformStore,
        client: HostClient,
        operators: OperatorMirror,
        orders: Orders,
        wake: Callable[[], None],
        release_worker: Callable[[Worker, LossReason], None],
    ) -> None:
        """Create a reconciler that has loaded no records."""
        self.loads = PoolLoads(fleet, settings.operating_limits.move_s)
        """Load of the pools."""
        self.targets: dict[str, int] = {}
        """Number of hosts that each pool has or will have."""
        self.accounts = HostAccounts()
        """Account of what the hosts are used for."""
        self._fleet = fleet
        self._term = term
        self._settings = settings
        self._operators = operators
        self._orders = orders
        self._started_at = read_clock()
        self._evaluated_at = 0.0
        self._postponed: dict[str, float] = {}
        self._power_off_budget = PowerOffBudget()
        self._idle_drained = IdleDrainedHosts()
        self._background = BackgroundTasks()
        self._sends = BackgroundTasks()
        self._records = OrderRecords(store, term, settings.operating_limits.hand_over_gap_s)
        self._waves = WaveRecords(store, term)
        self._interface = HostInterface()
        self._interface_state = InterfaceState.ANSWERING
        self._host_list = HostList(
            fleet, term.partition, client, wake, settings.host_reads_per_s, self._interface
        )
        self._budget = OrderBudget(settings.host_orders_per_s, term.partition.count)
        self._order_sender = HostOrderSender(
            fleet,
            term,
            client,
            self._records,
            self._waves,
            release_worker,
            self._budget,
            self._interface,
        )
        self._loaded = False

    @property
    def sends(self) -> set[asyncio.Task[None]]:
        """Orders that are being sent, to be cancelled at the end of the term."""
        return self._sends.tasks

    async def run(self) -> None:
        """Load earlier records, then read the host list until cancelled."""
        await self._load()
        await self._host_list.run()

    async def _load(self) -> None:
        """Read the records of earlier controllers, retrying until the store answers."""
        while True:
            try:
                await self._waves.load()
                await self._records.load(self._started_at)
                break
            except StoreError as error:
                log("control.load-failed", prefix=self._term.keys.host_orders, reason=error.reason)
                await asyncio.sleep(RETRY_S)
        self._loaded = True

    def decide(self, now: float) -> None:
        """Update all plans and send the orders that are due now."""
        fleet = self._fleet
        if not self._loaded or not fleet.hosts or now - self._evaluated_at < EVALUATION_INTERVAL_S:
            return
        self._evaluated_at = now
        self._add_waves()
        self._check_interface(now)
        views = build_host_views(fleet)
        self._advance(views, now)
        remove_expired(fleet, now)
        for worker in fleet.workers.values():
            # Plans end in several ways, and workers restart or change their hosts meanwhile.
            update_cordon(fleet, worker)
        views = build_host_views(fleet)
        host = compute_mean_host(fleet)
        if host is not None:
            update_saturation(fleet, host, now)
        needs = self.loads.compute_needs(views, now)
        self.targets = divide_hosts(needs, count_available(views))
        self._plan_waves(views, needs, now)
        self._plan_moves(views, needs, now)
        self.accounts.update(build_host_views(fleet).values(), self._find_reserve(), now)

    def is_interface_away(self) -> bool:
        """Return whether the platform's interface for hosts does not answer."""
        return self._interface_state is InterfaceState.AWAY

    def _check_interface(self, now: float) -> None:
        """Let hosts serve that are being emptied for orders that cannot be sent now."""
        state = self._interface.find_state(now)
        if state is not self._interface_state:
            log("host-interface.changed", state=state, former=self._interface_state)
            self._interface_state = state
        if state is not InterfaceState.AWAY:
            return
        for plan in list(self._fleet.plans.values()):
            if plan.state == "emptying":
                self._order_sender.drop(plan, "host interface is away", now)

    def _limit_plans(self, views: dict[str, HostView], now: float) -> int:
        """Return how many further hosts may be planned now.

        Those for which an order can be sent soon, by the health of the interface and by its rate.
        The interface is not asked to wait for hosts that are still being emptied.
        """
        emptying = [plan for plan in self._fleet.plans.values() if plan.state == "emptying"]
        waiting = sum(
            1 for plan in emptying if plan.host not in views or views[plan.host].is_idle()
        )
        in_rate = max(1, self._budget.count_soon(now, EMPTYING_LEAD_S)) - len(emptying)
        limit = self._interface.count_further_orders(waiting, now)
        return max(0, in_rate if limit is None else min(limit, in_rate))

    def _find_reserve(self) -> str:
        """Return the name of the pool of powered-off hosts; empty if there is none."""
        configuration = self._fleet.configuration
        return configuration.find_reserve() if configuration is not None else ""

    def _add_waves(self) -> None:
        for number, (wave, seen_at) in self._operators.waves.items():
            if number in self._fleet.waves:
                continue
            entry = self._build_wave_entry(wave)
            record = self._waves.find(number)
            if record is not None:
                entry.done = set(record.done)
                entry.begun_ms = record.begun_ms
            else:
                entry.begun_ms = int((time.time() - read_clock() + seen_at) * 1000)
                self._background.spawn(self._waves.record(entry))
            self._fleet.waves[number] = entry
            self._background.spawn(self._waves.write_status(entry))

    def _build_wave_entry(self, wave: Wave) -> WaveEntry:
        """Create an entry with this partition's share of a wave."""
        partition = self._term.partition
        hosts = tuple(name for name in wave.hosts if partition.owns(name))
        limit = compute_wave_limit(partition, wave.max_parallel, has_turn=False)
        shared = msgspec.structs.replace(wave, hosts=hosts, max_parallel=limit)
        entry = WaveEntry(shared)
        if not limit:
            self._background.spawn(self._wait_for_turn(entry, wave.max_parallel))
        return entry

    async def _wait_for_turn(self, entry: WaveEntry, max_parallel: int) -> None:
        """Let a wave begin once the previous partitions have finished it."""
        while not self._term.lost.is_set():
            try:
                if await self._waves.has_turn(entry):
                    break
            except StoreError as error:
                log("wave.turn-unknown", wave=entry.wave.number, reason=error.reason)
            await asyncio.sleep(TURN_POLL_S)
        limit = compute_wave_limit(self._term.partition, max_parallel, has_turn=True)
        entry.wave = msgspec.structs.replace(entry.wave, max_parallel=limit)
        log("wave.turn", wave=entry.wave.number, partition=self._term.partition.number)

    def _advance(self, views: dict[str, HostView], now: float) -> None:
        """Advance plans to their next states."""
        limits = self._settings.operating_limits
        for plan in sort_by_urgency(self._fleet.plans.values(), self._find_reserve()):
            view = views.get(plan.host)
            if view is None:
                if self._host_list.is_missing(plan.host, now):
                    self._order_sender.drop(plan, "host is not listed", now)
                continue
            if plan.state == "emptying":
                self._empty(plan, view, views, now)
            elif view.worker is not None and has_outlived_order(plan, view.worker, now):
                self._order_sender.end_without_effect(plan, view.worker, now)
            elif is_overtaken(plan, view.worker):
                # The order must not be sent again: it would end the tasks of the host's new worker.
                self._order_sender.drop(plan, "host has a new worker", now)
            elif plan.state == "changing":
                away_s = limits.maintenance_s if plan.wave else limits.move_s
                list_is_newer = is_list_newer_than(self._fleet, plan.changed_at)
                if is_order_complete(view, away_s, now, list_is_newer=list_is_newer):
                    if view.pool == plan.pool and not plan.wave:
                        note_settled(self._fleet, plan)
                    log("host.back", host=plan.host, pool=view.pool, wave=plan.wave,
                        took_s=round(now - plan.changed_at, 2))  # fmt: skip
                    plan.apply_event("back", now)
                    self._fleet.plans.pop(plan.host, None)

    def _empty(
        self, plan: HostPlan, view: HostView, views: dict[str, HostView], now: float
    ) -> None:
        worker = view.worker
        if not plan.wave and view.pool == plan.pool:
            # The platform would confirm the move without doing anything, and the host's worker,
            # which keeps running, would be released as if it had gone with the move.
            self._order_sender.drop(plan, "host is in its target pool already", now)
            return
        if worker is not None and not worker.entry_gone and (worker.runs or worker.unknown_runs):
            if plan.wave and is_emptying_blocked(self._fleet, worker, now - plan.changed_at, now):
                self._postponed[plan.host] = now + POSTPONE_S
                self._order_sender.drop(plan, "cannot be emptied now", now)
            elif plan.wave:
                self._stop_remaining(plan, view, now)
            return
        if not self._may_order(plan, now):
            return
        if plan.wave:
            entry = self._fleet.waves[plan.wave]
            in_maintenance = count_in_maintenance(entry, views, besides=plan.host)
            if check_maintenance(entry, view, in_maintenance):
                return
        if worker is not None:
            plan.record_worker(worker)
        if not self._budget.take(now):
            return
        plan.apply_event("empty", now)
        self._sends.spawn(self._order_sender.send(plan))

    def _may_order(self, plan: HostPlan, now: float) -> bool:
        """Return whether an order may be sent now, which an earlier controller's order may delay.

        A move waits until the earlier order for the same host is old enough. Maintenance waits for
        the earlier orders for all hosts: the list may not show yet which hosts are away, and a
        wave's limit counts them.
        """
        if not self._term.is_valid() or self._interface.count_further_orders(0, now) == 0:
            return False
        if plan.wave:
            return self._may_maintain(now)
        return plan.host not in self._records.list_cooling_down(now)

    def _may_maintain(self, now: float) -> bool:
        """Return whether the earlier controller's orders are old enough for maintenance."""
        limits = self._settings.operating_limits
        wait_s = max(limits.hand_over_gap_s, limits.maintenance_s + LIST_LAG_S)
        return not self._records.inherited or now - self._started_at > wait_s

    def _stop_remaining(self, plan: HostPlan, view: HostView, now: float) -> None:
        if view.worker is None:
            return
        emptying_s = now - plan.changed_at
        limits = self._settings.operating_limits
        stops = choose_evacuation_stops(
            self._fleet,
            view.worker,
            emptying_s,
            limits.checkpoint_interval_s,
            limits.stop_task_s,
            now,
        )
        for stop in stops:
            log("run.evacuated", job=stop.key.job, step=stop.key.step, index=stop.key.number,
                run=stop.run, worker=stop.worker, wave=plan.wave)  # fmt: skip
            task_and_run = self._fleet.find_run(stop.key, stop.run)
            if task_and_run is not None:
                task_and_run[1].begin_stop()
            self._background.spawn(self._orders.stop(stop))

    def _plan_waves(
        self, views: dict[str, HostView], needs: dict[str, PoolNeed], now: float
    ) -> None:
        spare_hosts = {name: need.have - need.wanted + 0.0 for name, need in needs.items()}
        for entry in list_open_waves(self._fleet.waves.values(), self._fleet.configuration):
            _, seen_at = self._operators.waves[entry.wave.number]
            for name in entry.wave.hosts:
                missing = name not in views and self._host_list.is_missing(name, now)
                if missing and name not in entry.done:
                    log("wave.host-gone", wave=entry.wave.number, host=name)
                    entry.done.add(name)
            # A node that started late read the wave late; the wave's record states when it began.
            elapsed_s = max(now - seen_at, time.time() - entry.begun_ms / 1000)
            not_before = self._postponed | self._order_sender.refused_until
            postponed = [name for name, until in not_before.items() if now < until]
            chosen: list[HostView] = []
            if self._may_maintain(now + EMPTYING_LEAD_S):
                chosen = choose_wave_hosts(entry, views, spare_hosts, elapsed_s, postponed)
            for view in chosen[: self._limit_plans(views, now)]:
                self._plan(view, view.pool, entry.wave.number, now)
            if entry.done.issuperset(entry.wave.hosts):
                entry.completed = True
                log("wave.completed", wave=entry.wave.number, took_s=round(now - seen_at, 2))
                self._background.spawn(self._waves.write_status(entry))

    def _plan_moves(
        self, views: dict[str, HostView], needs: dict[str, PoolNeed], now: float
    ) -> None:
        if self._fleet.configuration is None:
            return
        reserve = self._find_reserve()
        requirements = self._find_requirements(views, now)
        reservation = self._update_reservation(views, now)
        cancelled = choose_cancelled_moves(needs, views, reserve, now, requirements, reservation)
        for host in cancelled:
            self._order_sender.drop(self._fleet.plans[host], "no longer needed", now)
        views = build_host_views(self._fleet)
        if cancelled:
            needs = self.loads.compute_needs(views, now)
        cooling_down = self._records.list_cooling_down(now)
        load_known = self.loads.has_data(now)
        max_power_off = (
            self._power_off_budget.count(len(views), needs.values(), now) if load_known else 0
        )
        moves = choose_moves(
            needs,
            views,
            reserve,
            now,
            cooling_down,
            max_power_off,
            requirements,
            reservation,
            spread_zones=self._fleet.spread_lasting,
        )
        redirected = [move for move in moves if move.host in self._fleet.plans]
        new_moves = [move for move in moves if move.host not in self._fleet.plans]
        idle_hosts = self._idle_drained.list_idle(views, reserve, now)
        new_moves += [HostMove(name, reserve) for name in idle_hosts if name not in cooling_down]
        moves = redirected + new_moves[: self._limit_plans(views, now)]
        self._power_off_budget.take(
            sum(1 for move in moves if move.pool == reserve and move.host not in idle_hosts)
        )
        logged_needs = {
            name: [round(need.demand, 2), need.wanted, need.have, round(need.growth, 1)]
            for name, need in needs.items()
        }
        for move in moves:
            log("host.move-decided", host=move.host, pool=move.pool, needs=logged_needs)
            plan = self._fleet.plans.get(move.host)
            if plan is not None:
                plan.pool = move.pool
                continue
            self._plan(views[move.host], move.pool, 0, now)

    def _update_reservation(self, views: dict[str, HostView], now: float) -> HostReservation | None:
        previous = self._fleet.reservation
        may_move = not self.is_interface_away()
        reservation = update_reservation(self._fleet, views, now, may_move=may_move)
        if previous is not None and reservation is not previous:
            log("turn.ended", job=previous.step_key[0], step=previous.step_key[2],
                took_s=round(now - previous.since, 2))  # fmt: skip
        if reservation is not None and reservation is not previous:
            log("turn.begun", job=reservation.step_key[0], step=reservation.step_key[2],
                pool=reservation.pool, hosts=sorted(reservation.hosts))  # fmt: skip
        return reservation

    def _find_requirements(self, views: dict[str, HostView], now: float) -> list[HostRequirement]:
        host = compute_mean_host(self._fleet)
        return find_host_requirements(self._fleet, views, host, now) if host is not None else []

    def _plan(self, view: HostView, pool: str, wave: int, now: float) -> None:
        plan = HostPlan(view.info.name, pool, wave, view.info.worker, now)
        self._fleet.plans[plan.host] = plan
        if view.worker is not None:
            plan.record_worker(view.worker)
            update_cordon(self._fleet, view.worker)
        log("host.planned", host=plan.host, pool=pool, wave=wave,
            runs=len(view.worker.runs) if view.worker is not None else 0)  # fmt: skip
