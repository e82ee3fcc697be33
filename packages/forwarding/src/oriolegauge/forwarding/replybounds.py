"""Bounds on what a server may send beside the body of its reply."""

from dataclasses import dataclass

KIB = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyBounds:
    """Bound a reply; past a bound its connection closes.

    `max_head_bytes` and `max_headers` hold for one header. `max_interim` counts
    replies of status 1xx and `max_strays` replies of other requests before the
    reply; `max_stray_bytes` bounds all bytes before its header.
    `max_framing_bytes` bounds chunk sizes, chunk extensions and trailers,
    beyond `framing_per_byte` for each byte of the body.
    """

    max_head_bytes: int = 64 * KIB
    max_headers: int = 256
    max_interim: int = 16
    max_strays: int = 4
    max_stray_bytes: int = 1024 * KIB
    max_framing_bytes: int = 64 * KIB
    framing_per_byte: int = 16
