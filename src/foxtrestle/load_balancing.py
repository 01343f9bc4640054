"""Load balancing over the runners of one service, and the queue of requests while all are busy.

Daemons share the slots of each runner without coordination. A daemon uses its own requests in
flight, the load that its peers reported some hundreds of milliseconds ago, and whether the runner
refused a request because it had no free slot. Of two runners drawn at random, the less loaded one
is chosen ("The power of two choices", Mitzenmacher). A concurrency limit for each runner increases
additively with answers and decreases multiplicatively on refusals, so that the daemons' shares of
the slots follow their demand. A runner is ejected by its number of consecutive failures and never
by its latency, so that a runner that fails fast does not attract requests.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from foxtrestle.errors import FoxtrestleError

FAILURES_TO_EJECT: Final = 3
"""Consecutive failures after which a runner is ejected: it gets no requests for some seconds."""
MIN_EJECTION_S: Final = 1.0
"""Duration of the first ejection, seconds; doubled with each consecutive one."""
MAX_EJECTION_S: Final = 30.0
"""Maximum duration of an ejection, seconds."""
LATENCY_WEIGHT: Final = 0.1
"""Weight of a new sample in the exponential moving average of the latency."""
HUNG_FACTOR: Final = 10.0
"""A runner is avoided if its oldest request in flight is older than this many mean latencies."""
MIN_HUNG_AGE_S: Final = 0.5
"""Minimum age at which a request in flight counts as hanging, seconds."""
LIMIT_INCREASE: Final = 0.05
"""Additive increase of a runner's concurrency limit with each answer."""
LIMIT_DECREASE_FACTOR: Final = 0.85
"""Factor applied to a runner's concurrency limit when it refuses a request for lack of a slot."""
FAIRNESS_PERIOD: Final = 8
"""Number of consecutive dispatches of which one takes the request that has waited longest, whatever
its level, so that requests of the lowest level do not starve."""


class RequestRejected(FoxtrestleError):
    """The load balancer rejected a request before any byte of it was sent."""

    def __init__(self, reason: str, *, retry_after_s: float, peer: str) -> None:
        """Create the error with the delay after which the caller may retry."""
        super().__init__(reason, step="routing.acquire", peer=peer)
        self.retry_after_s = retry_after_s
        """Seconds after which the caller may retry."""


class Runner:
    """This daemon's view of one runner."""

    __slots__ = (
        "address",
        "concurrency_limit",
        "consecutive_ejections",
        "consecutive_failures",
        "ejected_until",
        "host",
        "in_flight",
        "latency_s",
        "peer_in_flight",
        "slots",
        "start_times",
    )

    def __init__(self, host: str, address: str, slots: int) -> None:
        """Create a runner with nothing in flight."""
        self.host = host
        """Host of the runner."""
        self.address = address
        """Address of the runner, `ip:port`."""
        self.slots = slots
        """Number of requests that the runner processes concurrently."""
        self.in_flight = 0
        """Requests that this daemon has in flight at the runner."""
        self.peer_in_flight = 0
        """Requests in flight at the runner that the peers last reported."""
        self.concurrency_limit = float(slots)
        """Adaptive maximum of the requests that this daemon has in flight at the runner."""
        self.latency_s = 0.0
        """Moving average of the runner's latency, seconds; 0 before the first answer."""
        self.consecutive_failures = 0
        """Consecutive failures."""
        self.consecutive_ejections = 0
        """Consecutive ejections."""
        self.ejected_until = 0.0
        """Clock reading until which the runner is ejected."""
        self.start_times: dict[int, float] = {}
        """Clock reading at the start of each request in flight, by request number."""

    def has_capacity(self) -> bool:
        """Return whether another request fits within the limit and the slots that appear free."""
        return (
            self.in_flight < int(self.concurrency_limit)
            and self.in_flight + self.peer_in_flight < self.slots
        )

    def is_hanging(self, now: float) -> bool:
        """Return whether the oldest request in flight is much older than the mean latency."""
        oldest = min(self.start_times.values(), default=now)
        return now - oldest > max(MIN_HUNG_AGE_S, HUNG_FACTOR * self.latency_s)


RunnerChooser = Callable[[Iterable[Runner], float, random.Random, frozenset[str]], Runner | None]
"""Chooses a runner at a clock reading, excluding some hosts; None if no runner has capacity."""


class RequestPermit(msgspec.Struct, frozen=True):
    """Permission to send one request to a runner."""

    runner: Runner
    """The runner."""
    number: int
    """Number of the request."""


class _QueuedRequest:
    __slots__ = ("excluded", "future", "level", "number", "team")

    def __init__(
        self,
        number: int,
        level: int,
        team: str,
        excluded: frozenset[str],
        future: asyncio.Future[RequestPermit],
    ) -> None:
        self.number = number
        self.level = level
        self.team = team
        self.excluded = excluded
        self.future = future


def choose_runner(
    runners: Iterable[Runner], now: float, rng: random.Random, excluded: frozenset[str]
) -> Runner | None:
    """Choose the less loaded of two runners with capacity that are drawn at random.

    Runners that are ejected or hang are used only if every other one is too; a runner whose
    ejection has ended gets one request at a time until it answers.

    Returns:
        The runner, or None if no runner has capacity.
    """
    available = [
        runner for runner in runners if runner.has_capacity() and runner.host not in excluded
    ]
    eligible = [
        runner
        for runner in available
        if now >= runner.ejected_until
        and not (runner.consecutive_ejections and runner.in_flight)
        and not runner.is_hanging(now)
    ]
    if not eligible:
        return None
    if len(eligible) == 1:
        return eligible[0]
    first, second = rng.sample(eligible, 2)
    return first if _estimate_load(first) <= _estimate_load(second) else second


def _estimate_load(runner: Runner) -> float:
    return (runner.in_flight + runner.peer_in_flight + 1) * max(runner.latency_s, 0.0005)


class Balancer:
    """Runners of one service and the queue of requests that wait for them."""

    def __init__(
        self,
        service: str,
        *,
        max_waiting: int = 64,
        seed: int | None = None,
        choose: RunnerChooser | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a load balancer without runners.

        Args:
            service: Name of the service.
            max_waiting: Maximum number of queued requests.
            seed: Seed of the random choices.
            choose: Chooses a runner; `choose_runner` by default.
            clock: Monotonic clock, seconds.
        """
        self.service = service
        """Name of the service."""
        self.runners: dict[str, Runner] = {}
        """Runners that may get new requests, by host."""
        self.counts: Counter[str] = Counter()
        """Counters: `sent`, `refused`, `evicted`, `late`, `ejected`."""
        self._max_waiting = max_waiting
        self._rng = random.Random(seed)
        self._clock = clock
        self._choose = choose or choose_runner
        self._queue: list[_QueuedRequest] = []
        self._last_number = 0
        self._dispatch_count = 0

    def set_runners(self, addresses: dict[str, str], slots: int) -> set[str]:
        """Replace the set of runners that may get new requests.

        Args:
            addresses: `ip:port` of the runner on each host.
            slots: Requests that a runner processes concurrently.

        Returns:
            Hosts whose runners were removed and get no new requests.
        """
        removed = self.runners.keys() - addresses.keys()
        for host in removed:
            del self.runners[host]
        for host, address in addresses.items():
            existing = self.runners.get(host)
            if existing is None or existing.address != address or existing.slots != slots:
                self.runners[host] = Runner(host, address, slots)
        self._dispatch()
        return removed

    def set_peer_loads(self, loads: dict[str, int]) -> None:
        """Set the number of requests that the peers reported in flight on each host."""
        for runner in self.runners.values():
            runner.peer_in_flight = loads.get(runner.host, 0)
        self._dispatch()

    def count_waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def estimate_wait(self) -> float:
        """Estimate the queueing delay of a request that joins the queue now, seconds."""
        runners = [runner for runner in self.runners.values() if runner.latency_s]
        if not runners or not self._queue:
            return 0.0
        rate = sum(max(1.0, runner.concurrency_limit) / runner.latency_s for runner in runners)
        return len(self._queue) / rate

    async def acquire(
        self, level: int, team: str, deadline: float, excluded: frozenset[str] = frozenset()
    ) -> RequestPermit:
        """Acquire permission to send one request, queueing while no runner has capacity.

        Args:
            level: Priority level of the caller's team.
            team: The team.
            deadline: Clock reading after which the caller no longer waits.
            excluded: Hosts that must not be used.

        Raises:
            RequestRejected: There is no runner, the queue is full, or the deadline cannot be met.
        """
        if not self.runners:
            raise self._reject("refused", "no runner is up", 2.0)
        self._last_number += 1
        runner = None
        if not self._queue:
            runner = self._choose(self.runners.values(), self._clock(), self._rng, excluded)
        if runner is not None:
            return self._start_request(runner, self._last_number)
        wait = self.estimate_wait()
        if self._clock() + wait >= deadline:
            raise self._reject("late", "the deadline cannot be met", max(0.1, wait))
        self._make_queue_space(level)
        future: asyncio.Future[RequestPermit] = asyncio.get_running_loop().create_future()
        queued = _QueuedRequest(self._last_number, level, team, excluded, future)
        self._queue.append(queued)
        self._dispatch()
        return await self._wait_for_permit(queued, deadline)

    def release(self, permit: RequestPermit, outcome: str, latency_s: float) -> None:
        """Return a permit and update the runner's statistics by the outcome of the request.

        Args:
            permit: The permit.
            outcome: `answered`, `failed`, `refused` (no free slot) or `cancelled`.
            latency_s: Duration of the request, seconds.
        """
        runner = permit.runner
        runner.in_flight -= 1
        runner.start_times.pop(permit.number, None)
        if outcome == "answered":
            _record_answer(runner, latency_s)
        elif outcome == "refused":
            runner.concurrency_limit = max(1.0, runner.concurrency_limit * LIMIT_DECREASE_FACTOR)
        elif outcome == "failed":
            self._record_failure(runner)
        self._dispatch()

    def list_in_flight(self) -> dict[str, int]:
        """Return the number of requests in flight by host, as reported to the peers."""
        return {host: runner.in_flight for host, runner in self.runners.items() if runner.in_flight}

    async def _wait_for_permit(self, queued: _QueuedRequest, deadline: float) -> RequestPermit:
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock())):
                return await queued.future
        except TimeoutError:
            if queued.future.done() and not queued.future.cancelled():
                self._release_unused(queued)
            raise self._reject("late", "no runner became free before the deadline", 1.0) from None
        except asyncio.CancelledError:
            if queued.future.done() and not queued.future.cancelled():
                self._release_unused(queued)
            raise
        finally:
            if queued in self._queue:
                self._queue.remove(queued)

    def _release_unused(self, queued: _QueuedRequest) -> None:
        if queued.future.exception() is None:
            self.release(queued.future.result(), "cancelled", 0.0)

    def _make_queue_space(self, level: int) -> None:
        """Evict the newest request of the lowest level, below `level`, if the queue is full."""
        if len(self._queue) < self._max_waiting:
            return
        lowest = min(self._queue, key=lambda queued: (queued.level, -queued.number))
        if lowest.level >= level:
            raise self._reject("refused", "too many requests wait", max(0.1, self.estimate_wait()))
        self._queue.remove(lowest)
        error = self._reject("evicted", "a higher level needed the place", 1.0)
        if not lowest.future.done():
            lowest.future.set_exception(error)

    def _reject(self, counter: str, reason: str, retry_after_s: float) -> RequestRejected:
        self.counts[counter] += 1
        return RequestRejected(reason, retry_after_s=round(retry_after_s, 3), peer=self.service)

    def _start_request(self, runner: Runner, number: int) -> RequestPermit:
        runner.in_flight += 1
        runner.start_times[number] = self._clock()
        self.counts["sent"] += 1
        return RequestPermit(runner, number)

    def _dispatch(self) -> None:
        while self._queue:
            queued = self._choose_next()
            runner = self._choose(self.runners.values(), self._clock(), self._rng, queued.excluded)
            if runner is None:
                return
            self._queue.remove(queued)
            self._dispatch_count += 1
            if not queued.future.done():
                queued.future.set_result(self._start_request(runner, queued.number))

    def _choose_next(self) -> _QueuedRequest:
        """Choose the next request: of the highest level, or periodically the longest waiting."""
        if self._dispatch_count % FAIRNESS_PERIOD == FAIRNESS_PERIOD - 1:
            return min(self._queue, key=lambda queued: queued.number)
        return min(self._queue, key=lambda queued: (-queued.level, queued.number))

    def _record_failure(self, runner: Runner) -> None:
        runner.consecutive_failures += 1
        if runner.consecutive_failures < FAILURES_TO_EJECT and not runner.consecutive_ejections:
            return
        now = self._clock()
        ejected = sum(other.ejected_until > now for other in self.runners.values())
        if 2 * (ejected + 1) > len(self.runners):
            return
        duration_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2 ** min(runner.consecutive_ejections, 6))
        runner.consecutive_ejections += 1
        runner.ejected_until = now + duration_s
        self.counts["ejected"] += 1


def _record_answer(runner: Runner, latency_s: float) -> None:
    runner.consecutive_failures = 0
    runner.consecutive_ejections = 0
    runner.concurrency_limit = min(float(runner.slots), runner.concurrency_limit + LIMIT_INCREASE)
    if runner.latency_s:
        runner.latency_s += LATENCY_WEIGHT * (latency_s - runner.latency_s)
    else:
        runner.latency_s = latency_s
