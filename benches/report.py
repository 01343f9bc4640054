"""One form for every figure: a JSON object a line."""

from __future__ import annotations

import json


def print_figure(
    bench: str,
    case: str,
    figure: str,
    unit: str,
    value: float,
    baseline: float | None = None,
    baseline_name: str = "",
) -> None:
    """Print one figure, beside the baseline's if there is one."""
    row = {
        "bench": bench,
        "case": case,
        "figure": figure,
        "unit": unit,
        "value": round(value, 4),
        "baseline": None if baseline is None else round(baseline, 4),
        "baseline_name": baseline_name,
    }
    print(json.dumps(row), flush=True)


def pick(values: list[float], share: float) -> float:
    """Return a quantile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0
