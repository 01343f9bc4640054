"""When load is likely to pass from one pool to another, learned from when it did.

Load that goes by turns gives one pool most of it for a while, then another. Where the times between
such rises are alike, the next one can be expected, and hosts can be there before it.
"""

from __future__ import annotations

from itertools import pairwise
from typing import Final

import msgspec

HIGH_SHARE: Final = 0.5
"""Share of the highest level of any pool from which a pool counts as high."""
LOW_SHARE: Final = 0.25
"""Share below which it counts as low again."""
CONFIRM_S: Final = 0.7
"""Seconds for which a pool must be high before it counts as risen, or low before it counts as
fallen: some jobs that come together are no rise."""
ALIKE: Final = 0.25
"""Largest difference between two intervals that count as alike, as a share of the longer one."""
EARLY_S: Final = 0.3
"""Seconds before a rise, beyond what a host needs to come, at which hosts are made ready."""
LATE_S: Final = 1.5
"""Seconds after the expected time for which they are kept ready; a twentieth of the price of a late
rise, and longer than the times of rises are off."""
REMEMBERED: Final = 12
"""Rises that are remembered."""
READY_SHARE: Final = 1.2
"""Share of a pool's level that is made ready for a rise: what comes in its first seconds varies,
and hosts that are ready for 2 s cost less than one late job."""


class Rise(msgspec.Struct, frozen=True):
    """A pool's load went up."""

    pool: str
    """Name of the pool."""
    at: float
    """Monotonic time, seconds."""


class Turns:
    """Rises of pools, and the levels that they rise to."""

    __slots__ = ("_counts", "_lows", "_since", "levels", "pools", "rises")

    def __init__(self) -> None:
        """Create turns of which nothing is known."""
        self.pools: tuple[str, ...] = ()
        """Pools that serve."""
        self.rises: list[Rise] = []
        """Newest rises, oldest first."""
        self.levels: dict[str, float] = {}
        """Mean load of each pool while it was high, hosts."""
        self._counts: dict[str, int] = {}
        self._since: dict[str, float] = {}
        self._lows: dict[str, float] = {}

    def note(self, loads: dict[str, float], now: float) -> None:
        """Take in what arrives at each pool, in hosts that it keeps busy."""
        self.pools = tuple(loads)
        reference = max([*loads.values(), *self.levels.values()], default=0.0)
        if not reference:
            return
        for pool, load in loads.items():
            if load >= HIGH_SHARE * reference:
                self._note_high(pool, load, now)
            elif load < LOW_SHARE * reference and now - self._low_since(pool, now) >= CONFIRM_S:
                self._since.pop(pool, None)

    def _low_since(self, pool: str, now: float) -> float:
        return self._lows.setdefault(pool, now)

    def _note_high(self, pool: str, load: float, now: float) -> None:
        self._lows.pop(pool, None)
        since = self._since.setdefault(pool, now)
        if now - since < CONFIRM_S:
            return
        if not self._has_risen(pool, since):
            self.rises = [*self.rises, Rise(pool, since)][-REMEMBERED:]
        count = self._counts.get(pool, 0) + 1
        held = self.levels.get(pool, 0.0)
        self._counts[pool] = count
        self.levels[pool] = held + (load - held) / count

    def _has_risen(self, pool: str, since: float) -> bool:
        return any(rise.pool == pool and rise.at >= since for rise in self.rises)

    def expect(self, now: float, lead_s: float) -> dict[str, float]:
        """Return the load for which each pool should be ready, hosts.

        Args:
            now: Monotonic time, seconds.
            lead_s: Seconds that a host needs to come.
        """
        expected_at = self.find_next()
        if expected_at is None:
            return {}
        if not self._begin(expected_at, lead_s) <= now <= expected_at + LATE_S:
            return {}
        candidates = self._list_candidates()
        highest = max(self.levels.values(), default=0.0)
        return {
            pool: READY_SHARE * self.levels.get(pool, highest) / len(candidates)
            for pool in candidates
        }

    def _begin(self, expected_at: float, lead_s: float) -> float:
        """Return when hosts are made ready for a rise."""
        return expected_at - lead_s - EARLY_S

    def find_next(self) -> float | None:
        """Return when the next rise is due; None if the last intervals do not tell."""
        times = [rise.at for rise in self.rises]
        intervals = [later - earlier for earlier, later in pairwise(times)]
        if not intervals:
            return None
        last = intervals[-2:]
        if max(last) - min(last) > ALIKE * max(last):
            return None
        return times[-1] + sum(last) / len(last)

    def _list_candidates(self) -> list[str]:
        """List the pools of which one is due: those never high, else the one high longest ago."""
        risen = {rise.pool: rise.at for rise in self.rises}
        never = [pool for pool in self.pools if pool not in risen]
        return never or sorted(risen, key=lambda pool: risen[pool])[:1]
