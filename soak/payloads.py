"""What clients that do not behave send: bytes that no client within the documented limits sends."""

from __future__ import annotations

from typing import Final, NamedTuple


class Payload(NamedTuple):
    """Bytes that one client sends."""

    first: bytes
    """Sent once."""
    repeated: bytes
    """Sent again and again; empty to send nothing more."""


HEAD: Final = b"POST /q/%s HTTP/1.1\r\nHost: jobs.example\r\n"
CHUNKED: Final = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
JOB_ID: Final = b"00000000000000aa"
METRICS: Final = b"GET /metrics HTTP/1.1\r\n\r\n"

PAYLOADS: Final = {
    "nothing": Payload(b"", b""),
    "long-field": Payload(b"GET / HTTP/1.1\r\nX-Long: ", b"a" * 64),
    "many-fields": Payload(b"GET / HTTP/1.1\r\n", b"a:\r\n"),
    "long-path": Payload(b"GET /", b"a" * 64),
    "empty-lines": Payload(b"", b"\r\n"),
    "trailers": Payload(CHUNKED % JOB_ID + b"2\r\n{}\r\n0\r\n", b"a: b\r\n"),
    "long-trailer": Payload(CHUNKED % JOB_ID + b"2\r\n{}\r\n0\r\na: ", b"b" * 64),
    "chunk-extension": Payload(CHUNKED % JOB_ID + b"2;", b"a" * 64),
    "requests-ahead": Payload(b"", b"GET / HTTP/1.1\r\n\r\n"),
    "valid-requests-ahead": Payload(b"", b"GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n"),
    "metrics-ahead": Payload(b"", METRICS),
    "long-body": Payload(
        HEAD % JOB_ID + b"Content-Length: 1000000000\r\n\r\n" + b'{"spec":"', b"a" * 64
    ),
    "chunked-body": Payload(CHUNKED % JOB_ID, b"40\r\n" + b"a" * 64 + b"\r\n"),
    "tiny-chunks": Payload(CHUNKED % JOB_ID, b"1\r\na\r\n"),
    "answered": Payload(
        b"GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n" + b"a:\r\n" * 4000 + b"\r\n", b""
    ),
    "hello-frame": Payload((4000).to_bytes(4, "little"), b""),
}
"""Payloads by name."""
