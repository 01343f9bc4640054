"""Prefetch of the policy service's tickets, which permit workers to run steps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.control.log import Outage, log
from foxtrestle.platform.http import CallError
from foxtrestle.platform.policy import MAX_WORKERS
from foxtrestle.scheduling.policy_steps import choose_question

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.platform.policy import PolicyClient, PolicyDecision
    from foxtrestle.scheduling.policy_steps import PolicyQuestion
    from foxtrestle.scheduling.reservations import StepKey
    from foxtrestle.scheduling.state import Fleet

RENEW_MARGIN_S: Final = 0.5
"""Seconds before its expiry from which a ticket is no longer used: a start takes a few
milliseconds, and is retried for at most this long."""
RETRY_S: Final = 0.2
"""Seconds before a failed call is repeated."""
IDLE_S: Final = 0.05
"""Seconds between two checks for steps that need tickets."""


class PolicyPrefetcher:
    """Fetches the tickets of steps whose queue has a policy, with one call at a time."""

    def __init__(self, fleet: Fleet, client: PolicyClient, wake: Callable[[], None]) -> None:
        """Create a prefetcher that has made no call."""
        self._fleet = fleet
        self._client = client
        self._wake = wake
        # Monotonic time at which each step was last asked about, seconds.
        self._asked_at: dict[StepKey, float] = {}

    async def run(self) -> None:
        """Fetch missing tickets until cancelled."""
        outage = Outage("advice", "advisor")
        while True:
            requested_at = read_clock()
            question = choose_question(self._fleet, self._asked_at, MAX_WORKERS, requested_at)
            if question is None:
                await asyncio.sleep(IDLE_S)
                continue
            self._note_asked(question, requested_at)
            try:
                decision = await self._client.request_decision(question.key, question.workers)
            except CallError as error:
                outage.note_failure(error)
                await asyncio.sleep(RETRY_S)
                continue
            outage.note_success()
            # The tickets may have been issued as early as the call was sent.
            expires_at = requested_at + decision.valid_s - RENEW_MARGIN_S
            self._store_tickets(question, decision, expires_at)
            self._wake()

    def _note_asked(self, question: PolicyQuestion, now: float) -> None:
        self._asked_at = {
            step: at for step, at in self._asked_at.items() if step[0] in self._fleet.active
        }
        self._asked_at[question.key[:3]] = now

    def _store_tickets(
        self, question: PolicyQuestion, decision: PolicyDecision, expires_at: float
    ) -> None:
        key = question.key
        tickets = self._fleet.tickets.setdefault(key[:3], {})
        tickets.update(
            {worker: (decision.tickets.get(worker, ""), expires_at) for worker in question.workers}
        )
        log("advice.taken", job=key.job, step=key.step, asked=len(question.workers),
            allowed=len(decision.tickets), valid_s=decision.valid_s)  # fmt: skip
