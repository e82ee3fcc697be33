"""Ports on which a daemon takes requests: of callers, and of its peers."""

import asyncio
from collections.abc import Callable

from oriolegauge.admission import HostLink
from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.forwarding import CallerLimits, Forwarder
from oriolegauge.forwarding.callerlistener import CallerListener
from oriolegauge.gateway.gatewaysettings import GatewaySettings

# Connections of peers that reach no server, as a share of those of callers.
RELAY_CONNECTION_SHARE = 0.25
# Share of the host's memory for the bodies of requests. A body is held twice
# while a server reads it slowly, and the daemon itself needs a third of the
# smallest host's memory.
REQUEST_BUFFER_SHARE = 0.12
DRAIN_POLL_S = 0.05


class CallerPorts:
    """Accept callers, and daemons that relay requests of theirs."""

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        forwarder: Forwarder,
        limits: Callable[[], CallerLimits],
        link: HostLink,
    ) -> None:
        """Pass the requests to the forwarder."""
        self._settings = settings
        self._clock = asyncio.get_running_loop().time
        self._buffers = ByteBudget(
            int(settings.memory_bytes * REQUEST_BUFFER_SHARE)
        )
        self._callers = CallerListener(
            handler=forwarder.handle,
            limits=limits,
            max_connections=settings.max_caller_connections,
            buffers=self._buffers,
            may_keep_open=lambda: not link.is_congested,
            traffic=link,
        )
        self._peers = CallerListener(
            handler=forwarder.handle_relayed,
            limits=limits,
            max_connections=int(
                settings.max_caller_connections * RELAY_CONNECTION_SHARE
            ),
            buffers=self._buffers,
            traffic=link,
        )
        self._listeners = (self._callers, self._peers)

    @property
    def caller_connections(self) -> int:
        """Return the number of open connections of callers."""
        return self._callers.connections

    @property
    def peer_connections(self) -> int:
        """Return the number of open connections of peers."""
        return self._peers.connections

    @property
    def body_bytes(self) -> int:
        """Return the bytes of bodies that are held."""
        return self._buffers.held

    @property
    def connections(self) -> int:
        """Return the number of all open connections."""
        return sum(listener.connections for listener in self._listeners)

    async def listen(self) -> None:
        """Accept connections."""
        callers = self._settings.callers
        await self._callers.listen(callers.host, callers.port)
        if self._settings.relay_port:
            await self._peers.listen(
                self._settings.address, self._settings.relay_port
            )

    def drain(self) -> None:
        """Close idle connections; others close after their answer."""
        for listener in self._listeners:
            listener.drain()

    async def close(self) -> None:
        """Stop accepting connections; attach those already accepted."""
        for listener in self._listeners:
            listener.close()
        await asyncio.sleep(DRAIN_POLL_S)

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for listener in self._listeners:
            listener.close_idle()

    def refuse_unfinished(self) -> None:
        """Refuse the requests that have not arrived whole."""
        for listener in self._listeners:
            listener.refuse_unfinished()

    async def wait_until_closed(self, until: float) -> None:
        """Wait until all connections have closed, or the loop time."""
        while self.connections and self._clock() < until:
            await asyncio.sleep(min(DRAIN_POLL_S, until - self._clock()))
