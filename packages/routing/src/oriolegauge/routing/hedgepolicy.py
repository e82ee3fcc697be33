"""Decide when a second copy of a late request may be sent."""

from oriolegauge.core.recentvalues import RecentValues

HEDGE_SHARE = 0.02
MAX_CREDIT = 10.0
LATENCY_QUANTILE = 0.95
WINDOW = 512
MIN_SAMPLES = 20


class HedgePolicy:
    """Hedge late requests that are idempotent and answered as a whole."""

    def __init__(self) -> None:
        """Start without credit and without latencies."""
        self._credit: float = 0
        self.share = HEDGE_SHARE
        self._latencies = RecentValues(WINDOW)

    def request(self) -> None:
        """Count a request that is not a hedge."""
        self._credit = min(MAX_CREDIT, self._credit + self.share)

    def observe(self, latency_s: float) -> None:
        """Record the latency of a whole answer."""
        self._latencies.add(latency_s)

    def delay(self, *, idempotent: bool, whole_answer: bool) -> float | None:
        """Return the seconds after which to hedge, None for never."""
        if not idempotent or not whole_answer:
            return None
        if len(self._latencies) < MIN_SAMPLES:
            return None
        return self._latencies.quantile(LATENCY_QUANTILE)

    def spend(self) -> bool:
        """Spend one hedge; return whether the budget allows it."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
