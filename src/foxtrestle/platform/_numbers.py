"""Numbers in the platform's messages, bounded so that they can be added, logged and sent on.

JSON sets no limit to a number's digits. A number beyond these bounds is no quantity of a fleet, and
some operation on it would fail: a conversion to a float, or encoding it in 64 bits.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from foxtrestle.scheduling.job_limits import MAX_QUANTITY

MAX_REVISION: Final = (1 << 63) - 1
"""Maximum revision or lease number of the store: the largest signed number of 64 bits."""
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_QUANTITY)]
"""A whole number that is not negative, such as a capacity or the number of a run."""
Quantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_QUANTITY)]
"""A number that is not negative, such as a time in milliseconds."""
Integer = Annotated[int, msgspec.Meta(ge=-MAX_QUANTITY, le=MAX_QUANTITY)]
"""A whole number of either sign, such as a priority."""
Real = Annotated[float, msgspec.Meta(ge=-MAX_QUANTITY, le=MAX_QUANTITY)]
"""A number of either sign."""
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
"""A revision or a lease number of the store."""
