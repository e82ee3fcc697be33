"""State of a server as reported in the headers of its replies.

A shutdown, an overload, a limited rate or a cold time is known from the first
reply that reports it, before the store lists it.
"""

from collections.abc import Callable
from http import HTTPStatus

import structlog

from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.leavinginstances import (
    LeavingInstances,
    ServerInstance,
)
from oriolegauge.forwarding.serverlimits import (
    ServerLimits,
    parse_cold_ms,
    parse_rate,
)
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.routing.serverpauses import ServerPauses, parse_retry_after

MISDIRECTED = 421
MAX_LOGGED_CHARS = 32
_LEAVES = '1'
_FULL = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)

log = structlog.get_logger()


class ServerSignals:
    """Record servers that are leaving, full, cold or limited to a rate.

    Every reply counts, also one that matches no request.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        leaving_instances: LeavingInstances,
        pauses: ServerPauses,
        limits: ServerLimits,
        clock: Callable[[], float],
    ) -> None:
        """Record the state in `leaving_instances`, `pauses` and `limits`."""
        self._names = names
        self._leaving_instances = leaving_instances
        self._pauses = pauses
        self._limits = limits
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
        rate_text = reply.header(self._names.rate_limit)
        if rate_text:
            self._note_rate(server_instance, rate_text)
        cold_text = reply.header(self._names.cold_ms)
        if cold_text:
            self._note_cold(server_instance, cold_text)

    def _note_cold(self, server_instance: ServerInstance, text: str) -> None:
        left_s = parse_cold_ms(text)
        if left_s is None:
            log.info(
                'unfit cold time',
                entry=server_instance.instance,
                value=text[:MAX_LOGGED_CHARS],
            )
            return
        self._limits.note_cold(server_instance, left_s)

    def _note_rate(self, server_instance: ServerInstance, text: str) -> None:
        per_s = parse_rate(text)
        if per_s is None:
            log.info(
                'malformed server limit',
                server=server_instance.instance,
                limit=text[:MAX_LOGGED_CHARS],
            )
            return
        self._limits.note(server_instance, per_s)

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
            retry_after=text[:MAX_LOGGED_CHARS],
            pause_s=seconds,
        )
        if seconds is not None:
            self._pauses.note(server_instance.instance, seconds, self._clock())
