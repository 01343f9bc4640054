"""Waves of a fleet update: begins, pauses, resumes, finishes and withdraws them by their chart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from foxtrestle.chart import load_chart
from foxtrestle.fleet import SPARE
from foxtrestle.fleet_update import UpdateEvent, list_in_maintenance
from foxtrestle.maintenance import WaveStart, choose_hosts, start_by_exchange
from foxtrestle.records import WaveEntry, replace

if TYPE_CHECKING:
    from foxtrestle.declaration import Wave
    from foxtrestle.fleet_update import FleetUpdate


def advance_waves(update: FleetUpdate, now: float) -> None:
    """Begin, continue, pause and finish the waves of the declaration, urgent ones first."""
    update.refresh_targets()
    declared = sorted(update.declaration.waves, key=lambda wave: not wave.urgent)
    names = {wave.name for wave in declared}
    for name in [name for name in update.waves if name not in names]:
        _withdraw(update, name, now)
    for wave in declared:
        wave_entry = update.waves.get(wave.name)
        if wave_entry is None:
            _begin(update, wave, now)
        elif wave_entry.state in ("running", "paused"):
            _continue(update, wave, now)


def _begin(update: FleetUpdate, wave: Wave, now: float) -> None:
    wanted = set(wave.pools)
    pending = sorted(
        name for name, pool in update.fleet.pool_of.items() if not wanted or pool in wanted
    )
    if not pending:
        return
    chart = load_chart("wave")
    update.waves[wave.name] = WaveEntry(
        chart.apply_event(chart.start, "begin"), now, pending=pending
    )
    update.events.append(UpdateEvent("wave.running", wave.name, f"{len(pending)} hosts"))
    _continue(update, wave, now)


def _withdraw(update: FleetUpdate, name: str, now: float) -> None:
    wave_entry = update.waves[name]
    if load_chart("wave").allows(wave_entry.state, "withdraw"):
        update.waves[name] = replace(wave_entry, state="withdrawn", ended=now, pending=[])
        update.events.append(UpdateEvent("wave.withdrawn", name))


def _choose_start(update: FleetUpdate, wave: Wave, wave_entry: WaveEntry) -> WaveStart:
    """Choose the hosts that a wave starts now.

    If none could start, the choice is not repeated until some host has changed.
    """
    fleet = update.fleet
    if update.stalled_at_change.get(wave.name) == fleet.change_count:
        return WaveStart([], [])
    start = choose_hosts(
        fleet, wave_entry.pending, frozenset(wave_entry.maintained), eager=update.eager
    )
    if start.hosts:
        return start
    if wave_entry.state == "paused":
        start = start_by_exchange(fleet, wave_entry.pending)
        if not start.hosts:
            update.stalled_at_change[wave.name] = fleet.change_count
    return start


def _continue(update: FleetUpdate, wave: Wave, now: float) -> None:
    wave_entry = update.waves[wave.name]
    start = _choose_start(update, wave, wave_entry)
    for move in start.moves:
        update.moves += move.target != SPARE
        update.events.append(UpdateEvent("move.swap", move.host, f"{move.source}>{move.target}"))
    for name in start.hosts:
        update.entries[name] = replace(
            update.entries[name], state="draining", since=now, wave=wave.name
        )
        update.events.append(UpdateEvent("host.draining", name, wave.name))
    started = set(start.hosts)
    pending = [name for name in wave_entry.pending if name not in started]
    unavailable = {
        name for name in _list_absent(update, pending) if _is_unavailable(update, name, wave, now)
    }
    if unavailable:
        pending = [name for name in pending if name not in unavailable]
    active = any(entry.wave == wave.name for _, entry in list_in_maintenance(update))
    wave_entry = replace(
        wave_entry, pending=pending, failed=[*wave_entry.failed, *sorted(unavailable)]
    )
    update.waves[wave.name] = _step_wave(update, wave.name, wave_entry, now, active=active)


def _step_wave(
    update: FleetUpdate, name: str, wave_entry: WaveEntry, now: float, *, active: bool
) -> WaveEntry:
    """Apply an event of the state chart to a wave: finish, hold (no host can start) or resume."""
    event = ""
    if not wave_entry.pending and not active:
        event = "finish"
    elif wave_entry.state == "running" and not active:
        event = "hold"
    elif wave_entry.state == "paused" and active:
        event = "resume"
    if not event:
        return wave_entry
    state = load_chart("wave").apply_event(wave_entry.state, event)
    update.events.append(
        UpdateEvent(f"wave.{state}", name, f"{len(wave_entry.pending)} hosts to go")
    )
    return replace(wave_entry, state=state, ended=now if event == "finish" else 0.0)


def _list_absent(update: FleetUpdate, pending: list[str]) -> set[str]:
    absent = set(update.fleet.in_state("lost", "leaving", "quarantined"))
    return {name for name in pending if name in absent or name not in update.entries}


def _is_unavailable(update: FleetUpdate, name: str, wave: Wave, now: float) -> bool:
    """Return whether a wave no longer waits for a host.

    Such a host is removed, quarantined or leaving, or lost for longer than a reboot may take.
    """
    entry = update.entries.get(name)
    if entry is None:
        return True
    state = update.fleet.states[name]
    if state in ("quarantined", "leaving"):
        return True
    return state == "lost" and now - entry.since > wave.reboot_limit_s
