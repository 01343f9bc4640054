"""Base class of the package's errors, which record the failed step and the peer involved."""

from __future__ import annotations


class FoxtrestleError(Exception):
    """An error with the step that failed and the peer that the step called, if any."""

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        """Create an error.

        Args:
            reason: Description of the error, one sentence without a full stop.
            step: Step that failed, for example `store.swap`.
            peer: Address or name of the peer; empty if there is none.
        """
        super().__init__(reason)
        self.reason = reason
        """Description of the error."""
        self.step = step
        """Step that failed."""
        self.peer = peer
        """Address or name of the peer; empty if there is none."""

    def __str__(self) -> str:
        location = f"{self.step} at {self.peer}" if self.peer else self.step
        return f"{location}: {self.reason}"
