"""Invariants that are checked at run time; a violation stops the action and is counted."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final, Literal, get_args

if TYPE_CHECKING:
    from foxtrestle.events import Timeline

Invariant = Literal[
    "budget-holds",
    "one-pool-a-host",
    "whole-own-answer",
    "refusal-is-true",
    "at-most-once",
    "leaving-gets-nothing",
    "stop-cuts-nothing",
    "configuration-never-reverts",
]
"""Invariants, by the name of their check."""
INVARIANTS: Final[tuple[Invariant, ...]] = get_args(Invariant)


class InvariantChecks:
    """Violations of invariants that this daemon has detected."""

    def __init__(self, timeline: Timeline) -> None:
        """Create checks without violations."""
        self.violations: Counter[str] = Counter(dict.fromkeys(INVARIANTS, 0))
        """Violations by invariant; each invariant has a count, 0 until it is violated."""
        self._timeline = timeline

    def report_violation(self, invariant: Invariant, subject: str, detail: str) -> None:
        """Count and log a violation; the caller must not continue with the action."""
        self.violations[invariant] += 1
        self._timeline.add(f"violation.{invariant}", subject, detail)

    def count_violations(self) -> int:
        """Return the number of violations of all invariants."""
        return sum(self.violations.values())
