"""Load that goes by turns: learned where it does, nothing expected where it does not."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtrestle.scheduling.turns import CONFIRM_S, LATE_S, READY_SHARE, Turns

POOLS = ("a", "b", "c", "d")
LEAD_S = 1.9
STEP_S = 0.1


def play(turns: Turns, highs: list[tuple[str, float]], until: float, begin: float = 0.0) -> None:
    """Have one pool after another high, each from a time on, until some time."""
    for step in range(round(begin / STEP_S), round(until / STEP_S)):
        now = step * STEP_S
        high = [pool for pool, since in highs if since <= now][-1]
        turns.note({pool: 8.0 if pool == high else 0.3 for pool in POOLS}, now)


def test_a_rise_is_taken_from_its_beginning() -> None:
    turns = Turns()
    play(turns, [("a", 0.0), ("c", 5.0)], 8.0)
    assert [(rise.pool, round(rise.at, 6)) for rise in turns.rises] == [("a", 0.0), ("c", 5.0)]
    assert turns.levels["c"] == pytest.approx(8.0)


def test_jobs_that_come_together_for_a_moment_are_no_rise() -> None:
    turns = Turns()
    play(turns, [("a", 0.0), ("b", 3.0), ("a", 3.0 + CONFIRM_S - 0.15)], 6.0)
    assert [rise.pool for rise in turns.rises] == ["a"]


def test_the_next_rise_is_expected_after_as_long_as_the_last() -> None:
    turns = Turns()
    play(turns, [("a", 0.0), ("b", 9.0)], 12.0)
    assert turns.expect(12.0, LEAD_S) == {}
    ready = turns.expect(18.0 - LEAD_S, LEAD_S)
    assert set(ready) == {"c", "d"}, "the pools that have not had their turn"
    assert turns.expect(18.0 + LATE_S + 0.1, LEAD_S) == {}


def test_after_all_pools_have_risen_the_one_of_longest_ago_is_expected() -> None:
    turns = Turns()
    play(turns, [("a", 0.0), ("b", 9.0), ("c", 18.0), ("d", 27.0)], 30.0)
    assert set(turns.expect(36.0 - LEAD_S, LEAD_S)) == {"a"}


def test_nothing_is_expected_where_intervals_differ() -> None:
    turns = Turns()
    play(turns, [("a", 0.0), ("b", 3.0), ("c", 12.0)], 20.0)
    assert all(turns.expect(12.0 + 0.1 * step, LEAD_S) == {} for step in range(150))


def test_nothing_is_expected_of_steady_load() -> None:
    turns = Turns()
    for step in range(400):
        turns.note(dict.fromkeys(POOLS, 5.0), step * STEP_S)
    assert turns.expect(40.0, LEAD_S) == {}


@given(st.lists(st.tuples(st.floats(0, 50), st.floats(0, 50)), max_size=60))
def test_what_is_made_ready_is_bounded_by_what_was_ever_seen(
    loads: list[tuple[float, float]],
) -> None:
    turns = Turns()
    seen = 0.0
    for step, (first, second) in enumerate(loads):
        seen = max(seen, first, second)
        turns.note({"a": first, "b": second}, step * 0.5)
        ready = turns.expect(step * 0.5, LEAD_S)
        assert sum(ready.values()) <= READY_SHARE * seen + 1e-9
