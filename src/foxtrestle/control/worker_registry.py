"""Registry of a controller's workers, each with the link that renews its lease."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.clock import read_clock
from foxtrestle.control.leader_election import GRACE_WITHOUT_STORE_S, LEASE_S
from foxtrestle.control.link import list_end_numbers
from foxtrestle.control.log import log, log_failure
from foxtrestle.control.orders import WORKER_LEASE_S, compute_lapse
from foxtrestle.control.prefix_watch import list_as_changes
from foxtrestle.platform.workers import WORKER_PREFIX, CallError, decode_worker
from foxtrestle.scheduling.draining import mark_drained
from foxtrestle.scheduling.hosts import find_lost_workers
from foxtrestle.scheduling.incarnations import begin_next_incarnation, may_have_predecessor
from foxtrestle.scheduling.losses import LossReason, is_crash
from foxtrestle.scheduling.model import Shape, WorkerInfo
from foxtrestle.scheduling.runs import release_worker
from foxtrestle.scheduling.workers import Worker
from foxtrestle.store import Change

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from foxtrestle.control.node_metrics import NodeMetrics
    from foxtrestle.scheduling.model import WorkerReport
    from foxtrestle.scheduling.partitions import Partition
    from foxtrestle.scheduling.runs import Release, StopOrder
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.store import Listing, Record

MAX_INHERITED_LEASE_S: Final = compute_lapse(LEASE_S + GRACE_WITHOUT_STORE_S)
"""Seconds after a takeover during which an unreachable worker may still run tasks that an earlier
controller placed: that controller may have extended leases until its grace period ended."""

TAKEOVER_S: Final = 2.0
"""Seconds after the start of a term within which a new entry may be of a worker that an earlier
controller has called."""


class WorkerRegistry:
    """Applies workers' entries, and releases workers whose incarnation or lease has ended."""

    def __init__(
        self,
        fleet: Fleet,
        partition: Partition,
        run_link: Callable[[Worker], Coroutine[None, None, None]],
        on_loss: Callable[[list[StopOrder]], None],
        metrics: NodeMetrics,
        max_lease_s: float = WORKER_LEASE_S,
    ) -> None:
        """Create a registry without workers.

        Args:
            fleet: The state whose workers are updated.
            partition: Partition whose hosts' workers are kept.
            run_link: Renews a worker's lease until its incarnation or the term has ended.
            on_loss: Called after a worker was released, with the stops to be ordered for that.
            metrics: Where lost runs are counted.
            max_lease_s: Longest lease that a worker grants, whatever a call requests, seconds.
        """
        self.links: dict[str, asyncio.Task[None]] = {}
        """Tasks that renew leases, by worker."""
        self._fleet = fleet
        self._partition = partition
        self._run_link = run_link
        self._on_loss = on_loss
        self._metrics = metrics
        self._max_lease_s = max_lease_s
        # Released workers, each with the start times of its ended incarnations.
        self._ended_incarnations: dict[str, set[int]] = {}
        self._unreadable: dict[str, int] = {}
        self._started_at = read_clock()

    def find_or_add(self, worker_id: str, host: str) -> Worker:
        """Return a worker that a record names, adding a placeholder if it is not listed."""
        worker = self._fleet.workers.get(worker_id)
        if worker is None:
            # The worker is no longer listed, but its runs may continue until its lease lapses.
            info = WorkerInfo(worker_id, "", "", "", True, Shape(), (), host)
            worker = Worker(info, 0, read_clock())
            worker.entry_gone = True
            worker.lease_expires_at = self._started_at + MAX_INHERITED_LEASE_S
            self._fleet.workers[worker_id] = worker
        return worker

    def diff_listing(self, listing: Listing) -> list[Change]:
        """Return a listing after a gap as changes: all its entries, and the missing workers."""
        listed = {record.key for record in listing.records}
        missing = [
            WORKER_PREFIX + worker_id
            for worker_id, worker in self._fleet.workers.items()
            if not worker.entry_gone and WORKER_PREFIX + worker_id not in listed
        ]
        removals = [Change(key, None, listing.revision) for key in missing]
        return list_as_changes(listing) + removals

    def apply_changes(self, changes: list[Change]) -> None:
        """Apply changes of workers' entries."""
        now = read_clock()
        for change in changes:
            if change.record is not None:
                self._apply_entry(change.record, now)
                continue
            worker = self._fleet.workers.get(change.key.removeprefix(WORKER_PREFIX))
            if worker is not None and not worker.entry_gone:
                worker.entry_gone = True
                log("worker.entry-gone", worker=worker.info.id, pool=worker.info.pool,
                    runs=len(worker.runs))  # fmt: skip

    def apply_missed_entries(self, listing: Listing) -> bool:
        """Apply entries of unknown workers only; for others the watch may have newer changes.

        Returns:
            Whether there were any such entries.
        """
        missed = [record for record in listing.records if self._is_missed(record)]
        now = read_clock()
        for record in missed:
            self._apply_entry(record, now)
        if missed:
            log("control.swept", prefix=WORKER_PREFIX, changes=len(missed))
        return bool(missed)

    def _is_missed(self, record: Record) -> bool:
        worker_id = record.key.removeprefix(WORKER_PREFIX)
        if worker_id in self._fleet.workers:
            return False
        if worker_id not in self._ended_incarnations:
            return True
        try:
            return not self._has_ended(decode_worker(record.key, record.value))
        except CallError:
            # The error was logged when the entry arrived.
            return False

    def _has_ended(self, info: WorkerInfo) -> bool:
        """Return whether an entry names an ended incarnation; such an entry may be written late."""
        return info.incarnation_started_ms in self._ended_incarnations.get(info.id, ())

    def _apply_entry(self, record: Record, now: float) -> None:
        try:
            info = decode_worker(record.key, record.value)
        except CallError as error:
            self._note_unreadable(record, error)
            return
        if self._has_ended(info) or not self._partition.owns(info.host or info.id):
            return
        worker = self._fleet.workers.get(info.id)
        if worker is None:
            worker = self._add_worker(info, record.revision, now)
        elif info.draining != worker.info.draining:
            log("worker.draining" if info.draining else "worker.ready", worker=info.id)
        if (
            info.incarnation_started_ms != worker.info.incarnation_started_ms
            and worker.incarnation_started_ms not in {0, info.incarnation_started_ms}
        ):
            self._expect_incarnation(worker, info)
        if record.revision > worker.revision:
            worker.entry_updated_at = now
        worker.info = info
        worker.incarnation_started_ms = worker.incarnation_started_ms or info.incarnation_started_ms
        worker.revision = record.revision
        worker.entry_gone = False
        mark_drained(self._fleet, worker)
        self._ensure_link(worker)

    def _add_worker(self, info: WorkerInfo, revision: int, now: float) -> Worker:
        worker = Worker(info, revision, now)
        worker.lease_expires_at = self._started_at + MAX_INHERITED_LEASE_S
        if info.id in self._ended_incarnations:
            worker.expect_new_incarnation()
        elif now - self._started_at < TAKEOVER_S:
            worker.may_hold_long_lease = may_have_predecessor(
                info.incarnation_started_ms, time.time() * 1000
            )
        mark_drained(self._fleet, worker)
        self._fleet.workers[info.id] = worker
        log("worker.seen", worker=info.id, pool=info.pool, host=info.host, address=info.address,
            born_ms=info.incarnation_started_ms)  # fmt: skip
        return worker

    def _expect_incarnation(self, worker: Worker, info: WorkerInfo) -> None:
        """Prepare for another incarnation that a worker's entry names: call it with a higher token.

        A call to the former incarnation may be in flight, for up to 1.5 s if that one does not
        answer. Until a call with a higher token arrives, the next incarnation would execute late
        starts of tasks that have ended, as in 3 of 40 soak runs. The entry has no other effect,
        because it may be old.
        """
        log(
            "worker.next-life",
            worker=info.id,
            born_ms=info.incarnation_started_ms,
            former_ms=worker.incarnation_started_ms,
        )
        worker.expect_new_incarnation()
        link = self.links.pop(info.id, None)
        if link is not None:
            link.cancel()

    def _note_unreadable(self, record: Record, error: CallError) -> None:
        """Exclude a worker from new work if another writer has made its entry unreadable.

        Its runs continue under its lease, because the worker itself may be healthy.
        """
        if self._unreadable.get(record.key) != record.revision:
            self._unreadable[record.key] = record.revision
            log("worker.unreadable", key=record.key, revision=record.revision,
                reason=error.reason)  # fmt: skip
        worker = self._fleet.workers.get(record.key.removeprefix(WORKER_PREFIX))
        if worker is not None:
            worker.info = msgspec.structs.replace(worker.info, readable=False)

    def _ensure_link(self, worker: Worker) -> None:
        existing_link = self.links.get(worker.info.id)
        if existing_link is not None and not existing_link.done():
            return
        task = asyncio.create_task(self._run_link(worker))
        task.add_done_callback(log_failure)
        self.links[worker.info.id] = task

    def release(self, worker: Worker, reason: LossReason) -> None:
        """Release the runs of a worker whose incarnation or lease has certainly ended."""
        now = read_clock()
        unanswered = worker.contact_loss is not None
        crashed = is_crash(self._fleet, worker, reason)
        release = release_worker(self._fleet, worker, now, crashed=crashed)
        self._log_lost_runs(release, worker, reason, crashed=crashed)
        worker.runs_known = False
        self._log_release(release, worker, reason, crashed=crashed, unanswered=unanswered)
        if reason != LossReason.LAPSED:
            self._mark_ended(worker)
        if worker.entry_gone or reason != LossReason.LAPSED:
            self._remove(worker)
        self._on_loss(release.stops)

    def _mark_ended(self, worker: Worker) -> None:
        self._ended_incarnations.setdefault(worker.info.id, set()).add(
            worker.incarnation_started_ms
        )

    def _remove(self, worker: Worker) -> None:
        """Remove a worker, unless its entry names an incarnation that has not answered yet."""
        entry_gone = worker.entry_gone
        worker.entry_gone = True
        self._ended_incarnations.setdefault(worker.info.id, set())
        self._fleet.workers.pop(worker.info.id, None)
        link = self.links.pop(worker.info.id, None)
        # If the current task is the link that detected the loss, it ends by itself.
        if link is not None and link is not asyncio.current_task():
            link.cancel()
        if not entry_gone and not self._has_ended(worker.info):
            self._ensure_link(self._add_worker(worker.info, worker.revision, read_clock()))

    def begin_incarnation(self, worker: Worker, report: WorkerReport, sent_at: float) -> None:
        """Take over a worker's next incarnation, which has answered under the same id."""
        now = read_clock()
        reason = LossReason.RESTARTED
        unanswered = worker.contact_loss is not None
        crashed = is_crash(self._fleet, worker, reason)
        log("worker.other-life", worker=worker.info.id, born_ms=report.incarnation_started_ms,
            former_ms=worker.incarnation_started_ms, acknowledged=worker.recorded_end,
            seen_end=worker.seen_end,
            ends=list_end_numbers(report), running=len(report.running),
            runs=len(worker.runs), heard_s=round(now - worker.last_answer_at, 3))  # fmt: skip
        self._mark_ended(worker)
        alive_at = max(worker.last_answer_at, worker.last_alive_at)
        release = begin_next_incarnation(self._fleet, worker, report, sent_at, now, crashed=crashed)
        self._log_lost_runs(release, worker, reason, crashed=crashed)
        self._log_release(
            release, worker, reason, crashed=crashed, unanswered=unanswered, alive_at=alive_at
        )
        # A call meant for the former incarnation states the end of the lease by that incarnation's
        # clock, which may be far ahead.
        worker.lease_expires_at = compute_lapse(now, self._max_lease_s)
        self._on_loss(release.stops)

    def _log_release(
        self,
        release: Release,
        worker: Worker,
        reason: LossReason,
        *,
        crashed: bool,
        unanswered: bool,
        alive_at: float | None = None,
    ) -> None:
        """Log that an incarnation was released, why, and how old the evidence is."""
        now = read_clock()
        evidence_at = (
            max(worker.last_answer_at, worker.last_alive_at) if alive_at is None else alive_at
        )
        list_requested_at = self._fleet.hosts_requested_at
        log("worker.released", worker=worker.info.id, host=worker.info.host, zone=worker.info.zone,
            reason=reason, crashed=crashed, runs=len(release.lost), unanswered=unanswered,
            heard_s=round(now - evidence_at, 3),
            list_age_s=round(now - list_requested_at, 3) if list_requested_at is not None else None,
            )  # fmt: skip

    def release_expired(self, now: float) -> None:
        """Release workers without a link whose lease has lapsed, and those lost with their host."""
        for worker in list(self._fleet.workers.values()):
            if (
                worker.entry_gone
                and now > worker.lease_expires_at
                and worker.info.id not in self.links
            ):
                self.release(worker, LossReason.LAPSED)
        for worker, reason in find_lost_workers(self._fleet, now):
            self.release(worker, reason)

    def _log_lost_runs(
        self, release: Release, worker: Worker, reason: LossReason, *, crashed: bool
    ) -> None:
        """Log the runs that were lost with a worker, and the tasks given up because it crashed."""
        for lost_run in release.lost:
            key = lost_run.task.key
            log("run.lost", job=key.job, rep=key.repetition, step=key.step, index=key.number,
                run=lost_run.run.number, worker=worker.info.id, reason=reason, crashed=crashed,
                lived_s=round(lost_run.lived_s, 3), together=len(release.lost),
                crashes=lost_run.task.crashes, probation=lost_run.task.probation)  # fmt: skip
            self._metrics.note_loss(reason, crashed=crashed)
        for task in release.given_up:
            key = task.key
            log("task.given-up", job=key.job, rep=key.repetition, step=key.step, index=key.number,
                crashes=task.crashes, worker=worker.info.id)  # fmt: skip
            self._metrics.note_given_up(worker.info.pool)
