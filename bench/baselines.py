"""Baseline queue and routing policies that benchmarks compare with."""

import itertools
import random
from collections.abc import Callable, Sequence

from oriolegauge.admission import Job, ServerSlots
from oriolegauge.routing import ServerView


class OrderedQueue:
    """Serve jobs in a fixed order and refuse none."""

    def __init__(self, key: Callable[[Job], float]) -> None:
        self._key = key
        self._jobs: list[Job] = []

    def offer(self, job: Job, now: float) -> None:
        self._jobs.append(job)

    def take(self, servers: Sequence[ServerSlots], now: float) -> Job | None:
        if not self._jobs or not any(server.free > 0 for server in servers):
            return None
        job = min(self._jobs, key=self._key)
        self._jobs.remove(job)
        return job

    def candidates(self, job: Job, servers: Sequence[ServerSlots]) -> list[str]:
        return [server.name for server in servers if server.free > 0]

    def placed(self, request_id: str, server: str) -> None: ...

    def progress(self, request_id: str, tokens: int) -> None: ...

    def finished(self, job: Job, tokens: int, now: float) -> None: ...

    def expire(self, now: float) -> list[Job]:
        return []


def first_in_first_out() -> OrderedQueue:
    return OrderedQueue(lambda job: job.enqueued_at)


def strict_priority() -> OrderedQueue:
    return OrderedQueue(lambda job: job.priority * 1e9 + job.enqueued_at)


class SimpleRouter:
    """Choose by one rule; know only the in-flight requests sent here."""

    def __init__(self, rule: str, rng: random.Random) -> None:
        self._rule = rule
        self._rng = rng
        self._round_robin = itertools.count()
        self._in_flight: dict[str, int] = {}

    def choose(
        self,
        candidates: Sequence[ServerView],
        prefix_key: str | None,
        now: float,
    ) -> str:
        match self._rule:
            case 'round_robin':
                return candidates[
                    next(self._round_robin) % len(candidates)
                ].name
            case 'random':
                return self._rng.choice(candidates).name
        return min(
            candidates,
            key=lambda view: (
                self._in_flight.get(view.name, 0),
                self._rng.random(),
            ),
        ).name

    def started(self, name: str, tokens: int, now: float) -> None:
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def finished(
        self, name: str, ok: bool, now: float, *, tokens: int | None = None
    ) -> None:
        self._in_flight[name] -= 1

    def first_token(self, name: str, latency_s: float, now: float) -> None: ...

    def progress(
        self, name: str, tokens: int, seconds: float, now: float
    ) -> None: ...

    def peer_load(self, name: str, tokens: float) -> None: ...

    def is_ejected(self, name: str) -> bool:
        return False
