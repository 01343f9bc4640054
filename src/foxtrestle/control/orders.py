"""Orders to workers: starts and stops, retried until their outcome is known."""

from __future__ import annotations

import time
from functools import partial
from operator import attrgetter
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.background_tasks import BackgroundTasks
from foxtrestle.control.log import log
from foxtrestle.platform.http import CallError, is_connection_lost, may_be_carried_out
from foxtrestle.platform.workers import IncarnationChanged, IncarnationMismatch, OrderRefused
from foxtrestle.scheduling.checks import DRAINED, ZONES_UNKNOWN, check_send
from foxtrestle.scheduling.losses import LossReason
from foxtrestle.scheduling.model import StartOrder
from foxtrestle.scheduling.runs import begin_job, drop_run, requeue
from foxtrestle.scheduling.unsettled_starts import note_answered, note_sent

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.control.fencing import FencingTokens
    from foxtrestle.control.leader_election import Term
    from foxtrestle.platform.workers import WorkerClient
    from foxtrestle.scheduling.jobs import Run, Task
    from foxtrestle.scheduling.model import TaskKey
    from foxtrestle.scheduling.pacing import PaceOrder
    from foxtrestle.scheduling.runs import StopOrder
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

WORKER_LEASE_S: Final = 5.0
"""Seconds for which a worker's lease is extended at a time. Long enough for a new controller to
take over (2 s for the lock, 1 s to load), short enough that the tasks of a cut-off worker can soon
be restarted."""
CLOCK_DRIFT: Final = 1.02
"""Factor by which a worker's clock may be slow; set by the platform."""
LAPSE_MARGIN_S: Final = 0.2
"""Seconds added to the computed end of a lease, as the clock reading may be old."""
CALL_TIMEOUT_S: Final = 0.2
"""Seconds for a worker to answer an order; a round trip takes 2 to 4 ms, and retrying an order is
safe."""
ATTEMPTS: Final = 3
"""Attempts to send an order before its worker counts as unreachable."""
TRIAL_LEASE_S: Final = 0.05
"""Seconds for which a worker that may lack ends may have a run, too short to complete a task."""
FULL_PAUSE_S: Final = 0.3
"""Seconds for which a worker that refused a start for lack of capacity gets no new tasks."""


def compute_lapse(sent_at: float, lease_s: float = WORKER_LEASE_S) -> float:
    """Return the time after which a lease extended at `sent_at` has certainly lapsed."""
    return sent_at + lease_s * CLOCK_DRIFT + LAPSE_MARGIN_S


def compute_expiry_ms(worker: Worker, now: float, lease_s: float = WORKER_LEASE_S) -> int:
    """Return the end of a lease that is extended now, by the worker's clock."""
    return int(now * 1000 + worker.clock_offset_ms + lease_s * 1000)


def _is_wanted(task: Task, run: Run) -> bool:
    """Return whether a run is still to be started."""
    return task.runs.get(run.number) is run and run.state == "recorded"


class Orders:
    """Sends starts and stops, and updates the state with their outcomes."""

    def __init__(
        self,
        fleet: Fleet,
        term: Term,
        client: WorkerClient,
        wake: Callable[[], None],
        release_worker: Callable[[Worker, LossReason], None],
        tokens: FencingTokens,
        is_drained: Callable[[Worker], bool] = attrgetter("drained"),
    ) -> None:
        """Create a sender for one term.

        Args:
            fleet: The state.
            term: The term under which orders are sent.
            client: Client of the workers.
            wake: Wakes the controller for another scheduling round.
            release_worker: Called when a worker's incarnation has certainly ended.
            tokens: Issues the higher tokens that follow unanswered calls.
            is_drained: Returns whether a worker's zone is drained, as far as is known then.
        """
        self._fleet = fleet
        self._term = term
        self._client = client
        self._wake = wake
        self._release_worker = release_worker
        self._tokens = tokens
        self._is_drained = is_drained
        self._background = BackgroundTasks()

    async def start(self, task: Task, run: Run, worker: Worker) -> None:
        """Start a recorded run."""
        try:
            await self._start(task, run, worker)
        finally:
            run.sending = False

    def drop_unsent(self, task: Task, run: Run, worker: Worker, reason: str) -> None:
        """Drop a run whose start was never sent."""
        self._log_withheld(task, run, worker, reason, sent=False)
        run.sending = False
        if task.runs.get(run.number) is run:
            self._drop(task, run, worker)

    async def _start(self, task: Task, run: Run, worker: Worker) -> None:
        entry = self._fleet.jobs.get(task.key.job)
        if entry is None:
            # The job was cancelled while this start waited to be recorded, and its runs are
            # settled.
            return
        ticket = self._fleet.find_ticket(task.key, worker.info.id, read_clock())
        order = StartOrder(task.key, run.number, entry.job.spec.text, 0, task.checkpoint, ticket)
        target = worker.target
        sent = False
        for _ in range(ATTEMPTS):
            if not self._term.is_valid() or not _is_wanted(task, run):
                return
            if self._is_drained(worker):
                await self._cancel_start(task, run, worker, sent=sent)
                return
            now = read_clock()
            lease_s = TRIAL_LEASE_S if worker.may_lack_ends else WORKER_LEASE_S
            worker.lease_expires_at = max(worker.lease_expires_at, compute_lapse(now, lease_s))
            run.sent_at = run.sent_at or now
            token = self.get_token(worker)
            order = msgspec.structs.replace(order, token=token)
            settle = self._begin_attempt(task, worker, now)
            try:
                await self._client.start(
                    target, order, compute_expiry_ms(worker, now, lease_s), CALL_TIMEOUT_S
                )
            except OrderRefused as refusal:
                settle(heard=True)
                if self._handle_refusal(task, run, worker, refusal, token, sent=sent):
                    return
            except IncarnationMismatch:
                settle()
                self._release_worker(worker, LossReason.ADDRESS_REUSED)
                return
            except IncarnationChanged:
                settle()
                log("start.withheld", job=task.key.job, step=task.key.step, index=task.key.number,
                    run=run.number, worker=worker.info.id, reason="another life",
                    sent=sent)  # fmt: skip
                break
            except CallError as error:
                self._handle_failed_start(task, run, worker, token, error)
                if may_be_carried_out(error):
                    sent = True
                    continue
                settle()
                run.sent_at = run.sent_at if sent else 0.0
            else:
                settle(heard=True)
                self._confirm(run)
                worker.last_alive_at = run.confirmed_at
                begin_job(self._fleet, entry, run.confirmed_at)
                return
        await self._settle_failed_start(task, run, worker, sent=sent)

    def _begin_attempt(self, task: Task, worker: Worker, now: float) -> Callable[..., None]:
        """Note that a start is about to be sent; return what to call once its outcome is known."""
        former = task.unsettled_starts.get(worker.info.id)
        note_sent(self._fleet, task, worker, now, time.time() * 1000)
        return partial(note_answered, self._fleet, task, worker, former)

    def _handle_failed_start(
        self, task: Task, run: Run, worker: Worker, token: int, error: CallError
    ) -> None:
        """Handle a start that has no readable answer."""
        if is_connection_lost(error):
            # The next answer may come from another incarnation, and then shows a crash.
            worker.record_unanswered_call(read_clock(), connection_lost=True)
        self.note_unanswered(worker, token, error)
        event = "start.failed"
        if may_be_carried_out(error):
            event = "start.unanswered"
            # The next controller has to know of it.
            self._fleet.mark_dirty(task.key.job)
        log(event, job=task.key.job, step=task.key.step, index=task.key.number, run=run.number,
            worker=worker.info.id, token=token, reason=error.reason)  # fmt: skip

    async def _cancel_start(self, task: Task, run: Run, worker: Worker, *, sent: bool) -> None:
        """Settle an unanswered start whose zone has been drained."""
        if not sent:
            self.drop_unsent(task, run, worker, DRAINED)
            return
        self._log_withheld(task, run, worker, DRAINED, sent=True)
        await self.stop_run(task, run, worker)

    def _log_withheld(
        self, task: Task, run: Run, worker: Worker, reason: str, *, sent: bool
    ) -> None:
        if reason == DRAINED and not self._fleet.drained_zones_known:
            reason = ZONES_UNKNOWN
        log("start.withheld", job=task.key.job, step=task.key.step, index=task.key.number,
            run=run.number, worker=worker.info.id, zone=worker.info.zone, reason=reason,
            sent=sent)  # fmt: skip

    def _confirm(self, run: Run) -> None:
        if run.state == "recorded":
            run.apply_event("confirm")
        run.confirmed_at = read_clock()

    def get_token(self, worker: Worker) -> int:
        """Return the fencing token of calls to a worker's current incarnation."""
        return worker.token or self._term.number

    def note_unanswered(self, worker: Worker, token: int, error: CallError) -> None:
        """Raise a worker's token if a call may still be executed; the next call then fences it off.

        Otherwise the worker's next incarnation might execute a late start, after the task has ended
        on the former one and that end is acknowledged.

        Args:
            worker: Worker that the call was sent to.
            token: Token that the call carried.
            error: Why there is no readable answer.
        """
        if may_be_carried_out(error) and self.get_token(worker) <= token:
            worker.token = self._tokens.raise_above(token)

    def handle_fenced_call(self, worker: Worker, token: int) -> bool:
        """Handle a call that was fenced off, so that its worker has not executed it.

        Either a later controller has called the worker, or this controller has called it with a
        higher token, after another unanswered call or for a later incarnation. In the second case
        this controller still holds its term, and retries the call if it is still needed.

        Returns:
            Whether the term is lost.
        """
        current = self._fleet.workers.get(worker.info.id, worker)
        if token < max(self.get_token(worker), self.get_token(current)):
            return False
        self._term.lose("a worker has seen a later term")
        return True

    def _handle_refusal(
        self,
        task: Task,
        run: Run,
        worker: Worker,
        refusal: OrderRefused,
        token: int,
        *,
        sent: bool,
    ) -> bool:
        """Handle the refusal of a start.

        Returns:
            Whether the order is settled.
        """
        reason = refusal.refusal
        log("start.refused", job=task.key.job, step=task.key.step, index=task.key.number,
            run=run.number, worker=worker.info.id, reason=reason)  # fmt: skip
        if reason == "fence":
            # The start is not sent to a later incarnation, whose capacity may differ; that
            # incarnation's reports settle the run.
            return self.handle_fenced_call(worker, token) or bool(check_send(worker))
        if reason == "late":
            # The last reading of the worker's clock is too old; the refusal contains a fresh one.
            if refusal.clock_ms:
                worker.clock_offset_ms = refusal.clock_ms - read_clock() * 1000
            return False
        if reason == "old" or sent:
            # The worker has had the run already, or an earlier attempt may still arrive: the
            # worker's reports show which, and a stop blocks an attempt that has not arrived yet.
            self._confirm(run)
            self._background.spawn(self.stop_run(task, run, worker))
            return True
        if reason == "ticket":
            key = task.key
            self._fleet.tickets.pop((key.job, key.repetition, key.step), None)
        else:
            worker.full_until = read_clock() + FULL_PAUSE_S
        self._drop(task, run, worker)
        return True

    async def _settle_failed_start(
        self, task: Task, run: Run, worker: Worker, *, sent: bool
    ) -> None:
        """Settle a failed start: requeue its task, or block an attempt that may still arrive."""
        if not sent:
            log("start.given-up", job=task.key.job, worker=worker.info.id, run=run.number)
            worker.full_until = read_clock() + FULL_PAUSE_S
            self._drop(task, run, worker)
            return
        await self.stop_run(task, run, worker)

    def _drop(self, task: Task, run: Run, worker: Worker) -> None:
        drop_run(task, run.number, worker)
        entry = self._fleet.jobs.get(task.key.job)
        if entry is not None:
            requeue(entry, task, read_clock())
            self._fleet.mark_dirty(task.key.job)
        self._wake()

    async def stop(self, order: StopOrder) -> None:
        """Stop a run, whether or not it is in the state."""
        worker = self._fleet.workers.get(order.worker)
        if worker is None:
            return
        task_and_run = self._fleet.find_run(order.key, order.run)
        if task_and_run is None:
            await self._send_stop(worker, order.key, order.run)
            return
        await self.stop_run(*task_and_run, worker)

    async def stop_run(self, task: Task, run: Run, worker: Worker) -> None:
        """Stop a run; its end, or its absence from a later report, settles it."""
        if run.state == "ended":
            return
        run.begin_stop()
        run.sending = True
        try:
            if await self._send_stop(worker, task.key, run.number):
                run.confirmed_at = read_clock()
        finally:
            run.sending = False

    async def pace(self, order: PaceOrder, worker: Worker) -> None:
        """Change a run's pace; a failed order is decided again after the next report."""
        task_and_run = self._fleet.find_run(order.key, order.run)
        if task_and_run is None or not self._term.is_valid():
            return
        token = self.get_token(worker)
        try:
            await self._client.pace(
                worker.target, order.key, order.run, order.percent, token, CALL_TIMEOUT_S
            )
        except (OrderRefused, IncarnationMismatch, CallError) as error:
            if isinstance(error, CallError):
                self.note_unanswered(worker, token, error)
            log("pace.failed", worker=worker.info.id, job=order.key.job, reason=error.reason)
        else:
            task_and_run[1].pace = order.percent
            log("run.paced", worker=worker.info.id, job=order.key.job, step=order.key.step,
                index=order.key.number, run=order.run, percent=order.percent)  # fmt: skip

    async def _send_stop(self, worker: Worker, key: TaskKey, number: int) -> bool:
        for _ in range(ATTEMPTS):
            if not self._term.is_valid():
                return False
            token = self.get_token(worker)
            try:
                await self._client.stop(worker.target, key, number, token, CALL_TIMEOUT_S)
            except OrderRefused as refusal:
                log("stop.refused", worker=worker.info.id, run=number, reason=refusal.refusal)
                if refusal.refusal != "fence":
                    return refusal.refusal == "old"
                if self.handle_fenced_call(worker, token):
                    return False
            except IncarnationMismatch:
                self._release_worker(worker, LossReason.ADDRESS_REUSED)
                return False
            except IncarnationChanged:
                # The run ended with its incarnation.
                log("stop.withheld", worker=worker.info.id, run=number, reason="another life")
                break
            except CallError as error:
                self.note_unanswered(worker, token, error)
                log("stop.unanswered", worker=worker.info.id, run=number, token=token,
                    reason=error.reason)  # fmt: skip
            else:
                return True
        return False
