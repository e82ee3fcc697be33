"""Listening socket for callers.

Limits the open connections, and moves callers to other daemons while the host's
link is congested or the daemon drains.
"""

import asyncio
import socket
from collections.abc import Callable

import structlog

from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.core.taskset import TaskSet
from oriolegauge.forwarding.callerconnection import (
    CallerConnection,
    Handler,
    keep_always_open,
)
from oriolegauge.forwarding.forwardingconfig import CallerLimits
from oriolegauge.forwarding.traffic import UNCOUNTED, Traffic

# Connections that wait to be accepted. The kernel drops further ones, and their
# callers retry only after seconds.
BACKLOG = 1024

log = structlog.get_logger()


class CallerListener:
    """Accept callers and close their connections gracefully."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        max_connections: int,
        buffers: ByteBudget,
        may_keep_open: Callable[[], bool] = keep_always_open,
        traffic: Traffic = UNCOUNTED,
    ) -> None:
        """Close connections beyond the maximum at once.

        `buffers` bounds the bodies of the requests of all connections.

        While `may_keep_open` returns false, connections close after their
        answer, so that the balancer can send the caller to another daemon.
        """
        self._handler = handler
        self._limits = limits
        self._max_connections = max_connections
        self._may_keep_open = may_keep_open
        self._traffic = traffic
        self._buffers = buffers
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_draining = False
        self._tasks = TaskSet()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def listen(self, host: str, port: int) -> int:
        """Listen and return the port; port 0 takes a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connection, host, port, backlog=BACKLOG
        )
        return self._server.sockets[0].getsockname()[1]

    def drain(self) -> None:
        """Close idle connections; others close after their answer."""
        self._is_draining = True
        self.close_idle()

    def close(self) -> None:
        """Stop accepting connections; serve those the kernel has accepted."""
        if not self._server:
            return
        loop = asyncio.get_running_loop()
        for listening in self._server.sockets:
            loop.remove_reader(listening.fileno())
        # An asyncio server drops the connections that it has accepted but not
        # yet attached when it is closed; it attaches them before this call.
        loop.call_soon(self._close_sockets, self._server)
        self._server = None

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def refuse_unfinished(self) -> None:
        """Refuse the requests that have not arrived whole."""
        for connection in list(self._connections):
            connection.refuse_unfinished()

    def _close_sockets(self, server: asyncio.Server) -> None:
        # Closing a socket resets the connections that wait in its queue, so a
        # duplicate keeps it open until they are taken from it.
        duplicates = [_duplicate(listening) for listening in server.sockets]
        server.close()
        for duplicate in duplicates:
            self._accept_waiting(duplicate)
            duplicate.close()

    def _accept_waiting(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.warning('connection not accepted', error=repr(error))
                return
            accepted.setblocking(False)
            self._tasks.spawn(
                loop.connect_accepted_socket(self._connection, accepted)
            )

    def _connection(self) -> asyncio.Protocol:
        if len(self._connections) >= self._max_connections:
            log.warning('too many caller connections', open=self.connections)
            return _Rejected()
        connection = CallerConnection(
            handler=self._handler,
            limits=self._limits,
            is_draining=lambda: self._is_draining,
            may_keep_open=self._may_keep_open,
            buffers=self._buffers,
            traffic=self._traffic,
            on_closed=self._connections.discard,
        )
        self._connections.add(connection)
        return connection


class _Rejected(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close without reading anything."""
        transport.close()


def _duplicate(listening: socket.socket) -> socket.socket:
    duplicate = socket.fromfd(
        listening.fileno(), listening.family, listening.type
    )
    duplicate.setblocking(False)
    return duplicate
