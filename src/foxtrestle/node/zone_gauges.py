"""Metrics of drained zones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.scheduling.run_migration import ZoneDrainProgress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.control.zone_drains import ZoneDrains
    from foxtrestle.node.drained_zones import DrainedZones

MAX_ZONES: Final = 16
"""Maximum number of zones with gauges; a deployment has up to twelve."""


class ZoneGauges:
    """Gauges for the progress of zone drains; zones that are open again show zeros."""

    def __init__(self, zones: DrainedZones) -> None:
        """Create the gauges; a zone gets its gauges when it is first drained."""
        self._zones = zones
        # Zones with gauges, in order; used as an ordered set.
        self._shown: dict[str, None] = {}

    def read(self, zone_drains: Iterable[ZoneDrains]) -> dict[str, float]:
        """Return the gauge values, keyed by zone and name.

        Args:
            zone_drains: Zone drains of each controller on this node.
        """
        drains = list(zone_drains)
        for zone in sorted(self._zones.drains):
            if len(self._shown) < MAX_ZONES:
                self._shown[zone] = None
        values = {"zones": float(len(self._zones.drains))}
        for zone in self._shown:
            progress = [drain.progress.get(zone, ZoneDrainProgress()) for drain in drains]
            values[f"{zone} age_s"] = self._zones.compute_age(zone, read_clock())
            values[f"{zone} runs"] = float(sum(entry.runs for entry in progress))
            values[f"{zone} lasting"] = float(sum(entry.lasting for entry in progress))
            values[f"{zone} hosts"] = float(sum(entry.hosts for entry in progress))
            values[f"{zone} rest_s"] = max((entry.remaining_s for entry in progress), default=0.0)
        return values
