"""Link to one worker: renews its lease and processes its reports of running and ended runs.

A renewal is a long poll: the call may wait at the worker for the next end of a run.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.control.background_tasks import BackgroundTasks
from foxtrestle.control.log import log
from foxtrestle.control.orders import WORKER_LEASE_S, compute_expiry_ms, compute_lapse
from foxtrestle.errors import FoxtrestleError
from foxtrestle.platform.http import CallError, is_connection_lost, may_be_carried_out
from foxtrestle.platform.workers import IncarnationChanged, IncarnationMismatch, OrderRefused
from foxtrestle.scheduling.crashes import PROBATION_S
from foxtrestle.scheduling.eligibility import RENEWAL_WAIT_S, is_suspect
from foxtrestle.scheduling.incarnations import choose_end_acknowledgement, is_other_incarnation
from foxtrestle.scheduling.losses import LossReason
from foxtrestle.scheduling.pacing import choose_paces
from foxtrestle.scheduling.runs import drop_run, reconcile_runs, record_end, requeue
from foxtrestle.scheduling.unsettled_acknowledgements import (
    note_answered,
    note_end_listed,
    note_first_report,
    note_sent,
)
from foxtrestle.scheduling.unsettled_starts import find_withheld_end

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from foxtrestle.control.fencing import FencingTokens
    from foxtrestle.control.leader_election import Term
    from foxtrestle.control.node_metrics import NodeMetrics
    from foxtrestle.control.orders import Orders
    from foxtrestle.control.progress_writer import ProgressWriter
    from foxtrestle.platform.workers import WorkerClient
    from foxtrestle.scheduling.jobs import Run
    from foxtrestle.scheduling.model import TaskKey, WorkerReport
    from foxtrestle.scheduling.runs import StopOrder
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

RETRY_S: Final = 0.2
"""Seconds between renewals while a worker does not answer."""
MAX_UNANSWERED_S: Final = RENEWAL_WAIT_S + 0.6
"""Seconds without an answer after which a worker's lease is no longer extended: a renewal may take
effect although its answer is lost, and while the lease is extended, the worker's tasks cannot run
elsewhere. Covers one renewal with its time-out, so that a single lost answer changes nothing."""
RECORD_WAIT_S: Final = 1.0
"""Seconds to wait for the ends of runs to be recorded in the store before the lease is extended
again."""
MAX_ENDS: Final = 500
"""Maximum number of ends in one report; set by the platform. A report with this many may lack
others, so it does not count as complete."""
MAX_LOGGED_ENDS: Final = 20
"""Maximum number of ends that one log line lists."""
POLL_S: Final = 0.1
"""Seconds between calls while the worker would answer each of them at once."""
STOP_RETRY_S: Final = 1.0
"""Seconds after which a stop that was answered but had no effect is sent again."""


def needs_stop(run: Run, *, listed: bool, runs_known: bool, now: float) -> bool:
    """Return whether a run's outcome is open and no order in flight decides it, but a stop would.

    Args:
        run: The run.
        listed: Whether the worker's report lists the run.
        runs_known: Whether the worker has sent this controller a complete report before.
        now: Monotonic time, seconds.
    """
    if run.sending or not runs_known:
        return False
    if run.state == "recorded":
        # The start was recorded. Then it was not sent, or not sent again after an unanswered
        # attempt, because the term was not valid; or it was fenced off and must not be sent again.
        return not listed
    if run.state == "stopping":
        return now - run.confirmed_at > STOP_RETRY_S if listed else run.confirmed_at == 0.0
    return False


def list_end_numbers(report: WorkerReport) -> list[int]:
    """List the numbers of a report's first ends, for a log line."""
    return [end.number for end in report.ends[:MAX_LOGGED_ENDS]]


class WorkerLink:
    """Renews one worker's lease and keeps the state of its runs up to date."""

    def __init__(
        self,
        fleet: Fleet,
        worker: Worker,
        term: Term,
        client: WorkerClient,
        progress_writer: ProgressWriter,
        orders: Orders,
        wake: Callable[[], None],
        release_worker: Callable[[Worker, LossReason], None],
        begin_incarnation: Callable[[Worker, WorkerReport, float], None],
        tokens: FencingTokens,
        pace_delay_s: float,
        metrics: NodeMetrics,
        max_lease_s: float = WORKER_LEASE_S,
    ) -> None:
        """Create a link that has made no call.

        Args:
            fleet: The state.
            worker: Worker whose lease is renewed.
            term: The term under which the lease is renewed.
            client: Client of the workers.
            progress_writer: Records ends in the store.
            orders: Sends the stops and changes of pace that follow from reports.
            wake: Wakes the controller for another scheduling round.
            release_worker: Called when the worker's incarnation or lease has certainly ended.
            begin_incarnation: Called with the first report of the worker's next incarnation, and
                the monotonic time at which the answered call was sent, seconds.
            tokens: Issues the higher tokens for new incarnations.
            pace_delay_s: Minimum age of a run that may be throttled, seconds.
            metrics: Where ends are counted.
            max_lease_s: Longest lease that a worker grants, whatever a call requests, seconds.
        """
        self._fleet = fleet
        self._worker = worker
        self._term = term
        self._client = client
        self._progress_writer = progress_writer
        self._orders = orders
        self._wake = wake
        self._release_worker = release_worker
        self._begin_incarnation = begin_incarnation
        self._tokens = tokens
        self._pace_delay_s = pace_delay_s
        self._metrics = metrics
        self._max_lease_s = max_lease_s
        self._has_unrecorded_ends = False
        self._stopped_at: dict[tuple[TaskKey, int], float] = {}
        self._background = BackgroundTasks()

    async def run(self) -> None:
        """Renew the lease until the worker's incarnation or the term has ended."""
        worker = self._worker
        while self._term.may_renew_leases():
            if not worker.fenced:
                worker.token = await self._tokens.issue()
                worker.fenced = True
                continue
            sent_at = read_clock()
            acknowledged = choose_end_acknowledgement(worker, sent_at)
            token = self._orders.get_token(worker)
            try:
                report = await self._renew_lease(sent_at, acknowledged, token)
            except IncarnationMismatch:
                self._release_worker(worker, LossReason.ADDRESS_REUSED)
                return
            except IncarnationChanged as changed:
                await self._process_report(changed.report, sent_at, 0)
            except OrderRefused as refusal:
                if refusal.refusal == "fence":
                    if self._orders.handle_fenced_call(worker, token):
                        # The term is lost.
                        return
                    # While the renewal was in flight, another call was not answered, and a later
                    # call with a higher token has reached the worker.
                    continue
                worker.last_reached_at = read_clock()
                log("hold.refused", worker=worker.info.id, reason=refusal.refusal)
                await asyncio.sleep(RETRY_S)
            except CallError as error:
                self._orders.note_unanswered(worker, token, error)
                if self._note_unanswered(error):
                    return
                await asyncio.sleep(RETRY_S)
            else:
                await self._process_report(report, sent_at, acknowledged)
                if self._would_answer_at_once():
                    await asyncio.sleep(POLL_S)

    def _would_answer_at_once(self) -> bool:
        """Return whether the next call would change nothing and wait for nothing.

        A worker that lists an end does not wait for another one, and none waits without a lease.
        """
        worker = self._worker
        if worker.acknowledgeable_end > worker.discarded_end:
            return False
        return worker.withheld_end > 0 or worker.may_lack_ends

    async def _renew_lease(self, sent_at: float, acknowledged: int, token: int) -> WorkerReport:
        worker = self._worker
        answered_recently = sent_at - worker.last_answer_at < RENEWAL_WAIT_S * 2
        # A run on probation is cleared by the first report after it is old enough, at this age at
        # the earliest; until then, the worker gets no other runs.
        wait_s = PROBATION_S if worker.probation_runs else RENEWAL_WAIT_S
        may_wait = (
            worker.runs_known and worker.contact_loss is None and not self._has_unrecorded_ends
        )
        # A waiting renewal is in flight for long enough to reach the worker's next incarnation,
        # which would discard ends that it has not reported. If the last answer is too old for
        # acknowledging ends, they are acknowledged after the next answer.
        ack_pending = worker.acknowledgeable_end > worker.discarded_end
        # A worker that lists an end answers at once, so a renewal has nothing to wait for.
        may_wait = may_wait and answered_recently and not ack_pending and not worker.withheld_end
        wait_ms = int(wait_s * 1000) if may_wait else 0
        expires_ms = None
        may_extend = worker.runs_known and not worker.may_lack_ends
        if may_extend and sent_at - worker.last_answer_at < MAX_UNANSWERED_S:
            # The lease expires by the worker's clock. By this node's clock, it has certainly
            # lapsed only later, by the possible drift of the worker's clock and a margin.
            expires_ms = compute_expiry_ms(worker, sent_at)
            worker.lease_expires_at = max(worker.lease_expires_at, compute_lapse(sent_at))
        call = self._client.renew_lease(
            worker.target,
            token,
            acknowledged,
            expires_ms=expires_ms,
            wait_ms=wait_ms,
        )
        return await (self._acknowledge(call) if acknowledged else call)

    async def _acknowledge(self, call: Awaitable[WorkerReport]) -> WorkerReport:
        """Make a call that acknowledges ends; it is unsettled until its incarnation answers."""
        worker = self._worker
        former = self._fleet.unsettled_acknowledgements.get(worker.info.id)
        note_sent(self._fleet, worker, read_clock(), time.time() * 1000)
        try:
            report = await call
        except FoxtrestleError as error:
            if not may_be_carried_out(error):
                note_answered(self._fleet, worker, former)
            raise
        if not is_other_incarnation(worker, report):
            note_answered(self._fleet, worker, former)
        return report

    def _note_unanswered(self, error: CallError) -> bool:
        """Note that a renewal was not answered; release the worker once its lease has lapsed.

        Returns:
            Whether the worker was removed, so that the link ends.
        """
        worker = self._worker
        now = read_clock()
        if worker.contact_loss is None:
            worker.record_unanswered_call(now, connection_lost=is_connection_lost(error))
            log("worker.silent", worker=worker.info.id, runs=len(worker.runs), reason=error.reason)
        # A worker that may lack ends has no lease on purpose.
        may_lapse = bool(worker.runs) or worker.entry_gone or not worker.may_lack_ends
        if may_lapse and worker.lease_expires_at and now > worker.lease_expires_at:
            self._release_worker(worker, LossReason.LAPSED)
            return worker.entry_gone
        return False

    async def _process_report(
        self, report: WorkerReport, sent_at: float, acknowledged: int
    ) -> None:
        worker = self._worker
        now = read_clock()
        if is_other_incarnation(worker, report):
            self._begin_incarnation(worker, report, sent_at)
            self._stopped_at.clear()
            self._has_unrecorded_ends = False
            return
        worker.incarnation_started_ms = (
            report.incarnation_started_ms or worker.incarnation_started_ms
        )
        worker.discarded_end = max(worker.discarded_end, acknowledged)
        if worker.contact_loss is not None:
            log("worker.answers", worker=worker.info.id)
        worker.record_answer(now, waited_s=now - sent_at)
        worker.clock_offset_ms = report.clock_ms - now * 1000
        if report.ends:
            self._note_end_listed(report)
        stops = self._process_ends(report, now)
        self._update_withheld_end(report, now)
        unwanted = reconcile_runs(self._fleet, worker, report.running, now)
        stops += [stop for stop in unwanted if self._is_stop_due(stop, now)]
        if len(report.ends) < MAX_ENDS:
            self._settle(report, sent_at, now)
            if not worker.runs_known:
                self._mark_runs_known(now)
        for stop in stops:
            self._spawn_stop(stop)
        for pace in choose_paces(self._fleet, worker, self._pace_delay_s, now):
            self._background.spawn(self._orders.pace(pace, worker))
        if any(end.number > worker.recorded_end for end in report.ends):
            self._wake()
            await self._record({end.key.job for end in report.ends}, report)

    def _process_ends(self, report: WorkerReport, now: float) -> list[StopOrder]:
        """Process new ends; return the orders to stop runs that are no longer wanted."""
        worker = self._worker
        stops: list[StopOrder] = []
        suspected = is_suspect(worker)
        for end in report.ends:
            if end.number <= worker.seen_end:
                continue
            worker.seen_end = end.number
            log("run.ended", job=end.key.job, rep=end.key.repetition, step=end.key.step,
                index=end.key.number, run=end.run, how=end.kind, worker=worker.info.id)  # fmt: skip
            self._metrics.note_end(end.kind)
            stops += record_end(self._fleet, worker, end, now)
        if is_suspect(worker) != suspected:
            log("worker.trusted" if suspected else "worker.suspect", worker=worker.info.id,
                failed_jobs=sorted(worker.failed_jobs))  # fmt: skip
        return stops

    def _note_end_listed(self, report: WorkerReport) -> None:
        worker = self._worker
        if worker.may_lack_ends:
            log("ends.complete", worker=worker.info.id, ends=list_end_numbers(report))
            worker.full_until = 0.0
            self._wake()
        note_end_listed(self._fleet, worker)

    def _update_withheld_end(self, report: WorkerReport, now: float) -> None:
        worker = self._worker
        withheld = find_withheld_end(self._fleet, worker, report.ends, now)
        if bool(withheld) != bool(worker.withheld_end):
            log("ends.withheld" if withheld else "ends.released", worker=worker.info.id,
                end=withheld or worker.withheld_end, listed=len(report.ends))  # fmt: skip
        worker.withheld_end = withheld

    def _mark_runs_known(self, now: float) -> None:
        """Mark the worker's runs as completely known, at its first complete report in this term."""
        worker = self._worker
        worker.runs_known = True
        worker.runs_known_at = now
        # Earlier controllers and calls to earlier incarnations are fenced off from now on, so
        # leases that they have extended end soon.
        lease_s = self._max_lease_s if worker.may_hold_long_lease else WORKER_LEASE_S
        worker.lease_expires_at = compute_lapse(now, lease_s)
        worker.may_hold_long_lease = False
        note_first_report(self._fleet, worker)
        log("worker.known", worker=worker.info.id, runs=len(worker.runs),
            may_lack_ends=worker.may_lack_ends)  # fmt: skip
        self._wake()

    def _is_stop_due(self, stop: StopOrder, now: float) -> bool:
        """Return whether to stop an unwanted run now; False while a recent stop may take effect."""
        run_key = stop.key, stop.run
        if now - self._stopped_at.get(run_key, -1e9) < STOP_RETRY_S:
            return False
        if run_key not in self._stopped_at:
            log("run.unwanted", job=stop.key.job, run=stop.run, worker=stop.worker)
        self._stopped_at[run_key] = now
        return True

    async def _record(self, jobs: set[str], report: WorkerReport) -> None:
        """Wait until ends are recorded, so that they can be acknowledged.

        If that takes long, renewals go on without acknowledging them.
        """
        known_jobs = [job for job in jobs if job in self._fleet.jobs]
        try:
            await asyncio.wait_for(self._progress_writer.record(known_jobs), RECORD_WAIT_S)
        except TimeoutError:
            self._has_unrecorded_ends = True
            return
        self._has_unrecorded_ends = False
        self._worker.recorded_end = max(end.number for end in report.ends)

    def _settle(self, report: WorkerReport, sent_at: float, now: float) -> None:
        """Requeue tasks whose runs the worker should list and does not, and send stops.

        A stop is sent for every run, listed or not, that needs one.
        """
        listed = {(seen.key, seen.run) for seen in report.running}
        worker = self._worker
        for (key, run_number), run in list(worker.runs.items()):
            task_and_run = self._fleet.find_run(key, run_number)
            if task_and_run is None:
                continue
            if needs_stop(
                run, listed=(key, run_number) in listed, runs_known=worker.runs_known, now=now
            ):
                run.sending = True
                self._background.spawn(self._orders.stop_run(*task_and_run, worker))
                continue
            if (key, run_number) in listed:
                continue
            # Before the first report in this term, no start can be in flight: starts that an
            # earlier controller sent are refused from now on.
            if worker.runs_known and not (0 < run.confirmed_at < sent_at):
                continue
            log("run.absent", job=key.job, step=key.step, index=key.number, run=run_number,
                worker=worker.info.id, state=run.state, confirmed=run.confirmed_at > 0,
                acknowledged=worker.recorded_end, seen_end=worker.seen_end,
                ends=list_end_numbers(report))  # fmt: skip
            task, _ = task_and_run
            drop_run(task, run_number, worker)
            requeue(self._fleet.jobs[key.job], task, now)
            self._fleet.mark_dirty(key.job)
            self._wake()

    def _spawn_stop(self, stop: StopOrder) -> None:
        task_and_run = self._fleet.find_run(stop.key, stop.run)
        if task_and_run is not None and task_and_run[1].state == "stopping":
            return
        if task_and_run is not None:
            task_and_run[1].apply_event("stop")
        self._background.spawn(self._orders.stop(stop))
