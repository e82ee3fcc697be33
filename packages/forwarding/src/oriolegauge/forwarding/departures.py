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
MAX_DEPARTURES = 512

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ServerLife:
    """Name one life of a server: its instance and start (Unix ms)."""

    instance: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class Departure:
    """State how long ago (s) a server was first heard to leave."""

    life: ServerLife
    age_s: float


class Departures:
    """Remember which lives of servers take no new work any more."""

    def __init__(
        self, clock: Callable[[], float], on_news: Callable[[], None]
    ) -> None:
        """Call `on_news` when a server was first heard to leave."""
        self._clock = clock
        self._on_news = on_news
        self._since: dict[ServerLife, float] = {}
        self._listed: Collection[ServerLife] = ()

    def __len__(self) -> int:
        return len(self._since)

    def __contains__(self, life: ServerLife) -> bool:
        return life in self._since

    def note(self, life: ServerLife) -> None:
        """Take note of an answer in which the server says that it leaves."""
        self._add(Departure(life, 0), 'its answer')

    def learn(self, told: Iterable[Departure], peer: str) -> None:
        """Take over what a peer knows."""
        for departure in told:
            # What was forgotten here must not come back from a peer.
            is_recent = departure.age_s < KEPT_UNLISTED_S
            if is_recent or departure.life in self._listed:
                self._add(departure, peer)

    def all(self) -> tuple[Departure, ...]:
        """Return what the peers need to know."""
        now = self._clock()
        return tuple(
            Departure(life, now - since) for life, since in self._since.items()
        )

    def keep(self, listed: Collection[ServerLife]) -> None:
        """Forget servers that have long left and are not listed."""
        self._listed = listed
        oldest = self._clock() - KEPT_UNLISTED_S
        self._since = {
            life: since
            for life, since in self._since.items()
            if life in listed or since > oldest
        }

    def _add(self, departure: Departure, source: str) -> None:
        life = departure.life
        if life in self._since:
            return
        if len(self._since) >= MAX_DEPARTURES:
            log.warning('departure not kept', server=life.instance)
            return
        self._since[life] = self._clock() - departure.age_s
        log.info(
            'server leaves',
            server=life.instance,
            started_ms=life.started_ms,
            source=source,
            age_s=round(departure.age_s, 3),
        )
        self._on_news()
