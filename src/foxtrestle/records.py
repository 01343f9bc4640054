"""Records in the platform's store, and their encoding as compressed JSON.

Every record that only one daemon at a time writes carries the writer's incarnation and an epoch
that is incremented with each change of holder; `sequence` makes each value unique, so that a write
whose answer was lost can be recognised by reading it back.
"""

from __future__ import annotations

import zlib
from typing import Any, Final, TypeVar

import msgspec

from foxtrestle.declaration import Declaration  # noqa: TC001 - msgspec reads the annotations
from foxtrestle.errors import FoxtrestleError
from foxtrestle.fleet import HostState  # noqa: TC001 - msgspec reads the annotations

T = TypeVar("T")

SHARED_PREFIX: Final = "foxtrestle/"
"""Prefix of all keys that every daemon mirrors."""
CONFIGURATION_KEY: Final = SHARED_PREFIX + "configuration"
"""Key of the configuration in force."""
MEMBER_PREFIX: Final = SHARED_PREFIX + "members/"
"""Prefix of the member records of live daemons."""
FLEET_PREFIX: Final = SHARED_PREFIX + "fleets/"
"""Prefix of the regions' fleet records."""
JOB_PREFIX: Final = SHARED_PREFIX + "jobs/"
"""Prefix of the pools' job records."""
OPERATION_RANGE_PREFIX: Final = "foxtrestle-operations/"
"""Prefix of the operation ranges' records; outside `SHARED_PREFIX`, so that only their owners read
them."""


class RecordError(FoxtrestleError):
    """A record in the store cannot be decoded."""


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """One accepted configuration file."""

    version: int
    """Version, from 1, incremented with each apply."""
    author: str
    """Operator who applied the file."""
    at: float
    """Wall time of the apply, seconds since the Unix epoch."""
    checksum: str
    """SHA-256 over the text and the declaration, hexadecimal."""
    text: str
    """Text of the file."""
    declaration: Declaration
    """The file as parsed and validated once by the daemon that accepted it."""
    nonce: str
    """Random text that makes the stored value unique."""


class MemberRecord(msgspec.Struct, frozen=True):
    """One live daemon; the store deletes the key when the daemon's lease ends."""

    name: str
    """Name from the daemon's settings."""
    incarnation: str
    """Random identifier of this run of the daemon."""
    zone: str
    """Availability zone."""
    address: str
    """IP address."""
    caller_port: int
    """Port for callers."""
    admin_port: int
    """Port for operators."""
    peer_port: int
    """Port for other daemons."""
    stopping: bool = False
    """Whether a planned stop is in progress."""

    @property
    def peer_address(self) -> str:
        """Address for other daemons, `ip:port`."""
        return f"{self.address}:{self.peer_port}"


class HostEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of one host. A host has one entry, so it cannot be in two pools."""

    pool: str
    """Pool of the host; empty for a spare host."""
    state: HostState
    """State from the chart `charts/host.toml`."""
    since: float
    """Wall time at which the state began, seconds."""
    address: str = ""
    """IP address."""
    rack: str = ""
    """Rack."""
    zone: str = ""
    """Availability zone."""
    shape: tuple[int, int, int] = (0, 0, 0)
    """Accelerators, cores, memory GB."""
    boot: int = 0
    """Number of the boot at which a reboot was ordered."""
    wave: str = ""
    """Wave for which the host is in maintenance."""
    note: str = ""
    """Why the host is quarantined."""


class WaveEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """Progress of one wave in one region."""

    state: str
    """State from the chart `charts/wave.toml`."""
    started: float = 0.0
    """Wall time of the start, seconds."""
    ended: float = 0.0
    """Wall time of the end, seconds."""
    pending: list[str] = []
    """Hosts not yet taken down."""
    maintained: list[str] = []
    """Hosts that are back in service after maintenance."""
    failed: list[str] = []
    """Hosts that were quarantined or have disappeared."""


class FleetRecord(msgspec.Struct, frozen=True):
    """Hosts and waves of one region, written by the holder of the region's fleet shard."""

    epoch: int = 0
    """Incremented with each change of holder."""
    holder: str = ""
    """Incarnation of the holder; empty if the shard is free."""
    sequence: int = 0
    """Incremented with each write."""
    configuration: int = 0
    """Version of the configuration on which the record is based."""
    hosts: dict[str, HostEntry] = {}
    """Hosts by name."""
    waves: dict[str, WaveEntry] = {}
    """Waves by name."""
    moves: int = 0
    """Number of times a host has joined a pool since the record was created."""
    spare: int = 0
    """Target number of spare hosts."""
    shortages: dict[str, str] = {}
    """Reason for the shortage of each pool that is short of hosts."""


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a record for the store."""
    return zlib.compress(msgspec.json.encode(record), 6)


def decode_record(value: bytes, kind: type[T], key: str = "") -> T:
    """Decode a record from the store.

    Raises:
        RecordError: The value is not a record of this kind.
    """
    try:
        return msgspec.json.decode(zlib.decompress(value), type=kind)
    except (zlib.error, msgspec.DecodeError) as error:
        raise RecordError(str(error), step="records.decode", peer=key) from error


def replace(record: T, **changes: Any) -> T:
    """Return a copy of a record with some fields changed."""
    copy: T = msgspec.structs.replace(record, **changes)  # type: ignore[type-var]
    return copy
