"""Command-line tool for operators.

Calls the administration API of any daemon and prints tables or JSON.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path  # noqa: TC003 - cyclopts reads the annotations
from typing import TYPE_CHECKING, Annotated, Any, Final

import aiohttp
import cyclopts
from cyclopts import Parameter

from foxtrestle import VERSION
from foxtrestle.errors import FoxtrestleError
from foxtrestle.explain import (
    describe,
    find_cause,
    find_organisation_cause,
    parse_lines,
    select_subject_lines,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

EXIT_OK: Final = 0
EXIT_FAULT: Final = 1
"""The daemon responded that it could not carry out the command; nothing was done."""
EXIT_USAGE: Final = 2
"""The command line or the given file is invalid."""
EXIT_CONFLICT: Final = 3
"""Another operator has applied a file since the base version."""
EXIT_UNREACHABLE: Final = 4
"""The daemon did not answer."""
EXIT_UNKNOWN: Final = 5
"""The daemon may or may not have carried out the command; repeating it shows the outcome."""
TIMEOUT_S: Final = 30.0

app = cyclopts.App(
    name="foxtrestle",
    version=VERSION,
    help="Operate a fleet run by foxtrestle. The daemon is found by --server or "
    "FOXTRESTLE_SERVER, the token by FOXTRESTLE_TOKEN.",
)
config_app = cyclopts.App(name="config", help="The configuration in force.")
app.command(config_app)

Server = Annotated[str, Parameter(env_var="FOXTRESTLE_SERVER", help="Address of any daemon.")]
Json = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON for programs.")]
DEFAULT_SERVER: Final = "http://127.0.0.1:8081"


class CallFailed(FoxtrestleError):
    """A call of the administration API failed or was refused."""

    def __init__(self, reason: str, *, status: int, peer: str, faults: Sequence[Any] = ()) -> None:
        """Create the error from the response's status (0 for no response) and faults."""
        super().__init__(reason, step="cli.call", peer=peer)
        self.status = status
        """HTTP status; 0 if there was no response."""
        self.faults = faults
        """Faults found in a rejected file."""


def call(
    server: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    params: Mapping[str, str] | None = None,
) -> Any:
    """Call the administration API.

    Raises:
        CallFailed: There was no response, or its status is not 200.
    """
    return asyncio.run(_call(server, method, path, body, params))


async def _call(
    server: str, method: str, path: str, body: bytes | None, params: Mapping[str, str] | None
) -> Any:
    headers = {"Authorization": f"Bearer {os.environ.get('FOXTRESTLE_TOKEN', '')}"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
            session.request(method, f"{server}{path}", data=body, params=params) as response,
        ):
            text = await response.text()
            status = response.status
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise CallFailed(reason, status=0, peer=server) from error
    try:
        answer = json.loads(text)
    except ValueError:
        answer = {"error": text[:200]}
    if status != 200:
        faults = answer.get("faults", [])
        raise CallFailed(answer.get("error", text), status=status, peer=server, faults=faults)
    return answer


def print_table(rows: Sequence[Mapping[str, Any]]) -> None:
    """Print rows as an aligned table."""
    if not rows:
        print("none")
        return
    columns = list(rows[0])
    cells = [[_format(column, row.get(column, "")) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[index]) for line in cells))
        for index, column in enumerate(columns)
    ]
    for line in [columns, *cells]:
        print(
            "  ".join(f"{cell:<{width}}" for cell, width in zip(line, widths, strict=True)).rstrip()
        )


def _format(column: str, value: object) -> str:
    if column in ("since", "started", "applied") and isinstance(value, int | float):
        return time.strftime("%m-%d %H:%M:%S", time.gmtime(value)) if value else "-"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, list):
        return " ".join(map(str, value)) or "-"
    return str(value) if value != "" else "-"


def _print_answer(answer: Any, *, as_json: bool) -> None:
    if as_json:
        print(json.dumps(answer))
    else:
        print_table(answer)


@app.command
def apply(
    file: Path,
    /,
    *,
    base: int | None = None,
    force: bool = False,
    server: Server = DEFAULT_SERVER,
    json: Json = False,
) -> None:
    """Make FILE the configuration in force, as a whole.

    Args:
        file: Declarative file.
        base: Version the file was made from; the one in force now if left out.
        force: Apply over whatever stands.
        server: Address of any daemon.
        json: Print JSON for programs.
    """
    text = file.read_bytes()
    params = {}
    if not force:
        if base is None:
            base = call(server, "GET", "/v1/configuration")["version"]
        params["base"] = str(base)
    answer = call(server, "POST", "/v1/apply", body=text, params=params)
    _print_answer(answer if json else [answer], as_json=json)


@app.command
def plan(file: Path, /, *, server: Server = DEFAULT_SERVER, json: Json = False) -> None:
    """Show what FILE would change, without doing it."""
    answer = call(server, "POST", "/v1/plan", body=file.read_bytes())
    if json:
        _print_answer(answer, as_json=True)
        return
    print(f"from version {answer['base']}")
    for region in answer["regions"]:
        total = sum(region["moves"].values())
        print(
            f"region {region['region']}: {total} hosts join pools, {region['spare']} held "
            f"spare, a wave over all hosts takes {region['batches']} batches at best"
        )
        for pool, number in sorted(region["moves"].items()):
            print(f"  pool {pool}: {number} hosts join")
        for pool, reason in sorted(region["shortages"].items()):
            print(f"  pool {pool} would be short: {reason}")


@app.command
def status(*, server: Server = DEFAULT_SERVER, json: Json = False) -> None:
    """Show the daemons alive and what they hold."""
    answer = call(server, "GET", "/v1/status")
    if json:
        _print_answer(answer, as_json=True)
        return
    store = "answers" if answer["store_current"] else "does not answer"
    print(
        f"configuration {answer['configuration']}; the store {store}; "
        f"violations {answer['violations']}"
    )
    print_table(answer["members"])


def _define_listing(name: str, path: str, summary: str) -> None:
    def listing(*, server: Server = DEFAULT_SERVER, json: Json = False) -> None:
        _print_answer(call(server, "GET", path), as_json=json)

    listing.__doc__ = summary
    app.command(listing, name=name)


_define_listing("pools", "/v1/pools", "Show the pools with what they want and have.")
_define_listing("hosts", "/v1/hosts", "Show the hosts with their pool and state.")
_define_listing("waves", "/v1/waves", "Show the maintenance waves.")


@app.command
def jobs(
    action: str = "list",
    names: list[str] | None = None,
    /,
    *,
    pool: str = "",
    team: str = "",
    cores: float = 1.0,
    memory_gb: float = 1.0,
    accelerators: int = 0,
    urgent: bool = False,
    family: str = "",
    command: str = "",
    server: Server = DEFAULT_SERVER,
    json: Json = False,
) -> None:
    """Show jobs, `submit NAME` one, or `cancel NAME...` some of one pool."""
    if action == "list":
        _print_answer(call(server, "GET", "/v1/jobs"), as_json=json)
        return
    if action == "submit" and names:
        body = {
            "id": names[0],
            "team": team,
            "pool": pool,
            "cores": cores,
            "memory_gb": memory_gb,
            "accelerators": accelerators,
            "urgent": urgent,
            "family": family,
            "command": command,
        }
        answer = call(server, "POST", "/v1/jobs", body=_encode(body))
    elif action == "cancel" and names:
        body = {"pool": pool, "jobs": names}
        answer = call(server, "POST", "/v1/jobs/cancel", body=_encode(body))
    else:
        raise CallFailed("expected list, submit NAME or cancel NAME...", status=400, peer=server)
    _print_answer(answer if json else [answer], as_json=json)


def _encode(body: Mapping[str, object]) -> bytes:
    return json.dumps(body).encode()


@app.command
def why(kind: str, name: str, /, *, server: Server = DEFAULT_SERVER, json: Json = False) -> None:
    """Explain why a host, job or pool is as it is."""
    answer = call(server, "GET", f"/v1/why/{kind}/{name}")
    _print_answer(answer, as_json=True) if json else print("\n".join(answer))


@app.command
def events(
    *,
    since: float = 600.0,
    subject: str = "",
    follow: bool = False,
    server: Server = DEFAULT_SERVER,
    json: Json = False,
) -> None:
    """Show the events of all daemons in one order.

    Args:
        since: Seconds to look back.
        subject: Only events of this host, pool, wave, job or shard.
        follow: Go on until interrupted.
        server: Address of any daemon.
        json: Print JSON for programs, one event a line.
    """
    since_ms = int((time.time() - since) * 1000)
    seen: set[tuple[str, int]] = set()
    while True:
        for event in fetch_events(server, since_ms, subject):
            identity = (event["process"], event["sequence"])
            if identity not in seen:
                seen.add(identity)
                _print_event(event, as_json=json)
        if not follow:
            return
        time.sleep(1.0)


def fetch_events(server: str, since_ms: int, subject: str) -> list[dict[str, Any]]:
    """Fetch the events of all live daemons, ordered by their hybrid logical clocks.

    A daemon that does not answer is reported on standard error, and its events are left out.
    """
    members = call(server, "GET", "/v1/status")["members"]
    scheme = server.partition("://")[0]
    params = {"since_ms": str(since_ms), "subject": subject}
    events: list[dict[str, Any]] = []
    for member in members:
        try:
            answer = call(f"{scheme}://{member['admin']}", "GET", "/v1/events", params=params)
        except CallFailed as error:
            print(f"no events of {member['name']}: {error}", file=sys.stderr)
            continue
        events.extend(answer["events"])
    return sorted(
        events,
        key=lambda event: (
            event["at"]["wall_ms"],
            event["at"]["counter"],
            event["process"],
            event["sequence"],
        ),
    )


def _print_event(event: Mapping[str, Any], *, as_json: bool) -> None:
    if as_json:
        print(json.dumps(event), flush=True)
        return
    at = event["at"]
    clock = time.strftime("%H:%M:%S", time.gmtime(at["wall_ms"] / 1000))
    print(
        f"{clock}.{at['wall_ms'] % 1000:03d}+{at['counter']} {event['process']:<10} "
        f"{event['kind']:<24} {event['subject']} {event['detail']}".rstrip(),
        flush=True,
    )


@config_app.command(name="status")
def config_status(*, server: Server = DEFAULT_SERVER, json: Json = False) -> None:
    """Show which daemon has which version, and since when."""
    answer = call(server, "GET", "/v1/configuration")
    if json:
        _print_answer(answer, as_json=True)
        return
    applied = _format("applied", answer["applied"])
    print(f"version {answer['version']}, applied by {answer['author'] or '-'} at {applied}")
    print_table(
        [
            {
                "daemon": row["daemon"],
                "version": row["version"],
                "checksum": row["checksum"],
                "since": row.get("since", 0),
            }
            for row in answer["daemons"]
        ]
    )


@config_app.command(name="show")
def config_show(*, server: Server = DEFAULT_SERVER) -> None:
    """Print the file in force."""
    print(call(server, "GET", "/v1/configuration")["text"], end="")


@app.command
def explain(subject: str, *files: Path, as_json: Json = False) -> None:
    """Tell what happened to a job, worker, host, wave or organisation, from the nodes' logs.

    Args:
        subject: Its id, name or number.
        files: Log files of all nodes; standard input if there are none.
        as_json: Print the lines instead of sentences.
    """
    texts = [line for file in files for line in file.read_text(encoding="utf-8").splitlines()]
    lines = parse_lines(texts if files else sys.stdin)
    selected = select_subject_lines(lines, subject)
    if not selected:
        print(f"foxtrestle: no line tells of {subject!r}", file=sys.stderr)
        sys.exit(EXIT_FAULT)
    if as_json:
        for line in selected:
            print(json.dumps(line))
        return
    for line in selected:
        at = time.strftime("%H:%M:%S", time.gmtime(float(line["timestamp"])))
        print(f"{at}.{int(float(line['timestamp']) % 1 * 1000):03d} {describe(line)}")
    if any(line.get("job") == subject for line in selected):
        print(f"cause: {find_cause(selected)}")
    elif any(line.get("org") == subject for line in selected):
        print(f"cause: {find_organisation_cause(lines, subject)}")


_EXIT_BY_STATUS: Final = {
    0: EXIT_UNREACHABLE,
    400: EXIT_USAGE,
    404: EXIT_USAGE,
    409: EXIT_CONFLICT,
    504: EXIT_UNKNOWN,
}


def main() -> None:
    """Run the command and map errors to exit codes."""
    try:
        app()
    except CallFailed as error:
        for fault in error.faults:
            print(f"{fault['place']}: {fault['reason']}", file=sys.stderr)
        if not error.faults:
            print(f"foxtrestle: {error.reason} ({error.peer})", file=sys.stderr)
        sys.exit(_EXIT_BY_STATUS.get(error.status, EXIT_FAULT))
    except OSError as error:
        print(f"foxtrestle: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    main()
