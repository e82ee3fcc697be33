"""Choice of a backend server by load, latency, prefix and zone.

Used for model requests: equal prompt prefixes go to one server as long as its
load stays near the mean, others to the better of two random servers.
"""

import math
import random
from collections.abc import Iterable, Sequence

from oriolegauge.core import rank
from oriolegauge.routing.ejection import Ejection
from oriolegauge.routing.serverhealth import HealthState
from oriolegauge.routing.serverload import ServerLoad
from oriolegauge.routing.serverview import ServerView

# A prefix goes to its next server if the load exceeds this multiple of the
# mean.
AFFINITY_BOUND = 1.25
# Within this ratio scores count as equal, and the own zone is preferred.
EQUAL_RATIO = 1.05
JOB_SMOOTHING = 0.05
DEFAULT_JOB_TOKENS = 256.0
# Servers without work are dropped past this number.
MAX_SERVERS = 4096


class Router:
    """Choose among backend servers and track their loads and latencies."""

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        """Prefer backend servers in `zone` if scores are equal."""
        self._zone = zone
        self._rng = rng
        self._loads: dict[str, ServerLoad] = {}
        self._ejection = Ejection()
        self._job_tokens = DEFAULT_JOB_TOKENS

    def choose(
        self,
        candidates: Sequence[ServerView],
        prefix_key: str | None,
        now: float,
    ) -> str | None:
        """Return the server for a request, or None if none may take it."""
        views = {view.name: view for view in candidates if not view.leaving}
        usable = self._ejection.usable(list(views), now)
        if not usable:
            return None
        if prefix_key is not None:
            return self._by_prefix(prefix_key, usable)
        first, second = self._two_of(usable)
        return self._better(views[first], views[second], now)

    def started(self, name: str, tokens: int, now: float) -> None:
        """Count a request of that many predicted tokens."""
        self._load(name).start(tokens)
        self._job_tokens += JOB_SMOOTHING * (tokens - self._job_tokens)
        health = self._ejection.health(name)
        if health.state is HealthState.PROBING:
            health.probes += 1

    def first_token(self, name: str, latency_s: float, now: float) -> None:
        """Record the time to the first token; reserved for stall checks."""

    def progress(
        self, name: str, tokens: int, seconds: float, now: float
    ) -> None:
        """Record output tokens of one stream and the time they took."""
        self._ejection.observe(name, tokens, seconds, now)

    def finished(
        self,
        name: str,
        ok: bool,
        now: float,
        *,
        tokens: int | None = None,
    ) -> None:
        """Count the end of a request; `tokens` as given to `started`.

        `ok` is false only for failures of the server.
        """
        self._load(name).end(tokens)
        self._ejection.outcome(name, ok=ok, now=now)

    def peer_load(self, name: str, tokens: float) -> None:
        """Record the tokens in flight that other daemons report."""
        self._load(name).peer_tokens = tokens

    def is_ejected(self, name: str) -> bool:
        """Return whether a server is ejected; its streams may be moved."""
        return self._ejection.health(name).state is HealthState.EJECTED

    def all_failing(self, names: Iterable[str]) -> bool:
        """Return whether the last results of all servers are failures."""
        return self._ejection.all_failing(names)

    def forget(self, names: Iterable[str]) -> None:
        """Drop servers that left the configuration."""
        for name in list(names):
            self._loads.pop(name, None)
            self._ejection.forget([name])

    def _load(self, name: str) -> ServerLoad:
        return self._loads.setdefault(name, ServerLoad())

    def _two_of(self, names: list[str]) -> tuple[str, str]:
        if len(names) == 1:
            return names[0], names[0]
        first, second = self._rng.sample(names, 2)
        return first, second

    def _better(self, left: ServerView, right: ServerView, now: float) -> str:
        left_score = self._score(left, now)
        right_score = self._score(right, now)
        low, high = sorted((left_score, right_score))
        if high <= low * EQUAL_RATIO:
            local = right.zone == self._zone and left.zone != self._zone
            return right.name if local else left.name
        return left.name if left_score < right_score else right.name

    def _score(self, view: ServerView, now: float) -> float:
        health = self._ejection.health(view.name)
        per_token = health.estimate(self._ejection.median(), now) or 1.0
        load = self._load(view.name).estimate(
            view.reported_load, view.reported_at, now
        )
        return (load + self._job_tokens) * per_token

    def _by_prefix(self, prefix_key: str, usable: list[str]) -> str:
        loads = {name: self._load(name).tokens for name in usable}
        bound = self._bound(loads.values())
        for name in rank(prefix_key, usable):
            if loads[name] + self._job_tokens <= bound:
                return name
        return min(loads, key=loads.__getitem__)

    def _bound(self, loads: Iterable[float]) -> float:
        # At constant demand the requests in flight vary by the square root of
        # their number. A bound without it would move prefixes at random.
        values = list(loads)
        mean = sum(values) / len(values) / self._job_tokens
        requests = AFFINITY_BOUND * mean + math.sqrt(mean) + 1
        return requests * self._job_tokens
