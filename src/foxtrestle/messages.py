"""Messages between daemons, and their encoding in Cap'n Proto (`schemas/peer.capnp`)."""

from __future__ import annotations

from functools import cache
from importlib import resources
from typing import Any, Final

import capnp
import msgspec

from foxtrestle.errors import FoxtrestleError
from foxtrestle.events import Timestamp

MAX_FRAME_BYTES: Final = 64 << 20
"""Maximum size of a frame, bytes."""


class MessageError(FoxtrestleError):
    """A frame is not a valid message."""


class Hello(msgspec.Struct, frozen=True, rename="camel", tag=False):
    """First message on a connection."""

    token: str
    """Token shared by the daemons."""
    name: str
    """Sender's name."""
    incarnation: str
    """Sender's incarnation."""
    wanted: str = ""
    """Incarnation that the sender expects to reach; empty for any."""


class RunnerLoad(msgspec.Struct, frozen=True, rename="camel"):
    """Requests that a daemon has in flight at one runner."""

    runner: str
    """Service and host, `service@host`."""
    in_flight: int
    """Number of requests in flight."""


class RangeHolding(msgspec.Struct, frozen=True, rename="camel"):
    """Operation range that the sender holds."""

    range: int
    """Number of the range."""
    epoch: int
    """Epoch under which the range is held."""


class Status(msgspec.Struct, frozen=True, rename="camel"):
    """Status that a daemon sends to its peers periodically."""

    incarnation: str
    """Sender's incarnation."""
    sequence: int
    """Incremented with each status."""
    configuration: int
    """Version of the installed configuration."""
    checksum: str
    """Checksum of that configuration."""
    loads: list[RunnerLoad] = []
    """Requests in flight; runners without any are left out."""
    leaving: list[str] = []
    """Hosts that the sender's host list marks as leaving."""
    holdings: list[RangeHolding] = []
    """Operation ranges held."""
    stopping: bool = False
    """Whether a planned stop is in progress."""


class Header(msgspec.Struct, frozen=True, rename="camel"):
    """One HTTP header."""

    name: str
    """Name in lower case."""
    value: str
    """Value."""


class Operation(msgspec.Struct, frozen=True, rename="camel"):
    """Caller's request that must not be executed twice, forwarded to the owner of its key."""

    service: str
    """Requested service."""
    method: str
    """HTTP method."""
    path: str
    """Path and query, as sent to the runner."""
    headers: list[Header]
    """Headers to forward."""
    body: bytes
    """Complete body."""
    key: str
    """Idempotency key set by the caller."""
    team: str
    """Caller's team."""
    remaining_s: float
    """Seconds left until the caller's deadline."""


class Answer(msgspec.Struct, frozen=True, rename="camel"):
    """Complete answer to a caller, with the known outcome of the execution."""

    status: int
    """HTTP status."""
    headers: list[Header]
    """Headers to forward."""
    body: bytes
    """Complete body."""
    outcome: str
    """`ran`, `not-run` or `may-have-run`."""
    reason: str = ""
    """Why a daemon generated the answer; empty for a runner's answer."""
    retry_after_s: float = 0.0
    """Seconds after which the caller should retry; 0 for no such time."""
    owner: bool = True
    """False: the receiver does not own the key's range and did nothing."""
    key: str = ""
    """Idempotency key of the answered operation, in answers between daemons."""


class ConfigurationRequest(msgspec.Struct, frozen=True, rename="camel"):
    """Request for a configuration newer than the sender's."""

    known: int
    """Version that the sender has."""


class ConfigurationReply(msgspec.Struct, frozen=True, rename="camel"):
    """A configuration record in the form in which it is stored."""

    value: bytes
    """Encoded `ConfigurationRecord`; empty if the replying daemon has none that is newer."""


class Claim(msgspec.Struct, frozen=True, rename="camel"):
    """Request to a witness to keep the keys of operations that start while the store is down.

    With `release`, the witness drops the keys instead.
    """

    range: int
    """Number of the range."""
    epoch: int
    """Epoch of the owner."""
    keys: list[int]
    """Hashes of the keys."""
    release: bool = False
    """Whether the keys have been recorded in the store, so that the witness may drop them."""


class ClaimReply(msgspec.Struct, frozen=True, rename="camel"):
    """Reply of a witness to a claim."""

    accepted: bool
    """False if the range has been sealed at a newer epoch."""


class Seal(msgspec.Struct, frozen=True, rename="camel"):
    """Request to a witness to reject claims of older epochs and return those that it holds."""

    range: int
    """Number of the range."""
    epoch: int
    """Epoch of the new owner."""


class SealReply(msgspec.Struct, frozen=True, rename="camel"):
    """Reply of a witness to a seal."""

    accepted: bool
    """False if the range has been sealed at a newer epoch."""
    keys: list[int] = []
    """Hashes of the keys that the witness holds for older epochs."""


Message = (
    Hello
    | Status
    | Operation
    | Answer
    | ConfigurationRequest
    | ConfigurationReply
    | Claim
    | ClaimReply
    | Seal
    | SealReply
)
"""Any message."""

_TYPES_BY_NAME: Final[dict[str, type[msgspec.Struct]]] = {
    "hello": Hello,
    "status": Status,
    "operation": Operation,
    "answer": Answer,
    "configurationRequest": ConfigurationRequest,
    "configurationReply": ConfigurationReply,
    "claim": Claim,
    "claimReply": ClaimReply,
    "seal": Seal,
    "sealReply": SealReply,
}
_NAMES_BY_TYPE: Final = {kind: name for name, kind in _TYPES_BY_NAME.items()}


class Envelope(msgspec.Struct, frozen=True):
    """A message with its correlation number and the sender's clock."""

    id: int
    """Matches a reply to its request; 0 if no reply is expected."""
    at: Timestamp
    """Reading of the sender's clock."""
    message: Any
    """The message."""


@cache
def _load_schema() -> Any:
    capnp.remove_import_hook()
    path = resources.files("foxtrestle").joinpath("schemas/peer.capnp")
    return capnp.load(str(path)).Envelope


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope as one frame with its length prefix."""
    body = {
        "id": envelope.id,
        "wallMs": envelope.at.wall_ms,
        "counter": envelope.at.counter,
        _NAMES_BY_TYPE[type(envelope.message)]: msgspec.to_builtins(
            envelope.message, builtin_types=(bytes,)
        ),
    }
    raw: bytes = _load_schema().new_message(**body).to_bytes()
    return len(raw).to_bytes(4, "little") + raw


def decode_envelope(raw: bytes) -> Envelope:
    """Decode a frame without its length prefix.

    Raises:
        MessageError: The frame is not a valid message.
    """
    try:
        with _load_schema().from_bytes(raw, traversal_limit_in_words=MAX_FRAME_BYTES) as reader:
            name = str(reader.which())
            body = getattr(reader, name).to_dict()
            at = Timestamp(reader.wallMs, reader.counter)
            return Envelope(reader.id, at, msgspec.convert(body, _TYPES_BY_NAME[name]))
    except (capnp.KjException, msgspec.ValidationError, KeyError, UnicodeDecodeError) as error:
        raise MessageError(str(error)[:200], step="messages.decode") from error
