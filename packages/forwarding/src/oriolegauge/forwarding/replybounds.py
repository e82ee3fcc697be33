"""Limits on what a server may send beside the body of its reply.

A faulty server that never stops sending must not fill the daemon's memory.
"""

from dataclasses import dataclass

KIB = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyBounds:
    """Limit a reply; beyond a limit its connection is closed.

    `max_head_bytes` and `max_headers` apply to one header section. Before the
    reply, at most `max_interim` replies of status 1xx, `max_unmatched_replies`
    replies with another request id and `max_bytes_before_header` bytes are
    accepted. Chunk sizes, chunk extensions and trailers may take
    `max_framing_bytes`, and `framing_per_byte` for each byte of the body.
    """

    max_head_bytes: int = 64 * KIB
    max_headers: int = 256
    max_interim: int = 16
    max_unmatched_replies: int = 4
    max_bytes_before_header: int = 1024 * KIB
    max_framing_bytes: int = 64 * KIB
    framing_per_byte: int = 16
