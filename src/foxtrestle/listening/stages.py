"""Stages of a connection, how long each may last, and what follows when it has lasted too long."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

from foxtrestle.listening.limits import (
    ANSWER_TIMEOUT_S,
    BODY_TIMEOUT_S,
    TIMEOUT_SLACK,
    TURN_TIMEOUT_S,
)
from foxtrestle.listening.refusals import Reason

if TYPE_CHECKING:
    from foxtrestle.listening.limits import RequestLimits

LINGER_S: Final = 1.0
"""Seconds for which bytes are discarded after a refusal: closing a connection with unread bytes
resets it, and the client would not see why it was refused."""


class Stage(Enum):
    """What a connection is doing."""

    IDLE = "waits for a request"
    HEAD = "receives the head of a request"
    BODY = "receives the body of a request"
    QUEUED = "has a complete request that waits for its turn"
    PROCESSING = "processes a request"
    ANSWERED = "waits for the client to read an answer"
    CLOSING = "discards bytes before it closes"


RECEIVING: Final = frozenset({Stage.IDLE, Stage.HEAD, Stage.BODY})
"""Stages in which bytes are given to the parser."""
TIMEOUT_REASONS: Final = {
    Stage.HEAD: Reason.HEAD_TOO_SLOW,
    Stage.BODY: Reason.BODY_TOO_SLOW,
    Stage.QUEUED: Reason.NO_TURN,
    Stage.ANSWERED: Reason.ANSWER_UNREAD,
}
"""Why a connection is refused whose stage has lasted too long; an idle one is closed without a
reason, as is one that discards bytes."""


def find_time_limit(stage: Stage, limits: RequestLimits) -> float | None:
    """Return the seconds that a stage may last; None if the process alone determines it."""
    return {
        Stage.IDLE: TIMEOUT_SLACK * limits.idle_timeout_s,
        Stage.HEAD: TIMEOUT_SLACK * limits.header_timeout_s,
        Stage.BODY: BODY_TIMEOUT_S,
        Stage.QUEUED: TURN_TIMEOUT_S,
        Stage.ANSWERED: ANSWER_TIMEOUT_S,
        Stage.CLOSING: LINGER_S,
    }.get(stage)
