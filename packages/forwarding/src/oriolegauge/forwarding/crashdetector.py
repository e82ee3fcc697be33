"""Detection of backend servers that crash while they run requests.

Matters when a request crashes each server that runs it: the requests that a
crashed server had not begun to answer are suspects.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import structlog

from oriolegauge.core.taskset import TaskSet
from oriolegauge.forwarding.backendserver import BackendServer
from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.forwarding.leavinginstances import ServerInstance

# In this time all connections of a crashed server have ended, and it has
# stopped to listen.
CHECK_DELAY_S = 0.01
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

    def __init__(
        self,
        *,
        probe: ServerProbe,
        on_crash: Callable[[ServerInstance, frozenset[str]], None],
    ) -> None:
        """Call `on_crash(server_instance, fingerprints)` for each crash.

        The fingerprints are those of the requests that had no answer yet.
        """
        self._probe = probe
        self._on_crash = on_crash
        self._unchecked: dict[ServerInstance, set[str]] = {}
        self._tasks = TaskSet()

    def note_lost(
        self, server: BackendServer, fingerprints: frozenset[str]
    ) -> None:
        """Check a server that has closed the connection of a request."""
        known = self._unchecked.get(server.server_instance)
        if known is not None:
            known |= fingerprints
            return
        self._unchecked[server.server_instance] = set(fingerprints)
        self._tasks.spawn(self._check(server))

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
        log.info(
            'server crashed' if is_refused else 'connection lost, no crash',
            server=server.instance,
            started_ms=server.started_ms,
            reason=reason,
            suspects=sorted(suspects)[:MAX_LOGGED_SUSPECTS],
        )
        if is_refused:
            self._on_crash(server.server_instance, suspects)
