"""Tests that are known to fail, as `KNOWN-RED.txt` lists them: passed over, and printed.

A line is `test, cause, command and seed, what was seen, issue`; the test is a file, or a file and
a name as pytest prints it. A listed test is expected to fail: one that passes again fails the run,
so that its line goes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

if TYPE_CHECKING:
    from pathlib import Path

LIST: Final = "KNOWN-RED.txt"
"""Name of the list, at the root."""


def read_entries(root: Path) -> dict[str, str]:
    """Read the list: the rest of each line by its test.

    Raises:
        pytest.UsageError: A line names a file that does not exist, or has no cause.
    """
    path = root / LIST
    if not path.exists():
        return {}
    entries = {}
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip():
            continue
        test, _, rest = line.partition(",")
        file = test.strip().partition("::")[0]
        if not rest.strip() or not (root / file).is_file():
            raise pytest.UsageError(f"{LIST}:{number}: no cause, or no such file: {file}")
        entries[test.strip()] = rest.strip()
    return entries


def find_entry(entries: dict[str, str], node_id: str) -> str | None:
    """Return what the list says of a test; None if it is not listed."""
    for test, rest in entries.items():
        if node_id == test or node_id.startswith((test + "::", test + "[")):
            return rest
    return None


def pytest_report_header(config: pytest.Config) -> list[str]:
    """Print what is passed over."""
    entries = read_entries(config.rootpath)
    return [f"known red, passed over: {test}, {rest}" for test, rest in entries.items()]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail."""
    entries = read_entries(config.rootpath)
    for item in items:
        rest = find_entry(entries, item.nodeid)
        if rest is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{LIST}: {rest}", strict=True))
