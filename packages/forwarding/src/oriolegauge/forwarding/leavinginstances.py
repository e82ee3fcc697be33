"""Servers that have announced in a reply that they are leaving.

A leaving server gets no new work, even while the store still lists it as ready
or is unreachable. Daemons share what they have learned through heartbeats.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import structlog

# A leaving server serves for a few seconds more. After this time, one that is
# not listed any more has ended.
UNLISTED_RETENTION_S = 60.0
# Bounds the memory that reports of peers can take.
MAX_LEAVING_INSTANCES = 512

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ServerInstance:
    """Identify one run of a server by its name and start (Unix ms)."""

    instance: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class LeavingInstance:
    """State how long ago (s) a server first announced that it leaves."""

    server_instance: ServerInstance
    age_s: float


class LeavingInstances:
    """Record the server instances that take no new work any more."""

    def __init__(
        self,
        clock: Callable[[], float],
        on_leaving_instance: Callable[[], None],
    ) -> None:
        """Call `on_leaving_instance` for each newly recorded instance."""
        self._clock = clock
        self._on_leaving_instance = on_leaving_instance
        self._since: dict[ServerInstance, float] = {}
        self._listed: Collection[ServerInstance] = ()

    def __len__(self) -> int:
        return len(self._since)

    def __contains__(self, server_instance: ServerInstance) -> bool:
        return server_instance in self._since

    def note(self, server_instance: ServerInstance) -> None:
        """Record an instance that announced in a reply that it leaves."""
        self._add(LeavingInstance(server_instance, 0), 'server reply')

    def learn(self, reported: Iterable[LeavingInstance], peer: str) -> None:
        """Record the instances that a peer reported."""
        for leaving_instance in reported:
            # An instance forgotten here must not come back from a peer.
            is_recent = leaving_instance.age_s < UNLISTED_RETENTION_S
            if is_recent or leaving_instance.server_instance in self._listed:
                self._add(leaving_instance, peer)

    def all(self) -> tuple[LeavingInstance, ...]:
        """Return all recorded instances, to be reported to peers."""
        now = self._clock()
        return tuple(
            LeavingInstance(server_instance, now - since)
            for server_instance, since in self._since.items()
        )

    def keep(self, listed: Collection[ServerInstance]) -> None:
        """Forget unlisted instances whose retention time has passed."""
        self._listed = listed
        oldest = self._clock() - UNLISTED_RETENTION_S
        self._since = {
            server_instance: since
            for server_instance, since in self._since.items()
            if server_instance in listed or since > oldest
        }

    def _add(self, leaving_instance: LeavingInstance, source: str) -> None:
        server_instance = leaving_instance.server_instance
        if server_instance in self._since:
            return
        if len(self._since) >= MAX_LEAVING_INSTANCES:
            log.warning(
                'leaving server not recorded: too many leaving servers',
                server=server_instance.instance,
            )
            return
        self._since[server_instance] = self._clock() - leaving_instance.age_s
        log.info(
            'server leaves',
            server=server_instance.instance,
            started_ms=server_instance.started_ms,
            source=source,
            age_s=round(leaving_instance.age_s, 3),
        )
        self._on_leaving_instance()
