"""State of a server as reported in the headers of its replies.

A shutdown or overload is known from the first reply that reports it, before the
store lists it.
"""

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
    """Record servers that are leaving and servers that are full.

    Every reply counts, also one that matches no request.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        leaving_instances: LeavingInstances,
        pauses: ServerPauses,
        clock: Callable[[], float],
    ) -> None:
        """Record the state in `leaving_instances` and `pauses`."""
        self._names = names
        self._leaving_instances = leaving_instances
        self._pauses = pauses
        self._clock = clock

    def observe(
        self, server_instance: ServerInstance, reply: ServerReply
    ) -> None:
        """Read the header of a reply on a connection to the server."""
        if reply.status == MISDIRECTED:
            # Another server now uses this address.
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
