"""Metrics of the forwarder: request counters and latency histograms."""

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Histogram

from oriolegauge.core.metricsregistry import MetricsRegistry

# Seconds; finer around the time objectives of 0.1 to 0.8 s.
LATENCY_BUCKETS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.4,
    0.6,
    0.8,
    1.2,
    2.5,
    5,
    15,
)


class ForwardMetrics:
    """Count requests by route kind and outcome."""

    def __init__(self, gauges: Callable[[], Mapping[str, float]]) -> None:
        """Call `gauges` each time the metrics are rendered."""
        self._registry = MetricsRegistry(gauges)
        self._requests = Counter(
            'oriolegauge_forwarded_total',
            'Requests by kind, outcome and status.',
            registry=self._registry,
        )
        self._attempts = Counter(
            'oriolegauge_attempts_total',
            'Sends to backend servers by service.',
            registry=self._registry,
        )
        self._held_back = Counter(
            'oriolegauge_held_back_total',
            'Requests that waited for a slot, by priority.',
            registry=self._registry,
        )
        self._shed = Counter(
            'oriolegauge_shed_total',
            'Requests refused for lack of capacity, by priority.',
            registry=self._registry,
        )
        self._first = Histogram(
            'oriolegauge_first_answer_seconds',
            'Time to the first byte of the answer.',
            buckets=list(LATENCY_BUCKETS),
            registry=self._registry,
        )
        self._whole = Histogram(
            'oriolegauge_whole_answer_seconds',
            'Time to the end of the answer.',
            buckets=list(LATENCY_BUCKETS),
            registry=self._registry,
        )

    def request(
        self,
        *,
        kind: str,
        outcome: str,
        status: int,
        first_s: float | None,
        whole_s: float,
    ) -> None:
        """Count a finished request and observe its latencies."""
        self._requests.inc(
            {'kind': kind, 'outcome': outcome, 'status': str(status)}
        )
        self._whole.observe({'kind': kind}, whole_s)
        if first_s is not None:
            self._first.observe({'kind': kind}, first_s)

    def sends(self, service: str, count: int) -> None:
        """Count sends to servers of the service."""
        self._attempts.add({'service': service}, count)

    def held_back(self, priority: int) -> None:
        """Count a request that waits for a slot."""
        self._held_back.inc({'priority': str(priority)})

    def shed(self, priority: int) -> None:
        """Count a request that was refused for lack of capacity."""
        self._shed.inc({'priority': str(priority)})

    def render(self, accept: str) -> tuple[bytes, Mapping[str, str]]:
        """Return the metrics in an accepted format, and the HTTP headers."""
        return self._registry.render(accept)
