"""Workers: the runs placed on them and their contact with the controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from foxtrestle.scheduling.model import Shape

if TYPE_CHECKING:
    from foxtrestle.scheduling.jobs import Run
    from foxtrestle.scheduling.model import Step, TaskKey, WorkerInfo


class ContactLoss(msgspec.Struct, frozen=True):
    """When and how a worker stopped answering."""

    since: float
    """Monotonic time of the first unanswered call, seconds."""
    leaving: bool
    """Whether the worker was draining, or its entry in the store, which it renews by heartbeats,
    had disappeared, before that call failed."""
    connection_lost: bool
    """Whether the connection broke; if not, there was no answer in time."""


class Worker:
    """A worker and the runs that the controller has placed on it."""

    __slots__ = (
        "clock_offset_ms",
        "contact_loss",
        "cordoned",
        "discarded_end",
        "drained",
        "entry_gone",
        "entry_updated_at",
        "failed_at",
        "failed_jobs",
        "fenced",
        "first_seen",
        "full_until",
        "incarnation_started_ms",
        "info",
        "last_alive_at",
        "last_answer_at",
        "last_answer_wait_s",
        "last_reached_at",
        "lasting_count",
        "lasting_used",
        "lease_expires_at",
        "may_be_ordered_away",
        "may_hold_long_lease",
        "may_lack_ends",
        "probation_runs",
        "recorded_end",
        "revision",
        "runs",
        "runs_known",
        "runs_known_at",
        "seen_end",
        "successes",
        "token",
        "unknown_runs",
        "used",
        "withheld_end",
    )

    def __init__(self, info: WorkerInfo, revision: int, now: float) -> None:
        """Create a worker without runs that has not answered yet."""
        self.info = info
        """Description of the worker, from its newest entry in the store."""
        self.revision = revision
        """Store revision of the entry; of two workers of one host, the newer has the higher one."""
        self.entry_updated_at = -1e9
        """Monotonic time at which a newer entry was last received, seconds. A new entry shows that
        the worker is alive and reaches the store, even if it does not answer."""
        self.entry_gone = False
        """Whether the entry has disappeared from the store."""
        self.cordoned = False
        """Whether the host is being emptied for a move to another pool or for maintenance, so that
        the worker gets no new runs; derived from the host's plan by `hosts.update_cordon`."""
        self.may_be_ordered_away = False
        """Whether an order for the host had no answer and may still be carried out, which would end
        all runs; derived by `hosts.update_cordon`."""
        self.drained = False
        """Whether the worker's zone is drained, or may be, so that no run is started on the worker;
        set by the module `scheduling.draining`."""
        self.token = 0
        """Fencing token of calls to the worker. It is higher than the token of every unanswered
        call and of every call to an earlier incarnation; 0 stands for the number of the term."""
        self.fenced = True
        """Whether `token` is higher than all tokens that were sent to earlier incarnations, so that
        it fences off late calls to those; the worker itself is not shut out. If false, the link
        gets a new token before its next call."""
        self.may_hold_long_lease = False
        """Whether the worker may hold the longest lease that it grants: a call that was meant for
        an earlier incarnation, whose clock was another, may have reached this one. No such call can
        reach it any more once it has answered a call of this controller with a higher token."""
        self.begin_incarnation(info.incarnation_started_ms, now)

    def begin_incarnation(self, started_ms: int, now: float) -> None:
        """Reset all state of the former incarnation; the next one shares none of it.

        Args:
            started_ms: Start of the new incarnation, wall-clock time, milliseconds; 0 if unknown.
            now: Monotonic time, seconds.
        """
        self.incarnation_started_ms = started_ms
        """Wall-clock time at which the incarnation started, by the worker's clock, milliseconds; 0
        if unknown."""
        self.first_seen = now
        """Monotonic time at which the incarnation was first observed, seconds."""
        self._reset_runs()
        self.runs_known = False
        """Whether the worker has sent this controller a complete report, so that all of its runs
        are known; false again once its runs have been released."""
        self.runs_known_at = -1e9
        """Monotonic time of the first complete report to this controller, seconds."""
        self.last_answer_at = -1e9
        """Monotonic time of the last answer, seconds."""
        self.last_answer_wait_s = 0.0
        """Seconds between the call that was answered last and the processing of its answer: the
        worker sent the answer at some time in between."""
        self.last_reached_at = -1e9
        """Monotonic time of the last answer or refusal, seconds."""
        self.last_alive_at = -1e9
        """Monotonic time at which the worker is last known to have been alive, seconds."""
        self.contact_loss: ContactLoss | None = None
        """How contact was lost; None while the worker answers."""
        self.lease_expires_at = 0.0
        """Monotonic time after which no run under a lease from this controller or an earlier one is
        active on the worker, seconds."""
        self.clock_offset_ms = 0.0
        """Monotonic clock of the worker minus that of the controller, as of the last answer,
        milliseconds."""
        self.recorded_end = 0
        """Number of the newest end that is recorded in the store, see `acknowledgeable_end`."""
        self.discarded_end = 0
        """Number of the newest end that the worker has discarded: a call that acknowledged it was
        answered."""
        self.may_lack_ends = False
        """Whether the worker may discard its first ends without listing them; see
        `unsettled_acknowledgements`."""
        self.withheld_end = 0
        """Number of the first listed end that must not be acknowledged yet; 0 if there is none."""
        self.failed_jobs: set[str] = set()
        """Jobs with a failed run on the worker since its last successful run, without those whose
        tasks are at fault."""
        self.failed_at = -1e9
        """Monotonic time of the last failed run, seconds."""
        self.successes = 0
        """Number of runs that ended `done`."""
        self.full_until = 0.0
        """Monotonic time until which the worker gets no new runs, because it refused one for lack
        of capacity, seconds."""
        self.seen_end = 0
        """Number of the newest end that has been processed, whether or not it is recorded."""

    def _reset_runs(self) -> None:
        self.runs: dict[tuple[TaskKey, int], Run] = {}
        """Runs that may be active on the worker."""
        self.used = Shape()
        """Resources that these runs reserve."""
        self.probation_runs: set[tuple[TaskKey, int]] = set()
        """Runs on probation; the worker gets no other runs while there are any."""
        self.unknown_runs = 0
        """Number of runs in the last report that are not in `runs`; their resource usage is
        unknown."""
        self.lasting_count = 0
        """Number of long-running tasks that may be active on the worker."""
        self.lasting_used = Shape()
        """Resources reserved by long-running tasks, which are not released by the end of a run."""

    @property
    def target(self) -> WorkerInfo:
        """The worker's entry with the incarnation that calls are meant for.

        The entry itself may be older or newer than the incarnation that has answered last.
        """
        return msgspec.structs.replace(
            self.info, incarnation_started_ms=self.incarnation_started_ms
        )

    @property
    def acknowledgeable_end(self) -> int:
        """Number of the newest end that may be acknowledged."""
        if not self.withheld_end:
            return self.recorded_end
        return min(self.recorded_end, self.withheld_end - 1)

    def expect_new_incarnation(self) -> None:
        """Have the next call use a new fencing token, as another incarnation will receive it."""
        self.fenced = False
        self.may_hold_long_lease = True

    def record_answer(self, now: float, *, waited_s: float = 0.0) -> None:
        """Note that the worker has answered.

        Args:
            now: Monotonic time, seconds.
            waited_s: Seconds since the call that was answered.
        """
        self.last_answer_at = now
        self.last_answer_wait_s = waited_s
        self.last_reached_at = now
        self.last_alive_at = now
        self.contact_loss = None

    def record_unanswered_call(self, now: float, *, connection_lost: bool = False) -> None:
        """Note that a call was not answered.

        Only the first such call is recorded: whether the worker was leaving at that time
        distinguishes a crash from an ordinary departure. `info.draining` means that the worker
        itself is about to leave.

        Args:
            now: Monotonic time, seconds.
            connection_lost: Whether the connection broke, which shows that the worker was alive
                until now.
        """
        if self.contact_loss is None:
            self.contact_loss = ContactLoss(now, self.is_leaving(), connection_lost)
            if connection_lost:
                self.last_alive_at = now

    def is_leaving(self) -> bool:
        """Return whether the worker is draining, or its entry has disappeared."""
        return self.entry_gone or self.info.draining

    def is_entry_current(self) -> bool:
        """Return whether the entry is of the incarnation that answers.

        Another incarnation may have a different capacity.
        """
        return not self.info.incarnation_started_ms or self.incarnation_started_ms in {
            0,
            self.info.incarnation_started_ms,
        }

    def has_recent_run(self, now: float, seconds: float) -> bool:
        """Return whether a run was placed on the worker within the given last seconds."""
        return any(now - run.placed_at < seconds for run in self.runs.values())

    def fits(self, shape: Shape, *, fills: bool) -> bool:
        """Return whether the free capacity suffices for a task."""
        return self.info.capacity.minus(self.used).holds(shape, fills=fills)

    def is_overfull(self) -> bool:
        """Return whether the runs reserve more than the capacity, which may have decreased."""
        return not self.info.capacity.holds(self.used)

    def add_usage(self, step: Step) -> None:
        """Add the resources of a task to the usage."""
        self.used = self.used.plus(step.reserved_shape)
        if step.lasting:
            self.lasting_count += 1
            self.lasting_used = self.lasting_used.plus(step.reserved_shape)

    def remove_usage(self, step: Step) -> None:
        """Subtract the resources of a task from the usage."""
        self.used = self.used.minus(step.reserved_shape)
        if step.lasting:
            self.lasting_count -= 1
            self.lasting_used = self.lasting_used.minus(step.reserved_shape)
