"""Administration API for operators: JSON over HTTP, on a separate listener."""

from __future__ import annotations

import functools
import hmac
import time
from typing import TYPE_CHECKING, Any, Final

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from foxtrestle import VERSION
from foxtrestle.configuration import ConfigurationConflict, apply_configuration, parse_valid_text
from foxtrestle.declaration import DeclarationError
from foxtrestle.errors import FoxtrestleError
from foxtrestle.job_shard import JobError, JobRecord, cancel_jobs, submit_job
from foxtrestle.placement import Job
from foxtrestle.preview import explain_host, explain_pool, preview
from foxtrestle.records import JOB_PREFIX, decode_record
from foxtrestle.store import OutcomeUnknown, StoreError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from starlette.requests import Request

    from foxtrestle.daemon import Daemon
    from foxtrestle.placement import Task

MAX_BODY_BYTES: Final = 4 << 20
"""Maximum size of a request body, bytes."""


class CancelRequest(msgspec.Struct, frozen=True):
    """Body of a request to cancel jobs."""

    pool: str
    """Pool to which the jobs belong."""
    jobs: list[str]
    """Ids of the jobs to cancel."""


def build_admin(daemon: Daemon) -> Starlette:
    """Build the administration API of a daemon."""

    def guard(handler: Callable[[Daemon, Request, str], Awaitable[Response]]) -> Any:
        @functools.wraps(handler)
        async def guarded(request: Request) -> Response:
            operator = _identify_operator(daemon, request)
            if not operator:
                return _reply_error(401, "no operator has this token")
            try:
                return await handler(daemon, request, operator)
            except FoxtrestleError as error:
                return _reply_exception(error)
            except DeclarationError as error:
                return _reply({"error": "refused", "faults": error.faults}, 400)
            except msgspec.DecodeError as error:
                return _reply_error(400, str(error))

        return guarded

    async def healthy(request: Request) -> Response:
        return Response(b"ok\n")

    async def ready(request: Request) -> Response:
        if daemon.stopping or not daemon.configuration.version:
            return Response(b"not ready\n", 503)
        return Response(b"ready\n")

    async def metrics(request: Request) -> Response:
        return Response(daemon.metrics.render(), media_type="text/plain; version=0.0.4")

    return Starlette(
        routes=[
            Route("/healthz", healthy),
            Route("/readyz", ready),
            Route("/metrics", metrics),
            Route("/v1/apply", guard(_apply), methods=["POST"]),
            Route("/v1/plan", guard(_plan), methods=["POST"]),
            Route("/v1/configuration", guard(_show_configuration)),
            Route("/v1/status", guard(_show_status)),
            Route("/v1/pools", guard(_show_pools)),
            Route("/v1/hosts", guard(_show_hosts)),
            Route("/v1/waves", guard(_show_waves)),
            Route("/v1/events", guard(_show_events)),
            Route("/v1/jobs", guard(_show_jobs), methods=["GET"]),
            Route("/v1/jobs", guard(_submit), methods=["POST"]),
            Route("/v1/jobs/cancel", guard(_cancel), methods=["POST"]),
            Route("/v1/why/{kind}/{name}", guard(_show_reasons)),
        ]
    )


def _identify_operator(daemon: Daemon, request: Request) -> str:
    """Return the operator whose token the request carries; empty if there is none.

    Compares all tokens in constant time, so that the duration does not reveal which one matches.
    """
    sent_token = request.headers.get("authorization", "").removeprefix("Bearer ").encode()
    matching_operator = ""
    for operator, token in daemon.settings.admin_tokens.items():
        if hmac.compare_digest(sent_token, token.encode()):
            matching_operator = operator
    return matching_operator


def _reply(body: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status, media_type="application/json")


def _reply_error(status: int, reason: str) -> Response:
    return _reply({"error": reason}, status)


def _reply_exception(error: FoxtrestleError) -> Response:
    if isinstance(error, ConfigurationConflict | JobError):
        return _reply_error(409, str(error))
    if isinstance(error, OutcomeUnknown):
        return _reply_error(504, f"not known whether it was done; ask again to find out ({error})")
    if isinstance(error, StoreError):
        return _reply_error(503, f"nothing was done ({error})")
    return _reply_error(500, str(error))


async def _read_body(request: Request) -> bytes:
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise msgspec.DecodeError(f"the body is over {MAX_BODY_BYTES} bytes")
    return bytes(body)


def _read_number(request: Request, name: str) -> int | None:
    """Read a whole number from the query; None if the parameter is missing."""
    raw = request.query_params.get(name)
    if raw is None:
        return None
    if not raw.isdigit():
        raise msgspec.DecodeError(f"{name}: expected a whole number, got {raw[:32]!r}")
    return int(raw)


async def _read_text(request: Request) -> str:
    try:
        return (await _read_body(request)).decode("utf-8")
    except UnicodeDecodeError as error:
        raise msgspec.DecodeError(f"file: not UTF-8: {error}") from error


async def _apply(daemon: Daemon, request: Request, operator: str) -> Response:
    text = await _read_text(request)
    record = await apply_configuration(daemon.store, text, operator, _read_number(request, "base"))
    daemon.timeline.add("configuration.applied", str(record.version), operator)
    return _reply({"version": record.version, "checksum": record.checksum})


async def _plan(daemon: Daemon, request: Request, operator: str) -> Response:
    declaration = parse_valid_text(await _read_text(request))
    return _reply(
        {
            "base": daemon.configuration.version,
            "regions": preview(declaration, daemon.fleets),
        }
    )


async def _show_configuration(daemon: Daemon, request: Request, operator: str) -> Response:
    configuration = daemon.configuration
    versions = [
        {
            "daemon": daemon.settings.name,
            "version": configuration.version,
            "checksum": configuration.checksum[:16],
            "since": configuration.installed_at,
            "certain": configuration.confirmed,
        }
    ]
    members = daemon.membership.list_members()
    for incarnation, (_, status) in daemon.gossip.statuses.items():
        name = members[incarnation].name if incarnation in members else incarnation
        versions.append(
            {"daemon": name, "version": status.configuration, "checksum": status.checksum}
        )
    record = configuration.record
    return _reply(
        {
            "version": configuration.version,
            "author": record.author if record else "",
            "applied": record.at if record else 0,
            "text": record.text if record else "",
            "daemons": sorted(versions, key=lambda row: str(row["daemon"])),
        }
    )


async def _show_status(daemon: Daemon, request: Request, operator: str) -> Response:
    members = daemon.membership.list_members()
    holders = daemon.shards.list_holders()
    return _reply(
        {
            "daemon": daemon.settings.name,
            "package": VERSION,
            "incarnation": daemon.incarnation,
            "store_current": daemon.mirror.synced,
            "configuration": daemon.configuration.version,
            "violations": daemon.count_violations(),
            "members": [
                {
                    "name": member.name,
                    "zone": member.zone,
                    "admin": f"{member.address}:{member.admin_port}",
                    "stopping": member.stopping,
                    "shards": sorted(
                        shard
                        for shard, holder in holders.items()
                        if holder.incarnation == member.incarnation
                    ),
                }
                for member in sorted(members.values(), key=lambda member: member.name)
            ],
            "metrics": daemon.metrics.read(),
        }
    )


async def _show_pools(daemon: Daemon, request: Request, operator: str) -> Response:
    rows = []
    for pool in daemon.configuration.declaration.pools:
        record = daemon.fleets.get(pool.region)
        states = [
            entry.state
            for entry in (record.hosts.values() if record else ())
            if entry.pool == pool.name
        ]
        rows.append(
            {
                "pool": pool.name,
                "team": pool.team,
                "region": pool.region,
                "wants": pool.hosts,
                "floor": pool.min_available,
                "has": len(states),
                "up": states.count("up"),
                "maintenance": states.count("draining") + states.count("rebooting"),
                "short": record.shortages.get(pool.name, "") if record else "no fleet record yet",
            }
        )
    return _reply(rows)


async def _show_hosts(daemon: Daemon, request: Request, operator: str) -> Response:
    pool = request.query_params.get("pool")
    return _reply(
        [
            {
                "host": name,
                "region": region,
                "zone": entry.zone,
                "rack": entry.rack,
                "pool": entry.pool or "-",
                "state": entry.state,
                "since": entry.since,
                "wave": entry.wave,
                "note": entry.note,
            }
            for region, record in sorted(daemon.fleets.items())
            for name, entry in sorted(record.hosts.items())
            if pool in (None, entry.pool)
        ]
    )


async def _show_waves(daemon: Daemon, request: Request, operator: str) -> Response:
    return _reply(
        [
            {
                "wave": name,
                "region": region,
                "state": wave.state,
                "pending": len(wave.pending),
                "active": sum(entry.wave == name for entry in record.hosts.values()),
                "maintained": len(wave.maintained),
                "failed": wave.failed,
                "started": wave.started,
                "seconds": (wave.ended or time.time()) - wave.started,
                "moves": record.moves,
                "spare": record.spare,
            }
            for region, record in sorted(daemon.fleets.items())
            for name, wave in sorted(record.waves.items())
        ]
    )


async def _show_events(daemon: Daemon, request: Request, operator: str) -> Response:
    since_ms = _read_number(request, "since_ms") or 0
    subject = request.query_params.get("subject", "")
    events = daemon.timeline.select(since_ms=since_ms, subject=subject)
    return _reply({"dropped": daemon.timeline.dropped, "events": events})


def _list_tasks(daemon: Daemon) -> list[Task]:
    tasks: list[Task] = []
    for key, stored in daemon.mirror.records.items():
        if key.startswith(JOB_PREFIX):
            tasks.extend(decode_record(stored.value, JobRecord, key).tasks.values())
    return tasks


async def _show_jobs(daemon: Daemon, request: Request, operator: str) -> Response:
    return _reply(
        [
            {
                "job": task.job.id,
                "team": task.job.team,
                "pool": task.job.pool,
                "state": task.state,
                "worker": task.worker,
                "attempt": task.attempt,
                "since": task.since,
                "note": task.note,
            }
            for task in sorted(_list_tasks(daemon), key=lambda task: task.job.id)
        ]
    )


async def _submit(daemon: Daemon, request: Request, operator: str) -> Response:
    job = msgspec.json.decode(await _read_body(request), type=Job)
    declaration = daemon.configuration.declaration
    if job.pool not in {pool.name for pool in declaration.pools}:
        return _reply_error(400, f"pool: no pool named {job.pool!r}")
    if job.team not in {team.name for team in declaration.teams}:
        return _reply_error(400, f"team: no team named {job.team!r}")
    task = await submit_job(daemon.store, job, daemon.incarnation, time.time())
    return _reply({"job": task.job.id, "state": task.state})


async def _cancel(daemon: Daemon, request: Request, operator: str) -> Response:
    body = msgspec.json.decode(await _read_body(request), type=CancelRequest)
    cancelled = await cancel_jobs(daemon.store, body.pool, body.jobs, daemon.incarnation)
    return _reply({"cancelled": cancelled})


async def _show_reasons(daemon: Daemon, request: Request, operator: str) -> Response:
    kind, name = request.path_params["kind"], request.path_params["name"]
    declaration = daemon.configuration.declaration
    if kind == "host":
        return _reply(explain_host(name, declaration, daemon.fleets))
    if kind == "pool":
        return _reply(explain_pool(name, declaration, daemon.fleets))
    if kind == "job":
        for task in _list_tasks(daemon):
            if task.job.id == name:
                location = f" on {task.worker}" if task.worker else ""
                return _reply(
                    [f"job {name} is {task.state}{location}", task.note or "no reason held"]
                )
        return _reply([f"no job named {name} is known"])
    return _reply_error(404, "expected host, job or pool")
