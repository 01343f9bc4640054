"""Counters and latency histograms of a node, served in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from foxtrestle.listening.admission import Admission
    from foxtrestle.listening.refusals import Reason

CONTENT_TYPE: Final = "text/plain; version=0.0.4"
BUCKETS_S: Final = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]
"""Upper bounds of the histograms' buckets, seconds; they cover the store's response time as well as
a worker's lease."""

MAX_ORGANISATIONS: Final = 200
"""Maximum organisations with a label of their own, the first ones seen; each adds three lines to
the rendered text."""
OTHER_LABEL: Final = "other"
"""Label of all other organisations."""


class NodeMetrics:
    """All metrics of a node; each label takes few values."""

    def __init__(self) -> None:
        """Create metrics that are all zero."""
        self._registry = Registry()
        self._requests = self._histogram("request_seconds", "Clients' requests.")
        self._starts = self._histogram("start_wait_seconds", "Waits of tasks for a worker.")
        self._jobs = self._histogram("job_seconds", "Jobs from the controller's view.")
        self._rounds = self._histogram("round_seconds", "Rounds of a controller's decisions.")
        self._settlements = self._histogram(
            "unsettled_start_seconds", "Ages at which starts without an answer were settled."
        )
        self._lags = self._histogram("loop_lag_seconds", "Lags of the event loop.")
        self._ends = Counter("foxtrestle_run_ends", "Ends of runs.", registry=self._registry)
        self._losses = Counter(
            "foxtrestle_run_losses", "Runs that went with their worker.", registry=self._registry
        )
        self._given_up = Counter(
            "foxtrestle_tasks_given_up", "Tasks that crash workers.", registry=self._registry
        )
        self._unreachable_zones = Counter(
            "foxtrestle_zones_apart", "Zones found out of reach.", registry=self._registry
        )
        self._violations = Counter(
            "foxtrestle_violations", "Acts stopped by a check.", registry=self._registry
        )
        self._job_refusals = Counter(
            "foxtrestle_jobs_refused", "Jobs refused under pressure.", registry=self._registry
        )
        self._organisations = Counter(
            "foxtrestle_organisation_jobs", "Jobs by organisation.", registry=self._registry
        )
        self._refused_connections = Counter(
            "foxtrestle_connections_refused",
            "Requests and connections of clients that do not keep the limits.",
            registry=self._registry,
        )
        self._refusal_counts: Mapping[tuple[str, Reason], int] = {}
        self._labelled: set[str] = set()
        self._sources: dict[str, tuple[Gauge, Callable[[], Mapping[str, float]]]] = {}

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(f"foxtrestle_{name}", text, registry=self._registry, buckets=BUCKETS_S)

    def note_request(self, method: str, status: int, seconds: float) -> None:
        """Count a client's request."""
        self._requests.add({"method": method, "status": str(status)}, seconds)

    def note_start(self, pool: str, waited_s: float) -> None:
        """Count a task's start."""
        self._starts.add({"pool": pool}, waited_s)

    def note_job(self, queue: str, state: str, seconds: float) -> None:
        """Count a job's end."""
        self._jobs.add({"queue": queue, "state": state}, seconds)

    def note_round(self, seconds: float) -> None:
        """Count a scheduling round."""
        self._rounds.add({}, seconds)

    def note_settlement(self, seconds: float) -> None:
        """Count a start without an answer that can not be carried out any more."""
        self._settlements.add({}, seconds)

    def note_lag(self, seconds: float) -> None:
        """Count a sample of the event loop's lag."""
        self._lags.add({}, seconds)

    def note_end(self, kind: str) -> None:
        """Count a run's end."""
        self._ends.inc({"how": kind})

    def note_loss(self, reason: str, *, crashed: bool) -> None:
        """Count a run that was lost with its worker."""
        self._losses.inc({"reason": reason, "crashed": str(crashed).lower()})

    def note_given_up(self, pool: str) -> None:
        """Count a task that is not started again because it crashes its workers."""
        self._given_up.inc({"pool": pool})

    def note_unreachable_zone(self, zone: str) -> None:
        """Count a zone that this controller cannot reach although its workers are running."""
        self._unreachable_zones.inc({"zone": zone})

    def note_refusal(self, reason: str) -> None:
        """Count a job that was refused under pressure."""
        self._job_refusals.inc({"reason": reason})

    def note_organisation(self, name: str, event: str) -> None:
        """Count an event of an organisation's job; organisations past a limit share one label.

        Args:
            name: The organisation; empty for none.
            event: `asked`, `refused` or `started`.
        """
        if not name:
            return
        if name not in self._labelled and len(self._labelled) < MAX_ORGANISATIONS:
            self._labelled.add(name)
        label = name if name in self._labelled else OTHER_LABEL
        self._organisations.inc({"org": label, "event": event})

    def note_violation(self, check: str) -> None:
        """Count an action that a check prevented."""
        self._violations.inc({"promise": check})

    def add_admission(self, admission: Admission) -> None:
        """Add the gauges of clients' connections, and the refusals."""
        self.add_source("connections", "Clients' connections.", admission.read_gauges)
        self._refusal_counts = admission.refusals.counts

    def add_source(self, name: str, text: str, read: Callable[[], Mapping[str, float]]) -> None:
        """Add a gauge whose values are read whenever the metrics are rendered."""
        gauge = Gauge(f"foxtrestle_{name}", text, registry=self._registry)
        self._sources[name] = (gauge, read)

    def render(self) -> bytes:
        """Render all metrics."""
        for gauge, read in self._sources.values():
            for label, value in read().items():
                gauge.set({"name": label}, float(value))
        for (listener, reason), count in self._refusal_counts.items():
            self._refused_connections.set(
                {"listener": listener, "reason": reason.value}, float(count)
            )
        body, _ = render(self._registry, [CONTENT_TYPE])
        return bytes(body)
