"""Eject backend servers that are slow or fail, and let them return."""

import math
import statistics
from collections.abc import Iterable, Sequence

from oriolegauge.routing.serverhealth import (
    FAILURES_TO_EJECT,
    HealthState,
    ServerHealth,
)

# Compared with the median of the other servers.
SLOW_RATIO = 3.0
RECOVERED_RATIO = 1.7


class Ejection:
    """Compare backend servers with each other."""

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
        """Add a latency sample and judge the server."""
        health = self.health(name)
        health.observe(tokens, seconds, now)
        self._judge_latency(name, health, now)

    def outcome(self, name: str, *, ok: bool, now: float) -> None:
        """Count a success or failure and judge the server."""
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

        Ejected servers come back when more than half would be out.
        """
        if not names:
            return []
        self._judge_all(names, now)
        out = [name for name in names if not self._may_take(name, now)]
        out.sort(key=self._badness)
        # At least half of the servers, rounded up, stay in use.
        kept_out = set(out[len(out) - min(len(out), len(names) // 2) :])
        return [name for name in names if name not in kept_out]

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
        # A server may turn out slow by new samples of its peers alone.
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

    def _may_take(self, name: str, now: float) -> bool:
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

    def _badness(self, name: str) -> tuple[int, float, str]:
        health = self.health(name)
        return health.failures, health.time_per_token or math.inf, name
