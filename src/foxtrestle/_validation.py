"""Field-by-field conversion of parsed TOML that reports every fault, not only the first."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)


class Fault(msgspec.Struct, frozen=True):
    """One fault in a file, with its place."""

    place: str
    """Table, index and key, for example `pools[2].hosts`."""
    reason: str
    """What is wrong and what is allowed."""

    def __str__(self) -> str:
        return f"{self.place}: {self.reason}"


def convert_table(table: object, kind: type[T], place: str, faults: list[Fault]) -> T | None:
    """Convert one table to a struct, adding a fault for each key that is invalid or missing.

    Args:
        table: The parsed table.
        kind: The struct to build.
        place: Path of the table in the file.
        faults: List to which faults are added.

    Returns:
        The struct, or None when the table has a fault.
    """
    if not isinstance(table, dict):
        faults.append(Fault(place, f"expected a table, got {type(table).__name__}"))
        return None
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    before = len(faults)
    values: dict[str, Any] = {}
    for key, value in table.items():
        field = fields.get(key)
        if field is None:
            allowed = ", ".join(sorted(fields))
            faults.append(Fault(_join_path(place, key), f"unknown key; allowed: {allowed}"))
            continue
        try:
            values[field.name] = msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            faults.append(Fault(_join_path(place, key), str(error)))
    for key, field in fields.items():
        if field.required and key not in table:
            faults.append(Fault(_join_path(place, key), "required key is missing"))
    if len(faults) > before:
        return None
    return kind(**values)


def convert_tables(tables: object, kind: type[T], place: str, faults: list[Fault]) -> list[T]:
    """Convert an array of tables, adding the faults of each table.

    Returns:
        The structs of the tables that have no fault.
    """
    if not isinstance(tables, list):
        faults.append(Fault(place, "expected an array of tables"))
        return []
    converted = (
        convert_table(table, kind, f"{place}[{index}]", faults)
        for index, table in enumerate(tables)
    )
    return [item for item in converted if item is not None]


def _join_path(place: str, key: str) -> str:
    return f"{place}.{key}" if place else key
