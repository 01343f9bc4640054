"""Discovery of the runners that may get new requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from foxtrestle.declaration import Service
    from foxtrestle.records import FleetRecord


def list_runners(
    services: Iterable[Service], fleets: Iterable[FleetRecord], leaving: Collection[str]
) -> dict[str, dict[str, str]]:
    """List the runners of each service that may get new requests.

    Args:
        services: The declared services.
        fleets: Newest fleet record of each region.
        leaving: Hosts that are reported as leaving.

    Returns:
        For each service, `ip:port` of its runner on each host.
    """
    by_pool: dict[str, dict[str, str]] = {}
    for record in fleets:
        for name, entry in record.hosts.items():
            if entry.state == "up" and entry.pool and name not in leaving:
                by_pool.setdefault(entry.pool, {})[name] = entry.address
    return {
        service.name: {
            name: f"{address}:{service.port}"
            for name, address in by_pool.get(service.pool, {}).items()
        }
        for service in services
    }
