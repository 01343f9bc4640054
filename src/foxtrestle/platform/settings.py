"""The settings file that the platform provides for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated, Final

import msgspec
from returns.result import Failure, Result, Success

from foxtrestle._validation import Fault
from foxtrestle.node.settings import NodeSettings, OperatingLimits

SETTINGS_VARIABLE: Final = "FOXTRESTLE_SETTINGS"
"""Environment variable that holds the path of the settings file."""


class _Listen(msgspec.Struct):
    front: str
    ready: str
    control: str = ""


class _Limits(msgspec.Struct):
    memoryMb: Annotated[int, msgspec.Meta(ge=1)] = 300
    maxFds: Annotated[int, msgspec.Meta(ge=1)] = 4100
    linkMbps: float = 1000.0
    cpuShare: float = 0.5
    cores: float = 2


class _Bounds(msgspec.Struct):
    graceS: float = 6  # from SIGTERM to SIGKILL
    maxHoldMs: float = 10_000
    drainMs: float = 2000
    configApplyMs: float = 2000
    # Minimum time between orders for one host by two controllers; not a lease.
    leaseMs: float = 3000
    stop_ms: float = 900  # longest time a worker takes to stop a run
    early_ms: float = 250
    status_s: float = 120
    move_s: float = 1.5
    upkeep_s: float = 2
    far_x: float = 2
    save_s: float = 2
    restore_ms: float = 600
    notice_ms: float = 4500  # until a long-running task that does not run counts as absent
    pace_ms: float = 100  # after a run's start, before it can be throttled
    # Time for which other tasks may push a serving task over its latency target.
    harm_ms: float = 4000
    evacuateMs: float | None = None  # set only if operators can drain whole zones


class _Platform(msgspec.Struct):
    address: str
    ttl_min_ms: float = 1000
    writes_per_s: float = 400
    reads_per_s: float = 2000


class _Tolerance(msgspec.Struct):
    zones: int = 0


class _Cloud(msgspec.Struct):
    address: str = ""
    dutyPerS: float = 64.0  # host orders, all nodes together
    ratePerS: float = 64.0  # reads of host list pages, all nodes together


class _File(msgspec.Struct):
    """Keys are the platform's; their meanings are those of the fields of `NodeSettings`."""

    nodeName: str
    zone: str
    platform: _Platform
    listenAddrs: _Listen
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    cloudApi: _Cloud = msgspec.field(default_factory=_Cloud)
    faultTolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    zones: dict[str, str] = {}  # region of each zone
    advice: str = ""
    heartbeatMs: float = 1500


def find_settings() -> Path:
    """Return the path of the settings file that the platform names."""
    return Path(os.environ.get(SETTINGS_VARIABLE, "/etc/foxtrestle/local.toml"))


def read_settings(path: Path) -> Result[NodeSettings, list[Fault]]:
    """Read and check a settings file; a file that cannot be read is a fault too."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Fault(str(path), f"cannot be read: {error}")])
    return parse_settings(text)


def parse_settings(text: str) -> Result[NodeSettings, list[Fault]]:
    """Parse and check the text of a settings file; unknown keys are ignored."""
    try:
        raw = msgspec.convert(tomllib.loads(text), type=_File, strict=False)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return Failure([Fault("settings file", str(error))])
    bounds = raw.bounds
    return Success(
        NodeSettings(
            name=raw.nodeName,
            zone=raw.zone,
            client_address=raw.listenAddrs.front,
            ready_address=raw.listenAddrs.ready,
            store_address=raw.platform.address,
            hosts_address=raw.cloudApi.address,
            policy_address=raw.advice,
            lease_min_s=raw.platform.ttl_min_ms / 1000,
            host_orders_per_s=raw.cloudApi.dutyPerS,
            host_reads_per_s=raw.cloudApi.ratePerS,
            store_reads_per_s=raw.platform.reads_per_s,
            store_writes_per_s=raw.platform.writes_per_s,
            zones=tuple(raw.zones),
            zone_failures_tolerated=raw.faultTolerance.zones,
            cpu_cores=raw.limits.cpuShare * raw.limits.cores,
            link_mbps=raw.limits.linkMbps,
            memory_mb=raw.limits.memoryMb,
            max_descriptors=raw.limits.maxFds,
            operating_limits=OperatingLimits(
                stop_grace_s=bounds.graceS,
                max_lease_s=bounds.maxHoldMs / 1000,
                drain_s=bounds.drainMs / 1000,
                apply_s=bounds.configApplyMs / 1000,
                hand_over_gap_s=bounds.leaseMs / 1000,
                stop_task_s=bounds.stop_ms / 1000,
                max_early_start_s=bounds.early_ms / 1000,
                status_retention_s=bounds.status_s,
                move_s=bounds.move_s,
                maintenance_s=bounds.upkeep_s,
                remote_slowdown=bounds.far_x,
                checkpoint_interval_s=bounds.save_s,
                restore_s=bounds.restore_ms / 1000,
                absence_s=bounds.notice_ms / 1000,
                pace_delay_s=bounds.pace_ms / 1000,
                interference_limit_s=bounds.harm_ms / 1000,
                heartbeat_s=raw.heartbeatMs / 1000,
                drain_zone_s=_to_seconds(bounds.evacuateMs),
            ),
        )
    )


def _to_seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000
