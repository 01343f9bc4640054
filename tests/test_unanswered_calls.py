"""Unanswered calls, which may be executed late, are fenced off by every later call.

Guards against running a task again after its end was acknowledged: a start that was not answered
arrives late at the worker's next incarnation, which accepts it until it has seen a higher fencing
token. Calls that are in flight at the same time carry the same token. If one of them is not
answered, a later call with a higher token may cause the others to be refused; this must not end the
term.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

from foxtrestle.clock import read_clock
from foxtrestle.control.fencing import FencingTokens
from foxtrestle.control.leader_election import RESERVED_TOKENS, Term
from foxtrestle.control.link import WorkerLink
from foxtrestle.control.orders import ATTEMPTS, Orders
from foxtrestle.platform.http import CallError, MalformedMessage, NoResponse, ResponseTimeout
from foxtrestle.platform.workers import OrderRefused
from foxtrestle.scheduling.model import Shape, WorkerInfo, WorkerReport
from foxtrestle.scheduling.pacing import PaceOrder
from foxtrestle.scheduling.runs import place_run
from foxtrestle.standins.worker import OrderRejected, SimulatedWorker
from foxtrestle.store import Record
from tests.scheduling_fakes import HOST_CAPACITY, add_job_entry, make_fleet, make_job

if TYPE_CHECKING:
    from foxtrestle.scheduling.jobs import Run, Task

TERM = 3


def fail(kind: type[CallError]) -> CallError:
    return kind("no answer", step="call", peer="w")


def refuse(reason: str) -> OrderRefused:
    return OrderRefused(reason, 0, step="call", peer="w")


class Calls:
    """A worker with scripted first answers; all later calls succeed."""

    def __init__(self, *answers: Exception | None) -> None:
        self.answers = list(answers)
        self.tokens: list[int] = []
        self.before_answer: Any = None
        self.checkpoints: list[str] = []
        self.expiries: list[int] = []

    async def start(self, info: Any, order: Any, expires_ms: int, timeout_s: float) -> int:
        self.checkpoints.append(order.checkpoint)
        self.expiries.append(expires_ms)
        return self._answer(order.token)

    async def stop(self, info: Any, key: Any, run: int, token: int, timeout_s: float) -> int:
        return self._answer(token)

    async def pace(self, info: Any, key: Any, run: int, share: int, token: int, _: float) -> int:
        return self._answer(token)

    async def renew_lease(self, info: Any, token: int, acknowledged: int, **_: Any) -> WorkerReport:
        return WorkerReport(self._answer(token), (), (), 0)

    def _answer(self, token: int) -> int:
        self.tokens.append(token)
        answer = self.answers.pop(0) if self.answers else None
        if self.before_answer is not None:
            self.before_answer()
        if answer is not None:
            raise answer
        return 0


class Control:
    """The orders of one term and a run that is to be started."""

    def __init__(self, *answers: Exception | None) -> None:
        self.calls = Calls(*answers)
        calls: Any = self.calls
        self.fleet = make_fleet(1)
        [self.worker] = self.fleet.workers.values()
        self.worker.record_answer(read_clock())
        lock = Record("lock", b"", 1)
        self.term = Term(TERM, lock, float("inf"), reserved=TERM + RESERVED_TOKENS)
        store: Any = None
        self.tokens = FencingTokens(store, self.term)
        self.lost: list[Any] = []
        self.orders = Orders(
            self.fleet,
            self.term,
            calls,
            lambda: None,
            lambda *loss: self.lost.append(loss),
            self.tokens,
        )
        entry = add_job_entry(self.fleet, make_job())
        [self.task] = entry.tasks.values()
        self.run = place_run(self.fleet, self.task, self.worker, 1, read_clock())

    async def start(self) -> tuple[Task, Run]:
        await self.orders.start(self.task, self.run, self.worker)
        return self.task, self.run

    async def renew(self) -> None:
        """Renew the lease until all scripted answers are used up."""
        unused: Any = None
        link = WorkerLink(
            self.fleet, self.worker, self.term, self.orders._client, unused, self.orders,
            lambda: None, unused, unused, self.tokens, 0.1, unused,
        )  # fmt: skip
        before_answer = self.calls.before_answer

        def answer() -> None:
            if before_answer is not None:
                before_answer()
            if not self.calls.answers:
                self.term.valid_until = 0.0

        self.calls.before_answer = answer
        await link.run()

    def raise_token(self) -> None:
        """Simulate that another call with the token of the last one is not answered."""
        self.orders.note_unanswered(self.worker, self.calls.tokens[-1], fail(NoResponse))

    def raise_token_once(self) -> None:
        if self.worker.token == 0:
            self.raise_token()


UNANSWERED = [NoResponse, ResponseTimeout, MalformedMessage]


@pytest.mark.parametrize("kind", UNANSWERED)
async def test_a_start_is_retried_with_a_higher_token(kind: type[CallError]) -> None:
    control = Control(fail(kind))
    _, run = await control.start()
    assert control.calls.tokens == [TERM, TERM + 1]
    assert run.state == "running"


@pytest.mark.parametrize("kind", UNANSWERED)
async def test_a_renewal_after_an_unanswered_one_carries_a_higher_token(
    kind: type[CallError],
) -> None:
    control = Control(fail(kind), None)
    await control.renew()
    assert control.calls.tokens == [TERM, TERM + 1]


@pytest.mark.parametrize("kind", UNANSWERED)
async def test_unanswered_stops_and_pace_orders_raise_the_token(kind: type[CallError]) -> None:
    control = Control(None, fail(kind), None, fail(kind))
    await control.start()
    await control.orders.stop_run(control.task, control.run, control.worker)
    pace = PaceOrder(control.task.key, 1, 50)
    await control.orders.pace(pace, control.worker)
    assert control.calls.tokens == [TERM, TERM, TERM + 1, TERM + 1]
    assert control.orders.get_token(control.worker) == TERM + 2


async def test_a_call_that_certainly_did_not_reach_its_worker_keeps_the_token() -> None:
    control = Control(fail(CallError), refuse("503"))
    await control.start()
    assert set(control.calls.tokens) == {TERM}


async def test_a_start_that_is_fenced_off_by_a_later_call_is_retried() -> None:
    control = Control(refuse("fence"))
    control.calls.before_answer = control.raise_token_once
    _, run = await control.start()
    assert control.calls.tokens == [TERM, TERM + 1]
    assert not control.term.lost.is_set()
    assert run.state == "running"


async def test_a_start_fenced_off_by_a_call_to_the_next_incarnation_is_not_sent_to_it() -> None:
    """The next incarnation's capacity may differ; its reports settle the state of the run."""
    control = Control(refuse("fence"))

    def detect_next_incarnation() -> None:
        control.worker.expect_new_incarnation()
        control.worker.runs_known = False
        control.raise_token_once()

    control.calls.before_answer = detect_next_incarnation
    task, run = await control.start()
    assert control.calls.tokens == [TERM]
    assert not control.term.lost.is_set()
    assert (run.state, run.sending, task.runs) == ("recorded", False, {1: run})


async def test_all_copies_of_a_start_carry_the_same_checkpoint() -> None:
    control = Control(fail(NoResponse))
    control.task.checkpoint = "first"
    control.calls.before_answer = lambda: setattr(control.task, "checkpoint", "second")
    await control.start()
    assert control.calls.checkpoints == ["first", "first"]


async def test_the_task_of_a_start_that_is_always_fenced_off_is_requeued() -> None:
    control = Control(*[refuse("fence")] * ATTEMPTS)
    control.calls.before_answer = control.raise_token
    task, _ = await control.start()
    assert control.calls.tokens == [TERM, TERM + 1, TERM + 2]
    assert not task.runs
    assert task.key in control.fleet.jobs[task.key.job].ready


async def test_a_start_whose_earlier_copy_may_run_is_stopped_before_it_is_requeued() -> None:
    control = Control(fail(NoResponse), refuse("fence"), refuse("fence"))
    control.calls.before_answer = control.raise_token
    task, run = await control.start()
    assert len(control.calls.tokens) == ATTEMPTS + 1, "the last call is the stop"
    assert task.runs == {1: run}
    assert run.state == "stopping"


async def test_a_stop_that_is_fenced_off_by_a_later_call_is_retried() -> None:
    control = Control(None, refuse("fence"))
    await control.start()
    control.calls.before_answer = control.raise_token_once
    await control.orders.stop_run(control.task, control.run, control.worker)
    assert control.calls.tokens == [TERM, TERM, TERM + 1]
    assert control.run.confirmed_at > 0
    assert not control.term.lost.is_set()


async def test_a_renewal_that_is_fenced_off_by_a_later_call_does_not_end_the_term() -> None:
    control = Control(refuse("fence"), None)
    control.calls.before_answer = control.raise_token_once
    await control.renew()
    assert control.calls.tokens == [TERM, TERM + 1]
    assert not control.term.lost.is_set()


async def test_a_fenced_off_call_with_the_current_token_ends_the_term() -> None:
    for act in ("start", "renew"):
        control = Control(refuse("fence"))
        await getattr(control, act)()
        assert control.term.lost.is_set(), act


async def test_a_late_copy_is_refused_by_the_next_incarnation_once_called() -> None:
    control = Control(fail(NoResponse))
    await control.start()
    late_token, answered_token = control.calls.tokens
    info = WorkerInfo("w", "main", "127.0.0.1:1", "z", False, HOST_CAPACITY, ())
    incarnation = SimulatedWorker(
        info, lambda: 1000.0, lambda key: (Shape(1000, 100), 50.0, "done")
    )
    incarnation.renew_lease(answered_token, 0, None)
    with pytest.raises(OrderRejected, match="fence"):
        incarnation.start(control.task.key, 1, late_token, 9000.0)
