"""Read-only answers for operators: what a file would change, and the reasons for a state."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from foxtrestle.fleet_update import FleetUpdate, assign_dirty_pools
from foxtrestle.records import FleetRecord

if TYPE_CHECKING:
    from foxtrestle.declaration import Declaration


class RegionPreview(msgspec.Struct, frozen=True):
    """Changes that a declarative file would make in one region."""

    region: str
    """Name of the region."""
    moves: dict[str, int]
    """Number of hosts that would join each pool."""
    spare: int
    """Number of hosts that would be held spare."""
    batches: int
    """Minimum number of batches of a wave over all hosts of the region."""
    shortages: dict[str, str]
    """Pools that would be short of hosts, with the reason."""


def preview(declaration: Declaration, fleets: dict[str, FleetRecord]) -> list[RegionPreview]:
    """Compute what a declaration would change."""
    regions = {pool.region for pool in declaration.pools} | fleets.keys()
    return [
        _preview_region(declaration, region, fleets.get(region, FleetRecord()))
        for region in sorted(regions)
    ]


def _preview_region(declaration: Declaration, region: str, record: FleetRecord) -> RegionPreview:
    update = FleetUpdate(region, record, declaration)
    update.dirty_pools.update(update.fleet.pools)
    assign_dirty_pools(update, time.time())
    moves: dict[str, int] = {}
    for name, pool in update.fleet.pool_of.items():
        if pool and record.hosts[name].pool != pool:
            moves[pool] = moves.get(pool, 0) + 1
    return RegionPreview(region, moves, update.spare.spare, update.spare.batches, update.shortages)


def explain_host(name: str, declaration: Declaration, fleets: dict[str, FleetRecord]) -> list[str]:
    """Explain the state of a host and why waves have not maintained it yet."""
    for region, record in fleets.items():
        entry = record.hosts.get(name)
        if entry is None:
            continue
        lines = [f"host {name} is {entry.state} in {entry.pool or 'no pool (spare)'}, {region}"]
        if entry.note:
            lines.append(f"because: {entry.note}")
        lines += _explain_waves(name, declaration, region, record)
        return lines
    return [f"no host named {name} is known; the platform's host list may lag"]


def _explain_waves(
    name: str, declaration: Declaration, region: str, record: FleetRecord
) -> list[str]:
    update = FleetUpdate(region, record, declaration)
    lines = []
    for wave, wave_entry in record.waves.items():
        if name in wave_entry.maintained:
            lines.append(f"wave {wave} has maintained it")
        if name not in wave_entry.pending:
            continue
        pool = update.fleet.pool_of[name]
        if not pool:
            lines.append(f"wave {wave} will take it when another spare host is up")
            continue
        slack = update.fleet.slack_without(pool, name)
        lines.append(
            f"wave {wave} waits: without it pool {pool} would have a slack of {slack} hosts "
            f"({update.fleet.counts[pool].up} up, floor {update.fleet.pools[pool].min_available}, "
            f"{update.fleet.count_worst_loss(pool)} in its worst "
            f"{update.fleet.pools[pool].survive})"
        )
    return lines


def explain_pool(name: str, declaration: Declaration, fleets: dict[str, FleetRecord]) -> list[str]:
    """Explain which hosts a pool has and what it lacks."""
    pool = next((pool for pool in declaration.pools if pool.name == name), None)
    if pool is None:
        return [f"no pool named {name} is in the configuration in force"]
    record = fleets.get(pool.region)
    if record is None:
        return [f"region {pool.region} has no fleet record yet: no daemon has taken its shard"]
    update = FleetUpdate(pool.region, record, declaration)
    count = update.fleet.counts[name]
    lines = [
        f"pool {name} wants {pool.hosts} hosts and at least {pool.min_available} up; "
        f"to survive the loss of a {pool.survive} it is given {update.targets[name]}",
        f"it has {len(count.members)}: {count.up} up, {count.in_maintenance} in maintenance, "
        f"{len(count.members) - count.up - count.in_maintenance} away; "
        f"slack {update.fleet.slack(name)}",
    ]
    if name in record.shortages:
        lines.append(f"short: {record.shortages[name]}")
    return lines
