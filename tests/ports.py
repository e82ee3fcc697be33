"""Reserve ports for the processes that tests start."""

import random
import socket

HOST = '127.0.0.1'
# Below the ephemeral range: an outgoing connection could otherwise take the
# port of a process that is stopped for a restart.
FIRST_PORT = 10_000
LAST_PORT = 32_000

# Sockets bound to the reserved ports, open until this process ends.
_RESERVING_SOCKETS: list[socket.socket] = []


def hold_port() -> int:
    """Return a port reserved for this test process until it ends.

    The reserving socket is bound but does not listen, and allows address
    reuse, so a server that a test kills can bind the port again.
    """
    rng = random.SystemRandom()
    for _ in range(LAST_PORT - FIRST_PORT):
        port = rng.randrange(FIRST_PORT, LAST_PORT)
        reserving = socket.socket()
        try:
            # Without SO_REUSEADDR, binding a reserved port fails.
            reserving.bind((HOST, port))
        except OSError:
            reserving.close()
            continue
        reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _RESERVING_SOCKETS.append(reserving)
        return port
    raise RuntimeError('no free port')
