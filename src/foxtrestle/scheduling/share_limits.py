"""Rate limits of organisations' guaranteed shares: marks the jobs that exceed them.

An organisation's share is a rate in jobs per second. A token bucket counts it: the bucket fills
with credit at that rate and holds the credit of one second. A job that finds credit uses it; a job
that finds none is in excess of the share. Excess jobs are placed after the other jobs of their
priority and are no reason to add hosts. Credit that a full bucket cannot hold releases the oldest
excess jobs, which then count like the others. An organisation thus gets its share at every moment,
whenever it submitted the work, and none of its work starves.

After a takeover the new controller recounts the waiting jobs in the order of their store revisions.
For an organisation with excess jobs, the former controller has recorded their number and the
remaining credit (`SharesRecord`): a recount would give the waiting jobs the credit that was used by
jobs which have ended since. For the other organisations, the credit is wrong by at most one bucket;
since fewer jobs never find less credit, no organisation is charged twice for a job.
"""

from __future__ import annotations

from collections import Counter
from itertools import accumulate
from statistics import median
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.model import FleetConfiguration
    from foxtrestle.scheduling.state import Fleet

BURST_S: Final = 1.0
"""Seconds of its share that an organisation may submit at once. Jobs arrive one by one, and a
second's worth of them that arrives together is still within the share of that second."""
MAX_HOLD_S: Final = 1.0
"""Seconds for which an excess job is held back while not all hosts are full. The platform considers
a job stuck if it waits for 3 s beside free capacity, and a host takes 2 s to arrive. In a
partitioned fleet, a small organisation's part of a share is smaller than its ordinary bursts."""
EXCESS_FILL_LIMIT: Final = 0.65
"""Fraction of a pool's capacity up to which excess jobs start, except for long-running tasks. The
rest is the headroom for arriving jobs (`pool_needs.HEADROOM_SHARE`): running tasks are not
preempted, so if excess jobs filled a pool, every later job would wait for one of them to end even
if it would otherwise have found capacity. The limit is more than half, because the platform
considers a job stuck if it waits in a pool of which less than half is used."""
MEDIAN_NEIGHBOURS: Final = 2
"""Number of jobs before and after a job that enter the median of its arrival time, so that one node
with a wrong clock does not shift the jobs that other nodes accepted."""


def spread_arrivals(ages: Sequence[float], since: float, now: float) -> list[float]:
    """Return the arrival times, in ascending order, of jobs that were received together.

    Jobs that were submitted over several seconds and received in one batch did not arrive at once.
    Their ages depend on wall clocks, which may jump, and are therefore only used to spread the jobs
    over the time since the previous batch.

    Args:
        ages: Seconds since the acceptance of each job, in the order of their store revisions.
        since: Monotonic time up to which earlier arrivals were received, seconds.
        now: Monotonic time, seconds.
    """
    times = [min(now, max(since, now - age)) for age in ages]
    medians = [
        median(times[max(0, number - MEDIAN_NEIGHBOURS) : number + MEDIAN_NEIGHBOURS + 1])
        for number in range(len(times))
    ]
    return list(accumulate(medians, max))


class ShareBalance(msgspec.Struct, frozen=True):
    """Credit and excess jobs of an organisation that has excess jobs."""

    credit: float
    """Credit that was left, jobs."""
    excess: int
    """Number of excess jobs that had not ended; these are the newest jobs, as the oldest are
    released first."""


class SharesRecord(msgspec.Struct, frozen=True):
    """Record that a controller leaves for its successor."""

    standings: dict[str, ShareBalance] = {}
    """Credit and excess jobs of each organisation that has excess jobs, by name."""
    counted: int = 0
    """Revision of the newest job that was counted."""


class ShareLimiter:
    """Marks the jobs that exceed their organisation's share as they arrive.

    Jobs of one priority are ordered by age. Without the marks, an organisation that sends ten times
    its share would delay the jobs of organisations that stay within theirs.
    """

    __slots__ = ("_credit", "_filled_at", "_spare")

    def __init__(self) -> None:
        """Create a limiter with full buckets."""
        self._credit: dict[str, float] = {}
        self._filled_at: dict[str, float] = {}
        self._spare: dict[str, float] = {}
        """Credit beyond what a full bucket holds, jobs, for each organisation with waiting excess
        jobs. The spare credit is kept separately because `_credit` is limited to a full bucket
        whenever a job arrives."""

    def charge_job(self, configuration: FleetConfiguration | None, owner: str, at: float) -> bool:
        """Charge an arriving job to its organisation's credit.

        Args:
            configuration: The shares; None if there is no configuration yet.
            owner: Organisation that submitted it; empty for none.
            at: Monotonic time at which it arrived, seconds.

        Returns:
            Whether the job is in excess of the share.
        """
        weight = _find_weight(configuration, owner)
        if not weight:
            return False
        credit = self._fill(owner, weight, at)
        is_within_share = credit >= 1.0
        self._credit[owner] = credit - 1.0 if is_within_share else credit
        return not is_within_share

    def restore(
        self,
        configuration: FleetConfiguration | None,
        record: SharesRecord,
        entries: Sequence[JobEntry],
        times: Sequence[float],
    ) -> None:
        """Mark the excess jobs among those that a new controller loads.

        Args:
            configuration: The shares; None if there is no configuration yet.
            record: Record of the former controller.
            entries: The jobs, in the order of their store revisions.
            times: Monotonic time at which each arrived, seconds.
        """
        excess_left = {owner: balance.excess for owner, balance in record.standings.items()}
        self._credit.update({owner: balance.credit for owner, balance in record.standings.items()})
        for entry in reversed(entries):
            owner = entry.job.owner
            if entry.revision <= record.counted and excess_left.get(owner, 0):
                excess_left[owner] -= 1
                entry.excess = bool(_find_weight(configuration, owner))
        for entry, at in zip(entries, times, strict=True):
            if entry.revision > record.counted or entry.job.owner not in record.standings:
                entry.excess = self.charge_job(configuration, entry.job.owner, at)

    def build_record(self, entries: Iterable[JobEntry]) -> SharesRecord:
        """Return the record for the next controller; empty if there are no excess jobs.

        Args:
            entries: Jobs that have not ended.
        """
        excess: Counter[str] = Counter()
        counted = 0
        for entry in entries:
            counted = max(counted, entry.revision)
            if entry.excess:
                excess[entry.job.owner] += 1
        if not excess:
            return SharesRecord()
        standings = {
            owner: ShareBalance(round(self._credit.get(owner, 0.0), 1), count)
            for owner, count in sorted(excess.items())
        }
        return SharesRecord(standings, counted)

    def release_excess(
        self,
        configuration: FleetConfiguration | None,
        entries: Iterable[JobEntry],
        now: float,
        *,
        full: bool = True,
    ) -> list[JobEntry]:
        """Clear the excess mark of the jobs that may run like the others.

        The oldest excess jobs are released, as far as credit is left over that a full bucket cannot
        hold: the jobs of the next second still find a full bucket. While hosts are free, jobs that
        have waited for `MAX_HOLD_S` are released as well.

        Args:
            configuration: The shares; None if there is no configuration yet.
            entries: Jobs that wait.
            now: Monotonic time, seconds.
            full: Whether all hosts are full.

        Returns:
            Jobs that are no longer excess jobs.
        """
        released: list[JobEntry] = []
        spare: dict[str, float] = {}
        waiting = sorted(
            (entry for entry in entries if entry.excess), key=lambda entry: entry.revision
        )
        for entry in waiting:
            owner = entry.job.owner
            weight = _find_weight(configuration, owner)
            if weight and (full or _measure_wait(entry, now) < MAX_HOLD_S):
                if owner not in spare:
                    self._credit[owner] = self._fill(owner, weight, now)
                    spare[owner] = self._spare.get(owner, 0.0)
                if spare[owner] < 1.0:
                    continue
                spare[owner] -= 1.0
            entry.excess = False
            released.append(entry)
        self._spare = spare
        return released

    def _fill(self, owner: str, weight: float, at: float) -> float:
        """Refill a bucket and return its credit; overflow goes to the spare credit, if tracked."""
        filled_at = self._filled_at.get(owner, at)
        self._filled_at[owner] = max(at, filled_at)
        bucket = _compute_bucket_size(weight)
        filled = self._credit.get(owner, bucket) + weight * max(0.0, at - filled_at)
        if owner in self._spare:
            self._spare[owner] += max(0.0, filled - bucket)
        return min(bucket, filled)


def _measure_wait(entry: JobEntry, now: float) -> float:
    """Return the seconds for which a job's tasks have waited."""
    return now - min((task.waiting_since for task in entry.ready.values()), default=now)


def _find_weight(configuration: FleetConfiguration | None, owner: str) -> float:
    """Return an organisation's share, jobs per second; 0 if it has none."""
    organisation = configuration.organisations.get(owner) if configuration is not None else None
    return organisation.weight if organisation is not None else 0.0


def _compute_bucket_size(weight: float) -> float:
    return max(1.0, weight * BURST_S)


def justifies_scale_up(fleet: Fleet, entry: JobEntry, *, constrained: bool = False) -> bool:
    """Return whether a job's waiting tasks are a reason to add hosts to its pool.

    Tasks of an organisation at its limit are not, as the hosts would stay idle. To leave hosts for
    other jobs, neither are the tasks of an excess job, of a job over its organisation's fair share
    of all hosts and, while all hosts are full, of a late job. Such jobs run on hosts that are free
    anyway. The long-running tasks of an excess job are a reason nevertheless, because every second
    without them counts.

    Args:
        fleet: The state.
        entry: The job.
        constrained: Whether the question is about hosts that hold a gang, a label or a large task.
            Such a task never starts without them, however many other hosts are free, so lateness is
            ignored.
    """
    if entry.job.owner in fleet.organisations_at_limit or entry.job.id in fleet.jobs_over_share:
        return False
    if fleet.saturated and entry.late and not constrained:
        return False
    return not entry.excess or any(step.lasting for step in entry.job.spec.steps)
