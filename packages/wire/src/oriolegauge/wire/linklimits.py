"""Limits of the links between daemons."""

from dataclasses import dataclass

_MIB = 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLimits:
    """Limit sizes, counts and waiting times of one link.

    A message has room for a store value of 1 MB or a body of 1 MB.
    """

    max_message_bytes: int = 2 * _MIB
    max_unsent_bytes: int = 8 * _MIB
    # Streams may queue fewer unsent bytes than calls, so that a fast stream
    # does not delay the calls on the same link.
    max_unsent_stream_bytes: int = _MIB // 4
    max_pending_calls: int = 1024
    max_running_calls: int = 256
    max_running_streams: int = 1024
    stream_buffer_bytes: int = 4 * _MIB
    stream_buffer_messages: int = 4096
    connect_timeout_s: float = 1.0
    close_timeout_s: float = 0.5
    # A link that is open and silent hides a peer that could be reached over a
    # new one. With heartbeats each 0.75 s it is closed within 2.75 s, so that a
    # change still reaches the other side within 3 s.
    unacked_timeout_ms: int = 2_000
    # Missing heartbeats detect an unresponsive member; pings only close links
    # whose other side disappeared without closing them.
    ping_period_s: float = 4.0
    # Two refused connections at least 200 ms apart prove that a process has
    # ended, so the shortest pause is longer than that.
    retry_initial_s: float = 0.25
    retry_max_s: float = 2.0
