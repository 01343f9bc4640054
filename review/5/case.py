"""Case 5: one entry of another writer among the runners' entries stops every controller."""

import asyncio
import os
from pathlib import Path

from deployment import play
from traffic import describe_task, run

from foxtrestle.standins.site import Site
from foxtrestle.store import Transaction

# The number cannot be read: it is beyond every number that a reader of JSON has to support.
ENTRY = b'{"service":"main","address":"127.0.0.1:9","coldRemainingMs":' + b"9" * 400 + b"}"


async def write_foreign_entry(deployment):
    """Write the entry once, under an id that no runner has."""
    deployment.site.engine.commit(Transaction({}, {"servers/another-writer": ENTRY}))
    deployment.record.add(
        f"another writer: servers/another-writer = {ENTRY[:70]!r}... ({len(ENTRY)} bytes)"
    )


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
play(
    run(
        Path(__file__).parent,
        write_foreign_entry if TROUBLE else None,
        Site(describe=describe_task),
    )
)
