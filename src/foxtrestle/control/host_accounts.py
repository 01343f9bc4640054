"""Regular account of what the hosts are used for, in the log and as gauges."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from foxtrestle.control.log import log
from foxtrestle.scheduling.eligibility import Ineligibility
from foxtrestle.scheduling.host_account import HostUse, account_hosts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.host_account import Use
    from foxtrestle.scheduling.hosts import HostView

ACCOUNT_INTERVAL_S: Final = 1.0
"""Minimum seconds between two accounts."""
ALL_USES: Final[tuple[Use, ...]] = (*HostUse, *Ineligibility)
"""Every use, each a gauge."""


class HostAccounts:
    """Counts the hosts by use once a second, and logs the counts when they have changed."""

    __slots__ = ("_counted_at", "counts")

    def __init__(self) -> None:
        """Create accounts without any hosts."""
        self.counts: Counter[Use] = Counter()
        """Number of hosts by use, as of the newest account."""
        self._counted_at = float("-inf")

    def update(self, views: Iterable[HostView], reserve: str, now: float) -> None:
        """Count the hosts again if the newest account is old enough.

        Args:
            views: All hosts.
            reserve: Name of the pool of powered-off hosts; empty if there is none.
            now: Monotonic time, seconds.
        """
        if now - self._counted_at < ACCOUNT_INTERVAL_S:
            return
        self._counted_at = now
        counts = account_hosts(views, reserve, now)
        if counts != self.counts:
            log("hosts.account", **{use.value.replace(" ", "_"): counts[use] for use in counts})
        self.counts = counts


def read_host_gauges(accounts: Iterable[HostAccounts]) -> dict[str, float]:
    """Return the number of hosts by use, summed over the controllers of this node."""
    total: Counter[Use] = sum((account.counts for account in accounts), Counter())
    return {use.value: float(total[use]) for use in ALL_USES}
