"""Settings of one daemon, read from a TOML file and validated before the daemon starts."""

from __future__ import annotations

import ipaddress
import tomllib
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from foxtrestle._validation import Fault, convert_table

if TYPE_CHECKING:
    from pathlib import Path

Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
Token = Annotated[str, Meta(min_length=8, max_length=256)]


class Settings(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Settings with which a daemon is started."""

    name: Name
    """Name of the daemon, unique among the running daemons."""
    zone: Name
    """Availability zone in which the daemon runs."""
    address: str
    """IP address on which the daemon listens and is reached."""
    platform: str
    """Base address of the platform, for example `http://127.0.0.1:7000`."""
    caller_port: Port = 8080
    """TCP port for callers' requests."""
    admin_port: Port = 8081
    """TCP port for the administration API."""
    peer_port: Port = 8082
    """TCP port for other daemons."""
    admin_tokens: dict[Name, Token]
    """Operators' names and their tokens for the administration API."""
    team_tokens: dict[Name, Token] = {}
    """Teams' names and the tokens their callers send; an empty table admits any caller."""
    peer_token: Token
    """Token shared by the daemons."""
    peers: list[str] = []
    """Addresses (`ip:port`) of peers to query while the store cannot be read."""
    tls_certificate: str = ""
    """Path of the PEM certificate for the caller and administration listeners; empty for none."""
    tls_key: str = ""
    """Path of the PEM key that goes with the certificate."""
    member_ttl_s: Seconds = 6.0
    """Seconds after which the membership lease of an unresponsive daemon expires."""
    store_writes_per_s: Annotated[float, Meta(gt=0, le=100)] = 12.0
    """This daemon's share of the store's write rate, calls per second."""
    store_reads_per_s: Annotated[float, Meta(gt=0, le=2000)] = 60.0
    """This daemon's share of the store's read rate, calls per second."""
    host_list_poll_s: Seconds = 1.0
    """Seconds between two reads of the platform's host list."""
    control_period_s: Seconds = 0.25
    """Seconds between two rounds of control work."""
    drain_settle_s: Seconds = 3.0
    """Minimum seconds for which a host drains before its reboot, so that every daemon has received
    its draining state.
    """
    look_away_s: Annotated[float, Meta(ge=0, le=60)] = 1.0
    """Seconds for which a stopping daemon still accepts requests, so that the load balancer in
    front can stop sending them.
    """
    stop_limit_s: Seconds = 60.0
    """Seconds for which a stopping daemon waits for requests in flight."""
    max_body_bytes: Annotated[int, Meta(ge=1024, le=1 << 28)] = 4 << 20
    """Maximum size of a request or answer body, bytes."""
    max_header_bytes: Annotated[int, Meta(ge=1024, le=1 << 20)] = 64 << 10
    """Maximum size of the header fields of a request, bytes."""
    header_timeout_s: Seconds = 5.0
    """Seconds within which a caller sends the header fields of a request."""
    idle_timeout_s: Seconds = 15.0
    """Seconds for which a caller may keep a connection without a request."""
    memory_mb: Annotated[int, Meta(ge=0)] = 0
    """Memory that the daemon may use, MB; 0 for the memory of the machine."""
    max_requests: Annotated[int, Meta(ge=1, le=100_000)] = 512
    """Maximum number of callers' requests at once, waiting or in flight."""


def parse_settings(text: str) -> Result[Settings, list[Fault]]:
    """Check the text of a settings file.

    Returns:
        The settings, or every fault found.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure([Fault("file", f"not TOML: {error}")])
    faults: list[Fault] = []
    settings = convert_table(table, Settings, "", faults)
    if settings is not None:
        faults.extend(_find_faults(settings))
    if faults or settings is None:
        return Failure(faults)
    return Success(settings)


def read_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Read and check a settings file; a file that cannot be read is a fault too."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Fault("file", f"cannot be read: {error}")])
    return parse_settings(text)


def _find_faults(settings: Settings) -> list[Fault]:
    faults = []
    try:
        ipaddress.ip_address(settings.address)
    except ValueError:
        faults.append(Fault("address", "expected an IP address such as 10.0.0.7"))
    if not settings.platform.startswith(("http://", "https://")):
        faults.append(Fault("platform", "expected an address such as http://10.0.0.1:7000"))
    if not settings.admin_tokens:
        faults.append(Fault("admin_tokens", "at least one operator is required"))
    if bool(settings.tls_certificate) != bool(settings.tls_key):
        faults.append(Fault("tls_certificate", "tls_certificate and tls_key must be set together"))
    ports = [settings.caller_port, settings.admin_port, settings.peer_port]
    fixed = [port for port in ports if port]
    if len(set(fixed)) != len(fixed):
        faults.append(Fault("caller_port", "caller, admin and peer ports must differ"))
    return faults
