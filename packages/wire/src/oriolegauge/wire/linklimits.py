"""Bounds of the links between daemons."""

from dataclasses import dataclass

_MIB = 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLimits:
    """Bound sizes, counts and waits of one link.

    A store value of 1 MB and a body of 1 MB both fit into one message.
    """

    max_message_bytes: int = 2 * _MIB
    max_unsent_bytes: int = 8 * _MIB
    # Parts of streams wait behind fewer bytes than answers of calls may, so
    # that a fast stream does not hold up calls on the same link.
    max_unsent_stream_bytes: int = _MIB // 4
    max_pending_calls: int = 1024
    max_running_calls: int = 256
    max_running_streams: int = 1024
    stream_buffer_bytes: int = 4 * _MIB
    stream_buffer_messages: int = 4096
    connect_timeout_s: float = 1.0
    close_timeout_s: float = 0.5
    # Silence of a member shows in its heartbeats; pings only end links whose
    # other side is gone without a word.
    ping_period_s: float = 4.0
    # Two refused connections at least 200 ms apart are evidence of death, so
    # the shortest pause stays above that.
    retry_initial_s: float = 0.25
    retry_max_s: float = 2.0
