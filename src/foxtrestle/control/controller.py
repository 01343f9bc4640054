"""The controller of one term: watches the store, makes and records decisions, sends orders."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING, TypeAlias

from foxtrestle.clock import read_clock
from foxtrestle.control.background_tasks import BackgroundTasks
from foxtrestle.control.backlog_record import BacklogRecord
from foxtrestle.control.fencing import FencingTokens
from foxtrestle.control.guarded_record import GuardedRecord
from foxtrestle.control.hosts import HostReconciler
from foxtrestle.control.link import WorkerLink
from foxtrestle.control.log import log
from foxtrestle.control.node_metrics import NodeMetrics
from foxtrestle.control.orders import Orders, compute_lapse
from foxtrestle.control.policy_prefetch import PolicyPrefetcher
from foxtrestle.control.prefix_watch import list_as_changes, scan_with_retry, watch_prefix
from foxtrestle.control.pressure_records import PressureRecords
from foxtrestle.control.progress_writer import ProgressWriter
from foxtrestle.control.resync import RESYNC_S, resync_prefix
from foxtrestle.control.retention import delete_expired
from foxtrestle.control.statistics_record import (
    StatisticsRecord,
    decode_statistics,
    save_statistics,
)
from foxtrestle.control.stored import decode_or_skip
from foxtrestle.control.worker_registry import WorkerRegistry
from foxtrestle.control.zone_drains import ZoneDrains
from foxtrestle.control.zone_watch import ZoneWatch
from foxtrestle.platform.workers import WORKER_PREFIX
from foxtrestle.scheduling import unsettled_acknowledgements
from foxtrestle.scheduling.checks import check_send, check_start
from foxtrestle.scheduling.draining import set_drained_zones, update_drained_zones
from foxtrestle.scheduling.hosts import is_worker_overdue
from foxtrestle.scheduling.jobs import JobEntry
from foxtrestle.scheduling.partitions import compute_partition_configuration
from foxtrestle.scheduling.progress import decode_job, decode_progress, restore
from foxtrestle.scheduling.rounds import MAX_ROUND_PAUSE_S, compute_round_pause, compute_watch_pause
from foxtrestle.scheduling.runs import (
    add_job,
    compute_age,
    end_job,
    place_run,
    release_steps,
    share_checkpoint,
)
from foxtrestle.scheduling.share_limits import ShareLimiter, justifies_scale_up, spread_arrivals
from foxtrestle.scheduling.state import Fleet
from foxtrestle.scheduling.task_placement import choose_placements
from foxtrestle.scheduling.unsettled_starts import remove_settled

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from collections.abc import Set as AbstractSet

    from foxtrestle.control.host_accounts import HostAccounts
    from foxtrestle.control.leader_election import Term
    from foxtrestle.node.operators import OperatorMirror
    from foxtrestle.node.settings import NodeSettings
    from foxtrestle.platform.hosts import HostClient
    from foxtrestle.platform.policy import PolicyClient
    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.platform.workers import WorkerClient
    from foxtrestle.scheduling.jobs import Run, Task
    from foxtrestle.scheduling.model import FleetConfiguration
    from foxtrestle.scheduling.progress import Progress
    from foxtrestle.scheduling.runs import StopOrder
    from foxtrestle.scheduling.task_placement import Placement
    from foxtrestle.scheduling.workers import Worker
    from foxtrestle.store import Change, Listing, Record

Start: TypeAlias = "tuple[Task, Run, Worker]"
"""A run to be started, with its task and its worker."""


class Controller:
    """Runs everything that a node does while it is the controller of a partition."""

    def __init__(
        self,
        term: Term,
        settings: NodeSettings,
        store: PlatformStore,
        workers: WorkerClient,
        hosts: HostClient,
        operators: OperatorMirror,
        policy: PolicyClient | None = None,
        metrics: NodeMetrics | None = None,
    ) -> None:
        """Create the controller of a term."""
        self._policy = policy
        self._metrics = metrics or NodeMetrics()
        self.fleet = Fleet(term.number)
        """The controller's state."""
        self.fleet.spread_lasting = settings.zone_failures_tolerated > 0
        self._term = term
        self._keys = term.keys
        self._settings = settings
        self._store = store
        self._worker_client = workers
        self._operators = operators
        self._started_at = read_clock()
        unsettled = self.fleet.unsettled_starts
        unsettled.takeover_at = self._started_at
        unsettled.longest_lease_s = compute_lapse(0.0, settings.operating_limits.max_lease_s)
        self._tokens = FencingTokens(store, term)
        self._progress_writer = ProgressWriter(store, self.fleet, term, self._metrics)
        self._registry = WorkerRegistry(
            self.fleet, term.partition, self._run_link, self._handle_loss, self._metrics,
            settings.operating_limits.max_lease_s,
        )  # fmt: skip
        self._orders = Orders(
            self.fleet,
            term,
            workers,
            self.wake,
            self._registry.release,
            self._tokens,
            self._is_drained,
        )
        self._hosts = HostReconciler(
            self.fleet,
            term,
            settings,
            store,
            hosts,
            operators,
            self._orders,
            self.wake,
            self._registry.release,
        )
        self.zone_drains = ZoneDrains(
            self.fleet,
            operators,
            settings.operating_limits,
            lambda stop: self._background.spawn(self._orders.stop(stop)),
        )
        """Drains of availability zones."""
        self._share_limiter = ShareLimiter()
        self._pressure = PressureRecords(self.fleet, store, term, lambda: self._hosts.targets)
        self._backlog = BacklogRecord(self.fleet, store, term, settings.memory_mb)
        self._statistics = GuardedRecord(store, term, term.keys.statistics)
        self._full_configuration: FleetConfiguration | None = None
        self._own_configuration: FleetConfiguration | None = None
        self._changed = asyncio.Event()
        self._inbox_read_at = self._started_at
        self._unreadable_jobs: AbstractSet[str] = frozenset()
        self._background = BackgroundTasks()

    async def run(self) -> None:
        """Run all loops until cancelled."""
        inbox, entries = await self._load()
        pause_s = compute_watch_pause(self._term.partition.count)
        loops = [
            self._progress_writer.run(),
            self._decide(),
            watch_prefix(
                self._store, self._keys.inbox, inbox, list_as_changes, self._apply_inbox, pause_s
            ),
            watch_prefix(
                self._store,
                WORKER_PREFIX,
                entries,
                self._registry.diff_listing,
                self._apply_entries,
                pause_s,
            ),
            self._hosts.run(),
            resync_prefix(
                self._store, self._keys.inbox, self._is_inbox_quiet, self._apply_inbox_listing
            ),
            resync_prefix(
                self._store, WORKER_PREFIX, self._is_host_overdue, self._apply_entries_listing
            ),
            save_statistics(self._statistics, self._describe_statistics),
            self._pressure.run(),
            self._backlog.run(),
        ]
        if self._term.partition.number == 0:
            loops.append(
                delete_expired(
                    store=self._store,
                    retention_s=self._settings.operating_limits.status_retention_s,
                )
            )
        if len(self._settings.zones) > 1:
            watch = ZoneWatch(self.fleet, self._term, self._settings, self._metrics)
            loops.append(watch.run())
        if self._policy is not None:
            loops.append(PolicyPrefetcher(self.fleet, self._policy, self.wake).run())
        async with AsyncExitStack() as stack:
            tasks = [asyncio.create_task(loop) for loop in loops]
            stack.push_async_callback(self._close, tasks)
            await asyncio.gather(*tasks)

    def _describe_statistics(self) -> StatisticsRecord:
        shares = self._share_limiter.build_record(self.fleet.active.values())
        acknowledgements = dict(self.fleet.unsettled_acknowledgements)
        return StatisticsRecord(self.fleet.durations.build_record(), shares, acknowledgements)

    async def _close(self, tasks: list[asyncio.Task[None]]) -> None:
        everything = [
            *tasks,
            *self._registry.links.values(),
            *self._background.tasks,
            *self._hosts.sends,
        ]
        for task in everything:
            task.cancel()
        await asyncio.gather(*everything, return_exceptions=True)

    @property
    def host_accounts(self) -> HostAccounts:
        """Account of what the hosts are used for."""
        return self._hosts.accounts

    def is_host_interface_away(self) -> bool:
        """Return whether the platform's interface for hosts does not answer."""
        return self._hosts.is_interface_away()

    def wake(self) -> None:
        """Start another scheduling round soon."""
        self._changed.set()

    # Takeover.

    async def _load(self) -> tuple[int, int]:
        """Load the whole state from the store.

        Returns:
            Revisions from which to watch the inbox and the workers' entries.
        """
        now = read_clock()
        keys = self._keys
        inbox, entries, statistics, pressure, backlog, pending, companions = await asyncio.gather(
            *(
                scan_with_retry(self._store, prefix)
                for prefix in (
                    keys.inbox,
                    WORKER_PREFIX,
                    keys.statistics,
                    keys.pressure,
                    keys.backlog,
                    keys.pending,
                    keys.companions,
                )
            )
        )
        # Progress is read after the inbox: a job that ends in between is in neither and is not
        # needed.
        progress = await scan_with_retry(self._store, keys.progress)
        statistics_record = next(iter(statistics.records), None)
        saved_statistics = decode_statistics(statistics_record)
        self.fleet.durations.restore(saved_statistics.durations)
        self.fleet.unsettled_acknowledgements = unsettled_acknowledgements.restore(
            saved_statistics.acknowledgements, now
        )
        self._statistics.adopt(statistics_record)
        companion_records = {record.key: record for record in companions.records}
        self._pressure.adopt(
            next(iter(pressure.records), None), companion_records.get(keys.pressure_companion)
        )
        self._backlog.adopt(
            exists=bool(backlog.records), companion=companion_records.get(keys.backlog_companion)
        )
        self._progress_writer.adopt_pending(next(iter(pending.records), None))
        self._registry.apply_changes(list_as_changes(entries))
        self._load_jobs(inbox, progress, saved_statistics, now)
        log("control.loaded", term=self._term.number, partition=self._term.partition.number,
            jobs=len(self.fleet.jobs), active=len(self.fleet.active),
            workers=len(self.fleet.workers),
            took_s=round(read_clock() - now, 3))  # fmt: skip
        return inbox.revision, entries.revision

    def _load_jobs(
        self, inbox: Listing, progress: Listing, statistics: StatisticsRecord, now: float
    ) -> None:
        keys = self._keys
        records = {record.key.removeprefix(keys.progress): record for record in progress.records}
        progress_by_job = self._decode_progress(records)
        wall_ms = time.time() * 1000
        entries = self._decode_jobs(
            (
                record
                for record in inbox.records
                if record.key.startswith(keys.jobs)
                and record.key.removeprefix(keys.jobs) not in self._unreadable_jobs
            ),
            now,
        )
        arrival_times = spread_arrivals([now - entry.created_at for entry in entries], 0.0, now)
        self._share_limiter.restore(
            self._get_own_configuration(), statistics.shares, entries, arrival_times
        )
        for entry in entries:
            self._add_job(entry)
            job_progress = progress_by_job.get(entry.job.id)
            if job_progress is not None:
                entry.progress_revision = records[entry.job.id].revision
                restore(self.fleet, entry, job_progress, wall_ms, now, self._registry.find_or_add)
        for record in inbox.records:
            if record.key.startswith(keys.cancels):
                self._cancel(record.key.removeprefix(keys.cancels))

    def _decode_progress(self, records: Mapping[str, Record]) -> dict[str, Progress]:
        """Decode the progress of jobs; those of which it is unreadable are left as they are.

        Their tasks may have ended, so none of them may be started.
        """
        decoded = {}
        for job, record in records.items():
            progress = decode_or_skip(record, decode_progress, "progress.unreadable")
            if progress is not None:
                decoded[job] = progress
        self._unreadable_jobs = records.keys() - decoded.keys()
        return decoded

    # Incoming changes.

    def _is_inbox_quiet(self, now: float) -> bool:
        return now - self._inbox_read_at >= RESYNC_S and not self._progress_writer.unavailable_since

    def _apply_inbox_listing(self, listing: Listing) -> None:
        job_count_before = len(self.fleet.jobs)
        self._apply_inbox(list_as_changes(listing))
        if len(self.fleet.jobs) > job_count_before:
            log(
                "control.swept",
                prefix=self._keys.inbox,
                changes=len(self.fleet.jobs) - job_count_before,
            )

    def _is_host_overdue(self, now: float) -> bool:
        """Return whether a host has no worker although its move or maintenance should be over."""
        configuration = self.fleet.configuration
        if self._progress_writer.unavailable_since or configuration is None:
            return False
        reserve = configuration.find_reserve()
        limits = self._settings.operating_limits
        return any(
            is_worker_overdue(
                plan, reserve, limits.maintenance_s if plan.wave else limits.move_s, now
            )
            for plan in self.fleet.plans.values()
        )

    def _apply_entries(self, changes: list[Change]) -> None:
        self._registry.apply_changes(changes)
        self.wake()

    def _apply_entries_listing(self, listing: Listing) -> None:
        if self._registry.apply_missed_entries(listing):
            self.wake()

    def _apply_inbox(self, changes: list[Change]) -> None:
        now = read_clock()
        new: dict[str, Record] = {}
        for change in changes:
            job = change.key.removeprefix(self._keys.jobs)
            if change.record is None or job == change.key or job in self.fleet.jobs:
                continue
            if job in self._unreadable_jobs:
                continue
            # A listing that was read while the job ended may still contain it.
            if job not in self.fleet.ended_ids:
                new[job] = change.record
        self._add_new_jobs(new.values(), now)
        self._inbox_read_at = now
        # Cancellations are applied last: a listing after a gap contains them before their jobs.
        cancels = self._keys.cancels
        for change in changes:
            if change.record is not None and change.key.startswith(cancels):
                self._cancel(change.key.removeprefix(cancels))
        self.wake()

    def _add_new_jobs(self, records: Iterable[Record], now: float) -> None:
        entries = self._decode_jobs(records, now)
        ages = [now - entry.created_at for entry in entries]
        arrival_times = spread_arrivals(ages, self._inbox_read_at, now)
        for entry, arrived_at in zip(entries, arrival_times, strict=True):
            entry.excess = self._share_limiter.charge_job(
                self._get_own_configuration(), entry.job.owner, arrived_at
            )
            self._add_job(entry)

    def _decode_jobs(self, records: Iterable[Record], now: float) -> list[JobEntry]:
        """Decode jobs, in the order in which the store accepted them."""
        entries: list[JobEntry] = []
        wall_ms = time.time() * 1000
        for record in sorted(records, key=lambda record: record.revision):
            job = decode_or_skip(record, decode_job, "job.unreadable")
            if job is not None:
                entries.append(JobEntry(job, record.revision, now - compute_age(job, wall_ms)))
        return entries

    def _add_job(self, entry: JobEntry) -> None:
        add_job(self.fleet, entry)
        if justifies_scale_up(self.fleet, entry):
            self._hosts.loads.note_job(entry)
        self._pressure.note_job(entry)
        job = entry.job
        log("job.seen", job=job.id, queue=job.queue, pool=job.pool, org=job.owner,
            excess=entry.excess, revision=entry.revision)  # fmt: skip

    def _cancel(self, job: str) -> None:
        entry = self.fleet.jobs.get(job)
        if entry is None or entry.cancel_requested:
            return
        entry.cancel_requested = True
        if entry.ended:
            return
        log("job.cancelled", job=job)
        for stop in end_job(self.fleet, entry, "cancelled"):
            self._background.spawn(self._orders.stop(stop))
        self._progress_writer.wake()

    # Workers.

    async def _run_link(self, worker: Worker) -> None:
        link = WorkerLink(
            self.fleet, worker, self._term, self._worker_client, self._progress_writer,
            self._orders, self.wake, self._registry.release, self._registry.begin_incarnation,
            self._tokens, self._settings.operating_limits.pace_delay_s, self._metrics,
            self._settings.operating_limits.max_lease_s,
        )  # fmt: skip
        await link.run()

    def _handle_loss(self, stops: list[StopOrder]) -> None:
        for stop in stops:
            self._background.spawn(self._orders.stop(stop))
        self._progress_writer.wake()
        self.wake()

    # Scheduling.

    async def _decide(self) -> None:
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), MAX_ROUND_PAUSE_S)
            self._changed.clear()
            began_at = read_clock()
            self._decide_once()
            took_s = read_clock() - began_at
            self._metrics.note_round(took_s)
            await asyncio.sleep(compute_round_pause(took_s))

    def _decide_once(self) -> None:
        now = read_clock()
        self.fleet.configuration = self._get_own_configuration()
        wall_ms = time.time() * 1000
        for entry in self.fleet.active.values():
            release_steps(entry, wall_ms, now)
        self._registry.release_expired(now)
        if not set_drained_zones(self.fleet, self._operators.find_drained(now)):
            # The drained zones are not known, so any zone may be drained.
            return
        if self._progress_writer.unavailable_since or not self._term.is_valid():
            # A start must be recorded before it is sent, which is not possible now.
            return
        self._remove_settled_starts(now)
        self._release_excess(now)
        at_limit = self.fleet.organisations_at_limit
        current = self._operators.is_current()
        for placement in choose_placements(self.fleet, now, current=current):
            self._carry_out(placement, now)
        for name in self.fleet.organisations_at_limit ^ at_limit:
            event = "limited" if name in self.fleet.organisations_at_limit else "free"
            log(f"organisation.{event}", org=name, current=current)
        self.zone_drains.decide(now)
        self._hosts.decide(now)

    def _remove_settled_starts(self, now: float) -> None:
        unsettled_acknowledgements.remove_settled(self.fleet, now)
        for key, worker, age_s in remove_settled(self.fleet, now):
            log("start.settled", job=key.job, rep=key.repetition, step=key.step, index=key.number,
                worker=worker, age_s=round(age_s, 3))  # fmt: skip
            self._metrics.note_settlement(age_s)

    def _release_excess(self, now: float) -> None:
        waiting = [entry for entry in self.fleet.active.values() if entry.excess and entry.ready]
        fleet = self.fleet
        for entry in self._share_limiter.release_excess(
            fleet.configuration, waiting, now, full=fleet.saturated
        ):
            log("share.regained", job=entry.job.id, org=entry.job.owner, full=fleet.saturated,
                waited_s=round(now - entry.created_at, 2))  # fmt: skip

    def _get_own_configuration(self) -> FleetConfiguration | None:
        """Return the configuration with this partition's part of the fleet-wide values."""
        configuration = self._operators.configuration
        if configuration is not self._full_configuration:
            self._full_configuration = configuration
            self._own_configuration = (
                compute_partition_configuration(self._term.partition, configuration)
                if configuration
                else None
            )
        return self._own_configuration

    def _is_drained(self, worker: Worker) -> bool:
        """Return whether a worker's zone is drained, as far as is known now."""
        update_drained_zones(self.fleet, self._operators.find_drained(read_clock()))
        return worker.drained

    def _recheck_starts(self, starts: list[Start]) -> list[Start]:
        """Return the starts of a placement that may still be sent; for a gang, all or none."""
        update_drained_zones(self.fleet, self._operators.find_drained(read_clock()))
        reasons = [check_send(worker) for _, _, worker in starts]
        first_reason = next((reason for reason in reasons if reason), "")
        allowed = []
        for (task, run, worker), own_reason in zip(starts, reasons, strict=True):
            reason = first_reason if task.step.gang else own_reason
            if reason:
                self._orders.drop_unsent(task, run, worker, reason)
            else:
                allowed.append((task, run, worker))
        return allowed

    def _carry_out(self, placement: Placement, now: float) -> None:
        starts: list[Start] = []
        if placement.members[0][0].step.gang:
            share_checkpoint([task for task, _ in placement.members])
        for task, worker in placement.members:
            violation = check_start(self.fleet, task, worker)
            if violation:
                log("check.stopped", promise=violation, job=placement.job, step=task.key.step,
                    index=task.key.number, run=placement.run, worker=worker.info.id)  # fmt: skip
                self._metrics.note_violation(violation)
                continue
            self._metrics.note_start(worker.info.pool, now - task.waiting_since)
            entry = self.fleet.jobs[placement.job]
            if not entry.placed:
                self._metrics.note_organisation(entry.job.owner, "started")
            run = place_run(self.fleet, task, worker, placement.run, now)
            run.placed_ms = int(time.time() * 1000)
            starts.append((task, run, worker))
            log("run.placed", job=placement.job, rep=task.key.repetition, step=task.key.step,
                index=task.key.number, run=run.number, worker=worker.info.id,
                waited_s=round(now - task.waiting_since, 3))  # fmt: skip

        async def start_recorded() -> None:
            await self._progress_writer.record([placement.job])
            await asyncio.gather(
                *(self._orders.start(*start) for start in self._recheck_starts(starts))
            )

        self._background.spawn(start_recorded())
