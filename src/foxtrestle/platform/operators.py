"""Records that operators write to the store: configuration, maintenance waves, zone drains."""

from __future__ import annotations

from typing import Annotated, Any, Final

import msgspec

from foxtrestle.platform._numbers import Integer, Quantity, Real  # noqa: TC001 - msgspec reads annotations
from foxtrestle.platform.http import MalformedMessage, decode
from foxtrestle.scheduling.job_limits import MAX_QUANTITY
from foxtrestle.scheduling.model import (
    FleetConfiguration,
    Organisation,
    Pool,
    Queue,
    Shape,
    Wave,
)
from foxtrestle.scheduling.organisation_keys import InvalidOrganisations, digest_key, index_keys

OPERATOR_PREFIX: Final = "op/"
"""Prefix of all keys that operators write."""
CONFIGURATION_KEY: Final = "op/config"
"""Key of the configuration."""
WAVE_PREFIX: Final = "op/wave/"
"""Prefix of the waves."""
ZONE_DRAIN_PREFIX: Final = "op/evacuate/"
"""Prefix of the requests to drain a zone; the existence of the key is the request, whatever its
value."""
MAX_ZONE_NAME_LENGTH: Final = 200
"""Maximum length of a zone's name, characters; no zone of the platform has a longer one."""
WAVE_STATUS_PREFIX: Final = "status/wave/"
"""Prefix of the waves' status records, which operators read."""

PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_QUANTITY)]
PositiveQuantity = Annotated[float, msgspec.Meta(gt=0, le=MAX_QUANTITY)]


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str
    service: str
    targetLatencyMs: Real = 0
    priority: Integer = 0
    maxAttempts: Integer = 1
    stretch: Real = 1.0
    advice: Any = None
    public: bool = False  # whether clients need no API key


class _Service(msgspec.Struct):
    name: str
    rejectsOverload: bool = True
    headroom: bool = False


class _UpperLimit(msgspec.Struct):
    # Limits the resources in use at any one time over all workers, not the submitted demand.
    cpu: Quantity = 0
    memMb: Quantity = 0
    gpu: Quantity = 0


class _Tenant(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(min_length=1)]
    apiKeys: list[Annotated[str, msgspec.Meta(min_length=1)]] = []
    weight: Quantity = 0  # jobs per second
    upperLimit: _UpperLimit | None = None


class _Limits(msgspec.Struct):
    maxBodyBytes: PositiveCount = 262_144
    maxHeaderBytes: PositiveCount = 16_384
    headerTimeoutMs: PositiveQuantity = 3000
    idleTimeoutMs: PositiveQuantity = 15_000


class _Configuration(msgspec.Struct):
    version: Integer
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Missing on deployments without organisations, where no client needs an API key.
    tenants: list[_Tenant] | None = None


class _Wave(msgspec.Struct):
    wave: Integer
    machines: tuple[str, ...]
    withinS: Quantity
    upperLimit: PositiveCount


def decode_configuration(value: bytes, revision: int) -> FleetConfiguration:
    """Decode the configuration.

    Raises:
        MalformedMessage: The record does not have the documented form; the reason names the field.
    """
    raw = decode(value, _Configuration, step="operators.decode", peer=CONFIGURATION_KEY)
    queues = tuple(
        Queue(
            name=route.name,
            host=route.host,
            prefix=route.pathPrefix,
            pool=route.service,
            priority=route.priority,
            max_attempts=route.maxAttempts,
            stretch=route.stretch,
            target_ms=int(route.targetLatencyMs),
            uses_policy=bool(route.advice),
            public=route.public,
        )
        for route in raw.routes
    )
    pools = {
        service.name: Pool(service.name, service.rejectsOverload, service.headroom)
        for service in raw.services
    }
    organisations = [_to_organisation(tenant) for tenant in raw.tenants or ()]
    try:
        owners = index_keys(organisations)
    except InvalidOrganisations as error:
        reason = f"tenants{error}"
        raise MalformedMessage(reason, step="operators.decode", peer=CONFIGURATION_KEY) from error
    return FleetConfiguration(
        raw.version,
        revision,
        queues,
        pools,
        raw.limits.maxBodyBytes,
        raw.limits.maxHeaderBytes,
        raw.limits.headerTimeoutMs / 1000,
        raw.limits.idleTimeoutMs / 1000,
        requires_keys=raw.tenants is not None,
        organisations={organisation.name: organisation for organisation in organisations},
        owners=owners,
    )


def _to_organisation(tenant: _Tenant) -> Organisation:
    limit = tenant.upperLimit or _UpperLimit()
    return Organisation(
        name=tenant.name,
        keys=frozenset(map(digest_key, tenant.apiKeys)),
        weight=tenant.weight,
        limit=Shape(int(limit.cpu), int(limit.memMb), int(limit.gpu)),
    )


def decode_wave(key: str, value: bytes) -> Wave:
    """Decode a wave.

    Raises:
        MalformedMessage: The record does not have the documented form.
    """
    raw = decode(value, _Wave, step="operators.decode", peer=key)
    return Wave(raw.wave, raw.machines, raw.withinS, raw.upperLimit)


def decode_zone_drain(key: str) -> str:
    """Return the zone named by the key of a drain request.

    Raises:
        MalformedMessage: The key has no valid name of a zone.
    """
    zone = key.removeprefix(ZONE_DRAIN_PREFIX)
    if not zone.strip() or len(zone) > MAX_ZONE_NAME_LENGTH:
        reason = "missing name of the zone" if not zone.strip() else "name of the zone is too long"
        raise MalformedMessage(reason, step="operators.decode", peer=key[:MAX_ZONE_NAME_LENGTH])
    return zone


def encode_wave_status(*, completed: bool) -> bytes:
    """Encode the status record of a wave."""
    return msgspec.json.encode({"state": "completed" if completed else "running"})
