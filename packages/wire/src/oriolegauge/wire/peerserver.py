"""Accepts the links of other daemons and rejects those of non-members."""

import ssl
from collections.abc import Callable
from typing import Any

import structlog
from aiohttp import WSCloseCode, web

from oriolegauge.core.sockets import detect_unreachable_peer
from oriolegauge.wire.envelope import Sender
from oriolegauge.wire.linklimits import LinkLimits
from oriolegauge.wire.peerconnection import Handler, PeerConnection
from oriolegauge.wire.peerlink import (
    LINK_PATH,
    LINK_PROTOCOLS,
    MEMBER_HEADER,
)

log = structlog.get_logger()


class PeerServer:
    """Accept links of members and dispatch their messages to the handler.

    The handler returns a message, an async iterator of messages (a streamed
    answer, for `Forward`) or None (sent as `Ack`); its errors are sent as
    `Failure`. With an `ssl_context` that requires client certificates, the
    certificate must name the member (common name or DNS name).
    """

    def __init__(
        self,
        *,
        sender: Callable[[], Sender],
        handler: Handler,
        is_member: Callable[[str], bool],
        limits: LinkLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Serve peers whose names `is_member` accepts."""
        self._sender = sender
        self._handler = handler
        self._is_member = is_member
        self._limits = limits or LinkLimits()
        self._ssl_context = ssl_context
        self._connections: dict[str, PeerConnection] = {}
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    async def listen(self, address: str, port: int) -> int:
        """Listen on the address; return the port, chosen freely for port 0.

        Listen before the first heartbeat is sent: if a connection is refused
        after a heartbeat, peers conclude that the process has ended.
        """
        app = web.Application()
        app.router.add_get(LINK_PATH, self.handle)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, address, port, ssl_context=self._ssl_context
        )
        await self._site.start()
        return self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening, cancel all calls and close all links.

        Close only when no grant can be spent any more: peers conclude from the
        refused connections that the process has ended.
        """
        if self._site:
            await self._site.stop()
        for connection in list(self._connections.values()):
            await connection.stop()
        if self._runner:
            await self._runner.cleanup()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve one link until it closes."""
        member = request.headers.get(MEMBER_HEADER, '')
        if not self._is_authorized(member, request):
            log.warning('peer link rejected', name=member)
            raise web.HTTPForbidden
        socket = web.WebSocketResponse(
            max_msg_size=self._limits.max_message_bytes,
            heartbeat=self._limits.ping_period_s,
            timeout=self._limits.close_timeout_s,
            compress=False,
            protocols=LINK_PROTOCOLS,
        )
        try:
            await socket.prepare(request)
        except ConnectionError:
            # The peer closed the connection during the handshake, for example
            # because this process was paused.
            return socket
        if request.transport:
            detect_unreachable_peer(
                request.transport, self._limits.unacked_timeout_ms
            )
        connection = PeerConnection(
            member=member,
            socket=socket,
            sender=self._sender,
            handler=self._handler,
            limits=self._limits,
        )
        await self._replace_connection(member, connection)
        try:
            await connection.run()
        finally:
            if self._connections.get(member) is connection:
                self._connections.pop(member)
        return socket

    async def _replace_connection(
        self, member: str, connection: PeerConnection
    ) -> None:
        # A member has one link here; an older one broke without this side
        # noticing it.
        earlier = self._connections.get(member)
        self._connections[member] = connection
        if earlier:
            await earlier.close(WSCloseCode.GOING_AWAY)

    def _is_authorized(self, member: str, request: web.Request) -> bool:
        if not self._is_member(member):
            return False
        transport = request.transport
        if transport is None:
            return False
        certificate = transport.get_extra_info('peercert')
        return not certificate or member in _certificate_names(certificate)


def _certificate_names(certificate: dict[str, Any]) -> set[str]:
    names = {
        value
        for kind, value in certificate.get('subjectAltName', ())
        if kind == 'DNS'
    }
    for part in certificate.get('subject', ()):
        names.update(value for kind, value in part if kind == 'commonName')
    return names
