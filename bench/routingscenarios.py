"""Simulate routing to servers that are slow at times or cache prefixes."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bench.baselines import SimpleRouter
from bench.fakeengines import Clock, Engine, Stream
from bench.queuescenarios import arrivals
from oriolegauge.routing import HedgePolicy, RetryBudget, Router, ServerView

ENGINES = 6
DAEMONS = 3
ZONE = 'z1'
HEARTBEAT_S = 0.5
REPORT_DELAY_S = 5.0
SLOW_LOAD = 0.5
SLOW_RUN_S = 600.0
MOVE_CHECK_PERIOD_S = 0.1
MEAN_TOKENS = 100
# Real engines send each token; larger chunks would delay the detection of a
# slow server.
CHUNK_TOKENS = 2


@dataclass(slots=True, eq=False)
class Request:
    """One request, its streams and its latency."""

    tokens: int
    prefix: str | None
    daemon: 'Daemon'
    arrived_at: float
    whole_answer: bool
    ended_at: float | None = None
    streams: tuple[tuple[Stream, str, int], ...] = ()
    move_count: int = 0


class Daemon:
    """Routing state of one simulated daemon."""

    def __init__(self, router: Any, rng: random.Random, *, ours: bool) -> None:
        self.router = router
        self.ours = ours
        self.in_flight: dict[str, float] = {}
        self.hedges = HedgePolicy()
        self.retries = RetryBudget(rng=rng)


class RoutingRun:
    """Simulate daemons that share engines and get delayed load reports."""

    def __init__(
        self,
        make_router: Callable[[random.Random], Any],
        *,
        seed: int,
        ours: bool,
        cached_prefixes: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.engines = {
            name: Engine(
                name,
                self.clock,
                chunk_tokens=CHUNK_TOKENS,
                cached_prefixes=cached_prefixes,
            )
            for name in (f'e{number}' for number in range(ENGINES))
        }
        self._reports = dict.fromkeys(self.engines, 0.0)
        self._daemons = [
            Daemon(make_router(self.rng), self.rng, ours=ours)
            for _ in range(DAEMONS)
        ]
        self.requests: list[Request] = []
        self.hedged_requests = 0
        self.moved_requests = 0
        self._open_requests: dict[Request, None] = {}

    def run(
        self, load: float, until: float, prefix: Callable[[], str | None]
    ) -> None:
        capacity = sum(
            engine.capacity(MEAN_TOKENS) for engine in self.engines.values()
        )
        rate = load * capacity / MEAN_TOKENS
        for at in arrivals(self.rng, lambda _: rate, rate, until):
            tokens = round(self.rng.uniform(0.4, 1.6) * MEAN_TOKENS)
            key = prefix()
            self.clock.at(at, lambda t=tokens, k=key: self._arrive(t, k))
        self._heartbeat(until)
        self._report(until)
        self._move_from_ejected_servers(until)
        self.clock.run(until + 120)

    def _arrive(self, tokens: int, prefix: str | None) -> None:
        daemon = self.rng.choice(self._daemons)
        whole_answer = self.rng.random() < 0.5
        request = Request(tokens, prefix, daemon, self.clock.now, whole_answer)
        self.requests.append(request)
        self._open_requests[request] = None
        daemon.hedges.request()
        daemon.retries.request()
        self._send(request, tokens, frozenset())
        delay = daemon.hedges.delay(idempotent=True, whole_answer=whole_answer)
        if daemon.ours and delay is not None:
            self.clock.at(self.clock.now + delay, lambda: self._hedge(request))

    def _views(self, without: frozenset[str]) -> list[ServerView]:
        return [
            ServerView(
                name=name,
                zone=ZONE,
                can_resume=True,
                reported_load=self._reports[name],
                reported_at=self.clock.now - REPORT_DELAY_S,
            )
            for name in self.engines
            if name not in without
        ]

    def _send(
        self, request: Request, tokens: int, without: frozenset[str]
    ) -> None:
        daemon, now = request.daemon, self.clock.now
        views = self._views(without)
        name = daemon.router.choose(views, request.prefix, now)
        daemon.router.started(name, tokens, now)
        daemon.in_flight[name] = daemon.in_flight.get(name, 0) + tokens

        def progress(stream: Stream, size: int, seconds: float) -> None:
            if stream.done_tokens == size:
                daemon.router.first_token(
                    name, self.clock.now - now, self.clock.now
                )
            daemon.router.progress(name, size, seconds, self.clock.now)

        stream = Stream(
            tokens, progress, lambda _: self._end(request), request.prefix
        )
        request.streams = (*request.streams, (stream, name, tokens))
        self.engines[name].submit(stream)

    def _end(self, request: Request) -> None:
        now = self.clock.now
        request.ended_at = now
        self._open_requests.pop(request)
        request.daemon.hedges.observe(now - request.arrived_at)
        self._cancel_streams(request)

    def _cancel_streams(self, request: Request) -> None:
        daemon = request.daemon
        for stream, name, tokens in request.streams:
            if stream.done_tokens < stream.tokens:
                self.engines[name].cancel(stream)
            daemon.router.finished(name, True, self.clock.now, tokens=tokens)
            daemon.in_flight[name] -= tokens
        request.streams = ()

    def _hedge(self, request: Request) -> None:
        if request.ended_at is not None or len(request.streams) > 1:
            return
        if not request.daemon.hedges.spend():
            return
        self.hedged_requests += 1
        used = frozenset(name for _, name, _ in request.streams)
        self._send(request, request.tokens, used)

    def _move_from_ejected_servers(self, until: float) -> None:
        for request in list(self._open_requests):
            if request.daemon.ours and len(request.streams) == 1:
                self._resume_elsewhere(request)
        if self.clock.now < until:
            later = self.clock.now + MOVE_CHECK_PERIOD_S
            self.clock.at(later, lambda: self._move_from_ejected_servers(until))

    def _resume_elsewhere(self, request: Request) -> None:
        """Resume a stream on another server if its server is ejected."""
        stream, name, _ = request.streams[0]
        daemon = request.daemon
        if not daemon.router.is_ejected(name) or request.move_count:
            return
        if daemon.retries.retry(1) is None:
            return
        self.moved_requests += 1
        request.move_count += 1
        self._cancel_streams(request)
        self._send(
            request, stream.tokens - stream.done_tokens, frozenset({name})
        )

    def _heartbeat(self, until: float) -> None:
        for daemon in self._daemons:
            for name in self.engines:
                tokens = sum(
                    other.in_flight.get(name, 0)
                    for other in self._daemons
                    if other is not daemon
                )
                daemon.router.peer_load(name, tokens)
        if self.clock.now < until:
            later = self.clock.now + HEARTBEAT_S
            self.clock.at(later, lambda: self._heartbeat(until))

    def _report(self, until: float) -> None:
        now = self.clock.now
        for name, engine in self.engines.items():
            load = engine.load()
            self.clock.at(
                now + REPORT_DELAY_S,
                lambda n=name, v=load: self._reports.update({n: v}),
            )
        if now < until:
            self.clock.at(now + 1, lambda: self._report(until))


def slow_periods_by_server(seed: int) -> dict[str, list[tuple[float, float]]]:
    """Return slow periods for 2 of 6 servers.

    Each is 3 to 9 s long, with 10 to 30 s between two of them.
    """
    rng = random.Random(seed)
    slow_periods: dict[str, list[tuple[float, float]]] = {}
    for name in ('e0', 'e1'):
        now, found = rng.uniform(5, 20), []
        while now < SLOW_RUN_S:
            length = rng.uniform(3, 9)
            found.append((now, now + length))
            now += length + rng.uniform(10, 30)
        slow_periods[name] = found
    return slow_periods


def slow_run(
    make_router: Callable[[random.Random], Any],
    seed: int,
    *,
    ours: bool,
    slow: bool,
) -> RoutingRun:
    run = RoutingRun(make_router, seed=seed, ours=ours)
    if slow:
        for name, slow_periods in slow_periods_by_server(seed).items():
            run.engines[name].slow_periods = slow_periods
    run.run(SLOW_LOAD, SLOW_RUN_S, lambda: None)
    return run


def latencies(run: RoutingRun) -> list[float]:
    """Return the seconds from arrival to end; infinite without an end."""
    return [
        (request.ended_at or math.inf) - request.arrived_at
        for request in run.requests
    ]


def product_router(rng: random.Random) -> Router:
    return Router(zone=ZONE, rng=rng)


def simple_router_factory(rule: str) -> Callable[[random.Random], SimpleRouter]:
    return lambda rng: SimpleRouter(rule, rng)


WORKSPACE_SHARES = (24, 20, 16, 10, 8, 7, 5, 4, 3, 3)
CACHED_PREFIXES = 3
PREFIX_LOAD = 0.6
PREFIX_RUN_S = 300.0


def prefix_hit_share(
    make_router: Callable[[random.Random], Any], seed: int, *, ours: bool
) -> tuple[float, float]:
    """Return the hit share and the best possible one.

    At best only the first request of each workspace misses.
    """
    run = RoutingRun(
        make_router, seed=seed, ours=ours, cached_prefixes=CACHED_PREFIXES
    )
    rng = random.Random(seed)
    names = [f'{seed}/w{number}' for number in range(len(WORKSPACE_SHARES))]

    def prefix() -> str:
        return rng.choices(names, WORKSPACE_SHARES)[0]

    run.run(PREFIX_LOAD, PREFIX_RUN_S, prefix)
    hits = sum(engine.cache_hits for engine in run.engines.values())
    total = sum(engine.cache_lookups for engine in run.engines.values())
    return hits / total, (total - len(names)) / total
