"""What the connections of one listener have in common."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from foxtrestle.listening.limits import SMALL_BUFFER_BYTES, RequestLimits
from foxtrestle.listening.refusals import encode_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.listening.admission import ListenerAdmission
    from foxtrestle.listening.refusals import Reason


class ListenerPolicy(msgspec.Struct, frozen=True):
    """What the connections of one listener have in common."""

    admission: ListenerAdmission
    """Admission of the connections."""
    read_limits: Callable[[], RequestLimits] = RequestLimits
    """Returns the limits of a request in force."""
    encode_refusal: Callable[[Reason, list[tuple[bytes, bytes]]], bytes] = encode_refusal
    """Encodes the answer to a refused request, given the header fields that have arrived."""
    buffer_bytes: int = SMALL_BUFFER_BYTES
    """Size of the kernel's receive and send buffers of a connection, bytes."""


def name_peer(address: tuple[str, int] | None) -> str:
    """Return the name of a client in log lines; empty if its address is not known."""
    return f"{address[0]}:{address[1]}" if address else ""
