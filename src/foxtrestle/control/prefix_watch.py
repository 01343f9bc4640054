"""Listing a prefix of the store and watching it for changes from there on."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from foxtrestle.control.log import Outage, log
from foxtrestle.store import Change, Compacted, StaleCall, StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.platform.store import PlatformStore
    from foxtrestle.store import Listing

RETRY_S: Final = 0.2
"""Mean pause after a failed read of the store, seconds."""


async def scan_with_retry(store: PlatformStore, prefix: str) -> Listing:
    """Read a prefix, retrying until the store answers."""
    outage = Outage("store", f"load {prefix}")
    while True:
        try:
            listing = await store.scan(prefix)
            outage.note_success()
            return listing
        except StoreError as error:
            outage.note_failure(error)
            await _pause()


async def watch_prefix(
    store: PlatformStore,
    prefix: str,
    revision: int,
    diff: Callable[[Listing], list[Change]],
    apply: Callable[[list[Change]], None],
    pause_s: float = 0.0,
) -> None:
    """Watch a prefix until cancelled; after a gap, list it and apply the differences.

    Args:
        store: The platform's store.
        prefix: Prefix to watch.
        revision: Revision of the store after which changes are still to be applied.
        diff: Returns a listing as changes relative to the current state.
        apply: Applies changes; never called without any.
        pause_s: Seconds to wait after changes, so that further ones accumulate at the store.
    """
    outage = Outage("store", f"watch {prefix}")
    while True:
        try:
            changes, revision = await store.poll(prefix, revision)
            outage.note_success()
        except Compacted:
            listing = await scan_with_retry(store, prefix)
            revision = listing.revision
            changes = diff(listing)
            log("control.relisted", prefix=prefix, changes=len(changes))
        except StaleCall:
            continue
        except StoreError as error:
            outage.note_failure(error)
            await _pause()
            continue
        if changes:
            apply(changes)
            await asyncio.sleep(pause_s)


async def _pause() -> None:
    await asyncio.sleep(random.uniform(RETRY_S / 2, RETRY_S * 1.5))


def list_as_changes(listing: Listing) -> list[Change]:
    """Return a listing as changes, as if each of its records had just been written."""
    return [Change(record.key, record, record.revision) for record in listing.records]
