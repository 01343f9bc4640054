"""Routing of requests with an idempotency key to the daemon that owns the key's range."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from foxtrestle.errors import FoxtrestleError
from foxtrestle.messages import Answer, Operation
from foxtrestle.operations import find_range, hash_key
from foxtrestle.peers import PeerTimeout, PeerUnreachable
from foxtrestle.upstream import Request, make_error_answer

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from foxtrestle.invariant_checks import InvariantChecks
    from foxtrestle.peers import PeerLinks
    from foxtrestle.ranges import OwnedRange
    from foxtrestle.shards import HolderRecord

RANGE_SHARD_PREFIX = "operations/"
"""Prefix of the shard names of operation ranges."""


class OperationRouter:
    """Routes a request with an idempotency key to the daemon that owns the key's range."""

    def __init__(
        self,
        incarnation: str,
        find_owned_range: Callable[[int], OwnedRange | None],
        find_holder: Callable[[str], HolderRecord | None],
        links: PeerLinks,
        levels: Callable[[], dict[str, int]],
        counts: Counter[str],
        checks: InvariantChecks,
    ) -> None:
        """Create a router.

        Args:
            incarnation: This daemon's incarnation.
            find_owned_range: Returns a range if this daemon owns it, otherwise None.
            find_holder: Returns the holder of a shard as last read from the store.
            links: Connections to peers.
            levels: Returns the priority level of each team.
            counts: Counters: `local`, `forwarded`, `unowned`.
            checks: Runtime checks of invariants.
        """
        self._incarnation = incarnation
        self._find_owned_range = find_owned_range
        self._find_holder = find_holder
        self._links = links
        self._levels = levels
        self._counts = counts
        self._checks = checks

    async def run(self, request: Request) -> Answer:
        """Have a request run by the owner of its key, this daemon or a peer."""
        key = hash_key(request.team, request.service, request.key)
        number = find_range(key)
        owned = self._find_owned_range(number)
        if owned is not None:
            self._counts["local"] += 1
            return await owned.submit(key, request)
        holder = self._find_holder(f"{RANGE_SHARD_PREFIX}{number}")
        if holder is None or holder.incarnation == self._incarnation:
            self._counts["unowned"] += 1
            return _reject_unowned("no daemon owns the key's range now")
        self._counts["forwarded"] += 1
        return await self._forward(holder, request)

    async def run_forwarded(self, operation: Operation) -> Answer:
        """Run an operation that a peer has forwarded to this daemon as the owner of its key."""
        key = hash_key(operation.team, operation.service, operation.key)
        owned = self._find_owned_range(find_range(key))
        if owned is None:
            return Answer(503, [], b"", "may-have-run", owner=False)
        request = Request(
            service=operation.service,
            method=operation.method,
            path=operation.path,
            headers=operation.headers,
            body=operation.body,
            team=operation.team,
            level=self._levels().get(operation.team, 0),
            deadline=time.monotonic() + operation.remaining_s,
            key=operation.key,
        )
        answer = await owned.submit(key, request)
        return msgspec.structs.replace(answer, key=operation.key)

    async def _forward(self, holder: HolderRecord, request: Request) -> Answer:
        remaining = request.deadline - time.monotonic()
        operation = Operation(
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            key=request.key,
            team=request.team,
            remaining_s=remaining,
        )
        link = self._links.get_link(holder.address, holder.incarnation)
        try:
            answer: Answer = await link.request(operation, remaining)
        except PeerUnreachable:
            return _reject_unowned("the owner of the key's range cannot be reached")
        except PeerTimeout:
            return make_error_answer(
                504,
                "may-have-run",
                "the owner of the key's range did not answer",
                retry_after_s=1.0,
            )
        except FoxtrestleError as error:
            return _reject_unowned(error.reason)
        if not answer.owner:
            return _reject_unowned("the key's range is changing hands")
        if answer.key != request.key:
            self._checks.report_violation(
                "whole-own-answer", request.key, f"answer to {answer.key!r}"
            )
            return make_error_answer(502, "may-have-run", "the owner answered another request")
        return answer


def _reject_unowned(reason: str) -> Answer:
    """Reject a request whose key cannot be looked up, as its owner is not available.

    This request was not executed, but an earlier request with the same key may have run. Repeating
    the request with the same key is always safe and is what the caller should do.
    """
    return make_error_answer(503, "may-have-run", reason, retry_after_s=1.0)
