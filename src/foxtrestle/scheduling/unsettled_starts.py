"""Starts without an answer, which a worker's next incarnation may still carry out.

Within one incarnation, each later call fences off an unanswered one. The next incarnation has seen
no fencing token, so until its first call it carries out whatever was meant for the former one.
Nobody can prevent that; therefore, as long as it may happen, the task runs on no other worker, and
an end of the task is not acknowledged.

Another start on the same worker is safe: if its incarnation ends, that run ends as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.host_list_polling import is_list_newer_than
from foxtrestle.scheduling.unsettled_orders import MAX_ORDER_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.jobs import Run, Task
    from foxtrestle.scheduling.model import EndedRun, TaskKey
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker

MAX_CLOCK_DIFFERENCE_S: Final = 18.0
"""Seconds by which the wall clocks of two nodes may differ."""
RECENT_S: Final = 8.0
"""Seconds before a takeover within which a run was placed if the earlier controller cannot have
recorded that its start had no answer; includes the time without a controller."""
HEARD_AFTER_S: Final = 0.1
"""Seconds after a start from which answers of its worker show that the worker was still there; an
answer from before may arrive until then."""
MAX_LASTING_WAIT_S: Final = 5.0
"""Seconds for which a long-running task waits for a worker that has not been heard since its start;
the platform allows it to be away for little longer."""
MAX_WITHHELD_ENDS: Final = 300
"""Number of ends in a report from which all are acknowledged. A report lists 500 at most, and the
ends beyond that number would not be known."""


class UnsettledStart(msgspec.Struct, frozen=True):
    """A start that was sent to a worker and has had no answer."""

    host: str
    """Host of the worker; empty if unknown."""
    sent_at: float
    """Monotonic time at which the start was last known to be under way, seconds."""
    sent_ms: int
    """Wall-clock time of the same moment, milliseconds; 0 if unknown."""
    started_ms: int = 0
    """Wall-clock time at which the worker's incarnation began, milliseconds; 0 if unknown."""
    heard: bool = False
    """Whether that incarnation has answered another call since. If not, it may have crashed, and
    the start has most likely gone with it."""
    assumed: bool = False
    """Whether an earlier controller placed the run, and may have had an answer."""

    @property
    def ends_at(self) -> float:
        """Monotonic time after which the start is not carried out any more, seconds."""
        return self.sent_at + MAX_ORDER_DELAY_S


class UnsettledStarts:
    """All unsettled starts, and what decides when an earlier controller's are settled."""

    __slots__ = ("by_task", "longest_lease_s", "takeover_at")

    def __init__(self) -> None:
        """Create a state without unsettled starts."""
        self.by_task: dict[TaskKey, dict[str, UnsettledStart]] = {}
        """Unsettled starts by task and worker id; the values are the tasks' `unsettled_starts`,
        which remain here after their job has been archived."""
        self.takeover_at = -1e9
        """Monotonic time at which this controller took over, seconds."""
        self.longest_lease_s = 10.4
        """Seconds after which the longest lease that a worker grants has certainly lapsed."""


def note_sent(fleet: Fleet, task: Task, worker: Worker, now: float, wall_ms: float) -> None:
    """Note that a start is about to be sent; it counts as unsettled until `note_answered`."""
    started_ms = worker.incarnation_started_ms
    start = UnsettledStart(worker.info.host, now, int(wall_ms), started_ms)
    task.unsettled_starts[worker.info.id] = start
    fleet.unsettled_starts.by_task[task.key] = task.unsettled_starts


def note_answered(
    fleet: Fleet,
    task: Task,
    worker: Worker,
    former: UnsettledStart | None,
    *,
    heard: bool = False,
) -> None:
    """Note that an attempt to send a start was answered, or certainly not carried out.

    Args:
        fleet: The state.
        task: The task.
        worker: Worker that the start was sent to.
        former: The worker's unsettled start from before this attempt, which remains.
        heard: Whether the worker has answered.
    """
    if former is not None:
        heard = heard or former.heard
        task.unsettled_starts[worker.info.id] = msgspec.structs.replace(former, heard=heard)
        return
    _remove(fleet, task, worker.info.id)


def assume_unsettled(fleet: Fleet, task: Task, run: Run, wall_ms: float, now: float) -> None:
    """Assume that a run's start had no answer, until its worker lists the run or its end.

    Args:
        fleet: The state.
        task: The task.
        run: A run that an earlier controller has placed.
        wall_ms: Wall-clock time of the takeover, milliseconds.
        now: Monotonic time of the takeover, seconds.
    """
    if wall_ms - run.placed_ms > RECENT_S * 1000:
        return
    start = UnsettledStart(run.host, now, int(wall_ms), assumed=True)
    task.unsettled_starts.setdefault(run.worker, start)
    fleet.unsettled_starts.by_task[task.key] = task.unsettled_starts


def note_listed(fleet: Fleet, task: Task, worker: str) -> None:
    """Note that a worker lists a run of a task, or its end."""
    start = task.unsettled_starts.get(worker)
    if start is not None and start.assumed:
        _remove(fleet, task, worker)


def _remove(fleet: Fleet, task: Task, worker: str) -> None:
    task.unsettled_starts.pop(worker, None)
    if not task.unsettled_starts:
        fleet.unsettled_starts.by_task.pop(task.key, None)


def may_start_on(task: Task, worker: str) -> bool:
    """Return whether no other worker may still carry out an earlier start of a task.

    Copies of a task of a speculative step may run side by side.
    """
    if task.step.speculative:
        return True
    return all(other == worker for other in task.unsettled_starts)


def is_restricted(task: Task) -> bool:
    """Return whether a task can be started on one worker at most."""
    return bool(task.unsettled_starts) and not task.step.speculative


def remove_settled(fleet: Fleet, now: float) -> list[tuple[TaskKey, str, float]]:
    """Remove the starts that cannot be carried out any more.

    Returns:
        Task, worker id and age in seconds of each.
    """
    by_task = fleet.unsettled_starts.by_task
    if not by_task:
        return []
    hosts_in_use = _find_hosts_in_use(fleet)
    removed = []
    for key, starts in list(by_task.items()):
        lasting = _is_lasting(fleet, key)
        for worker_id, start in list(starts.items()):
            if not start.heard and _is_heard(fleet, worker_id, start):
                starts[worker_id] = msgspec.structs.replace(start, heard=True)
                continue
            gone = lasting and not start.heard and now > start.sent_at + MAX_LASTING_WAIT_S
            if gone or _is_settled(fleet, worker_id, start, hosts_in_use, now):
                del starts[worker_id]
                removed.append((key, worker_id, now - start.sent_at))
        if not starts:
            del by_task[key]
    return removed


def _is_lasting(fleet: Fleet, key: TaskKey) -> bool:
    entry = fleet.jobs.get(key.job)
    return entry is not None and entry.job.spec.steps[key.step].lasting


def _is_heard(fleet: Fleet, worker_id: str, start: UnsettledStart) -> bool:
    """Return whether the incarnation that a start was sent to has answered another call since."""
    worker = fleet.workers.get(worker_id)
    if worker is None or worker.incarnation_started_ms != start.started_ms:
        return False
    return worker.last_reached_at > start.sent_at + HEARD_AFTER_S


def _find_hosts_in_use(fleet: Fleet) -> dict[str, Worker]:
    """Return the worker that has answered last, by host."""
    newest: dict[str, Worker] = {}
    for worker in fleet.workers.values():
        host = worker.info.host
        if not host or not worker.runs_known:
            continue
        if host not in newest or worker.last_answer_at > newest[host].last_answer_at:
            newest[host] = worker
    return newest


def _is_settled(
    fleet: Fleet,
    worker_id: str,
    start: UnsettledStart,
    hosts_in_use: dict[str, Worker],
    now: float,
) -> bool:
    successor = hosts_in_use.get(start.host)
    if successor is not None and successor.info.id != worker_id:
        # A host has one worker at a time, and a worker with another id refuses the start.
        return successor.last_answer_at > start.sent_at
    if now <= start.ends_at:
        return False
    return not start.heard or not _may_be_active_unseen(fleet, worker_id, start, now)


def _may_be_active_unseen(fleet: Fleet, worker_id: str, start: UnsettledStart, now: float) -> bool:
    """Return whether a run may be active that a late start began and no report has listed.

    Its lease ends by itself; until then only the worker or the host list can tell.
    """
    worker = fleet.workers.get(worker_id)
    if worker is not None and worker.runs_known and worker.last_answer_at > start.ends_at:
        return worker.unknown_runs > 0
    if now > start.ends_at + fleet.unsettled_starts.longest_lease_s:
        return False
    if fleet.hosts_requested_at is None or not is_list_newer_than(fleet, start.ends_at):
        return True
    host = fleet.hosts.get(start.host)
    return host is not None and host.state == "up" and host.worker in {"", worker_id}


def find_withheld_end(fleet: Fleet, worker: Worker, ends: Iterable[EndedRun], now: float) -> int:
    """Return the number of the first end that must not be acknowledged yet; 0 if there is none.

    An end that is acknowledged stands for good, so a late start would then run the task again. An
    end of a job that an earlier controller has archived may be of a start that had no answer.
    """
    listed = list(ends)
    if len(listed) > MAX_WITHHELD_ENDS:
        return 0
    return next((end.number for end in listed if _is_withheld(fleet, worker, end, now)), 0)


def _is_withheld(fleet: Fleet, worker: Worker, end: EndedRun, now: float) -> bool:
    if end.kind not in {"done", "failed"}:
        return False
    starts = fleet.unsettled_starts.by_task.get(end.key)
    if starts is not None and worker.info.id in starts:
        return now <= starts[worker.info.id].ends_at
    is_known = end.key.job in fleet.jobs or end.key.job in fleet.ended_ids
    return not is_known and now <= fleet.unsettled_starts.takeover_at + MAX_ORDER_DELAY_S


def restore_start(
    fleet: Fleet,
    task: Task,
    worker: str,
    host: str,
    sent_ms: int,
    wall_ms: float,
    now: float,
    *,
    heard: bool,
) -> None:
    """Restore an earlier controller's unsettled start, unless it is too old.

    It may have been sent again until the takeover.

    Args:
        fleet: The state.
        task: The task.
        worker: Id of the worker that the start was sent to.
        host: Host of its worker.
        sent_ms: Wall-clock time at which it was sent by that controller's clock, milliseconds; 0 if
            unknown.
        wall_ms: Wall-clock time of the takeover, milliseconds.
        now: Monotonic time of the takeover, seconds.
        heard: Whether the worker had answered another call since.
    """
    if _is_too_old(sent_ms, wall_ms):
        return
    task.unsettled_starts[worker] = UnsettledStart(host, now, sent_ms, heard=heard)
    fleet.unsettled_starts.by_task[task.key] = task.unsettled_starts


def _is_too_old(sent_ms: int, wall_ms: float) -> bool:
    """Return whether a start of another node's term is certainly not carried out any more."""
    age_s = (wall_ms - sent_ms) / 1000
    return sent_ms > 0 and age_s > MAX_ORDER_DELAY_S + MAX_CLOCK_DIFFERENCE_S
