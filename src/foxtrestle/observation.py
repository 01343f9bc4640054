"""Applies observations to a fleet update: the platform's host list and workers' statuses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from foxtrestle.chart import load_chart
from foxtrestle.fleet import SPARE
from foxtrestle.fleet_update import UpdateEvent, list_in_maintenance
from foxtrestle.records import HostEntry, replace

if TYPE_CHECKING:
    from foxtrestle.declaration import Wave
    from foxtrestle.fleet_update import FleetUpdate
    from foxtrestle.host_client import ListedHost, WorkerStatus


REMOVE_AFTER_S: Final = 3600.0
"""Seconds after which a lost spare host is removed from the record."""
MIN_DRAIN_S: Final = 3.0
"""Minimum seconds for which a host drains, so that every daemon has received its draining state."""


def apply_host_list(
    update: FleetUpdate, listed: dict[str, ListedHost], missing: frozenset[str], now: float
) -> None:
    """Apply the platform's host list to a fleet update.

    Args:
        update: Fleet update to change.
        listed: Hosts of the region in the list.
        missing: Hosts that have been absent from the list for long enough to count as lost.
        now: Wall time, seconds.
    """
    chart = load_chart("host")
    for name, host in listed.items():
        if name not in update.entries:
            _add_host(update, host, now)
            continue
        state = update.fleet.states[name]
        if host.status == "leaving" and chart.allows(state, "leave"):
            update.apply_host_event(name, "leave", now)
        elif host.status == "live" and state in ("lost", "leaving"):
            update.apply_host_event(name, "back", now)
    for name in sorted(missing & update.entries.keys()):
        state = update.fleet.states[name]
        if state != "rebooting" and chart.allows(state, "vanish"):
            update.apply_host_event(name, "vanish", now)
    _remove_lost(update, listed, now)


def _add_host(update: FleetUpdate, host: ListedHost, now: float) -> None:
    shape = (host.accelerators, host.cores, host.memory_gb)
    state = "leaving" if host.status == "leaving" else "up"
    entry = HostEntry(SPARE, state, now, host.address, host.rack, host.zone, shape)  # type: ignore[arg-type]
    update.entries[host.name] = entry
    update.fleet.add(host.to_host(), state)  # type: ignore[arg-type]
    update.dirty_pools.update(update.shortages)
    update.events.append(UpdateEvent("host.added", host.name, host.rack))


def _remove_lost(update: FleetUpdate, listed: dict[str, ListedHost], now: float) -> None:
    expired = [
        name
        for name in update.fleet.in_state("lost")
        if name not in listed
        and update.fleet.pool_of[name] == SPARE
        and now - update.entries[name].since > REMOVE_AFTER_S
    ]
    for name in expired:
        del update.entries[name]
        update.fleet.remove(name)
        update.events.append(UpdateEvent("host.forgotten", name))


def apply_worker_statuses(
    update: FleetUpdate,
    statuses: dict[str, WorkerStatus],
    now: float,
    min_drain_s: float = MIN_DRAIN_S,
) -> None:
    """Apply the statuses of the workers in maintenance to a fleet update.

    An empty host proceeds to its reboot, a host that reports a newer boot is back, and a host that
    exceeds its time limit is quarantined so that it does not delay its wave.
    """
    waves = {wave.name: wave for wave in update.declaration.waves}
    for name, entry in list_in_maintenance(update):
        state = update.fleet.states[name]
        wave = waves.get(entry.wave)
        status = statuses.get(name)
        waited = now - entry.since
        if state == "draining" and wave is None:
            _finish_host(update, name, "cancel", now, "")
        elif state == "draining" and status and waited >= min_drain_s and _is_empty(status):
            update.apply_host_event(name, "emptied", now)
            update.entries[name] = replace(update.entries[name], boot=status.boot)
        elif state == "rebooting" and status and status.boot > entry.boot:
            _finish_host(update, name, "back", now, "")
        elif waited > _get_limit_s(wave, state):
            _finish_host(update, name, "stuck", now, f"{state} for {waited:.0f} s")


def _is_empty(status: WorkerStatus) -> bool:
    running = any(task.state == "running" for task in status.tasks)
    return status.draining and status.in_flight == 0 and not running


def _get_limit_s(wave: Wave | None, state: str) -> float:
    if wave is None:
        return 900.0
    return wave.drain_limit_s if state == "draining" else wave.reboot_limit_s


def _finish_host(update: FleetUpdate, name: str, event: str, now: float, note: str) -> None:
    """End a host's maintenance and record the outcome in its wave."""
    wave = update.entries[name].wave
    update.apply_host_event(name, event, now, note)
    update.entries[name] = replace(update.entries[name], wave="")
    wave_entry = update.waves.get(wave)
    if wave_entry is None or event == "cancel":
        return
    if event == "back":
        update.waves[wave] = replace(wave_entry, maintained=[*wave_entry.maintained, name])
    else:
        update.waves[wave] = replace(wave_entry, failed=[*wave_entry.failed, name])
