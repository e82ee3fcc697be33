"""Prometheus metrics of a daemon."""

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Histogram

from oriolegauge.core.metricsregistry import MetricsRegistry

# Seconds; finer up to 1.1 s, the target for the first token.
LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 10, 60, 600)


class Metrics:
    """Count requests and export the daemon's gauges."""

    def __init__(self, gauges: Callable[[], Mapping[str, float]]) -> None:
        """Call `gauges` for values by name at each export."""
        self._registry = MetricsRegistry(gauges)
        self._requests = Counter(
            'oriolegauge_requests_total',
            'Requests by result code.',
            registry=self._registry,
        )
        self._seconds = Histogram(
            'oriolegauge_request_seconds',
            'Time of whole requests.',
            buckets=list(LATENCY_BUCKETS),
            registry=self._registry,
        )

    def count(self, *, code: str, seconds: float) -> None:
        """Count one request by result code and duration."""
        self._requests.inc({'code': code})
        self._seconds.observe({}, seconds)

    def render(self, accept: str) -> tuple[bytes, Mapping[str, str]]:
        """Return the metrics in Prometheus format and their HTTP headers."""
        return self._registry.render(accept)
