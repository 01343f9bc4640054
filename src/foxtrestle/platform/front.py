"""The listeners that the platform and its clients call: jobs and readiness."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from foxtrestle.control.log import log
from foxtrestle.control.measures import CONTENT_TYPE
from foxtrestle.platform.http import MalformedAnswer
from foxtrestle.platform.jobs import (
    InvalidJob,
    decode_job,
    encode_pending,
    encode_state,
    is_job_id,
)
from foxtrestle.store import OutcomeUnknown, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.requests import Request

    from foxtrestle.control.measures import Measures
    from foxtrestle.node.intake import Intake
    from foxtrestle.node.operators import OperatorMirror
    from foxtrestle.scheduling.model import Queue

RETRY_AFTER_S: Final = 1
"""Seconds after which a refused client is asked to come back; the least the header can say."""
STATUSES: Final = {"accepted": 200, "refused": 503, "unknown": 504, "no-queue": 404}
"""Status for each outcome of handing a job in; 504 says nothing about whether it was kept."""
JSON: Final = "application/json"


def build_front(
    intake: Intake,
    operators: OperatorMirror,
    is_store_away: Callable[[], bool],
    measures: Measures,
) -> Starlette:
    """Build the application for clients.

    Args:
        intake: Carries the requests out.
        operators: The configuration that requests are checked against.
        is_store_away: Tells whether the store is known not to answer this node.
        measures: Where requests are counted.
    """

    async def measure(request: Request) -> Response:
        began = time.monotonic()
        response = await handle(request)
        measures.note_request(request.method, response.status_code, time.monotonic() - began)
        return response

    async def handle(request: Request) -> Response:
        path = request.url.path
        host = request.headers.get("host", "").split(":")[0]
        if operators.configuration is None or not operators.is_current():
            # What was known may be out of date; a refusal is true either way.
            return _refuse()
        queue = operators.find_queue(host, path)
        if queue is None:
            return Response(status_code=404)
        name = path.removeprefix(queue.prefix)
        try:
            return await answer(request, queue, name)
        except (MalformedAnswer, InvalidJob) as error:
            log("job.malformed", job=name, reason=str(error))
            return Response(str(error), status_code=400)
        except OutcomeUnknown as error:
            log("request.unanswered", job=name, method=request.method, reason=error.reason)
            return _answer(504)
        except StoreError as error:
            log("request.refused", job=name, method=request.method, reason=error.reason)
            return _refuse()

    async def answer(request: Request, queue: Queue, name: str) -> Response:
        if not name and request.method == "GET":
            return Response(encode_pending(await intake.count_pending(queue)), media_type=JSON)
        if not is_job_id(name):
            return Response(status_code=404)
        if request.method == "POST":
            return await submit(request, queue, name)
        if request.method == "DELETE":
            return Response(status_code=200 if await intake.cancel(name) else 410)
        state = await intake.read_state(name)
        if state is None:
            return Response(status_code=410)
        return Response(encode_state(state), media_type=JSON)

    async def submit(request: Request, queue: Queue, name: str) -> Response:
        if is_store_away():
            return _refuse(job=name)
        outcome = await intake.submit(queue, name, decode_job(await request.body()))
        return _answer(STATUSES[outcome])

    return Starlette(routes=[Route("/{path:path}", measure, methods=["GET", "POST", "DELETE"])])


def _refuse(job: str = "") -> Response:
    if job:
        log("job.refused", job=job, reason="store away or no configuration")
    return _answer(503)


def _answer(status: int) -> Response:
    headers = {"Retry-After": str(RETRY_AFTER_S)} if status in {503, 504} else None
    return Response(status_code=status, headers=headers)


def build_ready(is_ready: Callable[[], bool], measures: Measures) -> Starlette:
    """Build the application that tells whether the node takes requests, and its measures."""

    async def show(_: Request) -> Response:
        return Response(measures.render(), media_type=CONTENT_TYPE)

    async def ready(_: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    return Starlette(routes=[Route("/-/ready", ready), Route("/metrics", show)])
