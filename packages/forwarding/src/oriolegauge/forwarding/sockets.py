"""TCP options that detect unreachable peers of long-lived connections."""

import asyncio
import socket

# An unreachable peer answers neither data nor keep-alive probes. Two probes a
# second apart close its connection within 3 s, which leaves time for a second
# attempt within the shortest deadlines of streams.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
# Longest time that sent bytes may stay unacknowledged: also 3 s.
UNACKED_TIMEOUT_MS = 3_000


def detect_unreachable_peer(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close the connection if the peer is unreachable."""
    sock = transport.get_extra_info('socket')
    if sock is None or sock.family not in {socket.AF_INET, socket.AF_INET6}:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, number)
