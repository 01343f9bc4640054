"""Background tasks that are not awaited: kept referenced while they run, exceptions logged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from foxtrestle.control.log import log_failure

if TYPE_CHECKING:
    from collections.abc import Coroutine


class BackgroundTasks:
    """Starts tasks and references them until they end; the event loop has only weak references."""

    def __init__(self) -> None:
        """Create a group without tasks."""
        self.tasks: set[asyncio.Task[None]] = set()
        """Tasks that have not ended."""

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(log_failure)
