"""Scans that supplement watches, which may deliver nothing for over a second without an error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from foxtrestle.clock import read_clock
from foxtrestle.control.log import Outage
from foxtrestle.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.store import Listing

RESYNC_S: Final = 0.4
"""Seconds without changes after which a watched prefix is scanned. When the store drops its
history, watches deliver nothing for a second or more; jobs accepted in that time were detected
only after 1.4 s. The scans take at most two and a half calls a second, a fiftieth of a controller's
calls under load."""


async def resync_prefix(
    store: PlatformStore,
    prefix: str,
    is_due: Callable[[float], bool],
    apply: Callable[[Listing], None],
) -> None:
    """Scan a prefix whenever a scan is due, until cancelled.

    Args:
        store: The platform's store.
        prefix: Prefix to scan.
        is_due: Returns whether the watch should have delivered changes by a monotonic time.
        apply: Applies the listing.
    """
    outage = Outage("store", f"sweep {prefix}")
    while True:
        await asyncio.sleep(RESYNC_S)
        if not is_due(read_clock()):
            continue
        try:
            listing = await store.scan(prefix)
        except StoreError as error:
            outage.note_failure(error)
        else:
            outage.note_success()
            apply(listing)
