"""Monitors whether this controller reaches all zones, and requests a hand-over if not."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.control.hand_over import HandOver
from foxtrestle.control.log import log
from foxtrestle.scheduling.reachability import (
    MIN_UNREACHABLE_S,
    choose_hand_over_zones,
    choose_probe_targets,
    measure_reachability,
)

if TYPE_CHECKING:
    from foxtrestle.control.leader_election import Term
    from foxtrestle.control.node_metrics import NodeMetrics
    from foxtrestle.node.settings import NodeSettings
    from foxtrestle.scheduling.reachability import ZoneReachability
    from foxtrestle.scheduling.state import Fleet

CHECK_INTERVAL_S: Final = 0.1
"""Seconds between two checks of the zones' reachability."""


class ZoneWatch:
    """Tracks which zones this controller cannot reach although they are alive."""

    def __init__(
        self, fleet: Fleet, term: Term, settings: NodeSettings, metrics: NodeMetrics
    ) -> None:
        """Create a monitor that has found no unreachable zone."""
        self._fleet = fleet
        self._term = term
        self._settings = settings
        self._metrics = metrics
        self._unreachable_since: dict[str, float] = {}

    async def run(self) -> None:
        """Check all zones repeatedly until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(read_clock())

    def check(self, now: float) -> None:
        """Check all zones once, and request a hand-over if it is due."""
        unreachable = [state for state in measure_reachability(self._fleet.workers.values(), now)
                       if state.is_unreachable()]  # fmt: skip
        for state in unreachable:
            if state.zone not in self._unreachable_since:
                self._unreachable_since[state.zone] = now
                self._log_unreachable(state)
        for zone in self._unreachable_since.keys() - {state.zone for state in unreachable}:
            log(
                "zone.reached", zone=zone, apart_s=round(now - self._unreachable_since.pop(zone), 3)
            )
        confirmed = [
            zone
            for zone, since in self._unreachable_since.items()
            if now - since >= MIN_UNREACHABLE_S
        ]
        zones = choose_hand_over_zones(confirmed, self._term.takeover, now)
        if zones and self._term.is_valid():
            self._term.request_hand_over(self._build_hand_over(zones))

    def _log_unreachable(self, state: ZoneReachability) -> None:
        log("zone.apart", zone=state.zone, term=self._term.number, expected=state.expected,
            silent=state.unresponsive, heard=state.fresh_entries,
            answered_s=round(state.answer_age_s, 3),
            heard_s=round(state.entry_age_s, 3),
            known=state.zone in self._term.takeover.unreachable_zones)  # fmt: skip
        self._metrics.note_unreachable_zone(state.zone)

    def _build_hand_over(self, zones: frozenset[str]) -> HandOver:
        settings = self._settings
        targets = choose_probe_targets(self._fleet.workers.values())
        return HandOver(
            settings.name,
            settings.zone,
            self._term.number,
            tuple(sorted(zones)),
            targets,
            self._term.reserved,
        )
