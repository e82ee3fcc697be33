"""TCP options that detect unreachable peers of long-lived connections."""

import array
import asyncio
import fcntl
import socket
import termios
from typing import Any, Protocol

# An unreachable peer answers neither data nor keep-alive probes. Two probes a
# second apart close its connection within 3 s, which leaves time for a second
# attempt within the shortest deadlines of streams.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
# Longest time that sent bytes may stay unacknowledged: also 3 s.
UNACKED_TIMEOUT_MS = 3_000
_MS_PER_S = 1000


def allow_pauses(transport: asyncio.BaseTransport, seconds: float) -> None:
    """Let the peer read nothing for that long while bytes wait for it.

    The kernel counts a window that stays closed as unacknowledged bytes.
    """
    _set_unacked_timeout(transport, int(seconds * _MS_PER_S))


def forbid_pauses(transport: asyncio.BaseTransport) -> None:
    """Notice again soon that the peer is unreachable."""
    _set_unacked_timeout(transport, UNACKED_TIMEOUT_MS)


def unread_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the bytes that the peer's host has not acknowledged yet.

    The kernel takes more from the process only after a large part of what it
    holds has been read, so the process alone can't tell whether a peer reads.
    """
    waiting = transport.get_write_buffer_size()
    sock = transport.get_extra_info('socket')
    queued = array.array('i', (0,))
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
    except OSError:
        return waiting
    return waiting + queued[0]


class Connection(Protocol):
    """Transport, or a WebSocket above one."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the transport, such as its `socket`."""


def detect_unreachable_peer(
    transport: Connection,
    unacked_timeout_ms: int = UNACKED_TIMEOUT_MS,
) -> None:
    """Let the kernel close the connection if the peer is unreachable."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family not in {socket.AF_INET, socket.AF_INET6}:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, unacked_timeout_ms),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, number)


def _set_unacked_timeout(
    transport: asyncio.BaseTransport, milliseconds: int
) -> None:
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family not in {socket.AF_INET, socket.AF_INET6}:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
