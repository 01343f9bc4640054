"""Settings of a node."""

from __future__ import annotations

import msgspec


class OperatingLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Times and limits of the platform; all of them are set in the platform's settings file."""

    stop_grace_s: float = 6.0
    """Seconds between SIGTERM and SIGKILL."""
    max_lease_s: float = 10.0
    """Longest lease that a worker grants, seconds on the worker's clock."""
    drain_s: float = 2.0
    """Maximum seconds between the start of a worker's drain and its last new task."""
    apply_s: float = 2.0
    """Seconds after it is written within which a new configuration must be in force."""
    hand_over_gap_s: float = 3.0
    """Minimum seconds between orders for one host by two different controllers."""
    stop_task_s: float = 0.9
    """Longest time a worker takes to stop a run, seconds."""
    max_early_start_s: float = 0.25
    """Seconds by which a task may start before its due time."""
    status_retention_s: float = 120.0
    """Seconds for which the state of an ended job can be queried."""
    move_s: float = 1.5
    """Seconds a host takes to join another pool."""
    maintenance_s: float = 2.0
    """Seconds for which a host is unavailable during maintenance."""
    remote_slowdown: float = 2.0
    """Factor by which a task away from its data, or a gang across racks, takes longer."""
    checkpoint_interval_s: float = 2.0
    """Seconds of work between two checkpoints."""
    restore_s: float = 0.6
    """Seconds a task takes to resume from a checkpoint."""
    absence_s: float = 4.5
    """Seconds after which a long-running task that does not run counts as absent, whatever the
    cause."""
    pace_delay_s: float = 0.1
    """Seconds after the start of a run before its pace can be set."""
    interference_limit_s: float = 4.0
    """Seconds for which other tasks may push a serving task over its latency target."""
    heartbeat_s: float = 1.5
    """Seconds between two heartbeats of a worker; the worker's entry in the store is removed after
    three missed ones."""
    drain_zone_s: float | None = None
    """Seconds after operators request the drain of an availability zone from which nothing starts
    in it; None if operators cannot drain zones."""


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a node."""

    name: str
    """Name of the node."""
    zone: str
    """Availability zone of the node."""
    client_address: str
    """`ip:port` for clients."""
    ready_address: str
    """`ip:port` for the platform's readiness checks."""
    store_address: str
    """`ip:port` of the platform's store."""
    hosts_address: str = ""
    """`ip:port` of the platform's interface for hosts; empty if there is none."""
    policy_address: str = ""
    """`ip:port` of the policy service; empty if there is none."""
    lease_min_s: float = 1.0
    """Shortest lease that the store grants, seconds."""
    host_orders_per_s: float = 64.0
    """Rate limit of host orders over all nodes together, per second."""
    host_reads_per_s: float = 64.0
    """Rate limit of host list pages over all nodes together, per second."""
    store_reads_per_s: float = 2000.0
    """Rate limit of store reads over all nodes together, per second."""
    store_writes_per_s: float = 400.0
    """Rate limit of store writes over all nodes together, per second."""
    zones: tuple[str, ...] = ()
    """Availability zones of the deployment; empty if the settings do not list them."""
    zone_failures_tolerated: int = 0
    """Number of simultaneous availability zone failures to tolerate."""
    cpu_cores: float = 1.0
    """CPU cores that this process may use."""
    link_mbps: float = 1000.0
    """Bandwidth of the host's network link, Mbit/s."""
    memory_mb: int = 300
    """Memory that this process may use, MB."""
    max_descriptors: int = 4100
    """Descriptors that this process may open."""
    operating_limits: OperatingLimits = OperatingLimits()
    """Times and limits of the platform."""
