"""Kept connections to backend servers."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterable
from functools import partial

from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.serverconnection import ServerConnection
from oriolegauge.forwarding.serversignals import ServerSignals

# Idle connections kept per server; the rest of a burst is closed.
MAX_IDLE_PER_SERVER = 16

Address = tuple[str, int]
_Place = tuple[ServerInstance, Address]


class ConnectionPool:
    """Lend connections, the most recently used first."""

    def __init__(
        self,
        *,
        request_id_header: str,
        connect_timeout_s: float,
        on_connected: Callable[[str, bool], None],
        signals: ServerSignals,
    ) -> None:
        """Report each attempt to connect to an instance and its success.

        `signals` sees the header of each reply.
        """
        self._id_header = request_id_header
        self._signals = signals
        self._connect_timeout_s = connect_timeout_s
        self._on_connected = on_connected
        # By the instance too: its address may be another server's afterwards.
        self._idle: dict[_Place, deque[ServerConnection]] = {}
        self._open: Counter[Address] = Counter()

    def in_use(self, address: Address) -> int:
        """Return the number of connections lent out."""
        return self._open[address]

    async def take(
        self, server: BackendServer, *, max_idle_s: float
    ) -> ServerConnection:
        """Return a connection; raise ServerUnreachableError.

        A kept one is used only if it was idle for at most `max_idle_s`.
        """
        kept = self._idle.get(_place(server))
        while kept:
            connection = kept.pop()
            if connection.is_reusable and connection.idle_s <= max_idle_s:
                self._open[server.address] += 1
                return connection
            connection.abort()
        self._open[server.address] += 1
        try:
            connection = await ServerConnection.open(
                server.address,
                self._id_header,
                self._connect_timeout_s,
                partial(self._signals.observe, server.server_instance),
            )
        except ServerUnreachableError:
            self._open[server.address] -= 1
            self._on_connected(server.instance, False)
            raise
        except asyncio.CancelledError:
            self._open[server.address] -= 1
            raise
        self._on_connected(server.instance, True)
        return connection

    def give_back(
        self, server: BackendServer, connection: ServerConnection
    ) -> None:
        """Keep the connection if its last reply was whole, else close it."""
        self._open[server.address] -= 1
        connection.release()
        kept = self._idle.setdefault(_place(server), deque())
        if connection.is_reusable and len(kept) < MAX_IDLE_PER_SERVER:
            kept.append(connection)
        else:
            connection.abort()

    def prune(self, live: Iterable[BackendServer]) -> None:
        """Close idle connections that have expired or whose server is gone."""
        places = {_place(server) for server in live}
        for place in list(self._idle):
            kept = self._idle[place]
            usable = deque(
                connection
                for connection in kept
                if connection.is_reusable and place in places
            )
            for connection in kept:
                if connection not in usable:
                    connection.abort()
            if usable:
                self._idle[place] = usable
            else:
                del self._idle[place]

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(())


def _place(server: BackendServer) -> _Place:
    return server.server_instance, server.address
