"""Where to cut the bytes of a connection, so that a parser is given one request at a time.

The parser cannot stop at the end of a request. Bytes behind that end are not given to it until the
request is answered, so that requests sent ahead of their turn stay plain bytes.
"""

from __future__ import annotations

from typing import Final

EMPTY_LINE: Final = b"\n\r\n"
"""End of a line and an empty line: the end of a head, or of a chunked body with its trailers."""


def find_slice_end(data: bytes, start: int, former: bytes, body_left: int) -> int:
    """Return the end of the bytes that may be given to the parser next.

    The slice never reaches beyond the end of a head or of a request.

    Args:
        data: Bytes received and not parsed.
        start: Index of the first byte that is not parsed.
        former: Last two bytes that were given to the parser; an empty line may begin in them.
        body_left: Bytes that are left of a body of known length; 0 in a head or a chunked body.
    """
    if body_left:
        return min(len(data), start + body_left)
    seam = former + data[start : start + len(EMPTY_LINE) - 1]
    found = seam.find(EMPTY_LINE)
    if found >= 0:
        return start + found + len(EMPTY_LINE) - len(former)
    found = data.find(EMPTY_LINE, start)
    return found + len(EMPTY_LINE) if found >= 0 else len(data)


def read_body_framing(headers: list[tuple[bytes, bytes]]) -> tuple[bool, int]:
    """Return whether a body is chunked, and its length otherwise.

    The parser has rejected requests in which these header fields contradict each other.
    """
    length = 0
    for name, value in headers:
        if name == b"transfer-encoding":
            return True, 0
        if name == b"content-length":
            length = int(value)
    return False, length
