"""Kept connections to backend servers."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Collection

from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.forwarding.serverconnection import ServerConnection

# Idle connections kept per server; the rest of a burst is closed.
MAX_IDLE_PER_SERVER = 16

Address = tuple[str, int]


class ConnectionPool:
    """Lend connections, the most recently used first."""

    def __init__(
        self,
        *,
        request_id_header: str,
        connect_timeout_s: float,
        on_connected: Callable[[str, bool], None],
    ) -> None:
        """Report each attempt to connect to an instance and its success."""
        self._id_header = request_id_header
        self._connect_timeout_s = connect_timeout_s
        self._on_connected = on_connected
        self._idle: dict[Address, deque[ServerConnection]] = {}
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
        kept = self._idle.get(server.address)
        while kept:
            connection = kept.pop()
            if connection.is_reusable and connection.idle_s <= max_idle_s:
                self._open[server.address] += 1
                return connection
            connection.abort()
        self._open[server.address] += 1
        try:
            connection = await ServerConnection.open(
                server.address, self._id_header, self._connect_timeout_s
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
        kept = self._idle.setdefault(server.address, deque())
        if connection.is_reusable and len(kept) < MAX_IDLE_PER_SERVER:
            kept.append(connection)
        else:
            connection.abort()

    def prune(self, live: Collection[Address]) -> None:
        """Close idle connections that have expired or whose server is gone."""
        for address in list(self._idle):
            kept = self._idle[address]
            usable = deque(
                connection
                for connection in kept
                if connection.is_reusable and address in live
            )
            for connection in kept:
                if connection not in usable:
                    connection.abort()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(())
