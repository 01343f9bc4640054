"""Share of the store's rate limits used by this node, which must not delay operators' calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Mapping

WINDOW_S: Final = 1.0
"""Minimum seconds over which calls are counted."""


class StoreRateUsage:
    """This node's calls per second, relative to the store's rate limits for all nodes together."""

    def __init__(self, calls: Mapping[str, int], reads_per_s: float, writes_per_s: float) -> None:
        """Start counting now.

        Args:
            calls: Live counters of the store client, by kind of call.
            reads_per_s: Rate limit of reads over all nodes together, per second.
            writes_per_s: Rate limit of writes over all nodes together, per second.
        """
        self._calls = calls
        self._rate_limits = {"reads": reads_per_s, "writes": writes_per_s}
        self._window_start = read_clock()
        self._window_calls = self._count()
        self._usage = dict.fromkeys(self._rate_limits, 0.0)

    def read(self) -> dict[str, float]:
        """Return the usage in the current window, or the last values if the window is too short."""
        now = read_clock()
        elapsed_s = now - self._window_start
        if elapsed_s >= WINDOW_S:
            current_calls = self._count()
            self._usage = {
                kind: (current_calls[kind] - self._window_calls[kind]) / elapsed_s / rate
                if rate
                else 0.0
                for kind, rate in self._rate_limits.items()
            }
            self._window_start, self._window_calls = now, current_calls
        return self._usage

    def _count(self) -> dict[str, int]:
        writes = self._calls.get("write", 0)
        return {"reads": sum(self._calls.values()) - writes, "writes": writes}
