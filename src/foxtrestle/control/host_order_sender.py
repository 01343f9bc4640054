"""Sends orders for hosts: each is recorded, retried until its outcome is known, and applied."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.control.background_tasks import BackgroundTasks
from foxtrestle.control.log import log
from foxtrestle.platform.hosts import HostOrderRefused
from foxtrestle.platform.http import CallError, NoResponse, RateLimited
from foxtrestle.scheduling.host_interface import HostInterface
from foxtrestle.scheduling.hosts import has_outlived_order, may_outlive_order, update_cordon
from foxtrestle.scheduling.losses import LossReason
from foxtrestle.scheduling.unsettled_orders import note_settled, note_unsettled

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
REFUSED_RETRY_S: Final = 1.0
"""Seconds after which a refused maintenance is tried again, and for which the host serves: it was
moving or about to leave, and the host list will show it."""
EFFECT_POLL_S: Final = 0.05
"""Seconds between two checks whether a worker has answered after an order without an answer."""


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
        interface: HostInterface | None = None,
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
            interface: Health of the platform's host interface, which is updated.
        """
        self.refused_until: dict[str, float] = {}
        """Hosts whose maintenance was refused, each with the monotonic time until which it is not
        tried again."""
        self._interface = interface or HostInterface()
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
                await self._send_once(plan)
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
                # An earlier attempt may still be executed.
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
                if await self._watch_effect(plan):
                    return
            except CallError as error:
                if isinstance(error, NoResponse):
                    plan.unanswered = True
                    note_unsettled(self._fleet, plan, plan.sent_at)
                log("host.order-unanswered", host=plan.host, wave=plan.wave, pool=plan.pool,
                    reason=error.reason)  # fmt: skip
                if not plan.unanswered:
                    break
                await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))
                if await self._watch_effect(plan):
                    return
            else:
                self._accept(plan)
                return
        # An order that had no answer may have been executed; the host counts as away until its
        # worker or the host list shows its state. Otherwise the host waits to be ordered again.
        plan.apply_event("accepted" if plan.unanswered else "refused", read_clock())

    async def _send_once(self, plan: HostPlan) -> None:
        """Send an order and wait for its answer."""
        plan.sent_at = read_clock()
        plan.awaiting_answer = True
        interface = self._interface
        number = interface.begin_order(plan.sent_at)
        self._client.timeout_s = interface.choose_timeout()
        try:
            if plan.wave:
                await self._client.maintain(plan.host, plan.wave, self._term.number)
            else:
                await self._client.move(plan.host, plan.pool, self._term.number)
        except HostOrderRefused:
            interface.note_order_answer(number, read_clock())
            raise
        except RateLimited:
            interface.end_order(number)
            raise
        except CallError:
            interface.note_order_failure(number)
            raise
        except asyncio.CancelledError:
            interface.end_order(number)
            raise
        else:
            interface.note_order_answer(number, read_clock())
        finally:
            plan.awaiting_answer = False

    async def _watch_effect(self, plan: HostPlan) -> bool:
        """Wait until the host's worker shows whether an order without an answer had an effect.

        Returns:
            Whether it had none; then the plan is ended.
        """
        while self._fleet.plans.get(plan.host) is plan:
            now = read_clock()
            worker = self._fleet.workers.get(plan.old_worker)
            if worker is not None and has_outlived_order(plan, worker, now):
                self.end_without_effect(plan, worker, now)
                return True
            if not may_outlive_order(plan, worker, now):
                return False
            await asyncio.sleep(EFFECT_POLL_S)
        return True

    def end_without_effect(self, plan: HostPlan, worker: Worker, now: float) -> None:
        """End a plan whose order has had no effect; its host keeps serving."""
        log("host.order-without-effect", host=plan.host, pool=plan.pool, wave=plan.wave,
            unanswered=plan.unanswered, sent_s=round(now - plan.sent_at, 2),
            heard_s=round(now - worker.last_answer_at, 3))  # fmt: skip
        self.drop(plan, "order without effect", now)

    def _accept(self, plan: HostPlan) -> None:
        now = read_clock()
        note_settled(self._fleet, plan)
        log("host.ordered", host=plan.host, pool=plan.pool, wave=plan.wave, term=self._term.number)
        plan.apply_event("accepted", now)
        plan.unanswered = False
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
        elif plan.wave:
            self.refused_until[plan.host] = now + REFUSED_RETRY_S
        self.drop(plan, refusal.refusal, now)

    def drop(self, plan: HostPlan, reason: str, now: float) -> None:
        """Drop a plan; its host keeps serving."""
        log("host.plan-dropped", host=plan.host, pool=plan.pool, wave=plan.wave, reason=reason)
        plan.apply_event("drop", now)
        self._fleet.plans.pop(plan.host, None)
        worker = self._fleet.workers.get(plan.old_worker)
        if worker is not None:
            update_cordon(self._fleet, worker)
