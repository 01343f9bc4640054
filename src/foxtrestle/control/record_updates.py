"""Keeps a record in the store up to date, through outages of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from foxtrestle.control.log import Outage
from foxtrestle.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def keep_updated(update: Callable[[], Awaitable[None]], user: str, interval_s: float) -> None:
    """Update a record periodically until cancelled; log once when the store is lost and regained.

    Args:
        update: Writes the record if it has changed.
        user: Name of the record in log lines.
        interval_s: Seconds between two updates.
    """
    outage = Outage("store", user)
    while True:
        try:
            await update()
        except StoreError as error:
            outage.note_failure(error)
        else:
            outage.note_success()
        await asyncio.sleep(interval_s)
