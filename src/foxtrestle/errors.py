"""Base of the package's errors: each carries the step and the peer at which it arose."""

from __future__ import annotations


class FoxtrestleError(Exception):
    """An error that names the step that failed and the peer it failed against."""

    def __init__(self, reason: str, *, step: str, peer: str = "") -> None:
        """Create an error.

        Args:
            reason: What went wrong, one sentence without a full stop.
            step: The step under way, for example `store.swap`.
            peer: Address or name of the other side; empty when there is none.
        """
        super().__init__(reason)
        self.reason = reason
        """What went wrong."""
        self.step = step
        """The step under way when it went wrong."""
        self.peer = peer
        """Address or name of the other side, or empty."""

    def __str__(self) -> str:
        at = f"{self.step} at {self.peer}" if self.peer else self.step
        return f"{at}: {self.reason}"
