"""Learned slot time of requests, by route.

Without samples a request counts as no work, so that only its slack orders it.
"""

from dataclasses import dataclass

from oriolegauge.core.recentvalues import RecentValues

SMOOTHING = 0.1
# A single sample counts at most this many times the known value.
MAX_RATIO = 4.0
SIZE_SAMPLES = 256
# Sizes that have a floor: the largest tenth of a kind, and the next fifth.
LARGEST_FROM = 0.9
LARGE_FROM = 0.7
MAX_ROUTES = 1024


@dataclass(slots=True)
class _Route:
    sizes: RecentValues
    first_s_per_token: float | None = None
    rest_s_per_token: float | None = None
    # The quantiles are read again after some requests only: they move slowly.
    large: float = 0
    largest: float = 0
    samples: int = 0


class SlotTimes:
    """Average seconds per prompt token and per output token of routes."""

    def __init__(self) -> None:
        """Start without samples."""
        self._routes: dict[str, _Route] = {}

    def is_known(self, route: str) -> bool:
        """State whether a request of the route was answered."""
        return self._route(route).first_s_per_token is not None

    def reading_s(self, route: str, prompt_tokens: int) -> float:
        """Return the expected time until the first event."""
        known = self._route(route).first_s_per_token or 0
        return known * max(1, prompt_tokens)

    def work_s(
        self, route: str, prompt_tokens: int, output_tokens: int
    ) -> float:
        """Return the expected slot time of a request in seconds."""
        rest = self._route(route).rest_s_per_token or 0
        return self.reading_s(route, prompt_tokens) + rest * output_tokens

    def size(self, route: str, tokens: int) -> int:
        """Return 2 for the largest tenth, 1 for the next fifth, else 0."""
        known = self._route(route)
        known.sizes.add(tokens)
        known.samples += 1
        if known.samples % 16 == 0 or known.samples < 16:
            known.large = known.sizes.quantile(LARGE_FROM) or 0
            known.largest = known.sizes.quantile(LARGEST_FROM) or 0
        if known.largest <= (known.sizes.quantile(0) or 0):
            return 0
        return (tokens >= known.large) + (tokens >= known.largest)

    def ended(
        self,
        route: str,
        *,
        prompt_tokens: int,
        output_tokens: int,
        first_s: float,
        rest_s: float,
    ) -> None:
        """Record a request that was answered whole."""
        known = self._route(route)
        known.first_s_per_token = _learned(
            known.first_s_per_token, first_s / max(1, prompt_tokens)
        )
        if output_tokens:
            known.rest_s_per_token = _learned(
                known.rest_s_per_token, rest_s / output_tokens
            )

    def _route(self, route: str) -> _Route:
        if route not in self._routes:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            self._routes[route] = _Route(RecentValues(SIZE_SAMPLES))
        return self._routes[route]


def _learned(known: float | None, sample: float) -> float:
    if not known:
        return sample
    bounded = min(sample, MAX_RATIO * known)
    return known + SMOOTHING * (bounded - known)
