"""The story of a job, worker, host, wave or zone, told from the nodes' log lines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Final

import msgspec

from foxtrestle.scheduling.checks import DRAINED

Line = Mapping[str, Any]
"""One log line: an event's name under `message_type`, and its fields."""
SUBJECTS: Final = ("job", "worker", "host", "wave", "zone")
"""Fields that name what a line is about."""
WORKER_TROUBLE: Final = frozenset(
    {
        "worker.silent",
        "worker.other-life",
        "worker.released",
        "worker.entry-gone",
        "worker.draining",
        "host.ordered",
    }
)
"""Events of a worker that explain what became of a job's runs there."""
GENERAL_TROUBLE: Final = frozenset(
    {
        "control.lost",
        "control.acquired",
        "control.loaded",
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
"""Events that can delay every job."""
TEXTS: Final[dict[str, str]] = {
    "job.accepted": "accepted by {node} for queue {queue} under configuration {version}",
    "job.refused": "refused by {node}: {reason}; it was not kept and will not run",
    "job.write-unanswered": "{node} sent it to the store and got no answer ({reason})",
    "job.write-failed": "{node} could not keep it: {reason}; nothing was written",
    "job.malformed": "refused by {node} as malformed: {reason}",
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
"""Sentence for each event; others are shown with their fields."""


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Parse log lines; what stands before the brace, and lines that are no JSON, are dropped."""
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


def select_story(lines: list[Line], subject: str) -> list[Line]:
    """Select the lines that tell what happened to a subject.

    For a job these are its own, those about workers that had its runs, and those about the store
    and the controller, all between its first line and its last.
    """
    own = [line for line in lines if any(str(line.get(name)) == subject for name in SUBJECTS)]
    if not own or not any(line.get("job") == subject for line in own):
        return own
    first, last = _read_time(own[0]), _read_time(own[-1])
    workers = {line["worker"] for line in own if "worker" in line}
    return [
        line
        for line in lines
        if line in own or (first <= _read_time(line) <= last and _explains(line, workers))
    ]


def _explains(line: Line, workers: set[str]) -> bool:
    kind = line["message_type"]
    if kind in GENERAL_TROUBLE:
        return True
    return kind in WORKER_TROUBLE and line.get("worker") in workers


def _read_time(line: Line) -> float:
    return float(line.get("timestamp", 0))


def describe(line: Line) -> str:
    """Return a sentence for a line."""
    template = TEXTS.get(line["message_type"])
    if template is None:
        hidden = {"message_type", "timestamp"}
        fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in hidden)
        return f"{line['message_type']} {fields}"
    return template.format_map(_Fields(line))


class _Fields(dict[str, Any]):
    def __missing__(self, key: str) -> str:
        return "?"


def find_cause(story: list[Line]) -> str:
    """Return the likeliest cause of what became of a job."""
    failed = [line for line in story if line.get("how") == "failed"]
    if any(line.get("state") == "failed" for line in story) and failed:
        return f"its own runs failed {len(failed)} times, the last on {failed[-1]['worker']}"
    for kind, text in CAUSES:
        found = [line for line in story if line["message_type"] == kind]
        if found:
            return text.format_map(_Fields(found[-1]))
    barred = [line for line in story if line.get("reason") == DRAINED]
    if barred:
        return f"its zone is drained: a start on {barred[-1]['worker']} was not sent"
    waits = [float(line["waited_s"]) for line in story if line["message_type"] == "run.placed"]
    if waits and max(waits) > LONG_WAIT_S:
        return f"no room: a task waited {max(waits):.1f} s for a worker"
    return "nothing unusual is on record; its tasks started at once"


CAUSES: Final = (
    ("job.refused", "refused at the door: {reason}"),
    ("job.malformed", "malformed: {reason}"),
    ("job.cancelled", "cancelled by its client"),
    ("task.given-up", "{crashes} workers crashed under its task {index} of step {step}"),
    ("worker.released", "worker {worker} was lost: {reason}"),
    ("control.lost", "the controller {node} stopped: {reason}"),
    ("dependency.lost", "{node} lost {dependency}: {reason}"),
    ("zones.unknown", "{node} did not know which zones are drained, for {age_s} s"),
)
"""Events that explain a job by themselves, the likeliest first, with their sentences."""
LONG_WAIT_S: Final = 0.5
"""Seconds a task waits for a worker from which the wait counts as the cause; a calm start takes
less than a tenth of a second."""
