"""Load of the pools, as a controller measures it from arriving jobs and where they run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.scheduling.load import PoolLoad
from foxtrestle.scheduling.pool_needs import LEAD_MARGIN_S, compute_mean_host, compute_needs

if TYPE_CHECKING:
    from foxtrestle.scheduling.hosts import HostView
    from foxtrestle.scheduling.jobs import JobEntry
    from foxtrestle.scheduling.pool_needs import PoolNeed
    from foxtrestle.scheduling.state import Fleet

ARRIVALS_BEFORE_S: Final = 1.5
"""Seconds before its start for which a controller has data on arrivals: it reads only jobs that
have not ended, and few jobs end sooner than this."""
NO_LOAD_S: Final = 60.0
"""Seconds without any load data after which a controller assumes that there is no load; limits the
cost of hosts that no pool needs."""


class PoolLoads:
    """Recent load of every pool."""

    def __init__(self, fleet: Fleet, move_s: float) -> None:
        """Create loads without any data.

        Args:
            fleet: The state.
            move_s: Seconds that the platform needs to move a host.
        """
        self._fleet = fleet
        self._lead_s = move_s + LEAD_MARGIN_S
        self._started_at = read_clock()
        self._loads: dict[str, PoolLoad] = {}

    def note_job(self, entry: JobEntry) -> None:
        """Add the size of a new job."""
        load = self._loads.setdefault(
            entry.job.pool, PoolLoad(self._started_at - ARRIVALS_BEFORE_S)
        )
        host = compute_mean_host(self._fleet)
        if host is not None:
            load.note_job(entry, self._fleet.durations, host)

    def compute_needs(self, views: dict[str, HostView], now: float) -> dict[str, PoolNeed]:
        """Return what each serving pool has and needs."""
        return compute_needs(self._fleet, views, self._loads, self._lead_s, now)

    def has_data(self, now: float) -> bool:
        """Return whether there is any load data; until then, hosts stay where operators put them.

        Hosts that were powered off without load data were missing when the first load arrived: one
        in fifteen jobs of the first two seconds was late because of it, and 40 of 160 moves a day
        were soon reversed.
        """
        if now - self._started_at > NO_LOAD_S or self._fleet.durations.build_record():
            return True
        return any(load.widths for load in self._loads.values())
