"""Age of what a daemon knows of the store, over any path.

A reading is an answer of the store. Daemons tell each other the age of the
newest one that what they hold accounts for, so that a daemon which hears of
none notices this on its own clock, whichever path has failed.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from oriolegauge.wire.messages import NEVER_MS, ConfigVersion

# Readings of versions that have not been fetched yet, kept for each kind.
MAX_AHEAD = 16
# Older readings are no reason to trust a document.
MAX_TOLD_S = 3600.0
_MS_PER_S = 1000


class HeldDocuments(Protocol):
    """Documents that this daemon holds."""

    def is_held(self, key: str, digest: int) -> bool:
        """State whether the held document has the digest."""

    def is_newer(self, key: str, revision: int) -> bool:
        """State whether the revision is newer than the held one."""


class StoreReadings:
    """Know when the store last confirmed the held document of each kind."""

    def __init__(
        self, documents: HeldDocuments, clock: Callable[[], float]
    ) -> None:
        """Start without readings; `clock` counts seconds, pauses included."""
        self._documents = documents
        self._clock = clock
        self._read_at: dict[str, float] = {}
        # Times of readings that showed newer versions than the held one.
        self._ahead: dict[str, dict[int, float]] = {}

    def now(self) -> float:
        """Return the time of the clock of the readings, in seconds."""
        return self._clock()

    def note(self, kind: str, read_at: float) -> None:
        """Note that the store confirmed the held document at that time."""
        self._read_at[kind] = max(read_at, self._read_at.get(kind, -math.inf))

    def learn(self, told: ConfigVersion, age_ms: int) -> None:
        """Use what a heartbeat that has just arrived tells of a document.

        `age_ms` is the age of the sender's reading, NEVER_MS if it has none. A
        reading can't be of the future, so other ages below zero don't count.
        """
        if age_ms < 0:
            return
        read_at = self._clock() - age_ms / _MS_PER_S
        kind = told.key
        if self._documents.is_held(kind, told.digest):
            self.note(kind, read_at)
        elif self._documents.is_newer(kind, told.version):
            ahead = self._ahead.setdefault(kind, {})
            ahead[told.version] = max(
                read_at, ahead.get(told.version, -math.inf)
            )
            if len(ahead) > MAX_AHEAD:
                del ahead[min(ahead)]

    def age_s(self, kind: str) -> float:
        """Return the seconds since the newest reading, infinite if none."""
        self._use_readings_ahead(kind)
        return self._clock() - self._read_at.get(kind, -math.inf)

    def ages_ms(self, kinds: Iterable[str]) -> Iterator[int]:
        """Yield the ages to tell peers."""
        for kind in kinds:
            age_s = min(self.age_s(kind), MAX_TOLD_S)
            yield NEVER_MS if age_s == MAX_TOLD_S else int(age_s * _MS_PER_S)

    def _use_readings_ahead(self, kind: str) -> None:
        ahead = self._ahead.get(kind, {})
        reached = [
            version
            for version in ahead
            if not self._documents.is_newer(kind, version)
        ]
        for version in reached:
            self.note(kind, ahead.pop(version))
