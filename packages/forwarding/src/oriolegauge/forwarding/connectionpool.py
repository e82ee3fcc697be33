"""Pool of connections to backend servers."""

import asyncio
import math
from collections import Counter, deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

from oriolegauge.core.taskset import TaskSet
from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.serverconnection import ServerConnection
from oriolegauge.forwarding.serversignals import ServerSignals
from oriolegauge.forwarding.traffic import UNCOUNTED, Traffic
from oriolegauge.routing.connectfailure import ConnectFailure
from oriolegauge.routing.servicereach import ServiceReach

# Idle connections kept per server. Further ones, as after a burst, are closed.
MAX_IDLE_PER_SERVER = 16
# A server that has reset a new connection may do so again for this time. Bytes
# sent before the reset arrives may have run, so a new connection to it is used
# only if it is still open after SETTLE_S, some round trips between zones.
RESET_MEMORY_S = 2.0
SETTLE_S = 0.005
# If this many servers have not answered since a connection was opened, the link
# of this host may be cut or full without bytes that are counted.
MAX_SILENT_IN_A_ROW = 4
# Weight of a new sample in the mean time to open a connection.
OPENING_WEIGHT = 0.1

Opened = ServerConnection | ServerUnreachableError
Address = tuple[str, int]
_InstanceAddress = tuple[ServerInstance, Address]


class ConnectObserver(Protocol):
    """Take the result of an attempt to connect to a server."""

    def __call__(
        self,
        name: str,
        *,
        ok: bool,
        failure: ConnectFailure,
        began_at: float,
    ) -> None:
        """Note the result of an attempt that began at the loop time.

        `failure` counts unless it was `ok`.
        """


class ConnectionPool:
    """Lend connections, the most recently used first."""

    def __init__(
        self,
        *,
        request_id_header: str,
        connect_timeout_s: float,
        on_connected: ConnectObserver,
        signals: ServerSignals,
        reach: ServiceReach,
        traffic: Traffic = UNCOUNTED,
        idle_limit: Callable[[str], int] | None = None,
    ) -> None:
        """Call `on_connected` for each attempt to connect that tells something.

        Keep at most `idle_limit(service)` idle connections per server, since
        they count against its limit too.

        `signals` observes the header of each reply, `traffic` counts the bytes
        of all connections, and `reach` learns which attempts to connect fail.
        """
        self._traffic = traffic
        self._reach = reach
        self._idle_limit = idle_limit
        self._clock = asyncio.get_running_loop().time
        self._tasks = TaskSet()
        self._opening: set[asyncio.Task[Opened]] = set()
        # Servers whose last attempt to connect timed out, and those that are
        # tested since.
        self._silent: set[ServerInstance] = set()
        self._tested: set[ServerInstance] = set()
        self._reset_at: dict[ServerInstance, float] = {}
        # Servers that have not answered since a connection was opened.
        self._silent_in_a_row: set[ServerInstance] = set()
        self.opened_at = -math.inf
        self.usual_opening_s: float = 0
        self._id_header = request_id_header
        self._signals = signals
        self.connect_timeout_s = connect_timeout_s
        self._on_connected = on_connected
        # The key holds the instance too, because another server may use its
        # address later.
        self._idle: dict[_InstanceAddress, deque[ServerConnection]] = {}
        self._lent: Counter[Address] = Counter()

    @property
    def is_own_link_loaded(self) -> bool:
        """State whether attempts may wait for this host's own link."""
        return (
            self._traffic.is_loaded
            or len(self._silent_in_a_row) >= MAX_SILENT_IN_A_ROW
        )

    def in_use(self, address: Address) -> int:
        """Return the number of connections lent out."""
        return self._lent[address]

    def take_idle(
        self, server: BackendServer, *, max_idle_s: float
    ) -> ServerConnection | None:
        """Return an open connection that was idle for at most `max_idle_s`.

        One that was idle for longer stays for requests that may be repeated.
        """
        idle = self._idle.get(_instance_address(server))
        while idle:
            connection = idle[-1]
            if connection.is_reusable and connection.idle_s > max_idle_s:
                return None
            idle.pop()
            if connection.is_reusable:
                self._lent[server.address] += 1
                return connection
            connection.abort()
        return None

    def start_opening(self, server: BackendServer) -> 'asyncio.Task[Opened]':
        """Open a connection in a task that returns it, or why it failed."""
        task = self._tasks.spawn(self._try_open(server))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return task

    def keep_when_open(
        self, server: BackendServer, opening: 'asyncio.Task[Opened]'
    ) -> None:
        """Keep the connection for a later request once it is open."""
        opening.add_done_callback(partial(self._keep_opened, server))

    def needs_test(self, server: BackendServer) -> bool:
        """State whether the server was silent and is not tested yet."""
        instance = server.server_instance
        return instance in self._silent and instance not in self._tested

    def test(self, server: BackendServer) -> None:
        """Connect to a silent server, so that no request waits for it."""
        instance = server.server_instance
        self._tested.add(instance)
        opening = self.start_opening(server)
        opening.add_done_callback(lambda _: self._tested.discard(instance))
        self.keep_when_open(server, opening)

    async def probe(self, server: BackendServer) -> None:
        """Open a connection and close it; raise ServerUnreachableError."""
        connection = await self._open(server)
        self._lent[server.address] -= 1
        connection.abort()

    def give_back(
        self, server: BackendServer, connection: ServerConnection
    ) -> None:
        """Keep the connection if its last reply was complete, else close it."""
        if connection.is_reset_at_once:
            self.note_reset(server)
        connection.release()
        self._keep(server, connection)

    def note_answered(self, server: BackendServer) -> None:
        """Record that the server has answered."""
        self._reach.note_reached(server.service)

    def note_reset(self, server: BackendServer) -> None:
        """Record that the server closed a new connection."""
        now = self._clock()
        self._reset_at[server.server_instance] = now
        self._report_failed(server, ConnectFailure.RESET, now)

    def prune(self, live: Iterable[BackendServer]) -> None:
        """Close idle connections that expired or whose server is not `live`."""
        live_addresses = {_instance_address(server) for server in live}
        instances = {instance for instance, _ in live_addresses}
        self._silent &= instances
        self._silent_in_a_row &= instances
        for instance in self._reset_at.keys() - instances:
            del self._reset_at[instance]
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
        """Close all idle connections, and those that are opening."""
        for opening in self._opening:
            opening.cancel()
        self.prune(())

    async def _open(self, server: BackendServer) -> ServerConnection:
        self._lent[server.address] += 1
        began_at = self._clock()
        try:
            connection = await ServerConnection.open(
                server.address,
                self._id_header,
                self.connect_timeout_s,
                partial(self._signals.observe, server.server_instance),
                self._traffic,
            )
            if self._is_likely_to_reset(server, began_at):
                await connection.stay_open(SETTLE_S)
        except ServerUnreachableError as error:
            self._lent[server.address] -= 1
            self._note_failed(server, error.failure, began_at)
            raise
        except asyncio.CancelledError:
            self._lent[server.address] -= 1
            raise
        self._note_opened(server, began_at)
        return connection

    async def _try_open(self, server: BackendServer) -> 'Opened':
        try:
            return await self._open(server)
        except ServerUnreachableError as error:
            return error

    def _is_likely_to_reset(self, server: BackendServer, now: float) -> bool:
        last = self._reset_at.get(server.server_instance)
        return last is not None and now - last < RESET_MEMORY_S

    def _note_opened(self, server: BackendServer, began_at: float) -> None:
        now = self._clock()
        self.opened_at = now
        self.usual_opening_s += OPENING_WEIGHT * (
            now - began_at - self.usual_opening_s
        )
        self._silent.discard(server.server_instance)
        self._silent_in_a_row.clear()
        self._reach.note_reached(server.service)
        self._on_connected(
            server.instance,
            ok=True,
            failure=ConnectFailure.SILENT,
            began_at=began_at,
        )

    def _note_failed(
        self, server: BackendServer, failure: ConnectFailure, began_at: float
    ) -> None:
        if failure is ConnectFailure.RESET:
            self.note_reset(server)
            return
        if not self._traffic.is_loaded:
            self._reach.note_failed(server.service, server.instance)
        if failure is ConnectFailure.SILENT:
            is_own_fault = self.is_own_link_loaded
            self._silent_in_a_row.add(server.server_instance)
            if is_own_fault:
                return
            self._silent.add(server.server_instance)
        self._report_failed(server, failure, began_at)

    def _report_failed(
        self, server: BackendServer, failure: ConnectFailure, began_at: float
    ) -> None:
        self._on_connected(
            server.instance, ok=False, failure=failure, began_at=began_at
        )

    def _keep_opened(
        self, server: BackendServer, opening: 'asyncio.Task[Opened]'
    ) -> None:
        if opening.cancelled():
            return
        opened = opening.result()
        if isinstance(opened, ServerConnection):
            self._keep(server, opened)

    def _keep(
        self, server: BackendServer, connection: ServerConnection
    ) -> None:
        self._lent[server.address] -= 1
        idle = self._idle.setdefault(_instance_address(server), deque())
        limit = MAX_IDLE_PER_SERVER
        if self._idle_limit:
            limit = min(limit, self._idle_limit(server.service))
        if connection.is_reusable and len(idle) < limit:
            idle.append(connection)
        else:
            connection.abort()


def _instance_address(server: BackendServer) -> _InstanceAddress:
    return server.server_instance, server.address
