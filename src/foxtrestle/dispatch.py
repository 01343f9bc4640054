"""Dispatch of requests to the runners of their service, with safe retries and counters."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import TYPE_CHECKING, Final

from foxtrestle.load_balancing import Balancer, RequestRejected
from foxtrestle.upstream import RetryBudget, make_error_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.invariant_checks import InvariantChecks
    from foxtrestle.load_balancing import RequestPermit
    from foxtrestle.messages import Answer
    from foxtrestle.upstream import Request, Upstream

MAX_ATTEMPTS: Final = 3
"""Maximum number of attempts for one request."""
MAX_RETRY_DELAY_S: Final = 0.02
"""Maximum delay before a retry, seconds; the delay is drawn uniformly from 0 to this value."""
SAFE_METHODS: Final = frozenset(("GET", "HEAD", "OPTIONS"))
"""Safe methods, whose requests may be retried (RFC 9110, section 9.2.1)."""
FAILED_STATUSES: Final = frozenset((500, 502, 503, 504))
"""Status codes of a runner's answer that count as a failure of the runner."""


class Dispatcher:
    """Load balancers of all services over one upstream client."""

    def __init__(
        self,
        upstream: Upstream,
        checks: InvariantChecks | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a dispatcher without services."""
        self._checks = checks
        self.balancers: dict[str, Balancer] = {}
        """Load balancer of each service."""
        self.counts: Counter[str] = Counter()
        """Counters: `requests` and `retries`."""
        self._budgets: dict[str, RetryBudget] = {}
        self._upstream = upstream
        self._clock = clock
        self._rng = random.Random()

    def get_balancer(self, service: str) -> Balancer:
        """Return the load balancer of a service, creating it if there is none."""
        if service not in self.balancers:
            self.balancers[service] = Balancer(service, clock=self._clock)
            self._budgets[service] = RetryBudget()
        return self.balancers[service]

    async def send(self, request: Request) -> Answer:
        """Send a request to a runner, and retry where that is safe and the retry budget allows it.

        A request that certainly did not run may be sent to another runner; a request that may have
        run is retried only if its method is safe.
        """
        balancer = self.get_balancer(request.service)
        budget = self._budgets[request.service]
        budget.add_request()
        self.counts["requests"] += 1
        excluded: frozenset[str] = frozenset()
        answer = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if attempt > 1:
                self.counts["retries"] += 1
                await asyncio.sleep(self._rng.uniform(0, MAX_RETRY_DELAY_S))
            try:
                permit = await balancer.acquire(
                    request.level, request.team, request.deadline, excluded
                )
            except RequestRejected as error:
                refusal = make_error_answer(
                    503, "not-run", error.reason, retry_after_s=error.retry_after_s
                )
                return answer if answer and answer.outcome != "not-run" else refusal
            answer = await self._send_once(balancer, permit, request)
            if not _may_retry(request, answer) or not budget.take_retry():
                break
            excluded = excluded | {permit.runner.host}
        assert answer is not None
        return answer

    async def _send_once(
        self, balancer: Balancer, permit: RequestPermit, request: Request
    ) -> Answer:
        started = self._clock()
        outcome = "cancelled"
        if balancer.runners.get(permit.runner.host) is not permit.runner:
            return self._reject_removed_runner(balancer, permit, request)
        try:
            answer = await self._upstream.send(permit.runner.address, request)
            outcome = _classify_answer(answer)
            return answer
        finally:
            balancer.release(permit, outcome, self._clock() - started)

    def _reject_removed_runner(
        self, balancer: Balancer, permit: RequestPermit, request: Request
    ) -> Answer:
        """Reject a request whose runner was removed after it had been chosen."""
        balancer.release(permit, "cancelled", 0.0)
        if self._checks is not None:
            self._checks.report_violation(
                "leaving-gets-nothing", permit.runner.host, request.service
            )
        return make_error_answer(503, "not-run", "the runner has left", retry_after_s=0.5)


def _classify_answer(answer: Answer) -> str:
    if answer.outcome == "not-run" and answer.status == 503:
        return "refused"
    if answer.status in FAILED_STATUSES:
        return "failed"
    return "answered"


def _may_retry(request: Request, answer: Answer) -> bool:
    if answer.outcome == "not-run":
        return True
    if request.key or request.method not in SAFE_METHODS:
        return False
    return answer.status in FAILED_STATUSES
