"""Search for a server that accepts a connection.

Matters when servers are loaded, dead or silent: a request tries others while it
has time, and does not wait for one after the other.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import dataclass, field

from oriolegauge.core.errors import NoServerError
from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.connectionpool import ConnectionPool, Opened
from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace
from oriolegauge.forwarding.serverconnection import ServerConnection
from oriolegauge.routing.connectfailure import ConnectFailure
from oriolegauge.routing.serverchooser import ServerChooser

# After this many servers that accept no connection only those are tried that
# are not known to be unreachable.
MAX_KNOWN_UNREACHABLE = 3
# Attempts that a request makes at the same time, and those that may time out
# while this daemon connects to no server: then its own link is at fault.
MAX_OPENING = 3
MAX_TIMEOUTS = 4
# Another server is tried if a connection is not open after this share of the
# objective, within bounds, or after a multiple of the usual time if that is
# longer. Connections between zones open within 5 ms, those of a host whose
# processor is busy within 0.1 s.
PATIENCE_SHARE = 0.125
MIN_PATIENCE_S = 0.02
MAX_PATIENCE_S = 0.1
USUAL_OPENINGS = 4
# The server may have closed a connection that was idle for longer. A request
# that must not be repeated is not sent on such a connection.
MAX_IDLE_NOT_REPEATABLE_S = 1.0
MAX_IDLE_REPEATABLE_S = 30.0

ServerChoice = Callable[[Collection[str]], Awaitable[BackendServer]]


@dataclass(slots=True)
class ConnectSearch:
    """Hold what one send has learned of the servers.

    `choose(excluded)` returns a server for which a permit was taken; it raises
    NoServerError if there is none. `failed` counts the servers that accepted no
    connection, and `timeouts` those that did not answer in time. `opening` are
    the attempts under way.
    """

    context: RequestContext
    trace: RequestTrace
    excluded: set[str]
    choose: ServerChoice
    began_at: float
    failed: int = 0
    timeouts: int = 0
    opening: 'dict[asyncio.Task[Opened], BackendServer]' = field(
        default_factory=dict
    )

    @property
    def tried(self) -> int:
        """Return the number of servers that have not accepted a connection."""
        return self.failed + len(self.opening)

    def note_failed(self, server: BackendServer) -> None:
        """Leave the server out for this request."""
        self.failed += 1
        self.excluded.add(server.instance)

    async def next_choice(self) -> BackendServer | None:
        """Return a server that was not tried, None if there is no other.

        Raise NoServerError if there was none to try.
        """
        under_way = {server.instance for server in self.opening.values()}
        try:
            return await self.choose(self.excluded | under_way)
        except NoServerError:
            if self.tried:
                return None
            raise


class Connector:
    """Connect to the best server that accepts a connection."""

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        chooser: ServerChooser,
        give_back: Callable[[ServerInstance], None],
    ) -> None:
        """Return the permits of servers that are not used by `give_back`."""
        self._pool = pool
        self._chooser = chooser
        self._give_back = give_back
        self._clock = asyncio.get_running_loop().time

    async def connect(
        self, search: ConnectSearch
    ) -> tuple[BackendServer, ServerConnection] | None:
        """Return the first server that accepts a connection, None if none does.

        Attempts that hang go on beside the next one: nothing was sent, so this
        is no retry. Connections that open later are kept for other requests.
        Raise NoServerError if there was no server to try.
        """
        try:
            return await self._connect(search)
        finally:
            for task, server in search.opening.items():
                self._give_back(server.server_instance)
                self._pool.keep_when_open(server, task)
            search.opening.clear()

    async def _connect(
        self, search: ConnectSearch
    ) -> tuple[BackendServer, ServerConnection] | None:
        found = None
        while found is None:
            server = await self._next_server(search)
            if server is not None:
                idle = self._take_idle(search, server)
                if idle is not None:
                    return server, idle
                search.opening[self._pool.start_opening(server)] = server
            if not search.opening:
                return None
            may_try_more = (
                server is not None and len(search.opening) < MAX_OPENING
            )
            await asyncio.wait(
                search.opening,
                timeout=self._patience_s(search) if may_try_more else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            found = self._first_open(search)
            if may_try_more and not self._pool.is_own_link_loaded:
                self._leave_out_hanging(search.opening.values())
        return found

    async def _next_server(self, search: ConnectSearch) -> BackendServer | None:
        is_own_fault = (
            search.timeouts >= MAX_TIMEOUTS
            and self._pool.opened_at < search.began_at
        )
        if is_own_fault:
            return None
        server = await search.next_choice()
        while server is not None and self._pool.needs_test(server):
            self._give_back(server.server_instance)
            self._pool.test(server)
            self._leave_out_hanging((server,))
            server = await search.next_choice()
        if server is None or self._may_try(search, server):
            return server
        self._give_back(server.server_instance)
        return None

    def _may_try(self, search: ConnectSearch, server: BackendServer) -> bool:
        return (
            search.tried < MAX_KNOWN_UNREACHABLE
            or not self._chooser.is_left_out(server.instance, self._clock())
        )

    def _take_idle(
        self, search: ConnectSearch, server: BackendServer
    ) -> ServerConnection | None:
        is_repeatable = search.context.route.is_repeatable
        return self._pool.take_idle(
            server,
            max_idle_s=(
                MAX_IDLE_REPEATABLE_S
                if is_repeatable
                else MAX_IDLE_NOT_REPEATABLE_S
            ),
        )

    def _first_open(
        self, search: ConnectSearch
    ) -> tuple[BackendServer, ServerConnection] | None:
        """Return an attempt that has succeeded; drop those that failed."""
        done = [task for task in search.opening if task.done()]
        for task in done:
            server = search.opening.pop(task)
            opened = task.result()
            if isinstance(opened, ServerConnection):
                return server, opened
            search.trace.note(
                server.instance, f'unreachable ({opened.message})'
            )
            self._give_back(server.server_instance)
            search.note_failed(server)
            search.timeouts += opened.failure is ConnectFailure.SILENT
        return None

    def _leave_out_hanging(self, servers: Iterable[BackendServer]) -> None:
        """Prefer others until the attempts to connect have ended."""
        until = self._clock() + self._pool.connect_timeout_s
        for server in servers:
            self._chooser.leave_out(server.instance, until=until)

    def _patience_s(self, search: ConnectSearch) -> float:
        share = search.context.route.objective_s * PATIENCE_SHARE
        return max(
            min(MAX_PATIENCE_S, max(MIN_PATIENCE_S, share)),
            USUAL_OPENINGS * self._pool.usual_opening_s,
        )
