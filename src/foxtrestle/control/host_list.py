"""The platform's host list, which lags but is the only source on hosts without workers."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.control.background_tasks import BackgroundTasks
from foxtrestle.control.log import Outage, log
from foxtrestle.platform.http import CallError, RateLimited
from foxtrestle.scheduling.host_interface import HostInterface, InterfaceState
from foxtrestle.scheduling.host_list_polling import compute_list_interval
from foxtrestle.scheduling.hosts import has_unresponsive_worker

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.platform.hosts import HostClient
    from foxtrestle.scheduling.model import HostInfo
    from foxtrestle.scheduling.partitions import Partition
    from foxtrestle.scheduling.state import Fleet

LIST_INTERVAL_S: Final = 1.0
"""Seconds between two reads of the host list, which itself lags by about as much."""
URGENT_LIST_INTERVAL_S: Final = 0.3
"""Seconds between two reads while it matters whether an unresponsive worker's host is down: the
worker's tasks are not restarted elsewhere until that is known or its lease has lapsed (5 s). The
same while no host can be ordered because the interface does not answer."""
MAX_RETRY_PAUSE_S: Final = 0.5
"""Total seconds of pauses after refused pages beyond which a read is abandoned. The pauses make the
first pages of a list older, and decisions based on it allow for a lag of 2.5 s, of which the list
itself takes 0.8 s and the interval between two reads 1 s."""
LIST_CHECK_INTERVAL_S: Final = 0.1
"""Seconds between two checks whether the next read is due."""
MAX_OPEN_READS: Final = 8
"""Maximum number of reads that overlap while the interface is away."""
MAX_ABSENCE_S: Final = 6.0
"""Seconds after which a host that is not listed counts as removed."""


class HostList:
    """Reads the host list regularly and updates the hosts in the state."""

    def __init__(
        self,
        fleet: Fleet,
        partition: Partition,
        client: HostClient,
        wake: Callable[[], None],
        reads_per_s: float = 64.0,
        interface: HostInterface | None = None,
    ) -> None:
        """Create a list that has not been read.

        Args:
            fleet: The state whose hosts are updated.
            partition: Partition whose hosts are kept.
            client: Client of the platform's host interface.
            wake: Wakes the controller for another scheduling round.
            reads_per_s: Pages that the platform serves to all nodes together, per second.
            interface: Health of the platform's host interface, which is updated.
        """
        self._fleet = fleet
        self._interface = interface or HostInterface()
        self._partition = partition
        self._client = client
        self._wake = wake
        self._reads_per_s = reads_per_s
        self._seen_at: dict[str, float] = {}
        self._started_at = read_clock()
        self._outage = Outage("hosts", "list")
        self._reads = BackgroundTasks()
        self._started_read_at = float("-inf")
        self._ended_read_at = float("-inf")

    def is_missing(self, host: str, now: float) -> bool:
        """Return whether a host has been missing from the lists long enough to count as removed.

        A host that was never listed may be new, as the list lags; its absence counts from the first
        call of this method for that host. Time without any list does not count: otherwise a host
        that was added just before an outage of the list would be taken for removed, and its wave
        would be reported as completed without it.
        """
        requested_at = self._fleet.hosts_requested_at
        seen_at = self._seen_at.setdefault(host, now)
        last_list_at = now if requested_at is None else requested_at
        return last_list_at - max(seen_at, self._started_at) > MAX_ABSENCE_S

    async def run(self) -> None:
        """Read the list repeatedly until cancelled."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            while True:
                now = read_clock()
                if self._is_read_due(now):
                    self._started_read_at = now
                    self._reads.spawn(self._read(now))
                await asyncio.sleep(LIST_CHECK_INTERVAL_S)

    async def _close(self) -> None:
        reads = list(self._reads.tasks)
        for read in reads:
            read.cancel()
        await asyncio.gather(*reads, return_exceptions=True)

    async def _read(self, requested_at: float) -> None:
        """Read the list once and update the hosts, unless a later read was answered before."""
        self._client.timeout_s = self._interface.choose_timeout()
        try:
            listed = await self._client.list_hosts(MAX_RETRY_PAUSE_S)
        except CallError as error:
            is_rejected = isinstance(error, RateLimited)
            if is_rejected or self._interface.note_failure(requested_at):
                self._outage.note_failure(error)
        else:
            self._outage.note_success()
            read_s = read_clock() - requested_at
            self._interface.note_answer(requested_at, read_s / self._client.pages)
            self._update_hosts(listed, requested_at)
        finally:
            self._ended_read_at = read_clock()

    def _update_hosts(self, listed: list[HostInfo], requested_at: float) -> None:
        fleet = self._fleet
        if fleet.hosts_requested_at is not None and fleet.hosts_requested_at > requested_at:
            return
        hosts = [host for host in listed if self._partition.owns(host.name)]
        now = read_clock()
        self._seen_at.update(dict.fromkeys((host.name for host in hosts), now))
        self._log_states(hosts)
        if fleet.hosts:
            fleet.previous_host_names = frozenset(fleet.hosts)
        fleet.hosts_requested_at = requested_at
        fleet.hosts = {host.name: host for host in hosts}
        self._wake()

    def _is_read_due(self, now: float) -> bool:
        """Return whether to read the list now.

        The interval keeps the reads of all partitions together within the platform's rate limit. It
        is shorter if a worker with tasks is unresponsive. While the interface is away, reads
        overlap, so that each has time for a slow answer and the return is yet noticed soon.
        """
        away = self._interface.find_state(now) is InterfaceState.AWAY
        if len(self._reads.tasks) >= (MAX_OPEN_READS if away else 1):
            return False
        urgent = away or has_unresponsive_worker(self._fleet, now)
        interval_s = compute_list_interval(
            URGENT_LIST_INTERVAL_S if urgent else LIST_INTERVAL_S,
            self._client.pages,
            self._partition.count,
            self._reads_per_s,
        )
        former_at = self._started_read_at if away else self._ended_read_at
        return now - former_at >= interval_s

    def _log_states(self, hosts: list[HostInfo]) -> None:
        """Log which hosts went down, came up again, or are no longer listed."""
        previous_hosts = self._fleet.hosts
        for host in hosts:
            previous = previous_hosts.get(host.name)
            if (
                previous is not None
                and previous.state != host.state
                and "down" in {previous.state, host.state}
            ):
                log("host.listed", host=host.name, state=host.state, worker=host.worker)
        for name in previous_hosts.keys() - {host.name for host in hosts}:
            log("host.unlisted", host=name, worker=previous_hosts[name].worker)
