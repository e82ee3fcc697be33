"""Metrics registry whose gauges are read at each scrape."""

from collections.abc import Callable, Mapping

from aioprometheus import Gauge
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render


class MetricsRegistry(Registry):
    """Keep metrics and render them with the current values of gauges."""

    def __init__(self, gauges: Callable[[], Mapping[str, float]]) -> None:
        """Call `gauges` for values by name each time metrics are rendered."""
        super().__init__()
        self._read_gauges = gauges
        self._gauges: dict[str, Gauge] = {}

    def render(self, accept: str) -> tuple[bytes, Mapping[str, str]]:
        """Return the metrics as text for a scrape, and its HTTP headers.

        `accept` is the Accept header of the request, or empty.
        """
        for name, gauge_value in self._read_gauges().items():
            self._gauge(name).set({}, gauge_value)
        return render(self, [accept] if accept else [])

    def _gauge(self, name: str) -> Gauge:
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f'oriolegauge_{name}',
                f'Current {name.replace("_", " ")}.',
                registry=self,
            )
            self._gauges[name] = gauge
        return gauge
