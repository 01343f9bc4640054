"""A listed test is passed over and printed; everything else that fails, fails the run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.known_red import find_entry

if TYPE_CHECKING:
    import pytest

FILE = """
def test_red(): assert False
def test_green(): pass
def test_red_beside(): assert False
"""


def run(pytester: pytest.Pytester, listed: str) -> pytest.RunResult:
    pytester.makeini("[pytest]\nasyncio_default_fixture_loop_scope = function")
    pytester.makepyfile(test_some=FILE)
    pytester.path.joinpath("KNOWN-RED.txt").write_text(listed)
    return pytester.runpytest_inprocess("-p", "tests.known_red", "-p", "no:randomly")


def test_what_is_listed_is_passed_over_and_printed(pytester: pytest.Pytester) -> None:
    lines = (
        "test_some.py::test_red, cause, issue 1\ntest_some.py::test_red_beside, other, issue 2\n"
    )
    result = run(pytester, lines)
    result.assert_outcomes(passed=1, xfailed=2)
    assert result.ret == 0
    result.stdout.fnmatch_lines(["known red, passed over: test_some.py::test_red, cause, issue 1"])


def test_what_is_not_listed_fails_the_run(pytester: pytest.Pytester) -> None:
    result = run(pytester, "test_some.py::test_red, cause, issue 1\n")
    result.assert_outcomes(passed=1, xfailed=1, failed=1)
    assert result.ret == 1


def test_a_listed_test_that_passes_again_fails_the_run(pytester: pytest.Pytester) -> None:
    result = run(pytester, "test_some.py, the whole file, issue 1\n")
    result.assert_outcomes(xfailed=2, failed=1)
    assert result.ret == 1


def test_a_line_without_a_cause_or_a_file_is_refused(pytester: pytest.Pytester) -> None:
    for line in ("test_some.py\n", "test_none.py, cause, issue 1\n"):
        assert run(pytester, line).ret not in {0, 1}


def test_a_name_that_begins_alike_is_not_listed() -> None:
    entries = {"tests/test_a.py::test_one": "cause"}
    assert find_entry(entries, "tests/test_a.py::test_one") == "cause"
    assert find_entry(entries, "tests/test_a.py::test_one[x]") == "cause"
    assert find_entry(entries, "tests/test_a.py::test_one_more") is None
