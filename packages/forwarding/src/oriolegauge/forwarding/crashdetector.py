"""Detection of backend servers that crash while they run requests.

Matters when a request crashes each server that runs it: the requests that a
crashed server had not answered whole are suspects, and are held after further
crashes. Prompt parts are read at the start of an answer, so those of a stream
that goes on are none.
"""

import asyncio
from typing import Protocol

import structlog

from oriolegauge.core.taskset import TaskSet
from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.forwarding.fingerprints import (
    fingerprints,
    request_fingerprints,
)
from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.requestcontext import RequestContext
from oriolegauge.routing.crashquarantine import QuarantinedError
from oriolegauge.routing.crashsuspects import CrashSuspects

# In this time all connections of a crashed server have ended, and it has
# stopped to listen.
CHECK_DELAY_S = 0.01
# A host that does not answer delays a retry by this at most.
MAX_CHECK_WAIT_S = 0.05
MAX_LOGGED_SUSPECTS = 32

log = structlog.get_logger()


class ServerProbe(Protocol):
    """Connect to backend servers."""

    async def probe(self, server: BackendServer) -> None:
        """Open a connection and close it; raise ServerUnreachableError."""


class CrashDetector:
    """Tell crashes of servers from answers that were lost on the way.

    A crashed server refuses connections.
    """

    def __init__(self, *, probe: ServerProbe, suspects: CrashSuspects) -> None:
        """Add the requests that a crashed server ran to the suspects."""
        self._probe = probe
        self._suspects = suspects
        self._unchecked: dict[ServerInstance, set[str]] = {}
        self._checks: dict[ServerInstance, asyncio.Task[None]] = {}
        self._tasks = TaskSet()

    async def check(self, context: RequestContext) -> None:
        """Raise QuarantinedError if the request may crash a server.

        A request whose connection was lost waits for the check of its server.
        """
        if self._unchecked:
            await self._wait_for_checks(fingerprints(context))
        if self._suspects.is_empty:
            return
        held = self._suspects.held(fingerprints(context))
        if held:
            names = ', '.join(sorted(held.fingerprints)[:MAX_LOGGED_SUSPECTS])
            raise QuarantinedError(
                f'held after {held.crashes} crashes of servers: {names}',
                retry_after_s=held.wait_s,
            )

    def note_harmless(
        self, context: RequestContext, *, is_whole: bool = True
    ) -> None:
        """Record that a server has answered the request, or begun to."""
        if self._suspects.is_empty:
            return
        answered = fingerprints(context)
        if not is_whole:
            answered -= request_fingerprints(answered)
        self._suspects.note_harmless(answered)

    def note_lost(
        self,
        server: BackendServer,
        context: RequestContext,
        *,
        has_started: bool = False,
    ) -> None:
        """Check a server that has closed the connection of a request.

        `has_started` states that its answer had begun and gone on.
        """
        lost = fingerprints(context)
        if has_started:
            lost = request_fingerprints(lost)
        known = self._unchecked.get(server.server_instance)
        if known is not None:
            known |= lost
            return
        self._unchecked[server.server_instance] = set(lost)
        check = self._tasks.spawn(self._check(server))
        self._checks[server.server_instance] = check

    async def _wait_for_checks(self, sent: frozenset[str]) -> None:
        checks = [
            self._checks[instance]
            for instance, lost in self._unchecked.items()
            if request_fingerprints(lost & sent)
        ]
        if checks:
            await asyncio.wait(checks, timeout=MAX_CHECK_WAIT_S)

    async def _check(self, server: BackendServer) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        is_refused = False
        reason = 'it accepts connections'
        try:
            await self._probe.probe(server)
        except ServerUnreachableError as error:
            is_refused = error.is_refused
            reason = error.message
        suspects = frozenset(self._unchecked.pop(server.server_instance))
        del self._checks[server.server_instance]
        log.info(
            'server crashed' if is_refused else 'connection lost, no crash',
            server=server.instance,
            started_ms=server.started_ms,
            reason=reason,
            suspects=sorted(suspects)[:MAX_LOGGED_SUSPECTS],
        )
        if is_refused:
            self._suspects.note((server.instance, server.started_ms), suspects)
