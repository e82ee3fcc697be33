"""Simulated engines that decode several streams in one batch."""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

CHUNK_TOKENS = 8
# Seconds per token with an empty batch, and the relative increase with a full
# one.
TOKEN_S = 0.02
BATCH_SLOPE = 0.25
PREFILL_S = 0.2
CACHED_PREFILL_S = 0.02


class Clock:
    """Run callbacks in order of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), call))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until


@dataclass(slots=True, eq=False)
class Stream:
    """One answer; `begun_at` is the time at which its prefill starts."""

    tokens: int
    on_progress: Callable[['Stream', int, float], None]
    on_end: Callable[['Stream'], None]
    prefix: str | None = None
    done_tokens: int = 0
    begun_at: float | None = None
    first_token_at: float | None = None
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class Engine:
    """Decode up to `slots` streams at once and queue the rest in order."""

    name: str
    clock: Clock
    slots: int = 8
    chunk_tokens: int = CHUNK_TOKENS
    cached_prefixes: int = 0
    slow_periods: list[tuple[float, float]] = field(default_factory=list)
    slowdown: float = 10.0
    running: set[Stream] = field(default_factory=set)
    queue: deque[Stream] = field(default_factory=deque)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_hits: int = 0
    cache_lookups: int = 0

    def capacity(self, tokens: float) -> float:
        """Return the tokens a second of full batches of such answers."""
        seconds = PREFILL_S + tokens * TOKEN_S * (1 + BATCH_SLOPE)
        return self.slots * tokens / seconds

    @property
    def in_flight(self) -> int:
        return len(self.running) + len(self.queue)

    def load(self) -> float:
        streams = [*self.running, *self.queue]
        return float(
            sum(stream.tokens - stream.done_tokens for stream in streams)
        )

    def submit(self, stream: Stream) -> None:
        self.queue.append(stream)
        self._start_queued()

    def cancel(self, stream: Stream) -> None:
        stream.cancelled = True
        if stream in self.queue:
            self.queue.remove(stream)
        self.running.discard(stream)
        self._start_queued()

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self.slots:
            stream = self.queue.popleft()
            self.running.add(stream)
            stream.begun_at = self.clock.now
            hit = self._look_up(stream.prefix)
            seconds = CACHED_PREFILL_S if hit else PREFILL_S
            self._schedule_after(
                seconds * self._slowdown_factor(),
                lambda s=stream: self._step(s),
            )

    def _look_up(self, prefix: str | None) -> bool:
        if prefix is None:
            return False
        hit = prefix in self.cache
        self.cache_hits += hit
        self.cache_lookups += 1
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        while len(self.cache) > self.cached_prefixes:
            self.cache.popitem(last=False)
        return hit

    def _step(self, stream: Stream) -> None:
        if stream.cancelled:
            return
        # The first chunk is one token, which gives the time of the first token.
        size = 1 if stream.first_token_at is None else self.chunk_tokens
        size = min(size, stream.tokens - stream.done_tokens)
        batch = 1 + BATCH_SLOPE * len(self.running) / self.slots
        seconds = size * TOKEN_S * batch * self._slowdown_factor()
        self._schedule_after(seconds, lambda: self._emit(stream, size, seconds))

    def _emit(self, stream: Stream, size: int, seconds: float) -> None:
        if stream.cancelled:
            return
        stream.done_tokens += size
        if stream.first_token_at is None:
            stream.first_token_at = self.clock.now
        stream.on_progress(stream, size, seconds)
        if stream.cancelled:
            return
        if stream.done_tokens < stream.tokens:
            self._step(stream)
            return
        self.running.discard(stream)
        self._start_queued()
        stream.on_end(stream)

    def _slowdown_factor(self) -> float:
        now = self.clock.now
        slow = any(begin <= now < end for begin, end in self.slow_periods)
        return self.slowdown if slow else 1.0

    def _schedule_after(self, seconds: float, call: Callable[[], None]) -> None:
        self.clock.at(self.clock.now + seconds, call)
