"""Estimates of the resources that jobs use, from workers' delayed reports and jobs' declarations.

Follows the idea of usage-based limits with a margin (Autopilot, EuroSys 2020): the estimate rises
fast with a high sample and falls slowly with low ones.
"""

from __future__ import annotations

from typing import Final

import msgspec

RISE_WEIGHT: Final = 0.5
"""Weight of a sample above the estimate."""
FALL_WEIGHT: Final = 0.05
"""Weight of a sample below the estimate."""
MARGIN: Final = 1.15
"""Factor on the estimated share, as a margin for bursts between two reports."""
MIN_SAMPLES: Final = 3
"""Number of samples of a kind from which its estimate is used."""
MIN_SHARE: Final = 0.1
"""Minimum share of the declared resources that is reserved."""
MAX_SHARE: Final = 2.0
"""Maximum multiple of the declared resources that is reserved."""


class Usage(msgspec.Struct, frozen=True):
    """Resources of a task."""

    cores: float
    """Number of processor cores."""
    memory_gb: float
    """Memory, GB."""


class UsageEstimate(msgspec.Struct, frozen=True):
    """Estimated usage of one kind of job."""

    samples: int = 0
    """Number of reports so far."""
    cores_share: float = 1.0
    """Cores used as a share of those declared."""
    memory_share: float = 1.0
    """Memory used as a share of that declared."""


class UsageModel:
    """Estimated usage by kind of job; a kind is a team and a job family."""

    def __init__(self) -> None:
        """Create a model without samples."""
        self.estimates: dict[str, UsageEstimate] = {}
        """Estimated usage by kind."""

    def add_sample(self, kind: str, declared: Usage, used: Usage) -> None:
        """Update the estimate of a kind with one report."""
        old = self.estimates.get(kind, UsageEstimate())
        first = old.samples == 0
        self.estimates[kind] = UsageEstimate(
            old.samples + 1,
            _blend(old.cores_share, _compute_share(used.cores, declared.cores), first=first),
            _blend(
                old.memory_share, _compute_share(used.memory_gb, declared.memory_gb), first=first
            ),
        )

    def estimate(self, kind: str, declared: Usage) -> Usage:
        """Estimate the resources that a job of a kind will use."""
        current = self.estimates.get(kind)
        if current is None or current.samples < MIN_SAMPLES:
            return declared
        return Usage(
            declared.cores * _clamp(current.cores_share * MARGIN),
            declared.memory_gb * _clamp(current.memory_share * MARGIN),
        )


def _compute_share(used: float, declared: float) -> float:
    return used / declared if declared else 1.0


def _blend(old: float, sample: float, *, first: bool) -> float:
    if first:
        return sample
    return old + (RISE_WEIGHT if sample > old else FALL_WEIGHT) * (sample - old)


def _clamp(share: float) -> float:
    return min(MAX_SHARE, max(MIN_SHARE, share))
