"""Versions that got new streams, in the store for daemons that start.

A new version gets streams only after the store has confirmed the change, so the
history is complete when all daemons stop at once.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.gateway.storerecord import StoreRecord
from oriolegauge.gateway.versionexchange import VersionExchange
from oriolegauge.objectstore import RestorableStore
from oriolegauge.routing.versionhistory import VersionPeriod

# Bounds the record; the youngest streams are kept.
MAX_RECORDED_STREAMS = 10_000
_NAME = 'versions'
_SOURCE = 'store'


@dataclass(frozen=True, slots=True)
class RecordedStream:
    """Name the version that began the stream of a caller's attempt."""

    attempt: str
    service: str
    version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionState:
    """Hold the history, and the streams that it does not tell.

    Times are by the wall clock (Unix s).
    """

    periods: tuple[VersionPeriod, ...] = ()
    streams: frozenset[RecordedStream] = frozenset()
    at_s: float = field(default=0, compare=False)


class VersionRecord(StoreRecord[VersionState]):
    """Record the history of versions and the streams that it does not tell."""

    def __init__(
        self,
        *,
        store: RestorableStore,
        kind: str,
        versions: VersionExchange,
        is_writer: Callable[[], bool],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        """Record in an object of the kind, as one of the daemons."""
        super().__init__(
            store=store, key=f'{kind}/{_NAME}', is_writer=is_writer
        )
        self._versions = versions
        self._clock = clock
        self._wall_clock = wall_clock

    def current(self) -> VersionState:
        """Return the history with the versions that serve now."""
        known = list(self._versions.remembered())[-MAX_RECORDED_STREAMS:]
        return VersionState(
            periods=self._versions.proposal(),
            streams=frozenset(
                RecordedStream(attempt, origin.service, origin.version)
                for attempt, origin in known
            ),
            at_s=self._wall_clock(),
        )

    def learn(self, recorded: VersionState) -> None:
        """Use the recorded history and streams."""
        self.refresh(recorded)
        age_s = max(0, self._wall_clock() - recorded.at_s)
        for stream in recorded.streams:
            self._versions.remember(
                stream.attempt, stream.service, stream.version, age_s=age_s
            )

    def refresh(self, recorded: VersionState) -> None:
        """Use the recorded history if another daemon has changed it."""
        self._versions.note_current()
        self._versions.adopt(recorded.periods, _SOURCE)

    def confirm(self, state: VersionState) -> None:
        """Let the versions get new streams."""
        self._versions.adopt(state.periods, _SOURCE)

    def encode(self, state: VersionState) -> Mapping[str, Any]:
        """Return the stored form."""
        streams: dict[str, dict[str, list[str]]] = {}
        for stream in sorted(state.streams, key=_order):
            of_service = streams.setdefault(stream.service, {})
            of_service.setdefault(stream.version, []).append(stream.attempt)
        offset_s = self._wall_clock() - self._clock()
        return {
            'at_s': round(state.at_s, 3),
            'periods': [
                {
                    'number': period.number,
                    'weights': period.weights,
                    'ended_at_s': period.ended_at
                    and round(period.ended_at + offset_s, 3),
                }
                for period in state.periods
            ],
            'streams': streams,
        }

    def decode(self, value: Mapping[str, Any]) -> VersionState:
        """Read the stored form; raise KeyError, TypeError or ValueError."""
        offset_s = self._wall_clock() - self._clock()
        periods = []
        for row in value['periods']:
            ended_at_s = row['ended_at_s']
            periods.append(
                VersionPeriod(
                    number=int(row['number']),
                    weights={
                        str(service): {
                            str(version): max(1, int(weight))
                            for version, weight in weights.items()
                        }
                        for service, weights in row['weights'].items()
                    },
                    ended_at=None
                    if ended_at_s is None
                    else float(ended_at_s) - offset_s,
                )
            )
        return VersionState(
            periods=tuple(periods),
            streams=frozenset(_streams(value['streams'])),
            at_s=float(value['at_s']),
        )

    def empty(self) -> VersionState:
        """Return no history."""
        return VersionState()


def _streams(
    rows: Mapping[str, Mapping[str, list[str]]],
) -> Iterator[RecordedStream]:
    for service, of_service in rows.items():
        for version, attempts in of_service.items():
            for attempt in attempts:
                yield RecordedStream(str(attempt), str(service), str(version))


def _order(stream: RecordedStream) -> tuple[str, str, str]:
    return stream.service, stream.version, stream.attempt
