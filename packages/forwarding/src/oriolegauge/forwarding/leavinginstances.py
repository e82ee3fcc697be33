"""Servers that have said in their answers that they leave.

Answers a server that announces its end while the store still lists it as
ready, is out of reach or tells an older state.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import structlog

# A server that is not listed any more has ended after this time: it serves a
# few seconds after it has begun to leave.
KEPT_UNLISTED_S = 60.0
# Bounds what peers can make this daemon remember.
MAX_LEAVING_INSTANCES = 512

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ServerInstance:
    """Name one life of a server: its instance and start (Unix ms)."""

    instance: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class LeavingInstance:
    """State how long ago (s) a server was first heard to leave."""

    server_instance: ServerInstance
    age_s: float


class LeavingInstances:
    """Remember which lives of servers take no new work any more."""

    def __init__(
        self,
        clock: Callable[[], float],
        on_leaving_instance: Callable[[], None],
    ) -> None:
        """Call `on_news` when a server was first heard to leave."""
        self._clock = clock
        self._on_leaving_instance = on_leaving_instance
        self._since: dict[ServerInstance, float] = {}
        self._listed: Collection[ServerInstance] = ()

    def __len__(self) -> int:
        return len(self._since)

    def __contains__(self, server_instance: ServerInstance) -> bool:
        return server_instance in self._since

    def note(self, server_instance: ServerInstance) -> None:
        """Take note of an answer in which the server says that it leaves."""
        self._add(LeavingInstance(server_instance, 0), 'its answer')

    def learn(self, told: Iterable[LeavingInstance], peer: str) -> None:
        """Take over what a peer knows."""
        for leaving_instance in told:
            # What was forgotten here must not come back from a peer.
            is_recent = leaving_instance.age_s < KEPT_UNLISTED_S
            if is_recent or leaving_instance.server_instance in self._listed:
                self._add(leaving_instance, peer)

    def all(self) -> tuple[LeavingInstance, ...]:
        """Return what the peers need to know."""
        now = self._clock()
        return tuple(
            LeavingInstance(server_instance, now - since)
            for server_instance, since in self._since.items()
        )

    def keep(self, listed: Collection[ServerInstance]) -> None:
        """Forget servers that have long left and are not listed."""
        self._listed = listed
        oldest = self._clock() - KEPT_UNLISTED_S
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
            log.warning('departure not kept', server=server_instance.instance)
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
