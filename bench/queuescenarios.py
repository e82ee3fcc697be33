"""Simulate queue policies in a surge, with stragglers and in a flood."""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from bench.baselines import first_in_first_out
from bench.fakeengines import Clock, Engine, Stream
from oriolegauge.admission import (
    AdmissionQueue,
    ConcurrencyLimit,
    Job,
    LengthPredictor,
    ServerSlots,
)
from oriolegauge.core import OriolegaugeError, Priority

ENGINES = 4
MODEL = 'model'
TICK_S = 0.1
MEAN_SHORT_TOKENS = 100


@dataclass(slots=True)
class OfferedRequest:
    """One request offered to the queue, with its outcome."""

    arrival: float
    team: str
    priority: Priority
    tokens: int
    max_tokens: int
    timeout_s: float = math.inf
    begun_at: float | None = None
    ended_at: float | None = None
    refused: bool = False
    done_tokens: int = 0
    chunks: list[tuple[float, int]] = field(default_factory=list)

    @property
    def wait_s(self) -> float:
        """Return the time until an engine starts it; infinite if none does."""
        return (
            math.inf if self.begun_at is None else self.begun_at - self.arrival
        )

    @property
    def on_time(self) -> bool:
        if self.ended_at is None:
            return False
        return self.ended_at - self.arrival <= self.timeout_s


class QueueRun:
    """Simulate a queue policy and engines for a list of requests."""

    def __init__(
        self, queue: Any, *, adaptive: bool, pauses_stragglers: bool = False
    ) -> None:
        self._pauses_stragglers = pauses_stragglers
        self._streams: dict[str, tuple[Stream, Engine]] = {}
        self.pauses = 0
        self.clock = Clock()
        self.engines = {
            name: Engine(name, self.clock)
            for name in (f'e{number}' for number in range(ENGINES))
        }
        self.queue = queue
        # Baselines know the number of slots; the product has to learn it.
        self._limits = (
            {name: ConcurrencyLimit(initial=4) for name in self.engines}
            if adaptive
            else None
        )
        self._lengths = LengthPredictor()
        self._requests: dict[str, OfferedRequest] = {}

    @property
    def capacity(self) -> float:
        """Return the tokens a second of short answers."""
        return sum(
            engine.capacity(MEAN_SHORT_TOKENS)
            for engine in self.engines.values()
        )

    def run(self, requests: Iterable[OfferedRequest], until: float) -> None:
        for number, request in enumerate(requests):
            name = f'{number}'
            self._requests[name] = request
            self.clock.at(
                request.arrival, lambda n=name, w=request: self._arrive(n, w)
            )
        self._tick(until)
        self.clock.run(until)

    def _tick(self, until: float) -> None:
        if self.clock.now > until:
            return
        for job in self.queue.expire(self.clock.now):
            self._requests[job.request_id].refused = True
        self._dispatch_queued()
        self.clock.at(self.clock.now + TICK_S, lambda: self._tick(until))

    def _arrive(self, name: str, request: OfferedRequest) -> None:
        now = self.clock.now
        deadline = (
            None if math.isinf(request.timeout_s) else now + request.timeout_s
        )
        job = Job(
            request_id=name,
            team=request.team,
            priority=request.priority,
            predicted_tokens=self._lengths.predict(
                request.team, MODEL, request.max_tokens
            ),
            deadline=deadline,
            enqueued_at=now,
            model=MODEL,
        )
        try:
            self.queue.offer(job, now)
        except OriolegaugeError:
            request.refused = True
            return
        self._dispatch_queued()

    def _dispatch_queued(self) -> None:
        slots = self._slots()
        while (job := self.queue.take(slots, self.clock.now)) is not None:
            free = {server.name: server.free for server in slots}
            names = self.queue.candidates(job, slots)
            name = max(names, key=free.__getitem__)
            self.queue.placed(job.request_id, name)
            self._start(job, name)
            slots = self._slots()
        while self._pauses_stragglers and (
            job := self.queue.straggler_to_pause(slots, self.clock.now)
        ):
            self._pause(job)
            slots = self._slots()

    def _pause(self, job: Job) -> None:
        self.pauses += 1
        request = self._requests[job.request_id]
        stream, engine = self._streams[job.request_id]
        engine.cancel(stream)
        request.done_tokens += stream.done_tokens
        if self._limits:
            self._limits[engine.name].finished(0, 0, self.clock.now)
        self.queue.paused(job, stream.done_tokens, self.clock.now)
        self._dispatch_queued()

    def _slots(self) -> list[ServerSlots]:
        found = []
        for name, engine in self.engines.items():
            limit, free = engine.slots, engine.slots - engine.in_flight
            if self._limits:
                limit = self._limits[name].limit
                free = self._limits[name].free()
            found.append(
                ServerSlots(
                    name=name, models=frozenset({MODEL}), free=free, limit=limit
                )
            )
        return found

    def _start(self, job: Job, name: str) -> None:
        request = self._requests[job.request_id]
        started_at = self.clock.now
        if self._limits:
            self._limits[name].started()

        def progress(stream: Stream, tokens: int, seconds: float) -> None:
            if self._limits and stream.done_tokens == tokens:
                self._limits[name].first_token(
                    self.clock.now - started_at, self.clock.now
                )
            if request.begun_at is None:
                request.begun_at = stream.begun_at
            request.chunks.append((self.clock.now, tokens))
            self.queue.progress(
                job.request_id, request.done_tokens + stream.done_tokens
            )

        def end(stream: Stream) -> None:
            now = self.clock.now
            request.ended_at = now
            if self._limits:
                self._limits[name].finished(
                    stream.tokens, now - started_at, now
                )
            self._lengths.observe(
                job.team, MODEL, request.tokens, request.max_tokens
            )
            self.queue.finished(job, stream.tokens, now)
            self._dispatch_queued()

        stream = Stream(request.tokens - request.done_tokens, progress, end)
        self._streams[job.request_id] = stream, self.engines[name]
        self.engines[name].submit(stream)


def ours(*, pauses_stragglers: bool = True) -> QueueRun:
    queue = AdmissionQueue(rng=random.Random(7))
    return QueueRun(queue, adaptive=True, pauses_stragglers=pauses_stragglers)


def baseline(make: Callable[[], Any] = first_in_first_out) -> QueueRun:
    return QueueRun(make(), adaptive=False)


def arrivals(
    rng: random.Random,
    rate: Callable[[float], float],
    peak: float,
    until: float,
) -> list[float]:
    """Return arrival times of a Poisson process whose rate varies."""
    times, now = [], 0.0
    while (now := now + rng.expovariate(peak)) < until:
        if rng.random() * peak < rate(now):
            times.append(now)
    return times


def short_tokens(rng: random.Random) -> int:
    return round(rng.uniform(0.4, 1.6) * MEAN_SHORT_TOKENS)


SURGE_BEGIN_S, SURGE_END_S = 30.0, 50.0
SURGE_FACTOR = 5.0
URGENT_TOKENS_SHARE = 0.12
TIMEOUT_S = {
    Priority.URGENT: 8.0,
    Priority.NORMAL: 20.0,
    Priority.BATCH: 120.0,
}


def surge_requests(capacity: float, seed: int) -> list[OfferedRequest]:
    """Return demand that rises to 5 times capacity within 2 s and falls."""
    rng = random.Random(seed)
    requests_per_s = capacity / MEAN_SHORT_TOKENS

    def rate(now: float) -> float:
        up = min(1.0, max(0.0, (now - SURGE_BEGIN_S) / 2))
        down = min(1.0, max(0.0, (now - SURGE_END_S) / 2))
        return requests_per_s * (0.6 + (SURGE_FACTOR - 0.6) * (up - down))

    requests = []
    for at in arrivals(rng, rate, requests_per_s * SURGE_FACTOR, 90.0):
        share = rng.random()
        level = Priority.BATCH if share > 0.6 else Priority.NORMAL
        if share < URGENT_TOKENS_SHARE:
            level = Priority.URGENT
        requests.append(
            OfferedRequest(
                arrival=at,
                team=f't{rng.randrange(4)}',
                priority=level,
                tokens=short_tokens(rng),
                max_tokens=400,
                timeout_s=TIMEOUT_S[level],
            )
        )
    return requests


def surge(run: QueueRun, seed: int) -> tuple[float, float]:
    """Return the urgent on-time share and the goodput share in the surge."""
    requests = surge_requests(run.capacity, seed)
    run.run(requests, 200.0)
    urgent = [
        request for request in requests if request.priority is Priority.URGENT
    ]
    on_time = sum(request.on_time for request in urgent) / len(urgent)
    begin, end = SURGE_BEGIN_S + 2, SURGE_END_S
    useful = sum(
        tokens
        for request in requests
        if request.on_time
        for at, tokens in request.chunks
        if begin <= at < end
    )
    return on_time, useful / (run.capacity * (end - begin))


LONG_FACTOR = 50
LONG_SHARE = 0.01
# The prefill of a long answer is not longer, only its decoding.
LONG_DECODE_SHARE = 0.927
STRAGGLER_LOAD = 0.9
STRAGGLER_RUN_S = 1200.0


def straggler_requests(capacity: float, seed: int) -> list[OfferedRequest]:
    """Return short jobs with 1% that are 50 times longer.

    Half of the long jobs come from one team; the others come from teams with
    short work, of which a third states no useful bound either.
    """
    rng = random.Random(seed)
    short_s = MEAN_SHORT_TOKENS / capacity
    mean_s = short_s * (1 + LONG_SHARE * (LONG_FACTOR * LONG_DECODE_SHARE - 1))
    requests_per_s = STRAGGLER_LOAD / mean_s
    requests = []
    for at in arrivals(
        rng, lambda _: requests_per_s, requests_per_s, STRAGGLER_RUN_S
    ):
        is_long = rng.random() < LONG_SHARE
        is_known = rng.random() < 0.5
        is_bounded = not is_long and rng.random() < 2 / 3
        factor = LONG_FACTOR if is_long else 1
        team = 'reviews' if is_long and is_known else f't{rng.randrange(4)}'
        requests.append(
            OfferedRequest(
                arrival=at,
                team=team,
                priority=Priority.NORMAL,
                tokens=short_tokens(rng) * factor,
                max_tokens=400 if is_bounded else 8000,
            )
        )
    return requests


def straggler_waits(
    run: QueueRun, seed: int
) -> tuple[list[float], list[float]]:
    """Return the waits of short and of long jobs, in seconds."""
    requests = straggler_requests(run.capacity, seed)
    run.run(requests, STRAGGLER_RUN_S + 600)
    limit = MEAN_SHORT_TOKENS * 2
    short = [request.wait_s for request in requests if request.tokens <= limit]
    long = [request.wait_s for request in requests if request.tokens > limit]
    return short, long


FLOOD_BEGIN_S, FLOOD_END_S = 20.0, 80.0


def flood_requests(
    capacity: float, seed: int, *, flood: bool
) -> list[OfferedRequest]:
    """Return 4 teams at 15% of capacity each, and a flood of 5 times it."""
    rng = random.Random(seed)
    requests_per_s = capacity / MEAN_SHORT_TOKENS
    requests = [
        _flood_request(rng, at, f't{rng.randrange(4)}')
        for at in arrivals(
            rng, lambda _: 0.6 * requests_per_s, 0.6 * requests_per_s, 100.0
        )
    ]
    if flood:
        rate = 5 * requests_per_s
        requests += [
            _flood_request(rng, at, 'flood')
            for at in arrivals(rng, lambda _: rate, rate, FLOOD_END_S)
            if at >= FLOOD_BEGIN_S
        ]
    return requests


def _flood_request(rng: random.Random, at: float, team: str) -> OfferedRequest:
    return OfferedRequest(
        at, team, Priority.NORMAL, short_tokens(rng), 400, 20.0
    )


def fairness_spread(make: Callable[[], QueueRun], seed: int) -> float:
    """Return the largest change of a team's service during the flood."""
    served = [_served(make(), seed, flood=flood) for flood in (False, True)]
    return max(
        abs(1 - served[1].get(team, 0) / tokens)
        for team, tokens in served[0].items()
    )


def _served(run: QueueRun, seed: int, *, flood: bool) -> dict[str, int]:
    requests = flood_requests(run.capacity, seed, flood=flood)
    run.run(requests, 200.0)
    totals: dict[str, int] = {}
    for request in requests:
        if request.team == 'flood' or not request.on_time:
            continue
        tokens = sum(
            size
            for at, size in request.chunks
            if FLOOD_BEGIN_S <= at < FLOOD_END_S
        )
        totals[request.team] = totals.get(request.team, 0) + tokens
    return totals


def p99(values: list[float]) -> float:
    """Return the value that 99% do not exceed."""
    ordered = sorted(values)
    return ordered[math.ceil(0.99 * len(ordered)) - 1]
