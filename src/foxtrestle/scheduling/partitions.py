"""Division of a fleet into partitions, each with its own hosts, jobs and controller.

One controller can manage the workers of a few hundred hosts; with more hosts it falls behind: with
1,060 workers on 100 nodes, only two of five requests were served. A partition is a separate fleet:
it has hosts of all pools, moves them among its pools, and runs a job's tasks on its own workers
only. Controllers have to coordinate only the limits of the whole fleet, of which each partition has
its share.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, Final
from zlib import crc32

import msgspec

from foxtrestle.scheduling.model import Shape

if TYPE_CHECKING:
    from foxtrestle.scheduling.model import FleetConfiguration, Organisation

MAX_UNPARTITIONED_HOSTS: Final = 600
"""Maximum number of hosts of a fleet with a single partition: one controller manages 542 hosts with
a third of an adequate node's CPU, and falls behind at 999. Several partitions would split the free
capacity of such a fleet."""
HOSTS_PER_PARTITION: Final = 400
"""Approximate number of hosts in each partition of a larger fleet: well below what one controller
can manage, as hosts are assigned by checksum, which is uneven, and the fleet may grow."""


class Partition(msgspec.Struct, frozen=True):
    """One partition of the fleet."""

    number: int = 0
    """Number of the partition, from 0."""
    count: int = 1
    """Number of partitions."""

    def owns(self, name: str) -> bool:
        """Return whether a job or a host, by its name, belongs to this partition."""
        return find_partition_number(name, self.count) == self.number

    def share(self, limit: int) -> int:
        """Return this partition's share of a limit; all shares sum up to the limit."""
        return limit * (self.number + 1) // self.count - limit * self.number // self.count


def find_partition_number(name: str, count: int) -> int:
    """Return the number of the partition to which a job or host belongs."""
    return crc32(name.encode()) % count


def count_partitions(hosts: int) -> int:
    """Return the number of partitions of a fleet that has a given number of hosts."""
    return 1 if hosts <= MAX_UNPARTITIONED_HOSTS else ceil(hosts / HOSTS_PER_PARTITION)


def compute_partition_configuration(
    partition: Partition, configuration: FleetConfiguration
) -> FleetConfiguration:
    """Return a configuration with this partition's share of all organisations' limits."""
    if partition.count == 1:
        return configuration
    organisations = {
        name: compute_partition_limits(partition, organisation)
        for name, organisation in configuration.organisations.items()
    }
    return msgspec.structs.replace(configuration, organisations=organisations)


def compute_partition_limits(partition: Partition, organisation: Organisation) -> Organisation:
    """Return an organisation with this partition's share of its limit and weight.

    No share of a limit becomes 0, which would mean that there is no limit.
    """
    limit = organisation.limit
    share = Shape(
        max(min(1, limit.cpu), partition.share(limit.cpu)),
        max(min(1, limit.memory_mb), partition.share(limit.memory_mb)),
        max(min(1, limit.gpu), partition.share(limit.gpu)),
    )
    weight = organisation.weight / partition.count
    return msgspec.structs.replace(organisation, limit=share, weight=weight)


def compute_wave_limit(partition: Partition, max_parallel: int, *, has_turn: bool) -> int:
    """Return how many hosts of a wave this partition may maintain at once.

    Args:
        partition: The partition.
        max_parallel: Maximum number of hosts of the whole fleet in maintenance at once.
        has_turn: Whether all partitions before this one have completed the wave.
    """
    if max_parallel >= partition.count:
        return partition.share(max_parallel)
    return max_parallel if has_turn else 0
