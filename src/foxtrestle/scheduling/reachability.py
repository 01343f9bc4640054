"""Availability zones that a controller cannot reach, and which node should take control instead.

Two zones may be unable to reach each other while a third zone reaches both, and all three reach the
store. A controller in one of the two would release healthy workers of the other. The workers'
health shows in their store entries, which are still updated; a zone without power updates none.
After a hand-over, each candidate, a node that may become the controller, probes workers of every
zone, and delays its attempt for each zone that it does not reach.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.scheduling.eligibility import RENEWAL_WAIT_S

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from foxtrestle.scheduling.workers import Worker

UNRESPONSIVE_AFTER_S: Final = RENEWAL_WAIT_S + 0.6
"""Seconds without an answer after which a worker counts as unresponsive although no call to it has
failed: one lease renewal and its time-out."""
ENTRY_LAG_S: Final = 0.4
"""Maximum seconds from the update of an entry until the controller receives it: a slow store takes
0.3 s. An update received more than this after a zone's last answer was written after that
answer."""
MIN_UNRESPONSIVE: Final = 3
"""Minimum number of unresponsive workers from which a zone may count as unreachable: two may have
been lost together."""
MIN_UNRESPONSIVE_SHARE: Final = 0.8
"""Fraction of a zone's workers that must be unresponsive, so that one rack or pool does not
suffice."""
MIN_FRESH_SHARE: Final = 0.5
"""Fraction of the unresponsive workers that must have updated their entries since the zone's last
answer. All of them do so within a heartbeat, but waiting for all of them would take another second,
as long as the hand-over itself."""
MIN_UNREACHABLE_S: Final = 0.3
"""Seconds for which a zone must be unreachable before control is handed over: after a suspension of
one second, a controller finds its calls timed out, and their retries are answered after 0.2 s."""
HAND_OVER_PAUSE_S: Final = 4.0
"""Seconds after a hand-over in which the new controller makes no further one: by then, its lease
renewals have shown which workers it reaches."""
KNOWN_UNREACHABLE_S: Final = 15.0
"""Seconds for which a controller keeps control although a zone was unreachable at its takeover: no
candidate reached more zones then, and each hand-over interrupts control for 1 to 2 s."""
PROBES_PER_ZONE: Final = 3
"""Workers of each zone that a candidate probes: any of them may have stopped or moved since its
last answer."""
UNREACHABLE_DELAY_S: Final = 1.2
"""Delay of a candidate for each zone that it does not reach, seconds: longer than the largest delay
for too little CPU and bandwidth, since the leases in an unreachable zone expire."""
RELEASED_DELAY_S: Final = 0.3
"""Delay of the node that handed control over, seconds, so that others that reach as many zones go
first."""
SAME_ZONE_DELAY_S: Final = 0.2
"""Delay of nodes in the zone of an unresponsive controller, seconds, since the whole zone may be
failing. Shorter than the delay of a node with too little CPU or bandwidth to be the controller."""


class ZoneReachability(msgspec.Struct, frozen=True):
    """Reachability of a zone's workers: by their answers and by their entries in the store."""

    zone: str
    """Name of the zone."""
    expected: int
    """Workers that should answer."""
    unresponsive: int
    """Workers that should answer but do not."""
    fresh_entries: int
    """Unresponsive workers that have updated their entries since the zone's last answer."""
    answer_age_s: float
    """Age of the last answer of an unresponsive worker, seconds; infinite if there was none."""
    entry_age_s: float
    """Age of the newest entry of an unresponsive worker, seconds; infinite if there was none."""

    def is_unreachable(self) -> bool:
        """Return whether the zone's workers run and reach the store, but not this controller."""
        return (
            self.unresponsive >= MIN_UNRESPONSIVE
            and self.unresponsive >= MIN_UNRESPONSIVE_SHARE * self.expected
            and self.fresh_entries >= MIN_FRESH_SHARE * self.unresponsive
        )


class Takeover(msgspec.Struct, frozen=True):
    """State of a controller at its takeover."""

    at: float
    """Monotonic time of the takeover, seconds."""
    handed_over: bool = False
    """Whether the former controller handed control over."""
    unreachable_zones: frozenset[str] = frozenset()
    """Zones that were known to be unreachable."""


def _should_answer(worker: Worker) -> bool:
    """Return whether a worker has answered or refused a call before, or left one unanswered."""
    return not worker.entry_gone and (worker.last_reached_at > 0 or worker.contact_loss is not None)


def _is_unresponsive(worker: Worker, now: float) -> bool:
    """Return whether a worker does not answer.

    A worker is unresponsive after a call without an answer, or if there was no answer for
    `UNRESPONSIVE_AFTER_S`. A refusal is an answer, and a worker whose connection broke has ended or
    answers the next call.
    """
    contact_loss = worker.contact_loss
    if (
        contact_loss is not None
        and not contact_loss.connection_lost
        and contact_loss.since > worker.last_reached_at
    ):
        return True
    return now - max(worker.last_reached_at, worker.first_seen) > UNRESPONSIVE_AFTER_S


def measure_reachability(workers: Iterable[Worker], now: float) -> list[ZoneReachability]:
    """Measure the reachability of each zone, sorted by name.

    Args:
        workers: All known workers.
        now: Monotonic time, seconds.
    """
    zones: dict[str, list[Worker]] = {}
    for worker in workers:
        if worker.info.zone and _should_answer(worker):
            zones.setdefault(worker.info.zone, []).append(worker)
    return [_measure_zone(zone, zones[zone], now) for zone in sorted(zones)]


def _measure_zone(zone: str, workers: list[Worker], now: float) -> ZoneReachability:
    unresponsive = [worker for worker in workers if _is_unresponsive(worker, now)]
    last_answered_at = max((worker.last_reached_at for worker in unresponsive), default=-1e9)
    # An entry written before the zone's last answer may be from before a power failure.
    fresh_entries = [
        worker
        for worker in unresponsive
        if worker.entry_updated_at > max(last_answered_at, worker.first_seen) + ENTRY_LAG_S
    ]
    last_entry_at = max((worker.entry_updated_at for worker in unresponsive), default=-1e9)
    return ZoneReachability(
        zone,
        len(workers),
        len(unresponsive),
        len(fresh_entries),
        _age(last_answered_at, now),
        _age(last_entry_at, now),
    )


def _age(at: float, now: float) -> float:
    return now - at if at > 0 else float("inf")


def choose_hand_over_zones(
    unreachable: Collection[str], takeover: Takeover, now: float
) -> frozenset[str]:
    """Choose the zones for which control is handed over; none if control is kept.

    Args:
        unreachable: Zones that are unreachable from this controller.
        takeover: State of the controller at its takeover.
        now: Monotonic time, seconds.
    """
    takeover_age_s = now - takeover.at
    if takeover.handed_over and takeover_age_s < HAND_OVER_PAUSE_S:
        return frozenset()
    known_zones = (
        takeover.unreachable_zones if takeover_age_s < KNOWN_UNREACHABLE_S else frozenset()
    )
    return frozenset(unreachable) - known_zones


def choose_probe_targets(workers: Iterable[Worker]) -> dict[str, tuple[str, ...]]:
    """Choose the workers that a candidate probes to find out which zones it reaches.

    These are the workers with the newest answers or entries; workers that are about to leave come
    last.

    Returns:
        Addresses of the workers by zone.
    """
    zones: dict[str, list[Worker]] = {}
    for worker in workers:
        if worker.info.zone and worker.info.address and not worker.entry_gone:
            zones.setdefault(worker.info.zone, []).append(worker)
    return {
        zone: tuple(
            worker.info.address
            for worker in sorted(zone_workers, key=_rank_probe_target)[:PROBES_PER_ZONE]
        )
        for zone, zone_workers in sorted(zones.items())
    }


def _rank_probe_target(worker: Worker) -> tuple[bool, float, str]:
    leaving = worker.cordoned or worker.info.draining
    return leaving, -max(worker.last_reached_at, worker.entry_updated_at), worker.info.id


def find_unreachable_zones(
    probes: Mapping[str, Collection[str]], reached: Collection[str]
) -> frozenset[str]:
    """Return the zones of which no probed worker has answered.

    Args:
        probes: Probed addresses by zone.
        reached: Addresses that answered.
    """
    return frozenset(
        zone
        for zone, addresses in probes.items()
        if addresses and not set(addresses) & set(reached)
    )


def compute_candidate_delay(unreachable: int, *, released_control: bool) -> float:
    """Return the delay of a candidate after a hand-over, seconds: shorter if it reaches more zones.

    Args:
        unreachable: Number of zones that the candidate does not reach.
        released_control: Whether the candidate handed control over itself.
    """
    return unreachable * UNREACHABLE_DELAY_S + released_control * RELEASED_DELAY_S
