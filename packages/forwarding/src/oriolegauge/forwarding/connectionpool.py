"""Pool of connections to backend servers."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterable
from functools import partial

from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.serverconnection import ServerConnection
from oriolegauge.forwarding.serversignals import ServerSignals
from oriolegauge.forwarding.traffic import UNCOUNTED, Traffic

# Idle connections kept per server. Further ones, as after a burst, are closed.
MAX_IDLE_PER_SERVER = 16

Address = tuple[str, int]
_InstanceAddress = tuple[ServerInstance, Address]


class ConnectionPool:
    """Lend connections, the most recently used first."""

    def __init__(
        self,
        *,
        request_id_header: str,
        connect_timeout_s: float,
        on_connected: Callable[[str, bool], None],
        signals: ServerSignals,
        traffic: Traffic = UNCOUNTED,
    ) -> None:
        """Call `on_connected(instance, success)` for each attempt to connect.

        `signals` observes the header of each reply, and `traffic` counts the
        bytes of all connections.
        """
        self._traffic = traffic
        self._id_header = request_id_header
        self._signals = signals
        self._connect_timeout_s = connect_timeout_s
        self._on_connected = on_connected
        # The key holds the instance too, because another server may use its
        # address later.
        self._idle: dict[_InstanceAddress, deque[ServerConnection]] = {}
        self._lent: Counter[Address] = Counter()

    def in_use(self, address: Address) -> int:
        """Return the number of connections lent out."""
        return self._lent[address]

    async def take(
        self, server: BackendServer, *, max_idle_s: float
    ) -> ServerConnection:
        """Return a connection; raise ServerUnreachableError.

        An open connection is used only if it was idle for at most `max_idle_s`.
        """
        idle = self._idle.get(_instance_address(server))
        while idle:
            connection = idle.pop()
            if connection.is_reusable and connection.idle_s <= max_idle_s:
                self._lent[server.address] += 1
                return connection
            connection.abort()
        return await self._open(server)

    async def probe(self, server: BackendServer) -> None:
        """Open a connection and close it; raise ServerUnreachableError."""
        connection = await self._open(server)
        self._lent[server.address] -= 1
        connection.abort()

    def give_back(
        self, server: BackendServer, connection: ServerConnection
    ) -> None:
        """Keep the connection if its last reply was complete, else close it."""
        self._lent[server.address] -= 1
        connection.release()
        idle = self._idle.setdefault(_instance_address(server), deque())
        if connection.is_reusable and len(idle) < MAX_IDLE_PER_SERVER:
            idle.append(connection)
        else:
            connection.abort()

    def prune(self, live: Iterable[BackendServer]) -> None:
        """Close idle connections that expired or whose server is not `live`."""
        live_addresses = {_instance_address(server) for server in live}
        for instance_address in list(self._idle):
            idle = self._idle[instance_address]
            usable = deque(
                connection
                for connection in idle
                if connection.is_reusable and instance_address in live_addresses
            )
            for connection in idle:
                if connection not in usable:
                    connection.abort()
            if usable:
                self._idle[instance_address] = usable
            else:
                del self._idle[instance_address]

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(())

    async def _open(self, server: BackendServer) -> ServerConnection:
        self._lent[server.address] += 1
        try:
            connection = await ServerConnection.open(
                server.address,
                self._id_header,
                self._connect_timeout_s,
                partial(self._signals.observe, server.server_instance),
                self._traffic,
            )
        except ServerUnreachableError:
            self._lent[server.address] -= 1
            self._on_connected(server.instance, False)
            raise
        except asyncio.CancelledError:
            self._lent[server.address] -= 1
            raise
        self._on_connected(server.instance, True)
        return connection


def _instance_address(server: BackendServer) -> _InstanceAddress:
    return server.server_instance, server.address
