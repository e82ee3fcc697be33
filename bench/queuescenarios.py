"""Queue policies under a surge, behind stragglers and in a flood."""

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
class Work:
    """One offered request and what became of it."""

    arrival: float
    team: str
    priority: Priority
    tokens: int
    max_tokens: int
    patience_s: float = math.inf
    begun_at: float | None = None
    ended_at: float | None = None
    refused: bool = False
    done: int = 0
    chunks: list[tuple[float, int]] = field(default_factory=list)

    @property
    def wait_s(self) -> float:
        """Return the time to the start on an engine; infinite if never."""
        return (
            math.inf if self.begun_at is None else self.begun_at - self.arrival
        )

    @property
    def on_time(self) -> bool:
        if self.ended_at is None:
            return False
        return self.ended_at - self.arrival <= self.patience_s


class QueueRun:
    """Drive a queue policy over a list of requests."""

    def __init__(
        self, queue: Any, *, adaptive: bool, resume: bool = False
    ) -> None:
        self._resume = resume
        self._streams: dict[str, tuple[Stream, Engine]] = {}
        self.pauses = 0
        self.clock = Clock()
        self.engines = {
            name: Engine(name, self.clock)
            for name in (f'e{number}' for number in range(ENGINES))
        }
        self.queue = queue
        # The baselines know the number of slots; ours has to find it.
        self._limits = (
            {name: ConcurrencyLimit(initial=4) for name in self.engines}
            if adaptive
            else None
        )
        self._lengths = LengthPredictor()
        self._works: dict[str, Work] = {}

    @property
    def capacity(self) -> float:
        """Return the tokens a second of short answers."""
        return sum(
            engine.capacity(MEAN_SHORT_TOKENS)
            for engine in self.engines.values()
        )

    def run(self, works: Iterable[Work], until: float) -> None:
        for number, work in enumerate(works):
            name = f'{number}'
            self._works[name] = work
            self.clock.at(
                work.arrival, lambda n=name, w=work: self._arrive(n, w)
            )
        self._tick(until)
        self.clock.run(until)

    def _tick(self, until: float) -> None:
        if self.clock.now > until:
            return
        for job in self.queue.expire(self.clock.now):
            self._works[job.request_id].refused = True
        self._pump()
        self.clock.at(self.clock.now + TICK_S, lambda: self._tick(until))

    def _arrive(self, name: str, work: Work) -> None:
        now = self.clock.now
        deadline = (
            None if math.isinf(work.patience_s) else now + work.patience_s
        )
        job = Job(
            request_id=name,
            team=work.team,
            priority=work.priority,
            predicted_tokens=self._lengths.predict(
                work.team, MODEL, work.max_tokens
            ),
            deadline=deadline,
            enqueued_at=now,
            model=MODEL,
        )
        try:
            self.queue.offer(job, now)
        except OriolegaugeError:
            work.refused = True
            return
        self._pump()

    def _pump(self) -> None:
        slots = self._slots()
        while (job := self.queue.take(slots, self.clock.now)) is not None:
            free = {server.name: server.free for server in slots}
            names = self.queue.candidates(job, slots)
            name = max(names, key=free.__getitem__)
            self.queue.placed(job.request_id, name)
            self._start(job, name)
            slots = self._slots()
        while self._resume and (
            job := self.queue.straggler_to_pause(slots, self.clock.now)
        ):
            self._pause(job)
            slots = self._slots()

    def _pause(self, job: Job) -> None:
        self.pauses += 1
        work = self._works[job.request_id]
        stream, engine = self._streams[job.request_id]
        engine.cancel(stream)
        work.done += stream.done
        if self._limits:
            self._limits[engine.name].finished(0, 0, self.clock.now)
        self.queue.paused(job, stream.done, self.clock.now)
        self._pump()

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
        work = self._works[job.request_id]
        started_at = self.clock.now
        if self._limits:
            self._limits[name].started()

        def progress(stream: Stream, tokens: int, seconds: float) -> None:
            if self._limits and stream.done == tokens:
                self._limits[name].first_token(
                    self.clock.now - started_at, self.clock.now
                )
            if work.begun_at is None:
                work.begun_at = stream.begun_at
            work.chunks.append((self.clock.now, tokens))
            self.queue.progress(job.request_id, work.done + stream.done)

        def end(stream: Stream) -> None:
            now = self.clock.now
            work.ended_at = now
            if self._limits:
                self._limits[name].finished(
                    stream.tokens, now - started_at, now
                )
            self._lengths.observe(job.team, MODEL, work.tokens, work.max_tokens)
            self.queue.finished(job, stream.tokens, now)
            self._pump()

        stream = Stream(work.tokens - work.done, progress, end)
        self._streams[job.request_id] = stream, self.engines[name]
        self.engines[name].submit(stream)


def ours(*, resume: bool = True) -> QueueRun:
    queue = AdmissionQueue(rng=random.Random(7))
    return QueueRun(queue, adaptive=True, resume=resume)


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


CREST_BEGIN_S, CREST_END_S = 30.0, 50.0
CREST_FACTOR = 5.0
URGENT_TOKENS_SHARE = 0.12
PATIENCE_S = {
    Priority.URGENT: 8.0,
    Priority.NORMAL: 20.0,
    Priority.BATCH: 120.0,
}


def crest_works(capacity: float, seed: int) -> list[Work]:
    """Return demand that rises to 5 times capacity within 2 s and falls."""
    rng = random.Random(seed)
    unit = capacity / MEAN_SHORT_TOKENS

    def rate(now: float) -> float:
        up = min(1.0, max(0.0, (now - CREST_BEGIN_S) / 2))
        down = min(1.0, max(0.0, (now - CREST_END_S) / 2))
        return unit * (0.6 + (CREST_FACTOR - 0.6) * (up - down))

    works = []
    for at in arrivals(rng, rate, unit * CREST_FACTOR, 90.0):
        share = rng.random()
        level = Priority.BATCH if share > 0.6 else Priority.NORMAL
        if share < URGENT_TOKENS_SHARE:
            level = Priority.URGENT
        works.append(
            Work(
                arrival=at,
                team=f't{rng.randrange(4)}',
                priority=level,
                tokens=short_tokens(rng),
                max_tokens=400,
                patience_s=PATIENCE_S[level],
            )
        )
    return works


def crest(run: QueueRun, seed: int) -> tuple[float, float]:
    """Return the urgent on-time share and the goodput share at the crest."""
    works = crest_works(run.capacity, seed)
    run.run(works, 200.0)
    urgent = [work for work in works if work.priority is Priority.URGENT]
    on_time = sum(work.on_time for work in urgent) / len(urgent)
    begin, end = CREST_BEGIN_S + 2, CREST_END_S
    useful = sum(
        tokens
        for work in works
        if work.on_time
        for at, tokens in work.chunks
        if begin <= at < end
    )
    return on_time, useful / (run.capacity * (end - begin))


LONG_FACTOR = 50
LONG_SHARE = 0.01
# The prefill of a long answer is not longer, only its decoding.
LONG_DECODE_SHARE = 0.927
STRAGGLER_LOAD = 0.9
STRAGGLER_RUN_S = 1200.0


def straggler_works(capacity: float, seed: int) -> list[Work]:
    """Return short jobs with 1% that are 50 times longer.

    Half of the long jobs come from one team; the others come from teams with
    short work, of which a third states no useful bound either.
    """
    rng = random.Random(seed)
    short_s = MEAN_SHORT_TOKENS / capacity
    mean_s = short_s * (1 + LONG_SHARE * (LONG_FACTOR * LONG_DECODE_SHARE - 1))
    unit = STRAGGLER_LOAD / mean_s
    works = []
    for at in arrivals(rng, lambda _: unit, unit, STRAGGLER_RUN_S):
        is_long = rng.random() < LONG_SHARE
        is_known = rng.random() < 0.5
        is_bounded = not is_long and rng.random() < 2 / 3
        factor = LONG_FACTOR if is_long else 1
        team = 'reviews' if is_long and is_known else f't{rng.randrange(4)}'
        works.append(
            Work(
                arrival=at,
                team=team,
                priority=Priority.NORMAL,
                tokens=short_tokens(rng) * factor,
                max_tokens=400 if is_bounded else 8000,
            )
        )
    return works


def straggler_waits(
    run: QueueRun, seed: int
) -> tuple[list[float], list[float]]:
    """Return the waits of short and of long jobs, in seconds."""
    works = straggler_works(run.capacity, seed)
    run.run(works, STRAGGLER_RUN_S + 600)
    limit = MEAN_SHORT_TOKENS * 2
    short = [work.wait_s for work in works if work.tokens <= limit]
    long = [work.wait_s for work in works if work.tokens > limit]
    return short, long


FLOOD_BEGIN_S, FLOOD_END_S = 20.0, 80.0


def flood_works(capacity: float, seed: int, *, flood: bool) -> list[Work]:
    """Return 4 teams at 15% of capacity each, and a flood of 5 times it."""
    rng = random.Random(seed)
    unit = capacity / MEAN_SHORT_TOKENS
    works = [
        _flood_work(rng, at, f't{rng.randrange(4)}')
        for at in arrivals(rng, lambda _: 0.6 * unit, 0.6 * unit, 100.0)
    ]
    if flood:
        rate = 5 * unit
        works += [
            _flood_work(rng, at, 'flood')
            for at in arrivals(rng, lambda _: rate, rate, FLOOD_END_S)
            if at >= FLOOD_BEGIN_S
        ]
    return works


def _flood_work(rng: random.Random, at: float, team: str) -> Work:
    return Work(at, team, Priority.NORMAL, short_tokens(rng), 400, 20.0)


def fairness_spread(make: Callable[[], QueueRun], seed: int) -> float:
    """Return the largest change of a team's service during the flood."""
    served = [_served(make(), seed, flood=flood) for flood in (False, True)]
    return max(
        abs(1 - served[1].get(team, 0) / tokens)
        for team, tokens in served[0].items()
    )


def _served(run: QueueRun, seed: int, *, flood: bool) -> dict[str, int]:
    works = flood_works(run.capacity, seed, flood=flood)
    run.run(works, 200.0)
    totals: dict[str, int] = {}
    for work in works:
        if work.team == 'flood' or not work.on_time:
            continue
        tokens = sum(
            size
            for at, size in work.chunks
            if FLOOD_BEGIN_S <= at < FLOOD_END_S
        )
        totals[work.team] = totals.get(work.team, 0) + tokens
    return totals


def p99(values: list[float]) -> float:
    """Return the value that 99% do not exceed."""
    ordered = sorted(values)
    return ordered[math.ceil(0.99 * len(ordered)) - 1]
