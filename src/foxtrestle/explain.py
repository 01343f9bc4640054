"""Selects the log lines of a job, worker, host, wave, zone or organisation, and explains them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, Final

import msgspec

from foxtrestle.scheduling.checks import DRAINED

Line = Mapping[str, Any]
"""A decoded log line: the event's name under `message_type`, and the event's fields."""
SUBJECT_FIELDS: Final = ("job", "worker", "host", "wave", "zone", "org")
"""Fields that hold the subject of a line."""
WORKER_EVENTS: Final = frozenset(
    {
        "worker.silent",
        "worker.other-life",
        "worker.released",
        "worker.entry-gone",
        "worker.draining",
        "host.ordered",
    }
)
"""Worker events that can explain the outcome of a job's runs on that worker."""
ROUTINE_JOB_EVENTS: Final = frozenset({"job.accepted", "job.seen"})
"""Events that every job has; for an organisation they are counted, not listed one by one."""
SYSTEM_EVENTS: Final = frozenset(
    {
        "control.lost",
        "control.acquired",
        "control.loaded",
        "control.handed-over",
        "control.candidate",
        "zone.apart",
        "zone.reached",
        "dependency.lost",
        "dependency.regained",
        "store.lost",
        "store.reached",
        "zone.draining",
        "zone.open",
        "zones.unknown",
        "zones.known",
    }
)
"""Events of zones, controllers and dependencies that can delay any job."""
SENTENCES: Final[dict[str, str]] = {
    "job.accepted": "accepted by {node} for queue {queue} under configuration {version}",
    "job.refused": "refused by {node}: {reason}; it was not kept and will not run",
    "job.write-unanswered": "{node} sent it to the store and got no answer ({reason})",
    "job.write-failed": "{node} could not keep it: {reason}; nothing was written",
    "job.malformed": "refused by {node} as malformed: {reason}",
    "job.refusal-unsure": "{node} could not tell whether it was kept before ({reason})",
    "share.regained": "it counts as within {org}'s share again after {waited_s} s",
    "organisation.limited": "{org} is at its limit (limits certain: {current})",
    "organisation.free": "{org} may start more again",
    "pressure.changed": "pool {pool} with {hosts} hosts: new work waits {wait_s} s; beyond their"
    " share, with the part refused and their wait: {organisations}",
    "job.seen": "the controller {node} learned of it",
    "job.cancelled": "the controller {node} cancelled it",
    "job.ended": "ended {state} after {took_s} s",
    "run.placed": "step {step} task {index}: run {run} placed on {worker} after {waited_s} s",
    "run.ended": "step {step} task {index}: run {run} ended {how} on {worker}",
    "run.absent": "step {step} task {index}: run {run} is not on {worker} any more",
    "run.lost": "step {step} task {index}: run {run} went with {worker} after {lived_s} s"
    " ({reason}, crashed: {crashed}, {together} runs together)",
    "turn.begun": "hosts {hosts} are kept for its step {step} in pool {pool}",
    "turn.ended": "its turn for these hosts ended after {took_s} s",
    "task.given-up": "step {step} task {index} is given up: {crashes} workers crashed under it",
    "run.evacuated": "step {step} task {index}: run {run} stopped for wave {wave}",
    "run.moved-out": "step {step} task {index}: run {run} stopped on {worker} as zone {zone} is"
    " drained",
    "start.withheld": "step {step} task {index}: run {run} on {worker} was not sent: {reason}",
    "start.refused": "step {step} task {index}: {worker} refused run {run}: {reason}",
    "start.unanswered": "a start on {worker} had no answer ({reason})",
    "start.settled": "step {step} task {index}: a start on {worker} had no answer and can not be"
    " carried out any more after {age_s} s",
    "ends.withheld": "ends of {worker} are not acknowledged from number {end} on",
    "ends.complete": "{worker} lists its ends, so it can get all tasks again",
    "worker.silent": "worker {worker} stopped answering ({reason})",
    "worker.other-life": "worker {worker} started again; it was heard {heard_s} s before",
    "worker.released": "what ran on worker {worker} was given up: {reason}",
    "worker.entry-gone": "worker {worker} left the store",
    "host.planned": "host {host} is emptied for pool {pool}, wave {wave}",
    "host.ordered": "host {host} ordered to pool {pool}, wave {wave}",
    "host.back": "host {host} serves pool {pool} after {took_s} s",
    "host.order-refused": "the platform refused the order for host {host}: {reason}",
    "control.acquired": "{node} became the controller, term {term}",
    "control.lost": "{node} stopped being the controller, term {term}: {reason}",
    "zone.apart": "the controller {node} does not reach zone {zone}, which lives: {silent} of"
    " {expected} workers silent, the last answer {answered_s} s ago, the newest entry {heard_s} s",
    "zone.reached": "the controller {node} reaches zone {zone} again after {apart_s} s",
    "control.handed-over": "{node} gave control up, term {term}, as it does not reach {apart}",
    "control.candidate": "{node} may take control after {former}; it does not reach {unreached}",
    "dependency.lost": "{node} lost {dependency} ({user}): {reason}",
    "dependency.regained": "{node} has {dependency} again ({user}) after {away_s} s",
    "wave.seen": "{node} saw wave {wave}: {hosts} hosts in {within_s} s, {max_parallel} at once",
    "zone.draining": "{node} saw that operators drain zone {zone} (revision {revision}); nothing"
    " starts there",
    "zone.open": "{node} saw that zone {zone} is open again, after {took_s} s",
    "zone.unknown": "zone {zone} is not one of the settings' zones ({named}); it is obeyed",
    "zone.drain-progress": "zone {zone}: {runs} runs left ({lasting} that last), {hosts} hosts up,"
    " the rest takes about {rest_s} s",
    "zone.drained": "zone {zone} carries nothing any more, {age_s} s after the request was seen",
    "zones.unknown": "{node} starts nothing: it last knew {age_s} s ago which zones are drained",
    "zones.known": "{node} knows again which zones are drained",
    "wave.completed": "wave {wave} completed after {took_s} s",
}
"""Sentence template by event; an event without one is shown with its fields."""


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Parse log lines and sort them by time.

    Text before the first brace is ignored, and lines without a JSON object are skipped.
    """
    lines: list[Line] = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and "message_type" in line:
            lines.append(line)
    return sorted(lines, key=lambda line: float(line.get("timestamp", 0)))


def select_subject_lines(lines: list[Line], subject: str) -> list[Line]:
    """Select the lines that explain what happened to a subject.

    For a job, these are the lines that name the job, and, between the first and the last of them,
    those about workers that had its runs and those about zones, controllers and dependencies such
    as the store.
    """
    own = [line for line in lines if any(str(line.get(name)) == subject for name in SUBJECT_FIELDS)]
    if any(line.get("job") == subject for line in own):
        return _select_job(lines, own)
    if any(line.get("org") == subject for line in own):
        return _select_organisation(lines, subject)
    return own


def _select_organisation(lines: list[Line], name: str) -> list[Line]:
    """Select an organisation's lines; lines that every job has only if there are no others."""
    own = [line for line in lines if line.get("org") == name or _reports_over_share(line, name)]
    return [line for line in own if line["message_type"] not in ROUTINE_JOB_EVENTS] or own


def _reports_over_share(line: Line, name: str) -> bool:
    """Return whether a line reports that an organisation exceeds its share of a pool."""
    return line["message_type"] == "pressure.changed" and name in line.get("organisations", {})


def _select_job(lines: list[Line], own: list[Line]) -> list[Line]:
    first, last = _read_time(own[0]), _read_time(own[-1])
    workers = {line["worker"] for line in own if "worker" in line}
    return [
        line
        for line in lines
        if line in own or (first <= _read_time(line) <= last and _explains(line, workers))
    ]


def _explains(line: Line, workers: set[str]) -> bool:
    kind = line["message_type"]
    if kind in SYSTEM_EVENTS:
        return True
    return kind in WORKER_EVENTS and line.get("worker") in workers


def _read_time(line: Line) -> float:
    return float(line.get("timestamp", 0))


def describe(line: Line) -> str:
    """Return a sentence that describes a line."""
    template = SENTENCES.get(line["message_type"])
    if template is None:
        hidden = {"message_type", "timestamp"}
        fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in hidden)
        return f"{line['message_type']} {fields}"
    return template.format_map(_Fields(line))


class _Fields(dict[str, Any]):
    def __missing__(self, key: str) -> str:
        return "?"


def find_cause(selected: list[Line]) -> str:
    """Return the most likely cause of a job's outcome."""
    failed = [line for line in selected if line.get("how") == "failed"]
    if any(line.get("state") == "failed" for line in selected) and failed:
        return f"its own runs failed {len(failed)} times, the last on {failed[-1]['worker']}"
    for kind, text in CAUSES:
        matching = [line for line in selected if line["message_type"] == kind]
        if matching:
            return text.format_map(_Fields(matching[-1]))
    withheld = [line for line in selected if line.get("reason") == DRAINED]
    if withheld:
        return f"its zone is drained: a start on {withheld[-1]['worker']} was not sent"
    waits = [float(line["waited_s"]) for line in selected if line["message_type"] == "run.placed"]
    if waits and max(waits) > LONG_WAIT_S:
        return f"no room: a task waited {max(waits):.1f} s for a worker"
    return "nothing unusual is on record; its tasks started at once"


def find_organisation_cause(lines: list[Line], name: str) -> str:
    """Return the most likely cause of an organisation's jobs being refused or waiting.

    Args:
        lines: All log lines, not only those of the organisation.
        name: Name of the organisation.
    """
    own = [line for line in lines if line.get("org") == name]
    seen = [line for line in own if line["message_type"] == "job.seen"]
    refused = [line for line in own if line["message_type"] == "job.refused"]
    if refused:
        reasons = Counter(str(line.get("reason")) for line in refused)
        reason_counts = ", ".join(f"{reason}: {count}" for reason, count in sorted(reasons.items()))
        pools = ", ".join(sorted({str(line.get("pool")) for line in refused}))
        seen_count = len({line.get("job") for line in seen})
        return (
            f"{len(refused)} calls refused at the door of pool {pools} ({reason_counts}), "
            f"{seen_count} taken"
        )
    if any(line["message_type"] == "organisation.limited" for line in own):
        return "its limit kept it from starting more"
    excess = sum(bool(line.get("excess")) for line in seen)
    if excess:
        return f"{excess} of {len(seen)} jobs were beyond its weight and went after the others"
    over_share = [line for line in lines if _reports_over_share(line, name)]
    if over_share:
        return (
            f"it asked for more than its share of pool {over_share[-1]['pool']} while that was full"
        )
    seen_pools = {line.get("pool") for line in seen}
    full = [
        line
        for line in lines
        if line["message_type"] == "pressure.changed"
        and line["pool"] in seen_pools
        and line["wait_s"]
    ]
    if full:
        longest = max(full, key=lambda line: float(line["wait_s"]))
        return f"pool {longest['pool']} was full: work within shares waited {longest['wait_s']} s"
    return "nothing unusual is on record; see its jobs one by one"


CAUSES: Final = (
    ("job.refused", "refused at the door: {reason}"),
    ("job.malformed", "malformed: {reason}"),
    ("job.cancelled", "cancelled by its client"),
    ("task.given-up", "{crashes} workers crashed under its task {index} of step {step}"),
    ("worker.released", "worker {worker} was lost: {reason}"),
    ("zone.apart", "zone {zone} did not hear the controller {node}"),
    ("control.lost", "the controller {node} stopped: {reason}"),
    ("dependency.lost", "{node} lost {dependency}: {reason}"),
    ("zones.unknown", "{node} did not know which zones are drained, for {age_s} s"),
)
"""Events that explain a job's outcome without further lines, the most likely first, each with the
sentence that states the cause."""
LONG_WAIT_S: Final = 0.5
"""Wait of a task for a worker, in seconds, above which the wait is reported as the cause; without
contention, a task starts in less than a tenth of a second."""
