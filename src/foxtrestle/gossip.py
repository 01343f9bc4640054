"""Statuses that daemons exchange periodically, and what is derived from them."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING, Final

from foxtrestle.errors import FoxtrestleError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.membership import Membership
    from foxtrestle.messages import Status
    from foxtrestle.peers import PeerLinks

STATUS_PERIOD_S: Final = 0.5
"""Minimum seconds between two statuses to the peers."""
STATUS_FANOUT: Final = 8
"""Maximum number of peers that receive a status in one period."""
STATUS_BYTES_PER_S: Final = 2000.0
"""Bytes per second that a daemon may send in statuses; a larger status is sent less often."""
MIN_STATUS_LIFETIME_S: Final = 5.0
"""Minimum seconds after which a peer's status expires."""
MAX_MISSED_STATUSES: Final = 3
"""Consecutive statuses that a peer may miss before its last status expires."""


class Gossip:
    """Sends this daemon's status to peers and keeps the newest status of every peer."""

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        seed_peers: list[str],
        make_status: Callable[[int], Status],
    ) -> None:
        """Create a gossip without any status of a peer.

        Args:
            membership: The live daemons.
            links: Links to peers.
            seed_peers: Addresses that receive the status while no peer is known.
            make_status: Creates this daemon's status with a sequence number.
        """
        self.statuses: dict[str, tuple[float, Status]] = {}
        """Newest status of each peer by incarnation, with the monotonic time of its arrival."""
        self._membership = membership
        self._links = links
        self._seed_peers = seed_peers
        self._make_status = make_status
        self._sequence = 0
        self._pause_s = STATUS_PERIOD_S

    def accept_status(self, status: Status) -> bool:
        """Store a status; return False if the stored one of the same sender is as new or newer."""
        previous = self.statuses.get(status.incarnation)
        if previous is not None and previous[1].sequence >= status.sequence:
            return False
        self.statuses[status.incarnation] = (time.monotonic(), status)
        return True

    def list_recent_statuses(self) -> dict[str, Status]:
        """Return the statuses that have not expired, by incarnation."""
        now = time.monotonic()
        rounds = -(-len(self._membership.list_peers()) // STATUS_FANOUT)
        limit = max(MIN_STATUS_LIFETIME_S, MAX_MISSED_STATUSES * rounds * self._pause_s)
        return {
            incarnation: status
            for incarnation, (at, status) in self.statuses.items()
            if now - at < limit
        }

    def has_quorum(self) -> bool:
        """Return whether most of the known daemons, counting this one, sent a status recently."""
        peers = self._membership.list_peers()
        in_contact = len(self.list_recent_statuses().keys() & peers.keys())
        return 2 * (in_contact + 1) > len(peers) + 1

    def list_leaving_hosts(self) -> set[str]:
        """List the hosts that peers report as leaving."""
        return {host for status in self.list_recent_statuses().values() for host in status.leaving}

    def sum_loads(self) -> dict[str, Counter[str]]:
        """Sum the requests in flight that peers report, by service and host."""
        sums: dict[str, Counter[str]] = {}
        for status in self.list_recent_statuses().values():
            for load in status.loads:
                service, _, host = load.runner.partition("@")
                sums.setdefault(service, Counter())[host] += load.in_flight
        return sums

    async def send_status(self) -> float:
        """Send this daemon's status to some peers.

        Returns:
            Seconds to wait before the next status, to keep the bytes sent within their budget.
        """
        bytes_before = self._links.sum_bytes_sent()
        self._sequence += 1
        status = self._make_status(self._sequence)
        peers = list(self._membership.list_peers().values())
        first = (self._sequence * STATUS_FANOUT) % max(1, len(peers))
        targets = (peers[first:] + peers[:first])[:STATUS_FANOUT]
        addresses = [peer.peer_address for peer in targets] or self._seed_peers
        await asyncio.gather(*(self._send_to(address, status) for address in addresses))
        await self._drop_departed()
        sent = self._links.sum_bytes_sent() - bytes_before
        self._pause_s = max(STATUS_PERIOD_S, sent / STATUS_BYTES_PER_S)
        return self._pause_s

    async def _send_to(self, address: str, status: Status) -> None:
        with suppress(FoxtrestleError):
            await self._links.get_link(address).send(status)

    async def _drop_departed(self) -> None:
        """Close links to daemons that have left, and drop their expired statuses."""
        peers = self._membership.list_peers()
        addresses = {peer.peer_address for peer in peers.values()} | set(self._seed_peers)
        await self._links.close_others(
            {(address, incarnation) for address in addresses for incarnation in (*peers, "")}
        )
        recent = self.list_recent_statuses()
        for incarnation in [name for name in self.statuses if name not in peers]:
            if incarnation not in recent:
                del self.statuses[incarnation]
