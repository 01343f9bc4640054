"""What a controller has learned reaches the next one."""

from __future__ import annotations

import msgspec
import pytest

from foxtrestle.control.learned import LearnedRecord, adopt, decode_learned, describe
from foxtrestle.scheduling.durations import LEAST_SAMPLES, Durations
from foxtrestle.scheduling.turns import Rise, Turns
from foxtrestle.store import Record

NOW = 1000.0
WALL = 1_800_000_000.0


def hand_on(durations: Durations, turns: Turns, *, step_s: float = 0.0) -> tuple[Durations, Turns]:
    """Have another node read the record 2 s later, its wall clock some seconds off."""
    value = msgspec.json.encode(describe(durations, turns, WALL, NOW))
    others = Durations(), Turns()
    record = decode_learned(Record("k", value, 1))
    adopt(record, *others, WALL + 2.0 + step_s, 77.0)
    return others


def test_durations_and_rises_are_handed_on() -> None:
    durations, turns = Durations(), Turns()
    for _ in range(LEAST_SAMPLES):
        durations.note("q", 2.0)
    turns.rises.append(Rise("a", NOW - 5.0))
    turns.levels["a"] = 8.0
    held, expected = hand_on(durations, turns)
    assert held.estimate("q", 9000).mean_s == pytest.approx(2.0)
    assert held.estimate("other", 9000).mean_s == pytest.approx(9.0)
    assert expected.levels == {"a": 8.0}
    [rise] = expected.rises
    assert rise.at == pytest.approx(77.0 - 7.0, abs=0.01)


def test_own_samples_go_before_what_was_handed_on() -> None:
    durations = Durations()
    for _ in range(LEAST_SAMPLES):
        durations.note("q", 2.0)
    before = durations.estimate("q", 0)
    adopt(LearnedRecord({"q": msgspec.structs.replace(before, mean_s=9.0)}), durations, Turns(),
          WALL, NOW)  # fmt: skip
    assert durations.estimate("q", 0) == before


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
def test_rises_told_by_a_clock_that_has_stepped_are_forgotten(step_s: float) -> None:
    turns = Turns()
    turns.rises.append(Rise("a", NOW - 5.0))
    _, expected = hand_on(Durations(), turns, step_s=step_s)
    assert expected.rises == []


def test_a_record_that_cannot_be_read_is_as_good_as_none() -> None:
    assert decode_learned(Record("k", b"\xff", 1)) == LearnedRecord()
    assert decode_learned(None) == LearnedRecord()
