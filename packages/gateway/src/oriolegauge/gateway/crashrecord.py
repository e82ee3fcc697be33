"""Crashes for which requests are held, in the store for daemons that start."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.gateway.storerecord import StoreRecord
from oriolegauge.objectstore import RestorableStore
from oriolegauge.routing.crashsuspects import CrashSuspects, ServerCrash

_NAME = 'explained'


@dataclass(frozen=True, slots=True)
class RecordedCrash:
    """Hold a crash and its time by the wall clock (Unix s)."""

    server: str
    started_ms: int
    suspects: frozenset[str]
    at_s: float = field(compare=False)


Crashes = frozenset[RecordedCrash]


class CrashRecord(StoreRecord[Crashes]):
    """Record the crashes that fingerprints explain."""

    def __init__(
        self,
        *,
        store: RestorableStore,
        kind: str,
        suspects: CrashSuspects,
        is_writer: Callable[[], bool],
        wall_clock: Callable[[], float],
    ) -> None:
        """Record in an object of the kind, as one of the daemons."""
        super().__init__(
            store=store, key=f'{kind}/{_NAME}', is_writer=is_writer
        )
        self._suspects = suspects
        self._wall_clock = wall_clock

    def current(self) -> Crashes:
        """Return the last crashes for which requests are held."""
        now = self._wall_clock()
        return frozenset(
            RecordedCrash(
                crash.server,
                crash.started_ms,
                crash.suspects,
                now - crash.age_s,
            )
            for crash in self._suspects.explained()
        )

    def learn(self, recorded: Crashes) -> None:
        """Hold requests for the recorded crashes."""
        now = self._wall_clock()
        self._suspects.learn(
            ServerCrash(
                crash.server,
                crash.started_ms,
                max(0, now - crash.at_s),
                crash.suspects,
            )
            for crash in recorded
        )

    def encode(self, state: Crashes) -> Mapping[str, Any]:
        """Return the stored form."""
        return {
            'crashes': [
                {
                    'server': crash.server,
                    'started_ms': crash.started_ms,
                    'at_s': round(crash.at_s, 3),
                    'suspects': sorted(crash.suspects),
                }
                for crash in sorted(state, key=_order)
            ]
        }

    def decode(self, value: Mapping[str, Any]) -> Crashes:
        """Read the stored form; raise KeyError, TypeError or ValueError."""
        return frozenset(
            RecordedCrash(
                server=str(row['server']),
                started_ms=int(row['started_ms']),
                suspects=frozenset(map(str, row['suspects'])),
                at_s=float(row['at_s']),
            )
            for row in value['crashes']
        )

    def empty(self) -> Crashes:
        """Return no crashes."""
        return frozenset()


def _order(crash: RecordedCrash) -> tuple[float, str]:
    return crash.at_s, crash.server
