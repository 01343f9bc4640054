"""Client of the policy service, which decides which workers may run a step."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from foxtrestle.platform._numbers import Quantity  # noqa: TC001 - msgspec reads annotations
from foxtrestle.platform.http import CallError, call, decode

if TYPE_CHECKING:
    from foxtrestle.platform.connections import Connections
    from foxtrestle.scheduling.model import TaskKey

MAX_WORKERS: Final = 100
"""Maximum number of workers in one call; set by the platform."""
TIMEOUT_S: Final = 3.0
"""Time-out of a call, seconds: the service handles a node's calls one at a time, and its answer
takes longer the more workers a call names."""


class _Answer(msgspec.Struct):
    good: list[tuple[str, str]] = []
    valid_ms: Quantity = 0


class PolicyDecision(msgspec.Struct, frozen=True):
    """Decision of the policy service about one step."""

    tickets: dict[str, str]
    """Ticket by worker id; a worker without a ticket may not run the step."""
    valid_s: float
    """Seconds for which the tickets are valid."""


class PolicyClient:
    """Client of the policy service."""

    def __init__(self, address: str, connections: Connections) -> None:
        """Create a client.

        Args:
            address: `ip:port` of the policy service.
            connections: Connections of this process.
        """
        self._url = f"http://{address}/-/advise"
        self._connections = connections

    async def request_decision(self, key: TaskKey, workers: list[str]) -> PolicyDecision:
        """Request the decision about which workers may run the step of a task.

        Args:
            key: A task of the step.
            workers: Ids of the workers, at most `MAX_WORKERS`.
        """
        body = {
            "step": f"{key.job}.{key.repetition}.{key.step}",
            "workers": workers,
        }
        reply = await call(
            self._connections,
            "POST",
            self._url,
            step="advice.ask",
            timeout_s=TIMEOUT_S,
            body=msgspec.json.encode(body),
        )
        if reply.status != 200:
            raise CallError(f"status {reply.status}", step="advice.ask", peer=self._url)
        answer = decode(reply.body, _Answer, step="advice.ask", peer=self._url)
        return PolicyDecision(dict(answer.good), answer.valid_ms / 1000)
