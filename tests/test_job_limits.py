"""Limits of what accepted jobs can make a controller hold.

A job of a billion tasks fits into a request of forty bytes. Its controller created every task at
once and ran out of memory; so did each controller after it, as the accepted job stays in the store.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from foxtrestle.control.keys import build_keys
from foxtrestle.platform.http import MalformedMessage
from foxtrestle.platform.jobs import InvalidJob, decode_job
from foxtrestle.scheduling.backlog import compute_job_bytes, is_backlog_full
from foxtrestle.scheduling.job_limits import MAX_STEPS, MAX_TASKS
from foxtrestle.scheduling.model import Shape, Step
from foxtrestle.standins.site import Site
from tests.scheduling_fakes import make_job
from tests.test_node import make_job_id, run_nodes, shorten_intervals, wait_for

__all__ = ["shorten_intervals"]


def encode(*steps: dict[str, Any], **fields: Any) -> bytes:
    return msgspec.json.encode({"steps": list(steps), **fields})


@pytest.mark.parametrize(
    "body",
    [
        encode({"count": MAX_TASKS}),
        encode({"count": MAX_TASKS // 100}, repeatCount=100),
        encode(*[{"count": 1}] * MAX_STEPS),
        encode({"count": 24, "cpu": 2000, "memMb": 1024, "estimatedMs": 7000}, spec="x" * 4000),
    ],
)
def test_jobs_of_the_limits_are_taken(body: bytes) -> None:
    assert decode_job(body).steps


@pytest.mark.parametrize(
    ("body", "place"),
    [
        (encode({"count": 1_000_000_000}), "tasks"),
        (encode({"count": MAX_TASKS}, {"count": 1}), "tasks"),
        (encode({"count": 1}, repeatCount=10**12), "tasks"),
        (encode(*[{"count": 1}] * (MAX_STEPS + 1)), "steps"),
        (encode({"count": 1}, {"count": 1, "cpu": -1}), "steps[1]"),
        (encode({"count": 1, "memMb": 1 << 62}), "steps[0]"),
        (encode({"count": 1, "estimatedMs": 1e300}), "steps[0]"),
        (encode({"count": 1}, {"dependsOn": [0] * (MAX_STEPS + 1)}), "steps[1]"),
        (encode({"count": 1}, intervalMs=-1), "interval"),
    ],
)
def test_jobs_beyond_the_limits_are_refused_with_their_place(body: bytes, place: str) -> None:
    with pytest.raises(InvalidJob, match=place.replace("[", r"\[")):
        decode_job(body)


def test_deeply_nested_body_is_malformed() -> None:
    nested = b'{"steps":[{"count":1}],"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    with pytest.raises(MalformedMessage):
        decode_job(nested)


def test_backlog_fills_and_empties_with_a_gap_between() -> None:
    job = make_job(Step(count=100, shape=Shape(1000, 100)), id=make_job_id(1))
    size = compute_job_bytes(job)
    assert size > 70_000
    fitting = int(160 * (1 << 20) * 0.2 / size)
    assert not is_backlog_full([job] * fitting, 160, was_full=False)
    assert is_backlog_full([job] * (fitting + 1), 160, was_full=False)
    assert is_backlog_full([job] * int(fitting * 0.9), 160, was_full=True)
    assert not is_backlog_full([job] * int(fitting * 0.7), 160, was_full=True)


async def test_jobs_are_refused_at_once_while_too_many_are_unfinished(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("foxtrestle.control.backlog_record.CHECK_INTERVAL_S", 0.05)
    full = [True]

    def decide(jobs: Any, memory_mb: int, *, was_full: bool) -> bool:
        return full[0]

    monkeypatch.setattr("foxtrestle.control.backlog_record.is_backlog_full", decide)
    site = Site()
    async with run_nodes(site, nodes=2) as (client, _):
        key = build_keys(0).backlog
        await wait_for(lambda: site.engine.get(key) is not None)
        for node in (0, 1):
            assert await client.submit(make_job_id(node), node=node) == 503
        assert await client.state(make_job_id(0)) == "410"
        full[0] = False
        await wait_for(lambda: site.engine.get(key) is None)
        assert await client.submit(make_job_id(2)) == 200
        full[0] = True
        await wait_for(lambda: site.engine.get(key) is not None)
        # A job that was accepted before is accepted again, as its client may have missed it.
        assert await client.submit(make_job_id(2), node=1) == 200


async def test_record_of_a_former_controller_is_removed() -> None:
    site = Site()
    site.engine.swap(build_keys(0).backlog, b"full", 0)
    async with run_nodes(site) as (client, _):
        await wait_for(lambda: site.engine.get(build_keys(0).backlog) is None)
        assert await client.submit(make_job_id(1)) == 200
