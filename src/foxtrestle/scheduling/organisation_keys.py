"""API keys of organisations: stored as digests, each belonging to one organisation."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from foxtrestle.scheduling.model import Organisation

SHORT_DIGEST_DIGITS: Final = 8
"""Digits of a key's digest that a log line shows: enough to distinguish some thousand keys, and far
too few to recover a key."""


class InvalidOrganisations(ValueError):
    """Inconsistent organisations in a configuration; the message contains the list index."""


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is stored and looked up.

    The key itself is never stored. The duration of a look-up does not reveal how much of a wrong
    key is right.
    """
    return hashlib.sha256(key.encode()).digest()


def abbreviate_digest(digest: bytes) -> str:
    """Return the short form of a key's digest that log lines show."""
    return digest.hex()[:SHORT_DIGEST_DIGITS]


def index_keys(organisations: Iterable[Organisation]) -> dict[bytes, str]:
    """Return the name of the organisation that holds each key.

    Raises:
        InvalidOrganisations: A name is listed twice, or two organisations have the same key.
    """
    owners: dict[bytes, str] = {}
    names: set[str] = set()
    for number, organisation in enumerate(organisations):
        if organisation.name in names:
            raise InvalidOrganisations(
                f"[{number}].name: duplicate organisation {organisation.name!r}"
            )
        names.add(organisation.name)
        for digest in organisation.keys:
            owner = owners.setdefault(digest, organisation.name)
            if owner != organisation.name:
                raise InvalidOrganisations(
                    f"[{number}]: key {abbreviate_digest(digest)} already belongs to {owner!r}"
                )
    return owners
