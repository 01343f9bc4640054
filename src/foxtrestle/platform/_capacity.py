"""Room as the platform writes it, alike for workers and hosts."""

from __future__ import annotations

import msgspec

from foxtrestle.scheduling.model import Shape


class Capacity(msgspec.Struct):
    """Room on the wire."""

    cpu: int = 0
    memMb: int = 0
    gpu: int = 0

    def to_shape(self) -> Shape:
        """Return it in our own terms."""
        return Shape(self.cpu, self.memMb, self.gpu)
