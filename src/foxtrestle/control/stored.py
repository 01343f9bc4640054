"""Decoding of foxtrestle's own records in the store, which another writer may have damaged."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from foxtrestle.control.log import log
from foxtrestle.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.store import Record

T = TypeVar("T")


def decode_json(kind: type[T]) -> Callable[[bytes], T]:
    """Return a function that decodes the JSON text of a type."""
    decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(kind)
    return decoder.decode


def decode_stored(record: Record, decode: Callable[[bytes], T]) -> T:
    """Decode a record that the caller cannot do without.

    Raises:
        StoreError: The record cannot be decoded.
    """
    try:
        return decode(record.value)
    except (ValueError, RecursionError) as error:
        raise StoreError(f"unreadable: {error}", step="store.decode", peer=record.key) from error


def decode_or_skip(record: Record, decode: Callable[[bytes], T], event: str) -> T | None:
    """Decode a record that the caller can do without; log one that cannot be decoded.

    Args:
        record: The record.
        decode: Decodes its value; raises a `ValueError` if that is impossible.
        event: Name of the log line.
    """
    try:
        return decode_stored(record, decode)
    except StoreError as error:
        log(event, key=record.key, revision=record.revision, reason=error.reason)
        return None
