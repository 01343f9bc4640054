"""Capacity in the platform's format, the same for workers and hosts."""

from __future__ import annotations

import msgspec

from foxtrestle.platform._numbers import Count  # noqa: TC001 - msgspec reads annotations
from foxtrestle.scheduling.model import Shape


class Capacity(msgspec.Struct):
    """Capacity as encoded by the platform."""

    cpu: Count = 0  # thousandths of a core
    memMb: Count = 0
    gpu: Count = 0  # accelerators

    def to_shape(self) -> Shape:
        """Convert the capacity to the project's own type."""
        return Shape(self.cpu, self.memMb, self.gpu)
