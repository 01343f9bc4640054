"""Store keys of the persistent state of foxtrestle."""

from __future__ import annotations

from functools import cache
from typing import Final

import msgspec

ROOT: Final = "foxtrestle/"
"""Prefix of all keys."""
LAYOUT_KEY: Final = ROOT + "control/layout"
"""Number of partitions into which control is divided."""
LAYOUT_READER_KEY: Final = ROOT + "control/layout-reader"
"""Node that reads the host list on behalf of all nodes until the layout is decided."""
ENDED_JOB_PREFIX: Final = ROOT + "ended/"
"""Prefix of the final states of ended jobs of all partitions, kept for clients' queries."""


class Keys(msgspec.Struct, frozen=True):
    """Keys of one partition."""

    lock: str
    """Lock of the controller, attached to its lease."""
    term: str
    """Number of the newest term, which remains when the lock is gone."""
    hand_over: str
    """Record of a controller that releases control for another node to take."""
    pending: str
    """Number of jobs of each queue that have not begun."""
    host_orders: str
    """Hosts for which the controller has sent orders in the last seconds."""
    statistics: str
    """The controller's task statistics."""
    pressure: str
    """How long new work waits, while pools are under pressure."""
    backlog: str
    """Exists while new jobs are refused because too many are unfinished."""
    companions: str
    """Prefix of the companions of records that are removed at times, see `guarded_record`."""
    pressure_companion: str
    """Companion of `pressure`."""
    backlog_companion: str
    """Companion of `backlog`."""
    wave_records: str
    """Prefix of the progress of maintenance waves."""
    inbox: str
    """Prefix of the nodes' messages to the controller."""
    jobs: str
    """Prefix of accepted jobs."""
    cancels: str
    """Prefix of cancellations."""
    progress: str
    """Prefix of the progress of jobs that have not ended. A new controller loads jobs from this
    prefix and the inbox only."""


@cache
def build_keys(partition: int) -> Keys:
    """Return a partition's keys; those of the first one contain no number, as without division."""
    root = f"{ROOT}partition/{partition}/" if partition else ROOT
    return Keys(
        lock=root + "control/lock",
        term=root + "control/term",
        hand_over=root + "control/hand-over",
        pending=root + "control/pending",
        host_orders=root + "control/hosts",
        statistics=root + "control/learned",
        pressure=root + "control/pressure",
        backlog=root + "control/backlog",
        companions=root + "control/companion/",
        pressure_companion=root + "control/companion/pressure",
        backlog_companion=root + "control/companion/backlog",
        wave_records=root + "control/wave/",
        inbox=root + "inbox/",
        jobs=root + "inbox/job/",
        cancels=root + "inbox/cancel/",
        progress=root + "progress/",
    )
