"""Eject backend servers that are slow or fail, and probe them later."""

import math
import statistics
from collections.abc import Iterable, Sequence

from oriolegauge.routing.serverhealth import (
    FAILURES_TO_EJECT,
    HealthState,
    ServerHealth,
)

# Ratios of a server's time per token to the median of the other servers.
SLOW_RATIO = 3.0
RECOVERED_RATIO = 1.7


class Ejection:
    """Eject backend servers by comparison with their peers."""

    def __init__(self) -> None:
        """Start without servers."""
        self._servers: dict[str, ServerHealth] = {}

    def health(self, name: str) -> ServerHealth:
        """Return the record of a server; create it at first use."""
        return self._servers.setdefault(name, ServerHealth())

    def forget(self, names: Iterable[str]) -> None:
        """Drop servers that no longer exist."""
        for name in names:
            self._servers.pop(name, None)

    def observe(
        self, name: str, tokens: int, seconds: float, now: float
    ) -> None:
        """Add a latency sample; eject or restore the server by it."""
        health = self.health(name)
        health.observe(tokens, seconds, now)
        self._judge_latency(name, health, now)

    def outcome(self, name: str, *, ok: bool, now: float) -> None:
        """Count a success or failure; eject or restore the server by it."""
        health = self.health(name)
        health.outcome(ok=ok)
        match health.state:
            case HealthState.PROBING if ok:
                health.restore(now)
            case HealthState.PROBING:
                health.eject(now)
            case HealthState.GOOD if health.failures >= FAILURES_TO_EJECT:
                health.eject(now)

    def usable(self, names: Sequence[str], now: float) -> list[str]:
        """Return the servers that may take work.

        At most half of them are left out: beyond that, the best of the ejected
        ones are used too.
        """
        if not names:
            return []
        self._judge_all(names, now)
        ejected = [
            name for name in names if not self._accepts_requests(name, now)
        ]
        ejected.sort(key=self._failure_rank)
        # At least half of the servers, rounded up, stay in use.
        left_out = set(
            ejected[len(ejected) - min(len(ejected), len(names) // 2) :]
        )
        return [name for name in names if name not in left_out]

    def all_failing(self, names: Iterable[str]) -> bool:
        """Return whether the last results of all servers are failures."""
        return all(self.health(name).failures > 0 for name in names)

    def median(self, without: str | None = None) -> float | None:
        """Return the median time per token of the servers."""
        known = [
            health.time_per_token
            for name, health in self._servers.items()
            if name != without and health.time_per_token is not None
        ]
        return statistics.median(known) if known else None

    def _judge_all(self, names: Iterable[str], now: float) -> None:
        # New samples of its peers can make a server slow by comparison.
        middle = self.median()
        if middle is None:
            return
        for name in names:
            health = self.health(name)
            if (health.time_per_token or 0) > middle * SLOW_RATIO / 2:
                self._judge_latency(name, health, now)

    def _judge_latency(
        self, name: str, health: ServerHealth, now: float
    ) -> None:
        peers = self.median(without=name)
        if peers is None or health.time_per_token is None:
            return
        ratio = health.time_per_token / peers if peers else 1.0
        match health.state:
            case HealthState.GOOD | HealthState.PROBING if ratio > SLOW_RATIO:
                health.eject(now)
            case HealthState.PROBING if ratio < RECOVERED_RATIO:
                health.restore(now)

    def _accepts_requests(self, name: str, now: float) -> bool:
        health = self.health(name)
        match health.state:
            case HealthState.GOOD:
                return True
            case HealthState.PROBING:
                return health.probes == 0
        if now < health.ejected_until:
            return False
        health.start_probing(self.median(without=name))
        return True

    def _failure_rank(self, name: str) -> tuple[int, float, str]:
        health = self.health(name)
        return health.failures, health.time_per_token or math.inf, name
