"""Versions of servers for new streams, and of those that callers take up.

Daemons tell each other which versions get new streams. Streams whose version
does not follow from that are reported to a few daemons, which remember them for
the others. Matters when daemons end with streams open and versions change.
"""

import asyncio
import contextlib
import math
from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import replace
from itertools import chain
from typing import Protocol

import structlog

from oriolegauge.core.errors import NoServerError, OriolegaugeError
from oriolegauge.routing.streamorigins import StreamOrigin, StreamOrigins
from oriolegauge.routing.versionhistory import (
    ANY_VERSION,
    VersionHistory,
    VersionPeriod,
    Weights,
)
from oriolegauge.wire.messages import (
    NEVER_MS,
    Heartbeat,
    Message,
    StreamStart,
    StreamStartQuery,
    StreamStarts,
    VersionShare,
)

# A daemon that is not cut off takes over a new period within this time; the
# wall clocks by which the store's record tells ages differ less.
LAG_MARGIN_S = 5.0
# A new stream waits this long for the store to confirm a change of versions.
PLACEMENT_WAIT_S = 0.5
# For some heartbeats, also in a large fleet.
LATE_REPORT_S = 3.0
# A daemon that has not run for this time may have been suspended.
SUSPENSION_S = 1.0
# News that was missed arrives within this time, with the next heartbeats.
SETTLE_S = 2.0
# The history is current for this time after it was last seen to be.
CURRENT_S = 0.5
RETRY_AFTER_NO_VERSION_S = 0.5
REPORT_PERIOD_S = 0.1
QUERY_TIMEOUT_S = 0.1
# Bounds the memory for changes that the store has not confirmed.
MAX_UNCONFIRMED = 32
# Bounds a message to the daemons that remember streams.
MAX_REPORTED = 1_000
_MS_PER_S = 1000

log = structlog.get_logger()


class VersionLinks(Protocol):
    """Links to the daemons that remember streams."""

    def stream_keepers(self) -> Collection[str]:
        """Return the peers that remember streams for the fleet."""

    def peer_periods(self) -> Mapping[str, int]:
        """Return the period of each peer that knows one."""

    def has_peer_behind(self, number: int) -> bool:
        """State whether a peer knows no period up to the number."""

    def has_peer_without_periods(self) -> bool:
        """State whether a linked peer is of a build without periods."""

    def hears_of_changes(self) -> bool:
        """State whether a change of the periods would be heard of soon."""

    def announce_change(self) -> None:
        """Send a heartbeat soon."""

    def send_one_way(self, peer: str, message: Message) -> None:
        """Send a message without reply or guarantee of delivery."""

    async def call(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; raise an OriolegaugeError."""


class VersionExchange:
    """Tell the version for each stream, as one of the daemons."""

    def __init__(
        self,
        *,
        links: VersionLinks,
        in_service: Callable[[], Mapping[str, Weights]],
        longest_stream_s: Callable[[], float],
        is_first_start: bool,
        on_change: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """Use the servers of each version that take new streams, by service.

        `longest_stream_s` returns how long callers wait for a stream. Call
        `on_change` when there is something new to record. `clock` must also
        count the time in which the process is suspended.
        """
        self._links = links
        self._in_service = in_service
        self._longest_stream_s = longest_stream_s
        self._on_change = on_change
        self._clock = clock
        self._history = VersionHistory(clock, is_first_start=is_first_start)
        # Times at which no change of periods could be missed, and at which a
        # peer was seen that sends streams to any version.
        self._current_at = -math.inf
        self._hears_since = math.inf
        self._old_build_at = -math.inf
        self._looked_at = clock()
        # Streams that this daemon began, and those that the history does not
        # tell, of all daemons.
        self._own = StreamOrigins(clock)
        self._remembered = StreamOrigins(clock)
        self._unreported: dict[str, StreamOrigin] = {}
        self._changed = asyncio.Event()
        # The store has not confirmed a change of versions in time.
        self._is_overdue = False
        # A daemon that was cut off has used a period for longer than others
        # know; heartbeats tell it until this time.
        self._late_until = -math.inf
        # Periods that got new streams all the same: daemons with the same list
        # use the same ones.
        self._unconfirmed: deque[VersionPeriod] = deque(maxlen=MAX_UNCONFIRMED)

    @property
    def history(self) -> VersionHistory:
        """Return the versions that got new streams."""
        return self._history

    @property
    def max_age_s(self) -> float:
        """Return the age above which no stream is taken up."""
        return self._longest_stream_s() + LAG_MARGIN_S

    def proposal(self) -> tuple[VersionPeriod, ...]:
        """Return the history with a period for the servers listed now."""
        return self._history.proposal(self._in_service())

    def remembered(self) -> Iterable[tuple[str, StreamOrigin]]:
        """Return the streams that the history does not tell."""
        return self._remembered.younger_than(self.max_age_s)

    def servers_changed(self) -> None:
        """Note that the list of servers has changed."""
        if self.proposal() == self._history.periods:
            self._is_overdue = False
        else:
            self._note_unconfirmed()
            self._on_change()
        self._wake()

    def adopt(self, periods: Iterable[VersionPeriod], source: str) -> None:
        """Use a history that the store has confirmed, if it is newer."""
        told = tuple(periods)
        before = self._history.periods
        is_changed = self._history.adopt(told)
        if self._ends_later_than((*told, *before)):
            self._late_until = self._clock() + LATE_REPORT_S
            self._links.announce_change()
        if not is_changed:
            return
        self._is_overdue = False
        present = self._history.present
        log.info(
            'versions of new streams changed',
            period=self._history.number,
            versions=present and present.weights,
            source=source,
        )
        for attempt, origin in self._own.younger_than(self.max_age_s):
            self._report_if_ambiguous(attempt, origin)
        self._links.announce_change()
        self._wake()

    def note_current(self) -> None:
        """Note that the store has told its history now."""
        now = self._clock()
        self._current_at = now
        self._hears_since = min(self._hears_since, now - SETTLE_S)

    def remember(
        self, attempt: str, service: str, version: str, *, age_s: float = 0
    ) -> None:
        """Remember a stream that the history does not tell."""
        self._remembered.note(attempt, service, version, age_s=age_s)

    async def place(self, service: str, attempt: str) -> str | None:
        """Return the version at which a new stream begins, None for any."""
        if not self._is_overdue:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PLACEMENT_WAIT_S):
                    return await self._confirmed_version(service, attempt)
            # Waiting again can't help while the store confirms nothing.
            self._is_overdue = True
            log.warning('change of versions not confirmed', service=service)
        listed = self._in_service().get(service, {})
        version = self._placed(service, attempt, listed)
        if version in listed or not listed:
            return version
        self._note_unconfirmed()
        return self._unconfirmed[-1].version_for(service, attempt)

    async def origin(self, service: str, attempt: str | None) -> str:
        """Return the version that began the stream of a caller's attempt.

        Raise NoServerError if it is not known for sure.
        """
        possible: frozenset[str] = frozenset()
        version = self._known(attempt)
        outcome = 'remembered'
        if version is None:
            possible = self._possible(service, attempt)
            outcome = 'derived'
            if len(possible) == 1 and ANY_VERSION not in possible:
                version = next(iter(possible))
        if version is None and attempt is not None:
            outcome = 'told by a peer'
            version = await self._ask(attempt)
        log.info(
            'stream taken up',
            resumes=attempt,
            version=version,
            outcome=outcome if version is not None else 'unknown',
            possible=sorted(possible),
            period=self._history.number,
        )
        if version is None:
            raise NoServerError(
                'the version that began the stream is not known',
                retry_after_s=RETRY_AFTER_NO_VERSION_S,
            )
        return version

    def note_begun(self, service: str, attempt: str, version: str) -> None:
        """Note that a caller gets the first event of a stream from here."""
        self._own.note(attempt, service, version)
        origin = self._own.origin(attempt)
        if origin:
            self._report_if_ambiguous(attempt, origin)

    def note_whole(self, attempt: str) -> None:
        """Note that a caller has the whole stream."""
        self._own.forget(attempt)
        self._remembered.forget(attempt)
        self._unreported.pop(attempt, None)

    def answer(self, message: StreamStarts | StreamStartQuery) -> Message:
        """Remember the streams that a peer reports, or tell one."""
        match message:
            case StreamStarts(starts=rows):
                for row in rows[:MAX_REPORTED]:
                    self.remember(
                        row.attempt,
                        row.service,
                        row.version,
                        age_s=max(0, row.age_ms) / _MS_PER_S,
                    )
                return StreamStarts()
            case StreamStartQuery(attempt=attempt):
                origin = self._origin(attempt)
                rows = (self._row(attempt, origin),) if origin else ()
                return StreamStarts(starts=rows)

    def learn(self, heartbeat: Heartbeat, peer: str) -> None:
        """Use a newer history that a peer tells."""
        if heartbeat.version_shares:
            self.adopt(_periods(heartbeat.version_shares, self._clock()), peer)

    def shares(self) -> tuple[VersionShare, ...]:
        """Return the history for peers, empty if all have it."""
        is_late = self._clock() < self._late_until
        if not (is_late or self._links.has_peer_behind(self._history.number)):
            return ()
        return tuple(
            row
            for period in self._history.periods
            for row in self._rows(period)
        )

    async def run(self) -> None:
        """Report streams to the daemons that remember them."""
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            self._look_at_peers()
            if self._unreported:
                self._report()

    def _look_at_peers(self) -> None:
        """Note whether the history is current, and who ignores it."""
        now = self._clock()
        was_suspended = now - self._looked_at > SUSPENSION_S
        self._looked_at = now
        if self._links.has_peer_without_periods():
            self._old_build_at = now
        if was_suspended or not self._links.hears_of_changes():
            self._hears_since = math.inf
            return
        self._hears_since = min(self._hears_since, now)
        if now - self._hears_since > SETTLE_S:
            self._current_at = now

    def _is_derivable(self) -> bool:
        """State whether all streams began by the known periods."""
        now = self._clock()
        if self._links.has_peer_without_periods():
            return False
        is_current = (
            now - self._current_at < CURRENT_S
            and now - self._looked_at < SUSPENSION_S
        )
        return is_current and now - self._old_build_at > self.max_age_s

    def _rows(self, period: VersionPeriod) -> Iterator[VersionShare]:
        ended_age_ms = NEVER_MS
        if period.ended_at is not None:
            ended_age_ms = int((self._clock() - period.ended_at) * _MS_PER_S)
        for service, weights in period.weights.items():
            for version, weight in weights.items():
                yield VersionShare(
                    period.number, service, version, weight, ended_age_ms
                )

    def _report(self) -> None:
        sent = dict(list(self._unreported.items())[:MAX_REPORTED])
        for attempt in sent:
            del self._unreported[attempt]
        message = StreamStarts(
            starts=tuple(
                self._row(attempt, origin) for attempt, origin in sent.items()
            )
        )
        for keeper in self._links.stream_keepers():
            self._links.send_one_way(keeper, message)

    def _row(self, attempt: str, origin: StreamOrigin) -> StreamStart:
        age_s = max(0, self._clock() - origin.at)
        return StreamStart(
            attempt, origin.service, origin.version, int(age_s * _MS_PER_S)
        )

    def _report_if_ambiguous(self, attempt: str, origin: StreamOrigin) -> None:
        possible = self._possible(origin.service, attempt)
        if possible == {origin.version}:
            return
        self.remember(attempt, origin.service, origin.version)
        self._unreported[attempt] = origin

    def _origin(self, attempt: str) -> StreamOrigin | None:
        return self._own.origin(attempt) or self._remembered.origin(attempt)

    def service_of(self, attempt: str) -> str | None:
        """Return the service that began the stream, None if not remembered."""
        origin = self._origin(attempt)
        return origin.service if origin else None

    def _known(self, attempt: str | None) -> str | None:
        if attempt is None:
            return None
        origin = self._origin(attempt)
        return origin.version if origin else None

    async def _confirmed_version(
        self, service: str, attempt: str
    ) -> str | None:
        """Wait until the version for the stream is listed."""
        while True:
            listed = self._in_service().get(service, {})
            version = self._placed(service, attempt, listed)
            if version in listed or not listed:
                return version
            await self._changed.wait()

    def _placed(
        self, service: str, attempt: str, listed: Weights
    ) -> str | None:
        present = self._history.present
        if present and service in present.weights:
            return present.version_for(service, attempt)
        # The first version of a service is not in doubt.
        return next(iter(listed)) if len(listed) == 1 else None

    def _possible(self, service: str, attempt: str | None) -> frozenset[str]:
        """Return the versions that may have begun the stream."""
        present = self._history.present
        if present is None or service not in present.weights:
            return frozenset((ANY_VERSION,))
        if not self._is_derivable():
            return frozenset((ANY_VERSION, *present.weights[service]))
        unconfirmed = [
            period.versions_for(service, attempt)
            for period in self._unconfirmed
            if self._is_recent(period)
        ]
        return frozenset(chain(*unconfirmed)) | self._history.possible_versions(
            service,
            attempt,
            max_age_s=self.max_age_s,
            since_number=min(
                (self._history.number, *self._links.peer_periods().values())
            ),
        )

    def _ends_later_than(self, others: Iterable[VersionPeriod]) -> bool:
        """State whether a period was used longer than others know."""
        ends = {
            period.number: period.ended_at or 0
            for period in self._history.periods[:-1]
        }
        return any(
            other.ended_at is not None
            and ends.get(other.number, 0) - other.ended_at > LAG_MARGIN_S
            for other in others
        )

    def _note_unconfirmed(self) -> None:
        """Note the versions listed now, which the store has to confirm."""
        proposed = self.proposal()[-1]
        if self._unconfirmed and self._unconfirmed[-1] == proposed:
            self._unconfirmed.pop()
        self._unconfirmed.append(replace(proposed, ended_at=self._clock()))

    def _is_recent(self, period: VersionPeriod) -> bool:
        oldest = self._clock() - self.max_age_s
        is_pending = (
            period == self._unconfirmed[-1]
            and period.number > self._history.number
        )
        return is_pending or (period.ended_at or 0) > oldest

    async def _ask(self, attempt: str) -> str | None:
        query = StreamStartQuery(attempt)
        answers = await asyncio.gather(
            *(
                self._links.call(keeper, query, QUERY_TIMEOUT_S)
                for keeper in self._links.stream_keepers()
            ),
            return_exceptions=True,
        )
        for answer in answers:
            match answer:
                case StreamStarts(starts=(row, *_)):
                    self.remember(row.attempt, row.service, row.version)
                    return row.version
                case OriolegaugeError():
                    log.info('stream origin not told', error=answer.message)
                case BaseException():
                    raise answer
        return None

    def _wake(self) -> None:
        """Let waiting streams look at the versions again."""
        self._changed.set()
        self._changed = asyncio.Event()


def _periods(
    rows: Iterable[VersionShare], now: float
) -> Iterator[VersionPeriod]:
    weights: dict[int, dict[str, dict[str, int]]] = {}
    ended: dict[int, float | None] = {}
    for row in rows:
        of_period = weights.setdefault(row.period, {})
        of_period.setdefault(row.service, {})[row.version] = max(1, row.weight)
        ended[row.period] = (
            None if row.ended_age_ms < 0 else now - row.ended_age_ms / _MS_PER_S
        )
    for number, of_period in weights.items():
        yield VersionPeriod(
            number=number, weights=of_period, ended_at=ended[number]
        )
