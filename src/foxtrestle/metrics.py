"""Metrics of all parts of a daemon, rendered with `aioprometheus`."""

from __future__ import annotations

import resource
from collections.abc import Callable, Mapping
from typing import Final

from aioprometheus import Gauge, Registry
from aioprometheus.renderer import render

GroupReader = Callable[[], Mapping[str, float]]
"""Function that returns the current values of one group by name."""
CONTENT_TYPE: Final = "text/plain; version=0.0.4"


class Metrics:
    """Groups of metrics; values are read only on request, so that counting costs one addition."""

    def __init__(self) -> None:
        """Create an instance without groups."""
        self._registry = Registry()
        self._readers: dict[str, GroupReader] = {}
        self._gauges: dict[str, Gauge] = {}

    def add(self, group: str, help_text: str, read_group: GroupReader) -> None:
        """Add a group; its values appear as `foxtrestle_<group>{name="..."}`."""
        self._readers[group] = read_group
        gauge = Gauge(f"foxtrestle_{group}", help_text, registry=self._registry)
        self._gauges[group] = gauge

    def read(self) -> dict[str, dict[str, float]]:
        """Return the current values by group and name."""
        return {group: dict(read_group()) for group, read_group in self._readers.items()}

    def render(self) -> bytes:
        """Render the current values in the Prometheus text format."""
        for group, values in self.read().items():
            for name, value in values.items():
                self._gauges[group].set({"name": name}, float(value))
        body, _ = render(self._registry, [CONTENT_TYPE])
        return bytes(body)


def read_process() -> dict[str, float]:
    """Return the CPU seconds and the peak memory (MB) of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_seconds": usage.ru_utime + usage.ru_stime,
        "peak_memory_mb": usage.ru_maxrss / 1024,
    }
