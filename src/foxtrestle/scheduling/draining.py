"""Drained availability zones: marks the workers on which no run may be started.

Every path that leads to a start checks this mark: placement, the check of a decided start, the
check of a recorded start, and each retry of an unanswered start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from foxtrestle.scheduling.state import Fleet
    from foxtrestle.scheduling.workers import Worker


def set_drained_zones(fleet: Fleet, zones: frozenset[str] | None) -> bool:
    """Set the drained zones and mark all workers accordingly.

    Args:
        fleet: The state.
        zones: The drained zones; None if they are not known for certain.

    Returns:
        Whether any run may be started at all.
    """
    had_marks = bool(fleet.drained_zones) or not fleet.drained_zones_known
    fleet.drained_zones_known = zones is not None
    if zones is not None:
        fleet.drained_zones = zones
    if had_marks or fleet.drained_zones or not fleet.drained_zones_known:
        for worker in fleet.workers.values():
            mark_drained(fleet, worker)
    return fleet.drained_zones_known


def update_drained_zones(fleet: Fleet, zones: frozenset[str] | None) -> None:
    """Set the drained zones if they have changed since the last round.

    Args:
        fleet: The state.
        zones: The drained zones; None if they are not known for certain.
    """
    previous_zones = fleet.drained_zones if fleet.drained_zones_known else None
    if zones != previous_zones:
        set_drained_zones(fleet, zones)


def mark_drained(fleet: Fleet, worker: Worker) -> None:
    """Mark one worker according to its zone."""
    worker.drained = is_drained(fleet, find_zone(fleet, worker))


def find_zone(fleet: Fleet, worker: Worker) -> str:
    """Return the zone named by a worker's entry, or else the zone of its host."""
    host = fleet.hosts.get(worker.info.host)
    return worker.info.zone or (host.zone if host is not None else "")


def is_drained(fleet: Fleet, zone: str) -> bool:
    """Return whether a zone is drained or may be.

    Any zone may be drained while the drained zones are unknown, and an unnamed zone while any zone
    is drained.
    """
    if not fleet.drained_zones_known:
        return True
    return zone in fleet.drained_zones if zone else bool(fleet.drained_zones)
