"""Waiting jobs of one priority class."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.admission.job import Job
from oriolegauge.admission.lane import Lane, LaneKey
from oriolegauge.admission.teamcounters import TeamCounters


@dataclass(frozen=True, slots=True)
class Place:
    """Locate a waiting job."""

    team: str
    lane: LaneKey
    rank: float
    position: int
    job: Job


class ClassQueue:
    """Order the jobs of a class between teams and inside each team."""

    def __init__(self) -> None:
        """Start empty."""
        self._teams: dict[str, dict[LaneKey, Lane]] = {}
        self._waiting: Counter[str] = Counter()
        self._short: Counter[LaneKey] = Counter()
        self._counters = TeamCounters()
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """Return the predicted tokens of all waiting jobs."""
        return self._tokens

    @property
    def short_lanes(self) -> Counter[LaneKey]:
        """Return the number of short jobs per lane key."""
        return self._short

    def __len__(self) -> int:
        return self._waiting.total()

    def waiting(self, team: str) -> int:
        """Return the number of waiting jobs of a team."""
        return self._waiting[team]

    def push(self, place: Place) -> None:
        """Add a job."""
        team = place.team
        if team not in self._teams:
            self._counters.enter(team, self._teams)
        lanes = self._teams.setdefault(team, {})
        lane = lanes.setdefault(place.lane, Lane())
        lane.push(place.rank, place.position, place.job)
        self._waiting[team] += 1
        self._tokens += place.job.predicted_tokens
        if not place.lane.is_long:
            self._short[place.lane] += 1

    def peek(self, fits: Callable[[LaneKey], bool]) -> Place | None:
        """Return the next job among the lanes that fit, or None."""
        for team in sorted(self._teams, key=self._counters.__getitem__):
            heads = [
                (*lane.head(), key)
                for key, lane in self._teams[team].items()
                if fits(key)
            ]
            if heads:
                rank, position, job, key = min(heads, key=_by_rank)
                return Place(team, key, rank, position, job)
        return None

    def remove(self, place: Place) -> None:
        """Remove a waiting job."""
        lanes = self._teams[place.team]
        lane = lanes[place.lane]
        lane.remove(place.position)
        self._tokens -= place.job.predicted_tokens
        self._waiting[place.team] -= 1
        if not place.lane.is_long:
            self._drop_short(place.lane)
        if not lane:
            lanes.pop(place.lane)
        if not lanes:
            self._teams.pop(place.team)
            self._waiting.pop(place.team)
            self._counters.leave(place.team, self._teams)

    def charge(self, team: str, tokens: float) -> None:
        """Count tokens served to a team."""
        self._counters.charge(team, tokens)

    def tokens_before(self, team: str, rank: float) -> int:
        """Return the tokens that go before a new job of that rank.

        Each other team is served at most as much as the own team meanwhile.
        """
        own = sum(
            lane.tokens_before(rank)
            for lane in self._teams.get(team, {}).values()
        )
        teams = len(self._teams.keys() | {team})
        return min(self._tokens, own * teams)

    def _drop_short(self, key: LaneKey) -> None:
        self._short[key] -= 1
        if not self._short[key]:
            self._short.pop(key)


def _by_rank(head: tuple[float, int, Job, LaneKey]) -> tuple[float, int]:
    return head[0], head[1]
