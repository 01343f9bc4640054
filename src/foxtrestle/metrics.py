"""Counters of all parts of a daemon, shown through `aioprometheus`."""

from __future__ import annotations

import resource
from collections.abc import Callable, Mapping
from typing import Final

from aioprometheus import Gauge, Registry
from aioprometheus.renderer import render

Source = Callable[[], Mapping[str, float]]
"""Returns the present values of one group by name."""
CONTENT_TYPE: Final = "text/plain; version=0.0.4"


class Metrics:
    """Groups of values read when asked for, so that counting costs no more than an addition."""

    def __init__(self) -> None:
        """Create metrics without groups."""
        self._registry = Registry()
        self._sources: dict[str, Source] = {}
        self._gauges: dict[str, Gauge] = {}

    def add(self, group: str, help_text: str, source: Source) -> None:
        """Add a group; its values appear as `foxtrestle_<group>{name="..."}`."""
        self._sources[group] = source
        gauge = Gauge(f"foxtrestle_{group}", help_text, registry=self._registry)
        self._gauges[group] = gauge

    def read(self) -> dict[str, dict[str, float]]:
        """Return the present values by group and name."""
        return {group: dict(source()) for group, source in self._sources.items()}

    def render(self) -> bytes:
        """Render the present values in Prometheus's text form."""
        for group, values in self.read().items():
            for name, value in values.items():
                self._gauges[group].set({"name": name}, float(value))
        body, _ = render(self._registry, [CONTENT_TYPE])
        return bytes(body)


def read_process() -> dict[str, float]:
    """Return processor seconds and peak memory of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_seconds": used.ru_utime + used.ru_stime,
        "peak_memory_mb": used.ru_maxrss / 1024,
    }
