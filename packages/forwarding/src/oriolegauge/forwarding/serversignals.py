"""What the headers of a server's replies say of the server itself."""

from collections.abc import Callable
from http import HTTPStatus

import structlog

from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.leavinginstances import (
    LeavingInstances,
    ServerInstance,
)
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.routing.serverpauses import ServerPauses, parse_retry_after

MISDIRECTED = 421
_LEAVES = '1'
_FULL = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)

log = structlog.get_logger()


class ServerSignals:
    """Take note of servers that leave and of those that are full.

    Every reply counts, whether or not it answers a request.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        leaving_instances: LeavingInstances,
        pauses: ServerPauses,
        clock: Callable[[], float],
    ) -> None:
        """Keep what is found in `leaving_instances` and `pauses`."""
        self._names = names
        self._leaving_instances = leaving_instances
        self._pauses = pauses
        self._clock = clock

    def observe(
        self, server_instance: ServerInstance, reply: ServerReply
    ) -> None:
        """Look at the header of a reply on a connection to the server."""
        if reply.status == MISDIRECTED:
            # A server that was not meant has the address now.
            return
        if reply.header(self._names.leaving) == _LEAVES:
            self._leaving_instances.note(server_instance)
        if reply.status in _FULL:
            self._note_full(server_instance, reply)

    def _note_full(
        self, server_instance: ServerInstance, reply: ServerReply
    ) -> None:
        text = reply.header('Retry-After')
        if not text:
            return
        seconds = parse_retry_after(text)
        log.info(
            'server is full',
            server=server_instance.instance,
            status=reply.status,
            retry_after=text[:32],
            pause_s=seconds,
        )
        if seconds is not None:
            self._pauses.note(server_instance.instance, seconds, self._clock())
