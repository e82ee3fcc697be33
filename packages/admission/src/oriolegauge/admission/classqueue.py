"""Waiting jobs of one priority class.

The team that was served the fewest tokens goes first, so that a team with many
jobs does not delay the others; inside a team short and old jobs go first.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.admission.job import Job
from oriolegauge.admission.lane import Lane, LaneKey
from oriolegauge.admission.teamcounters import TeamCounters


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """Hold a waiting job with its lane and its rank in the lane."""

    team: str
    lane: LaneKey
    rank: float
    position: int
    job: Job


class ClassQueue:
    """Order the jobs of a class by the usage of teams, then by rank."""

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
        """Return how many waiting jobs are no stragglers, per lane key."""
        return self._short

    def __len__(self) -> int:
        return self._waiting.total()

    def waiting(self, team: str) -> int:
        """Return the number of waiting jobs of a team."""
        return self._waiting[team]

    def push(self, queued: QueuedJob) -> None:
        """Add a job."""
        team = queued.team
        if team not in self._teams:
            self._counters.enter(team, self._teams)
        lanes = self._teams.setdefault(team, {})
        lane = lanes.setdefault(queued.lane, Lane())
        lane.push(queued.rank, queued.position, queued.job)
        self._waiting[team] += 1
        self._tokens += queued.job.predicted_tokens
        if not queued.lane.is_long:
            self._short[queued.lane] += 1

    def peek(self, fits: Callable[[LaneKey], bool]) -> QueuedJob | None:
        """Return the next job of the lanes that `fits` accepts, or None."""
        for team in sorted(self._teams, key=self._counters.__getitem__):
            heads = [
                (*lane.head(), key)
                for key, lane in self._teams[team].items()
                if fits(key)
            ]
            if heads:
                rank, position, job, key = min(heads, key=_by_rank)
                return QueuedJob(team, key, rank, position, job)
        return None

    def remove(self, queued: QueuedJob) -> None:
        """Remove a waiting job."""
        lanes = self._teams[queued.team]
        lane = lanes[queued.lane]
        lane.remove(queued.position)
        self._tokens -= queued.job.predicted_tokens
        self._waiting[queued.team] -= 1
        if not queued.lane.is_long:
            self._uncount_short(queued.lane)
        if not lane:
            lanes.pop(queued.lane)
        if not lanes:
            self._teams.pop(queued.team)
            self._waiting.pop(queued.team)
            self._counters.leave(queued.team, self._teams)

    def charge(self, team: str, tokens: float) -> None:
        """Add tokens to the usage of a team; a negative number corrects."""
        self._counters.charge(team, tokens)

    def tokens_before(self, team: str, rank: float) -> int:
        """Return the predicted tokens served before a new job of that rank.

        Each other team is served at most as much as this team meanwhile.
        """
        own = sum(
            lane.tokens_before(rank)
            for lane in self._teams.get(team, {}).values()
        )
        teams = len(self._teams.keys() | {team})
        return min(self._tokens, own * teams)

    def _uncount_short(self, key: LaneKey) -> None:
        self._short[key] -= 1
        if not self._short[key]:
            self._short.pop(key)


def _by_rank(head: tuple[float, int, Job, LaneKey]) -> tuple[float, int]:
    return head[0], head[1]
