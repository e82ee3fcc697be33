"""Software versions of servers that got new streams, by period of time.

A stream may only go on at the version that began it. Each new stream goes to a
version that follows from the id of the caller's attempt and the versions in
service, so every daemon can derive it again, also after all have stopped. Close
to a change of the versions it is ambiguous.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from operator import attrgetter

from oriolegauge.core.rendezvous import first

# Ended periods are kept for this time, longer than any stream may last.
RETENTION_S = 900.0
# Bounds the memory that reports of peers can take.
MAX_PERIODS = 256
# Hash nodes of all versions of a service together.
MAX_NODES = 32
# The weights of the same versions change if the share of one version in the
# servers differs by this factor, but not within the minimum time: streams are
# ambiguous for a while after each change.
WEIGHT_TOLERANCE = 1.5
MIN_REWEIGHT_S = 5.0

# Stands for the versions of a time that no daemon knows.
ANY_VERSION = '*'
UNKNOWN_PERIOD = 0

Weights = Mapping[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionPeriod:
    """Hold the weights of the versions that get new streams, by service.

    `number` counts the periods; `ended_at` is the clock's time in seconds, None
    for the present one.
    """

    number: int
    weights: Mapping[str, Weights] = field(hash=False)
    ended_at: float | None = field(default=None, compare=False)

    def version_for(self, service: str, attempt: str) -> str | None:
        """Return the version for a new stream, None if there is none."""
        weights = self.weights.get(service)
        if not weights:
            return None
        if len(weights) == 1:
            return next(iter(weights))
        found = first(attempt, _nodes(weights))
        return found and found.partition('#')[2]

    def versions_for(
        self, service: str, attempt: str | None
    ) -> Collection[str]:
        """Return the version of a stream, or all for an unknown attempt."""
        if self.number == UNKNOWN_PERIOD:
            return (ANY_VERSION,)
        if attempt is None:
            return self.weights.get(service, {}).keys()
        version = self.version_for(service, attempt)
        return () if version is None else (version,)


class VersionHistory:
    """Hold the present period and those that ended not long ago."""

    def __init__(
        self, clock: Callable[[], float], *, is_first_start: bool = True
    ) -> None:
        """Start without a period.

        Unless `is_first_start`, earlier daemons may have begun streams at any
        version. `clock` must also count the time in which the process is
        suspended.
        """
        self._clock = clock
        self._is_first_start = is_first_start
        self._periods: tuple[VersionPeriod, ...] = ()

    @property
    def periods(self) -> tuple[VersionPeriod, ...]:
        """Return the periods that are kept, the present one last."""
        oldest = self._clock() - RETENTION_S
        self._periods = tuple(
            period
            for period in self._periods
            if period.ended_at is None or period.ended_at > oldest
        )
        return self._periods

    @property
    def present(self) -> VersionPeriod | None:
        """Return the present period, None if none is known."""
        return self._periods[-1] if self._periods else None

    @property
    def number(self) -> int:
        """Return the number of the present period, 0 without one."""
        return self.present.number if self.present else 0

    def adopt(self, periods: Iterable[VersionPeriod]) -> bool:
        """Use a newer history, and later ends of periods.

        Return whether the present period has changed.
        """
        told = sorted(periods, key=_rank)
        newest = max((*told, *self._periods), key=_rank, default=None)
        if newest is None:
            return False
        is_newer = newest != self.present
        # A daemon ends a period when it hears of the next one. If that is late,
        # its streams began later than the others know.
        now = self._clock()
        kept: dict[tuple[int, str], VersionPeriod] = {}
        for period in (*told, *self._periods):
            rank = _rank(period)
            if rank < _rank(newest):
                ended = _ended(period, now)
                kept[rank] = max(
                    ended, kept.get(rank, ended), key=attrgetter('ended_at')
                )
        ordered = [kept[rank] for rank in sorted(kept)]
        self._periods = (*ordered[1 - MAX_PERIODS :], newest)
        return is_newer

    def proposal(
        self, in_service: Mapping[str, Weights]
    ) -> tuple[VersionPeriod, ...]:
        """Return the history with a new period if the versions differ.

        `in_service` counts the servers of each version that take new streams,
        by service. Services without any keep their versions.
        """
        present = self.present
        listed = {
            service: counts for service, counts in in_service.items() if counts
        }
        if present is None:
            return self._first_periods(listed) if listed else ()
        now = self._clock()
        changed = {
            service: counts
            for service, counts in listed.items()
            if self._differs(present, service, counts, now)
        }
        if not changed:
            return self.periods
        return (
            *(_ended(period, now) for period in self.periods),
            VersionPeriod(
                number=present.number + 1,
                weights={**present.weights, **_scaled(changed)},
            ),
        )

    def possible_versions(
        self,
        service: str,
        attempt: str | None,
        *,
        max_age_s: float,
        since_number: int,
    ) -> frozenset[str]:
        """Return the versions that may have begun the stream of an attempt.

        It began at most `max_age_s` ago, or in a period with at least the
        number. Without an attempt any version of these periods is possible.
        """
        oldest = self._clock() - max_age_s
        found: set[str] = set()
        for period in self.periods:
            is_recent = period.ended_at is None or period.ended_at >= oldest
            if not (is_recent or period.number >= since_number):
                continue
            found.update(period.versions_for(service, attempt))
        return frozenset(found)

    def _first_periods(
        self, listed: Mapping[str, Weights]
    ) -> tuple[VersionPeriod, ...]:
        first_period = VersionPeriod(number=1, weights=_scaled(listed))
        if self._is_first_start:
            return (first_period,)
        unknown = VersionPeriod(
            number=UNKNOWN_PERIOD,
            weights={'': {ANY_VERSION: 1}},
            ended_at=self._clock(),
        )
        return unknown, first_period

    def _differs(
        self,
        present: VersionPeriod,
        service: str,
        counts: Weights,
        now: float,
    ) -> bool:
        weights = present.weights.get(service, {})
        if weights.keys() != counts.keys():
            return True
        last_end = max(
            (period.ended_at or 0 for period in self._periods[:-1]), default=0
        )
        if now - last_end < MIN_REWEIGHT_S:
            return False
        scaled = _scaled({service: counts})[service]
        return any(
            not 1 / WEIGHT_TOLERANCE
            < _share(scaled, version) / _share(weights, version)
            < WEIGHT_TOLERANCE
            for version in counts
        )


def _rank(period: VersionPeriod) -> tuple[int, str]:
    """Order periods, also two of one number after a restore of the store."""
    weights = {
        service: sorted(counts.items())
        for service, counts in sorted(period.weights.items())
    }
    return period.number, str(weights)


def _ended(period: VersionPeriod, now: float) -> VersionPeriod:
    if period.ended_at is not None:
        return period
    return VersionPeriod(
        number=period.number, weights=period.weights, ended_at=now
    )


def _share(counts: Weights, version: str) -> float:
    return counts[version] / sum(counts.values())


def _scaled(in_service: Mapping[str, Weights]) -> dict[str, Weights]:
    """Return the counts, scaled down to at most about MAX_NODES in total."""
    scaled: dict[str, Weights] = {}
    for service, counts in in_service.items():
        factor = min(1, MAX_NODES / sum(counts.values()))
        scaled[service] = {
            version: max(1, round(count * factor))
            for version, count in counts.items()
        }
    return scaled


def _nodes(weights: Weights) -> Iterable[str]:
    for version, weight in weights.items():
        for number in range(weight):
            yield f'{number}#{version}'
