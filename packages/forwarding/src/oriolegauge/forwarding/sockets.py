"""Socket options of long-lived connections."""

import asyncio
import socket

# A peer that is cut off answers neither data nor probes. Two probes a second
# apart end such a connection within the 3 s that the shortest deadlines of
# streams leave for a second attempt.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
# Longest time that sent bytes may stay unacknowledged; the same bound.
UNACKED_TIMEOUT_MS = 3_000


def end_when_silent(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end the connection once the other host is gone."""
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
