"""Polling interval of the host list, and which events a list of some age reflects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from foxtrestle.scheduling.state import Fleet

REFLECTION_DELAY_S: Final = 1.5
"""Seconds after which a host list reflects an event: its lag, about 0.8 s for a list of one page
and up to 1.1 s for one of six, and a margin."""
READ_RATE_SHARE: Final = 0.8
"""Fraction of the platform's rate limit that controllers use. The rest is for controllers that have
just taken over, which read at once, and for pages that are requested again."""


def compute_list_interval(wanted_s: float, pages: int, readers: int, reads_per_s: float) -> float:
    """Return the seconds between two reads of the host list.

    Every controller reads the whole list. Eight controllers that read seven pages each, every 0.3 s
    while a worker is unresponsive, request 187 pages a second. As the platform serves only 64, each
    controller got a complete list too rarely to base orders for hosts on it.

    Args:
        wanted_s: Interval that the controller would use without a rate limit.
        pages: Pages of the list, each a read.
        readers: Number of controllers that read the list.
        reads_per_s: Pages per second that the platform serves to all nodes together.
    """
    min_interval_s = pages * readers / (reads_per_s * READ_RATE_SHARE)
    return max(wanted_s, min_interval_s)


def is_list_newer_than(fleet: Fleet, at: float) -> bool:
    """Return whether the newest host list reflects events up to a monotonic time.

    The newest list may be old if the platform is unavailable or rejects further reads.
    """
    return fleet.hosts_requested_at is None or fleet.hosts_requested_at - at > REFLECTION_DELAY_S
