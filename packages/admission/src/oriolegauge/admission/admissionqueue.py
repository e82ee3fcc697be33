"""Order waiting jobs and refuse work that cannot be served."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Iterable, Mapping, Sequence

from oriolegauge.admission.classqueue import ClassQueue, Place
from oriolegauge.admission.errors import (
    DeadlineUnreachableError,
    QueueFullError,
)
from oriolegauge.admission.job import Job
from oriolegauge.admission.lane import LaneKey
from oriolegauge.admission.runningjobs import RunningJobs
from oriolegauge.admission.serverslots import ServerSlots
from oriolegauge.admission.servicerate import ServiceRate
from oriolegauge.core import Priority
from oriolegauge.core.recentvalues import RecentValues

# Bounds of the retry time told to a refused caller.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 60.0
# Spreads the retries of callers that were refused at the same moment.
RETRY_JITTER = 0.25
LENGTH_WINDOW = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueLimits:
    """Bound and tune the queue."""

    max_waiting_per_class: int = 1000
    # A team may hold this many times the free places of its class, so that
    # a flood by one team always leaves places for the others.
    team_share_of_free: float = 2.0
    floor_share: float = 0.05
    ageing_tokens_per_s: float = 200.0
    # A job this many times longer than the median is a straggler.
    straggler_factor: float = 8.0
    min_straggler_tokens: int = 512
    # Stragglers hold at most this share of a server while short work waits.
    straggler_share: float = 0.125
    # A resumed straggler runs at least this long, because a resume costs
    # another prefill.
    min_run_s: float = 0.5


class AdmissionQueue:
    """Hold waiting jobs by class, team, predicted length and age."""

    def __init__(
        self, *, rng: random.Random, limits: QueueLimits | None = None
    ) -> None:
        """Start empty."""
        self._rng = rng
        self._limits = limits or QueueLimits()
        self._classes = {priority: ClassQueue() for priority in Priority}
        self._lengths_max: Mapping[Priority, int] = dict.fromkeys(
            Priority, self._limits.max_waiting_per_class
        )
        self._places: dict[str, Place] = {}
        self._due: list[tuple[float, int, str]] = []
        self._expired: list[Job] = []
        self._positions = itertools.count()
        self._running = RunningJobs()
        self._rate = ServiceRate()
        self._lengths = RecentValues(LENGTH_WINDOW)
        self._floor_credit: float = 0

    def __len__(self) -> int:
        return len(self._places)

    @property
    def running(self) -> int:
        """Return the number of taken jobs that have not ended."""
        return len(self._running)

    @property
    def straggler_tokens(self) -> float:
        """Return the length from which a job counts as a straggler."""
        median = self._lengths.quantile(0.5) or 0
        return max(
            self._limits.min_straggler_tokens,
            median * self._limits.straggler_factor,
        )

    def waiting(self, priority: Priority) -> int:
        """Return the number of waiting jobs of a class."""
        return len(self._classes[priority])

    def set_waiting_limits(
        self, waiting_limits: Mapping[Priority, int]
    ) -> None:
        """Bound the waiting jobs of each class; none that wait are dropped."""
        self._lengths_max = dict(waiting_limits)

    def offer(self, job: Job, now: float) -> None:
        """Add a job.

        Raises:
            QueueFullError: its class or its team's share of it is full.
            DeadlineUnreachableError: it cannot end before its deadline.

        """
        if job.request_id in self._places or job.request_id in self._running:
            raise ValueError(f'job {job.request_id} is already known')
        self._collect_due(now)
        self._check_room(job)
        self._check_deadline(job, now)
        place = self._place_of(job)
        self._classes[job.priority].push(place)
        self._places[job.request_id] = place
        if job.deadline is not None:
            self._push_due(job.deadline, place)

    def take(self, servers: Sequence[ServerSlots], now: float) -> Job | None:
        """Return the next job that a server with a free slot may run.

        The job counts as running until `finished`; `candidates` names the
        servers it may go to and `placed` records the choice. With a single
        server the choice is recorded at once.
        """
        self._collect_due(now)
        usable = [server for server in servers if server.free > 0]
        place = self._next_place(usable)
        if place is None:
            if self._places:
                self._rate.saturated(len(self._running))
            return None
        self._forget(place)
        job = place.job
        self._classes[job.priority].charge(job.team, job.predicted_tokens)
        self._running.start(job, is_long=place.lane.is_long, now=now)
        self._rate.running(len(self._running))
        if len(usable) == 1:
            self._running.place(job.request_id, usable[0].name)
        return job

    def candidates(self, job: Job, servers: Iterable[ServerSlots]) -> list[str]:
        """Return the servers with a free slot that may run a taken job."""
        is_long = self._running.is_long(job.request_id)
        key = LaneKey(job.model, job.allowed_servers, is_long)
        return [
            server.name
            for server in servers
            if server.free > 0
            and self._fits(server, key, job.priority, job.request_id)
        ]

    def placed(self, request_id: str, server: str) -> None:
        """Record the backend server that runs a taken job."""
        self._running.place(request_id, server)

    def progress(self, request_id: str, tokens: int) -> None:
        """Record the output tokens so far; long jobs become stragglers."""
        # The bound costs a median to compute, so short jobs skip it.
        if tokens <= self._limits.min_straggler_tokens:
            return
        if tokens > self.straggler_tokens:
            self._running.mark_long(request_id)

    def finished(self, job: Job, tokens: int, now: float) -> None:
        """Learn from an ended job; correct its team's counter."""
        seconds = self._running.end(job.request_id, now)
        if seconds is None:
            return
        self._classes[job.priority].charge(
            job.team, tokens - job.predicted_tokens
        )
        if tokens:
            self._lengths.add(tokens)
            self._rate.ended(tokens, seconds)

    def straggler_to_pause(
        self, servers: Iterable[ServerSlots], now: float
    ) -> Job | None:
        """Return a running straggler that should give way to short work.

        It is on a full server where stragglers hold more than their share
        while short work waits. The caller cancels its stream and calls
        `paused`; it may leave it, for example if the stream can't resume.
        """
        self._collect_due(now)
        for server in servers:
            if server.free > 0:
                continue
            share = self._straggler_slots(server)
            if self._running.stragglers(server.name) <= share:
                continue
            job = self._running.longest(
                server.name, now - self._limits.min_run_s
            )
            if job and self._has_short_work(server, job.priority):
                return job
        return None

    def paused(self, job: Job, tokens: int, now: float) -> None:
        """Queue a job again that was stopped after that many tokens.

        `take` returns it as before. It has run, so `expire` never does.
        """
        seconds = self._running.end(job.request_id, now)
        if seconds is None:
            return
        self._rate.ended(tokens, seconds)
        self._classes[job.priority].charge(
            job.team, tokens - job.predicted_tokens
        )
        lane = LaneKey(job.model, job.allowed_servers, is_long=True)
        place = dataclasses.replace(self._place_of(job), lane=lane)
        self._classes[job.priority].push(place)
        self._places[job.request_id] = place

    def remove(self, request_id: str) -> Job | None:
        """Remove a waiting job, for example of a caller that left."""
        place = self._places.get(request_id)
        if place is None:
            return None
        self._forget(place)
        return place.job

    def expire(self, now: float) -> list[Job]:
        """Return, once, the jobs that can no longer meet their deadline."""
        self._collect_due(now)
        expired = self._expired.copy()
        self._expired.clear()
        return expired

    def predicted_wait(self, job: Job) -> float | None:
        """Return the expected wait in seconds, or None if unknown."""
        rate = self._rate.tokens_per_s
        if not rate:
            return None
        own = self._classes[job.priority]
        before = own.tokens_before(job.team, self._rank(job))
        before += sum(
            queue.tokens
            for priority, queue in self._classes.items()
            if priority < job.priority
        )
        return before / (rate * (1 - self._limits.floor_share))

    def _check_room(self, job: Job) -> None:
        queue = self._classes[job.priority]
        free = self._lengths_max[job.priority] - len(queue)
        team_limit = free * self._limits.team_share_of_free
        if free > 0 and queue.waiting(job.team) < team_limit:
            return
        wait = self._drain_time(job.priority)
        raise QueueFullError(
            f'the {job.priority.name.lower()} queue has no place for the team',
            retry_after_s=self._retry_after(wait),
        )

    def _drain_time(self, priority: Priority) -> float | None:
        rate = self._rate.tokens_per_s
        if not rate:
            return None
        tokens = sum(
            queue.tokens
            for level, queue in self._classes.items()
            if level <= priority
        )
        return tokens / rate

    def _check_deadline(self, job: Job, now: float) -> None:
        if job.deadline is None:
            return
        wait = self.predicted_wait(job) or 0
        earliest = now + wait + self._run_time(job)
        if earliest > job.deadline:
            raise DeadlineUnreachableError(
                f'the answer is expected in {earliest - now:.1f} s, '
                f'the deadline is in {job.deadline - now:.1f} s',
                retry_after_s=self._retry_after(wait),
            )

    def _run_time(self, job: Job) -> float:
        return job.predicted_tokens * (self._rate.seconds_per_token or 0)

    def _retry_after(self, wait: float | None) -> float:
        spread = 1 + RETRY_JITTER * self._rng.random()
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait or 1.0)) * spread

    def _lane_of(self, job: Job) -> LaneKey:
        is_long = job.predicted_tokens > self.straggler_tokens
        return LaneKey(job.model, job.allowed_servers, is_long)

    def _place_of(self, job: Job) -> Place:
        return Place(
            team=job.team,
            lane=self._lane_of(job),
            rank=self._rank(job),
            position=next(self._positions),
            job=job,
        )

    def _rank(self, job: Job) -> float:
        # All jobs age at the same rate, so their order never changes and the
        # time of arrival can stand for the age.
        aged = job.enqueued_at * self._limits.ageing_tokens_per_s
        return job.predicted_tokens + aged

    def _push_due(self, at: float, place: Place) -> None:
        heapq.heappush(self._due, (at, place.position, place.job.request_id))
        if len(self._due) > 2 * len(self._places) + 64:
            self._due = [entry for entry in self._due if self._is_live(entry)]
            heapq.heapify(self._due)

    def _is_live(self, entry: tuple[float, int, str]) -> bool:
        place = self._places.get(entry[2])
        return place is not None and place.position == entry[1]

    def _collect_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            entry = heapq.heappop(self._due)
            if self._is_live(entry):
                place = self._places[entry[2]]
                self._forget(place)
                self._expired.append(place.job)

    def _forget(self, place: Place) -> None:
        self._places.pop(place.job.request_id)
        self._classes[place.job.priority].remove(place)

    def _next_place(self, servers: Sequence[ServerSlots]) -> Place | None:
        levels = [level for level in Priority if self._classes[level]]
        if not servers or not levels:
            return None
        best = self._first_place(levels, servers)
        if best is None or best.job.priority == levels[-1]:
            return best
        lowest = self._peek(levels[-1], servers)
        if lowest is None:
            return best
        if self._floor_credit >= lowest.job.predicted_tokens:
            self._floor_credit -= lowest.job.predicted_tokens
            return lowest
        share = self._limits.floor_share
        self._floor_credit += best.job.predicted_tokens * share / (1 - share)
        return best

    def _first_place(
        self, levels: Iterable[Priority], servers: Sequence[ServerSlots]
    ) -> Place | None:
        for level in levels:
            place = self._peek(level, servers)
            if place is not None:
                return place
        return None

    def _peek(
        self, priority: Priority, servers: Sequence[ServerSlots]
    ) -> Place | None:
        known: dict[LaneKey, bool] = {}

        def fits(key: LaneKey) -> bool:
            if key not in known:
                known[key] = any(
                    self._fits(server, key, priority) for server in servers
                )
            return known[key]

        return self._classes[priority].peek(fits)

    def _fits(
        self,
        server: ServerSlots,
        key: LaneKey,
        priority: Priority,
        taken: str | None = None,
    ) -> bool:
        if not _may_run(server, key):
            return False
        if not key.is_long:
            return True
        share = self._straggler_slots(server)
        if self._running.stragglers(server.name, besides=taken) < share:
            return True
        return not self._has_short_work(server, priority)

    def _straggler_slots(self, server: ServerSlots) -> int:
        # A server with a single slot must be able to run stragglers too.
        return max(1, int(server.limit * self._limits.straggler_share))

    def _has_short_work(self, server: ServerSlots, priority: Priority) -> bool:
        # Short work of lower classes doesn't count: it must not go before
        # long work of a higher class.
        return any(
            _may_run(server, key)
            for level in Priority
            if level <= priority
            for key in self._classes[level].short_lanes
        )


def _may_run(server: ServerSlots, key: LaneKey) -> bool:
    if key.model not in server.models:
        return False
    return key.allowed_servers is None or server.name in key.allowed_servers
