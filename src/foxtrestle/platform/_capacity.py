"""Room as the platform writes it, alike for workers and hosts."""

from __future__ import annotations

from typing import Annotated

import msgspec

from foxtrestle.scheduling.model import Shape

Amount = Annotated[int, msgspec.Meta(ge=0)]


class Capacity(msgspec.Struct):
    """Room on the wire."""

    cpu: Amount = 0
    memMb: Amount = 0
    gpu: Amount = 0

    def to_shape(self) -> Shape:
        """Return it in our own terms."""
        return Shape(self.cpu, self.memMb, self.gpu)
