"""Queue of jobs that wait for a slot on a backend server.

Orders jobs by priority class, team and predicted length, and rejects a job at
once if its class or team has too many waiting or its deadline can't be met.
It matters under overload: no class, team or kind of job blocks the others.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Iterable, Mapping, Sequence

from oriolegauge.admission.classqueue import ClassQueue, QueuedJob
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

# Bounds of the `retry_after_s` sent to a rejected caller.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 60.0
# Random extra share of the retry delay, so that callers that were rejected at
# the same moment do not retry at the same moment.
RETRY_JITTER = 0.25
LENGTH_SAMPLES = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueLimits:
    """Bound the waiting jobs; set ageing and the shares of classes."""

    max_waiting_per_class: int = 1000
    # A team may have at most this many waiting jobs per free queue slot of
    # the class, so that a flood by one team always leaves slots for others.
    team_share_of_free: float = 2.0
    # Share of tokens for the lowest waiting class while higher ones wait.
    lowest_class_share: float = 0.05
    ageing_tokens_per_s: float = 200.0
    # A job this many times longer than the median is a straggler.
    straggler_factor: float = 8.0
    min_straggler_tokens: int = 512
    # Stragglers use at most this share of the slots of a server while short
    # jobs wait.
    straggler_share: float = 0.125
    # A resumed straggler runs at least this long, because a resume costs
    # another prefill.
    min_run_s: float = 0.5


class AdmissionQueue:
    """Order waiting jobs by class, team, predicted length and age."""

    def __init__(
        self, *, rng: random.Random, limits: QueueLimits | None = None
    ) -> None:
        """Create an empty queue; `rng` spreads the retry times."""
        self._rng = rng
        self._limits = limits or QueueLimits()
        self._classes = {priority: ClassQueue() for priority in Priority}
        self._waiting_limits: Mapping[Priority, int] = dict.fromkeys(
            Priority, self._limits.max_waiting_per_class
        )
        self._queued: dict[str, QueuedJob] = {}
        self._deadlines: list[tuple[float, int, str]] = []
        self._expired: list[Job] = []
        self._positions = itertools.count()
        self._running = RunningJobs()
        self._rate = ServiceRate()
        self._output_lengths = RecentValues(LENGTH_SAMPLES)
        self._lowest_class_credit: float = 0

    def __len__(self) -> int:
        return len(self._queued)

    @property
    def running(self) -> int:
        """Return the number of jobs taken from the queue and not ended."""
        return len(self._running)

    @property
    def straggler_tokens(self) -> float:
        """Return the output tokens above which a job is a straggler."""
        median = self._output_lengths.quantile(0.5) or 0
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
        """Set the maximum of waiting jobs per class; drop none that wait."""
        self._waiting_limits = dict(waiting_limits)

    def offer(self, job: Job, now: float) -> None:
        """Add a job.

        Raises:
            QueueFullError: its class, or the share of its team, is full.
            DeadlineUnreachableError: it can't end before its deadline.

        """
        if job.request_id in self._queued or job.request_id in self._running:
            raise ValueError(f'job {job.request_id} is already known')
        self._collect_expired(now)
        self._check_capacity(job)
        self._check_deadline(job, now)
        queued = self._queued_job(job)
        self._classes[job.priority].push(queued)
        self._queued[job.request_id] = queued
        if job.deadline is not None:
            self._push_deadline(job.deadline, queued)

    def take(self, servers: Sequence[ServerSlots], now: float) -> Job | None:
        """Return the next job that a server with a free slot may run.

        The job counts as running until `finished`. `candidates` returns the
        servers that may run it and `placed` records which one was chosen; if
        only one server has a free slot, it is recorded at once.
        """
        self._collect_expired(now)
        usable = [server for server in servers if server.free > 0]
        queued = self._next_queued(usable)
        if queued is None:
            if self._queued:
                self._rate.note_saturated(len(self._running))
            return None
        self._remove_queued(queued)
        job = queued.job
        self._classes[job.priority].charge(job.team, job.predicted_tokens)
        self._running.start(job, is_long=queued.lane.is_long, now=now)
        self._rate.running(len(self._running))
        if len(usable) == 1:
            self._running.set_server(job.request_id, usable[0].name)
        return job

    def candidates(self, job: Job, servers: Iterable[ServerSlots]) -> list[str]:
        """Return names of the free servers that may run a taken job."""
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
        self._running.set_server(request_id, server)

    def progress(self, request_id: str, tokens: int) -> None:
        """Mark a running job as a straggler if its output is too long.

        `tokens` counts its output tokens so far.
        """
        # Computing the limit takes a median, so short jobs skip it.
        if tokens <= self._limits.min_straggler_tokens:
            return
        if tokens > self.straggler_tokens:
            self._running.mark_long(request_id)

    def finished(self, job: Job, tokens: int, now: float) -> None:
        """Remove an ended job; update the measured rate and team usage."""
        seconds = self._running.end(job.request_id, now)
        if seconds is None:
            return
        self._classes[job.priority].charge(
            job.team, tokens - job.predicted_tokens
        )
        if tokens:
            self._output_lengths.add(tokens)
            self._rate.ended(tokens, seconds)

    def straggler_to_pause(
        self, servers: Iterable[ServerSlots], now: float
    ) -> Job | None:
        """Return a running straggler to pause in favor of short jobs.

        It runs on a full server where stragglers use more than their share of
        slots while short jobs wait. The caller cancels its stream and calls
        `paused`, or lets it run, for example if the stream can't resume.
        """
        self._collect_expired(now)
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
        """Queue a job again that was paused after that many tokens.

        `take` returns it later. `expire` never returns it, because it has
        run already.
        """
        seconds = self._running.end(job.request_id, now)
        if seconds is None:
            return
        self._rate.ended(tokens, seconds)
        self._classes[job.priority].charge(
            job.team, tokens - job.predicted_tokens
        )
        lane = LaneKey(job.model, job.allowed_servers, is_long=True)
        queued = dataclasses.replace(self._queued_job(job), lane=lane)
        self._classes[job.priority].push(queued)
        self._queued[job.request_id] = queued

    def remove(self, request_id: str) -> Job | None:
        """Remove a waiting job, for example after its caller disconnected."""
        queued = self._queued.get(request_id)
        if queued is None:
            return None
        self._remove_queued(queued)
        return queued.job

    def expire(self, now: float) -> list[Job]:
        """Return the jobs whose deadline has passed, each one once."""
        self._collect_expired(now)
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
        return before / (rate * (1 - self._limits.lowest_class_share))

    def _check_capacity(self, job: Job) -> None:
        queue = self._classes[job.priority]
        free = self._waiting_limits[job.priority] - len(queue)
        team_limit = free * self._limits.team_share_of_free
        if free > 0 and queue.waiting(job.team) < team_limit:
            return
        wait = self._drain_time(job.priority)
        raise QueueFullError(
            f'the {job.priority.name.lower()} queue is full for the team',
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

    def _queued_job(self, job: Job) -> QueuedJob:
        return QueuedJob(
            team=job.team,
            lane=self._lane_of(job),
            rank=self._rank(job),
            position=next(self._positions),
            job=job,
        )

    def _rank(self, job: Job) -> float:
        # All jobs age at the same rate, so their order never changes and the
        # arrival time can be used instead of the age.
        aged = job.enqueued_at * self._limits.ageing_tokens_per_s
        return job.predicted_tokens + aged

    def _push_deadline(self, at: float, queued: QueuedJob) -> None:
        heapq.heappush(
            self._deadlines, (at, queued.position, queued.job.request_id)
        )
        if len(self._deadlines) > 2 * len(self._queued) + 64:
            self._deadlines = [
                entry for entry in self._deadlines if self._is_waiting(entry)
            ]
            heapq.heapify(self._deadlines)

    def _is_waiting(self, entry: tuple[float, int, str]) -> bool:
        queued = self._queued.get(entry[2])
        return queued is not None and queued.position == entry[1]

    def _collect_expired(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            entry = heapq.heappop(self._deadlines)
            if self._is_waiting(entry):
                queued = self._queued[entry[2]]
                self._remove_queued(queued)
                self._expired.append(queued.job)

    def _remove_queued(self, queued: QueuedJob) -> None:
        self._queued.pop(queued.job.request_id)
        self._classes[queued.job.priority].remove(queued)

    def _next_queued(self, servers: Sequence[ServerSlots]) -> QueuedJob | None:
        levels = [level for level in Priority if self._classes[level]]
        if not servers or not levels:
            return None
        best = self._first_queued(levels, servers)
        if best is None or best.job.priority == levels[-1]:
            return best
        lowest = self._peek(levels[-1], servers)
        if lowest is None:
            return best
        if self._lowest_class_credit >= lowest.job.predicted_tokens:
            self._lowest_class_credit -= lowest.job.predicted_tokens
            return lowest
        share = self._limits.lowest_class_share
        self._lowest_class_credit += (
            best.job.predicted_tokens * share / (1 - share)
        )
        return best

    def _first_queued(
        self, levels: Iterable[Priority], servers: Sequence[ServerSlots]
    ) -> QueuedJob | None:
        for level in levels:
            queued = self._peek(level, servers)
            if queued is not None:
                return queued
        return None

    def _peek(
        self, priority: Priority, servers: Sequence[ServerSlots]
    ) -> QueuedJob | None:
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
        # At least one slot: a server with a single slot runs stragglers too.
        return max(1, int(server.limit * self._limits.straggler_share))

    def _has_short_work(self, server: ServerSlots, priority: Priority) -> bool:
        # Short jobs of lower classes don't count: they must not run before
        # long jobs of a higher class.
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
