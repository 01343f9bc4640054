"""Drains of availability zones: which runs a controller moves out, and the drains' progress."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.control.log import log
from foxtrestle.scheduling.run_migration import (
    MigrationLimits,
    choose_migrations,
    measure_drain_progress,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.node.operators import OperatorMirror
    from foxtrestle.node.settings import OperatingLimits
    from foxtrestle.scheduling.run_migration import ZoneDrainProgress
    from foxtrestle.scheduling.runs import StopOrder
    from foxtrestle.scheduling.state import Fleet

CHECK_INTERVAL_S: Final = 0.1
"""Minimum seconds between two checks for runs to move out."""
LOG_INTERVAL_S: Final = 1.0
"""Minimum seconds between two log lines about a zone."""


class ZoneDrains:
    """Moves runs out of drained zones, and logs the progress of the drains."""

    def __init__(
        self,
        fleet: Fleet,
        operators: OperatorMirror,
        limits: OperatingLimits,
        stop: Callable[[StopOrder], None],
    ) -> None:
        """Create the part of a controller that empties drained zones.

        Args:
            fleet: The state.
            operators: Mirror of the operators' requests.
            limits: Time limits.
            stop: Sends a stop order.
        """
        self.progress: dict[str, ZoneDrainProgress] = {}
        """Progress of each drained zone, as last logged."""
        self._fleet = fleet
        self._operators = operators
        self._limits = MigrationLimits(
            limits.drain_zone_s or 0.0,
            limits.stop_task_s,
            limits.checkpoint_interval_s,
            limits.restore_s,
        )
        self._stop = stop
        self._checked_at = 0.0
        self._logged_at: dict[str, float] = {}

    def decide(self, now: float) -> None:
        """Order the stops that are due now, and log changed progress."""
        zones = self._fleet.drained_zones
        if now - self._checked_at < CHECK_INTERVAL_S or not (zones or self.progress):
            return
        self._checked_at = now
        ages_s = {zone: self._operators.zones.compute_age(zone, now) for zone in zones}
        for stop in choose_migrations(self._fleet, ages_s, self._limits, now):
            self._move_out(stop)
        self._log_progress(now)

    def _move_out(self, stop: StopOrder) -> None:
        worker = self._fleet.workers[stop.worker]
        log("run.moved-out", job=stop.key.job, step=stop.key.step, index=stop.key.number,
            run=stop.run, worker=stop.worker, zone=worker.info.zone)  # fmt: skip
        task_and_run = self._fleet.find_run(stop.key, stop.run)
        if task_and_run is not None:
            task_and_run[1].begin_stop()
        self._stop(stop)

    def _log_progress(self, now: float) -> None:
        zones = self._fleet.drained_zones
        self._logged_at = {
            zone: logged_at for zone, logged_at in self._logged_at.items() if zone in zones
        }
        self.progress = {
            zone: progress for zone, progress in self.progress.items() if zone in zones
        }
        for zone, current in measure_drain_progress(self._fleet, zones).items():
            previous = self.progress.get(zone)
            if (
                current == previous
                or now - self._logged_at.get(zone, -LOG_INTERVAL_S) < LOG_INTERVAL_S
            ):
                continue
            self._logged_at[zone] = now
            self.progress[zone] = current
            emptied = not current.runs and (previous is None or previous.runs > 0)
            event = "zone.drained" if emptied else "zone.drain-progress"
            log(event, zone=zone, runs=current.runs, lasting=current.lasting, hosts=current.hosts,
                rest_s=current.remaining_s,
                age_s=round(self._operators.zones.compute_age(zone, now), 2))  # fmt: skip
