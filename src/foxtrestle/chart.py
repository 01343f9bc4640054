"""State machines (state charts) that are defined in TOML files."""

from __future__ import annotations

import tomllib
from functools import cache
from importlib import resources

import msgspec

from foxtrestle.errors import FoxtrestleError


class ChartError(FoxtrestleError):
    """An event is not allowed in the current state, or a chart is incomplete."""


class Chart(msgspec.Struct, frozen=True):
    """A state machine: its states and their transitions."""

    name: str
    """Name of the chart and of its file."""
    start: str
    """Initial state."""
    states: dict[str, dict[str, str]]
    """Transitions: by state, the allowed events with their target states."""

    def apply_event(self, state: str, event: str) -> str:
        """Return the target state of an event.

        Raises:
            ChartError: The state does not allow the event.
        """
        target = self.states[state].get(event)
        if target is None:
            raise ChartError(f"no event {event!r} in state {state!r}", step=f"chart.{self.name}")
        return target

    def allows(self, state: str, event: str) -> bool:
        """Return whether a state allows an event."""
        return event in self.states[state]


def check_chart(chart: Chart) -> list[str]:
    """Check that a chart is complete: every target state is defined and every state is reachable.

    Returns:
        A description of each fault.
    """
    faults: list[str] = []
    reachable = {chart.start}
    frontier = [chart.start]
    while frontier:
        for target in chart.states.get(frontier.pop(), {}).values():
            if target not in reachable:
                reachable.add(target)
                frontier.append(target)
    faults.extend(f"{state} is not defined" for state in reachable - chart.states.keys())
    faults.extend(f"{state} is not reachable" for state in chart.states.keys() - reachable)
    return sorted(faults)


@cache
def load_chart(name: str) -> Chart:
    """Load one of the package's charts by its name.

    Raises:
        ChartError: The chart is incomplete.
    """
    text = resources.files("foxtrestle").joinpath(f"charts/{name}.toml").read_text("utf-8")
    table = tomllib.loads(text)
    chart = Chart(name, table["start"], table["states"])
    faults = check_chart(chart)
    if faults:
        raise ChartError("; ".join(faults), step=f"chart.{name}")
    return chart
