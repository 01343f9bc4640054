"""The operators' declarative file of teams, pools, services, budgets and waves; its validation."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from foxtrestle._validation import Fault, convert_table, convert_tables

if TYPE_CHECKING:
    from collections.abc import Iterable

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9._-]*$")]
Count = Annotated[int, Meta(ge=0, le=100_000)]
Weight = Annotated[float, Meta(ge=0, le=1000)]
Domain = Literal["host", "rack", "zone"]


class Weights(msgspec.Struct, frozen=True):
    """Cost weights of the deployment; only their ratios matter."""

    buffer: Weight = 1.0
    """Cost of one spare host."""
    rollout: Weight = 1.0
    """Cost of one maintenance batch of a wave over the whole fleet."""
    moves: Weight = 1.0
    """Cost of one host changing pool, per wave over the whole fleet."""


class Team(msgspec.Struct, frozen=True):
    """A customer of the fleet, with its priority level and quota."""

    name: Name
    """Name of the team."""
    level: Annotated[int, Meta(ge=0, le=1000)]
    """Priority level; teams of a higher level keep capacity when hosts are short."""
    quota_cores: Count = 0
    """Quota of cores that the team's jobs may hold without borrowing; at 0, they only borrow."""
    quota_accelerators: Count = 0
    """Quota of accelerators that the team's jobs may hold without borrowing."""


class Pool(msgspec.Struct, frozen=True):
    """Hosts required for one purpose, with their availability budget."""

    name: Name
    """Name of the pool."""
    team: Name
    """Team that owns the pool."""
    hosts: Annotated[int, Meta(ge=1, le=100_000)]
    """Number of hosts up in normal operation."""
    max_unavailable: Count = 1
    """How many of `hosts` may be unavailable at once, planned and unplanned together."""
    survive: Domain = "rack"
    """Largest failure domain whose loss must stay inside the budget."""
    region: Name = "main"
    """Region whose hosts the pool may use."""
    min_cores: Count = 0
    """Minimum cores of a host."""
    min_memory_gb: Count = 0
    """Minimum memory of a host, GB."""
    min_accelerators: Count = 0
    """Minimum accelerators of a host."""

    @property
    def min_available(self) -> int:
        """Minimum number of hosts up at any time."""
        return max(0, self.hosts - self.max_unavailable)


class Service(msgspec.Struct, frozen=True):
    """Upstream whose runners run on the hosts of a pool, one per host."""

    name: Name
    """Name of the service, first segment of callers' paths."""
    pool: Name
    """Pool whose hosts run the runners."""
    port: Annotated[int, Meta(ge=1, le=65535)]
    """TCP port of the runner on each host."""
    slots: Annotated[int, Meta(ge=1, le=10_000)] = 8
    """Maximum concurrent requests of a runner."""
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 60
    """Maximum connections of a runner, from all daemons together."""
    timeout_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0
    """Seconds that a request may take if its caller sets no deadline."""


class Wave(msgspec.Struct, frozen=True):
    """A round of maintenance over the hosts of some pools."""

    name: Name
    """Name of the wave; only one wave is ever run under a name."""
    pools: list[Name] = []
    """Pools whose hosts are maintained; empty for every host, spare ones too."""
    urgent: bool = False
    """Whether the wave takes precedence over waves that are not urgent."""
    drain_limit_s: Annotated[float, Meta(gt=0, le=86400)] = 120.0
    """Seconds for which a host may drain before it is quarantined."""
    reboot_limit_s: Annotated[float, Meta(gt=0, le=86400)] = 900.0
    """Seconds that a host's reboot may take before the host is quarantined."""


class Declaration(msgspec.Struct, frozen=True):
    """Content of a declarative file."""

    weights: Weights = Weights()
    """Cost weights."""
    teams: list[Team] = []
    """Teams, any order."""
    pools: list[Pool] = []
    """Pools, any order."""
    services: list[Service] = []
    """Services, any order."""
    waves: list[Wave] = []
    """Waves, any order."""
    spare: Count | None = None
    """Hosts kept out of pools, per region; None lets the system choose by the weights."""


class DeclarationError(Exception):
    """A declarative file was rejected; carries every fault found."""

    def __init__(self, faults: list[Fault]) -> None:
        """Create the error from the faults found."""
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults
        """Every fault found, in the order of the file's tables."""


def parse_declaration(text: str) -> Result[Declaration, list[Fault]]:
    """Check the text of a declarative file.

    Returns:
        The declaration, or every fault found, with its place in the file.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure([Fault("file", f"not TOML: {error}")])
    faults: list[Fault] = []
    allowed = {field.name for field in msgspec.structs.fields(Declaration)}
    faults.extend(
        Fault(key, f"unknown key; allowed: {', '.join(sorted(allowed))}")
        for key in table
        if key not in allowed
    )
    spare = table.get("spare")
    if spare is not None and (not isinstance(spare, int) or isinstance(spare, bool) or spare < 0):
        faults.append(Fault("spare", "expected a whole number of hosts, 0 or more"))
        spare = None
    declaration = Declaration(
        weights=convert_table(table.get("weights", {}), Weights, "weights", faults) or Weights(),
        teams=convert_tables(table.get("teams", []), Team, "teams", faults),
        pools=convert_tables(table.get("pools", []), Pool, "pools", faults),
        services=convert_tables(table.get("services", []), Service, "services", faults),
        waves=convert_tables(table.get("waves", []), Wave, "waves", faults),
        spare=spare,
    )
    if not faults:
        faults.extend(_find_faults(declaration))
    return Failure(faults) if faults else Success(declaration)


def _find_faults(declaration: Declaration) -> list[Fault]:
    faults: list[Fault] = []
    teams = _check_unique("teams", (team.name for team in declaration.teams), faults)
    pools = _check_unique("pools", (pool.name for pool in declaration.pools), faults)
    _check_unique("services", (service.name for service in declaration.services), faults)
    _check_unique("waves", (wave.name for wave in declaration.waves), faults)
    for index, pool in enumerate(declaration.pools):
        if pool.team not in teams:
            faults.append(Fault(f"pools[{index}].team", f"no team named {pool.team!r}"))
        if pool.max_unavailable > pool.hosts:
            reason = f"at most hosts ({pool.hosts}), got {pool.max_unavailable}"
            faults.append(Fault(f"pools[{index}].max_unavailable", reason))
    for index, service in enumerate(declaration.services):
        if service.pool not in pools:
            faults.append(Fault(f"services[{index}].pool", f"no pool named {service.pool!r}"))
    for index, wave in enumerate(declaration.waves):
        faults.extend(
            Fault(f"waves[{index}].pools", f"no pool named {name!r}")
            for name in wave.pools
            if name not in pools
        )
    return faults


def _check_unique(place: str, names: Iterable[str], faults: list[Fault]) -> set[str]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            faults.append(Fault(f"{place}[{index}].name", f"{name!r} stands twice"))
        seen.add(name)
    return seen
