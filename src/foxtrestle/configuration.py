"""The configuration in force: each version is applied by one compare-and-swap, never reverted."""

from __future__ import annotations

import hashlib
import time
import uuid
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure

from foxtrestle._validation import Fault
from foxtrestle.declaration import Declaration, DeclarationError, parse_declaration
from foxtrestle.errors import FoxtrestleError
from foxtrestle.records import CONFIGURATION_KEY, ConfigurationRecord, decode_record, encode_record
from foxtrestle.store import ABSENT, swap_with_retry

if TYPE_CHECKING:
    from collections.abc import Callable

    from foxtrestle.declaration import Service
    from foxtrestle.invariant_checks import InvariantChecks
    from foxtrestle.store import Store

MAX_RECORD_BYTES: Final = 1 << 20
"""Maximum size of a compressed record that the store accepts, bytes."""


class ConfigurationConflict(FoxtrestleError):
    """Another file was applied after the version on which the operator based this one."""

    def __init__(self, current: ConfigurationRecord) -> None:
        """Create the error from the conflicting version, which is in force."""
        at = time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime(current.at))
        reason = f"version {current.version} was applied by {current.author} at {at}"
        super().__init__(reason, step="configuration.apply")
        self.current = current
        """The conflicting version, which is in force."""


class Configuration:
    """The newest configuration that this daemon has installed."""

    def __init__(self, checks: InvariantChecks | None = None) -> None:
        """Create a configuration before the first version is installed."""
        self._checks = checks
        self.record: ConfigurationRecord | None = None
        """The installed record; None before the first."""
        self.declaration = Declaration()
        """The installed declaration."""
        self.team_levels: dict[str, int] = {}
        """Priority level of each team."""
        self.services: dict[str, Service] = {}
        """Services by name."""
        self.installed_at = 0.0
        """Wall time of the installation, seconds."""
        self.confirmed = False
        """Whether the store, not only a peer, has confirmed the version."""
        self.rejected_count = 0
        """Number of records that were not installed: damaged, older, or of the installed
        version with a different text."""
        self.encoded_record = b""
        """The installed record, encoded as in the store."""

    @property
    def version(self) -> int:
        """Installed version; 0 before the first."""
        return self.record.version if self.record else 0

    @property
    def checksum(self) -> str:
        """Checksum of the installed record; empty before the first."""
        return self.record.checksum if self.record else ""

    def install(self, encoded: bytes, *, confirmed: bool) -> bool:
        """Install a record if it is newer than the installed one, which is kept otherwise.

        Args:
            encoded: The record, encoded as in the store.
            confirmed: Whether the record comes from the store itself.

        Returns:
            Whether a newer version was installed.
        """
        try:
            record = decode_record(encoded, ConfigurationRecord, CONFIGURATION_KEY)
        except FoxtrestleError:
            self.rejected_count += 1
            return False
        if record.version == self.version and record.checksum == self.checksum:
            self.confirmed = self.confirmed or confirmed
            return False
        checksum = compute_checksum(record.text, record.declaration)
        if record.version <= self.version or checksum != record.checksum:
            self._reject(record, confirmed=confirmed)
            return False
        self.declaration = record.declaration
        self.team_levels = {team.name: team.level for team in record.declaration.teams}
        self.services = {service.name: service for service in record.declaration.services}
        self.record, self.encoded_record = record, encoded
        self.installed_at, self.confirmed = time.time(), confirmed
        return True

    def _reject(self, record: ConfigurationRecord, *, confirmed: bool) -> None:
        """Count a rejected record; an older version from the store itself violates an invariant."""
        self.rejected_count += 1
        if confirmed and record.version <= self.version and self._checks is not None:
            detail = f"the store has {record.version}, {self.version} is installed"
            self._checks.report_violation(
                "configuration-never-reverts", str(record.version), detail
            )


def compute_checksum(text: str, declaration: Declaration) -> str:
    """Compute the checksum of a file and its parsed form: SHA-256 in hexadecimal."""
    digest = hashlib.sha256(text.encode())
    digest.update(msgspec.json.encode(declaration))
    return digest.hexdigest()


def parse_valid_text(text: str) -> Declaration:
    """Parse and validate a configuration file.

    Raises:
        DeclarationError: The file is invalid; every error is listed.
    """
    result = parse_declaration(text)
    if isinstance(result, Failure):
        raise DeclarationError(result.failure())
    return result.unwrap()


async def apply_configuration(
    store: Store,
    text: str,
    author: str,
    base_version: int | None,
    wall_clock: Callable[[], float] = time.time,
) -> ConfigurationRecord:
    """Make a file the configuration in force by one compare-and-swap of one record.

    Args:
        store: The platform's store.
        text: Text of the file.
        author: Operator who applies the file.
        base_version: Version on which the operator based the file; None to replace any version.
        wall_clock: Wall clock, seconds.

    Returns:
        The accepted record, or the one in force if it already has the same text.

    Raises:
        DeclarationError: The file is invalid.
        ConfigurationConflict: Another version has been applied since `base_version`.
        StoreError: The store cannot be reached; nothing was applied.
        OutcomeUnknown: The file may or may not have been applied; applying it again with the same
            base version resolves this.
    """
    declaration = parse_valid_text(text)
    stored = await store.get(CONFIGURATION_KEY)
    current = decode_record(stored.value, ConfigurationRecord) if stored else None
    checksum = compute_checksum(text, declaration)
    if current is not None and current.checksum == checksum:
        return current
    if base_version is not None and base_version != (current.version if current else 0):
        raise (
            ConfigurationConflict(current)
            if current
            else DeclarationError([Fault("base", "nothing is applied yet")])
        )
    version = current.version + 1 if current else 1
    nonce = uuid.uuid4().hex
    record = ConfigurationRecord(version, author, wall_clock(), checksum, text, declaration, nonce)
    value = encode_record(record)
    if len(value) > MAX_RECORD_BYTES:
        reason = f"{len(value)} bytes compressed, at most {MAX_RECORD_BYTES}"
        raise DeclarationError([Fault("file", reason)])
    swap = await swap_with_retry(
        store, CONFIGURATION_KEY, value, stored.revision if stored else ABSENT
    )
    if swap.done:
        return record
    assert swap.record is not None
    raise ConfigurationConflict(decode_record(swap.record.value, ConfigurationRecord))
