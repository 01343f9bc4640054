"""HTTP applications for the clients' job requests and for readiness checks and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from zlib import crc32

from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from foxtrestle.clock import read_clock
from foxtrestle.control.log import LineBudget, log, shorten
from foxtrestle.control.node_metrics import CONTENT_TYPE
from foxtrestle.platform.http import MalformedMessage
from foxtrestle.platform.jobs import (
    InvalidJob,
    decode_job,
    encode_pending,
    encode_state,
    is_job_id,
)
from foxtrestle.scheduling.access import AccessGrant, Denial, RequestTarget
from foxtrestle.scheduling.organisation_keys import abbreviate_digest, digest_key
from foxtrestle.scheduling.pressure import Refusal
from foxtrestle.store import OutcomeUnknown, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from starlette.requests import Request

    from foxtrestle.control.node_metrics import NodeMetrics
    from foxtrestle.node.job_service import JobService
    from foxtrestle.node.operators import OperatorMirror

RETRY_AFTER_S: Final = 1
"""Retry-After of a refused request, seconds; the smallest positive value of the header."""
DRAINED_RETRY_AFTER_S: Final = (2, 3, 4, 5, 6)
"""Retry-After values of refusals that will hold for a while, seconds. The value is chosen by a hash
of the job's id, so that clients do not all retry at once."""
LASTING_REFUSALS: Final = {
    "drained": "every zone is drained",
    "full": "too many jobs are unfinished",
}
"""Reasons of refusals that will hold for a while, by outcome."""
LIMIT_RETRY_AFTER_S: Final = 60
"""Retry-After of a job that its organisation's limit prevents from ever starting, seconds:
operators take at least minutes to raise a limit."""
STATUSES: Final = {
    "accepted": 200,
    "refused": 503,
    "unknown": 504,
    "taken": 409,
    "too-large": 429,
    Denial.NO_CONFIGURATION: 503,
    Denial.NO_QUEUE: 404,
    Denial.UNKNOWN_KEY: 401,
}
"""HTTP status for each outcome of a request; after 504 a job may or may not have been stored."""
SCHEME: Final = "Bearer"
"""Scheme of the Authorization header that carries an API key."""
JSON: Final = "application/json"


def build_client_app(
    job_service: JobService,
    operators: OperatorMirror,
    is_store_unavailable: Callable[[], bool],
    metrics: NodeMetrics,
) -> Starlette:
    """Build the application for clients.

    Args:
        job_service: Carries out the requests.
        operators: Mirror of the configuration against which requests are authorised.
        is_store_unavailable: Returns whether the store counts as unavailable to this node.
        metrics: Counts the requests.
    """
    denied, malformed = LineBudget(), LineBudget()

    async def handle_counted(request: Request) -> Response:
        started_at = read_clock()
        response = await handle(request)
        metrics.note_request(request.method, response.status_code, read_clock() - started_at)
        return response

    async def handle(request: Request) -> Response:
        target = read_target(request.headers, request.url.path)
        grant = operators.authorise(target)
        if isinstance(grant, Denial):
            denied.log("request.denied", reason=grant.value, path=shorten(target.path),
                key=abbreviate_digest(target.key))  # fmt: skip
            return _respond(STATUSES[grant])
        job_id = target.path.removeprefix(grant.queue.prefix)
        try:
            return await answer(request, target, grant, job_id)
        except (MalformedMessage, InvalidJob) as error:
            malformed.log("job.malformed", job=shorten(job_id), reason=shorten(str(error)))
            return Response(str(error), status_code=400)
        except OutcomeUnknown as error:
            log("request.unanswered", job=job_id, method=request.method, reason=error.reason)
            return _respond(504)
        except StoreError as error:
            log("request.refused", job=job_id, method=request.method, reason=error.reason)
            return _refuse()

    async def answer(
        request: Request, target: RequestTarget, grant: AccessGrant, job_id: str
    ) -> Response:
        if not job_id and request.method == "GET":
            pending = await job_service.count_pending(grant.queue)
            return Response(encode_pending(pending), media_type=JSON)
        if not is_job_id(job_id):
            return Response(status_code=404)
        if request.method == "POST":
            return await submit(request, target, grant, job_id)
        if request.method == "DELETE":
            return Response(status_code=200 if await job_service.cancel(grant, job_id) else 410)
        state = await job_service.read_state(grant, job_id)
        if state is None:
            return Response(status_code=410)
        return Response(encode_state(state), media_type=JSON)

    async def submit(
        request: Request, target: RequestTarget, grant: AccessGrant, job_id: str
    ) -> Response:
        metrics.note_organisation(grant.organisation, "asked")
        if is_store_unavailable():
            return _refuse(job=job_id)
        outcome = await job_service.submit(target, job_id, decode_job(await request.body()))
        if outcome in LASTING_REFUSALS:
            log("job.refused", job=job_id, reason=LASTING_REFUSALS[outcome])
            return _respond(503, retry_after_s=compute_drained_retry_after(job_id))
        if isinstance(outcome, Refusal):
            metrics.note_refusal(outcome.reason)
            metrics.note_organisation(grant.organisation, "refused")
            return _respond(429, outcome.retry_after_s)
        if outcome not in {"accepted", "refused", "unknown"}:
            log("job.denied", job=job_id, reason=str(outcome), key=abbreviate_digest(target.key))
        return _respond(STATUSES[outcome])

    return Starlette(
        routes=[Route("/{path:path}", handle_counted, methods=["GET", "POST", "DELETE"])]
    )


def _refuse(job: str = "") -> Response:
    if job:
        log("job.refused", job=job, reason="store unavailable or no configuration")
    return _respond(503)


def compute_drained_retry_after(job_id: str) -> int:
    """Return the seconds after which a job may be resubmitted that was refused for a while."""
    return DRAINED_RETRY_AFTER_S[crc32(job_id.encode()) % len(DRAINED_RETRY_AFTER_S)]


def _respond(status: int, retry_after_s: int | None = None) -> Response:
    headers = {}
    if status in {503, 504}:
        headers["Retry-After"] = str(retry_after_s or RETRY_AFTER_S)
    elif status == 429:
        headers["Retry-After"] = str(retry_after_s or LIMIT_RETRY_AFTER_S)
    elif status == 401:
        headers["WWW-Authenticate"] = SCHEME
    return Response(status_code=status, headers=headers)


def read_target(headers: Mapping[str, str], path: str) -> RequestTarget:
    """Read the host, path and API key of a request; only a digest of the key is passed on."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    digest = digest_key(key.strip()) if key and scheme.lower() == SCHEME.lower() else b""
    return RequestTarget(headers.get("host", "").split(":")[0], path, digest)


def build_status_app(is_ready: Callable[[], bool], metrics: NodeMetrics) -> Starlette:
    """Build the application for readiness checks and metrics.

    Args:
        is_ready: Returns whether clients may send requests to this node.
        metrics: Metrics of this node.
    """

    async def render_metrics(_: Request) -> Response:
        return Response(metrics.render(), media_type=CONTENT_TYPE)

    async def ready(_: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    return Starlette(routes=[Route("/-/ready", ready), Route("/metrics", render_metrics)])
