"""Sends orders for hosts: each is recorded, retried until its outcome is known, and applied."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.control.background_tasks import BackgroundTasks
from foxtrestle.control.log import log
from foxtrestle.platform.hosts import HostOrderRefused
from foxtrestle.platform.http import CallError, RateLimited
from foxtrestle.scheduling.hosts import update_cordon
from foxtrestle.scheduling.losses import LossReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.control.leader_election import Term
    from foxtrestle.control.order_records import OrderRecords
    from foxtrestle.control.wave_records import WaveRecords
    from foxtrestle.platform.hosts import HostClient
    from foxtrestle.scheduling.hosts import HostPlan
    from foxtrestle.scheduling.order_budget import OrderBudget
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

ATTEMPTS: Final = 4
"""Attempts to send an order that is not answered; orders are idempotent."""
RETRY_S: Final = 0.3
"""Mean pause before an order is retried, seconds."""


class HostOrderSender:
    """Sends the orders of plans whose hosts are empty."""

    def __init__(
        self,
        fleet: Fleet,
        term: Term,
        client: HostClient,
        records: OrderRecords,
        waves: WaveRecords,
        release_worker: Callable[[Worker, LossReason], None],
        budget: OrderBudget,
    ) -> None:
        """Create a sender for one term.

        Args:
            fleet: The state.
            term: The term under which orders are sent.
            client: Client of the platform's host interface.
            records: Where each order is recorded before it is sent.
            waves: Where the progress of waves is recorded.
            release_worker: Called when a worker's incarnation has certainly ended.
            budget: Rate limit of orders, from which the caller takes each order before sending it.
        """
        self._fleet = fleet
        self._term = term
        self._client = client
        self._records = records
        self._waves = waves
        self._release_worker = release_worker
        self._budget = budget
        self._background = BackgroundTasks()

    async def send(self, plan: HostPlan) -> None:
        """Send one order until its outcome is known."""
        try:
            await self._record_and_send(plan)
        finally:
            self._records.settle(plan.host)

    async def _record_and_send(self, plan: HostPlan) -> None:
        if not await self._records.record(plan.host):
            plan.apply_event("refused", read_clock())
            return
        for _ in range(ATTEMPTS):
            if not self._term.is_valid():
                break
            try:
                if plan.wave:
                    await self._client.maintain(plan.host, plan.wave, self._term.number)
                else:
                    await self._client.move(plan.host, plan.pool, self._term.number)
            except HostOrderRefused as refusal:
                self._handle_refusal(plan, refusal)
                return
            except RateLimited:
                self._budget.note_refusal()
                log("host.order-over-rate", host=plan.host, wave=plan.wave, pool=plan.pool)
                if not plan.unanswered:
                    # The order was not executed: the host stays empty, and its plan waits for the
                    # budget.
                    plan.apply_event("refused", read_clock())
                    return
                # An earlier attempt may still be executed, so the host must not serve again.
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
            except CallError as error:
                plan.unanswered = True
                log("host.order-unanswered", host=plan.host, wave=plan.wave, pool=plan.pool,
                    reason=error.reason)  # fmt: skip
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
            else:
                self._accept(plan)
                return
        # The order may or may not have been executed; the host counts as away until the host list
        # shows its state.
        plan.apply_event("accepted", read_clock())

    def _accept(self, plan: HostPlan) -> None:
        now = read_clock()
        log("host.ordered", host=plan.host, pool=plan.pool, wave=plan.wave, term=self._term.number)
        plan.apply_event("accepted", now)
        if plan.wave:
            # The host may have been maintained before, unknown to this controller. Then its worker
            # is running, and the order changed nothing.
            entry = self._fleet.waves[plan.wave]
            entry.done.add(plan.host)
            self._background.spawn(self._waves.record(entry))
            return
        worker = self._fleet.workers.get(plan.old_worker)
        if worker is not None and plan.is_old_incarnation(worker):
            # The worker is not released if the answer is late and its next incarnation has already
            # answered.
            self._release_worker(worker, LossReason.ORDERED_AWAY)

    def _handle_refusal(self, plan: HostPlan, refusal: HostOrderRefused) -> None:
        now = read_clock()
        log("host.order-refused", host=plan.host, wave=plan.wave, pool=plan.pool,
            reason=refusal.refusal)  # fmt: skip
        if refusal.refusal == "wave":
            self._fleet.waves[plan.wave].done.add(plan.host)
        if refusal.refusal in {"wave", "400"} or not plan.wave:
            self.drop(plan, refusal.refusal, now)
            return
        plan.apply_event("refused", now)

    def drop(self, plan: HostPlan, reason: str, now: float) -> None:
        """Drop a plan; its host keeps serving."""
        log("host.plan-dropped", host=plan.host, pool=plan.pool, wave=plan.wave, reason=reason)
        plan.apply_event("drop", now)
        self._fleet.plans.pop(plan.host, None)
        worker = self._fleet.workers.get(plan.old_worker)
        if worker is not None:
            update_cordon(self._fleet, worker)
