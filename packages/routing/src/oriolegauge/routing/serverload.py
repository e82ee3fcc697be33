"""Tokens in flight on one backend server."""

import math

# A report loses weight by this time constant; reports are seconds old.
REPORT_TIME_CONSTANT_S = 5.0
REPORT_WEIGHT = 0.25


class ServerLoad:
    """Count the tokens in flight of this daemon and of its peers."""

    def __init__(self) -> None:
        """Start without requests."""
        self.peer_tokens: float = 0
        self._own_tokens: float = 0
        self._requests = 0

    @property
    def requests(self) -> int:
        """Return this daemon's requests in flight."""
        return self._requests

    @property
    def tokens(self) -> float:
        """Return the tokens in flight of this daemon and its peers."""
        return self._own_tokens + self.peer_tokens

    def start(self, tokens: int) -> None:
        """Add a request."""
        self._own_tokens += tokens
        self._requests += 1

    def end(self, tokens: int | None) -> None:
        """Remove a request; if its tokens are unknown, one of mean size."""
        if not self._requests:
            return
        average = self._own_tokens / self._requests
        self._requests -= 1
        left = self._own_tokens - (average if tokens is None else tokens)
        self._own_tokens = max(0, left) if self._requests else 0

    def estimate(
        self, reported: float, reported_at: float | None, now: float
    ) -> float:
        """Return the load, raised by a part of a higher reported one."""
        if reported_at is None:
            return self.tokens
        age = max(0, now - reported_at)
        weight = REPORT_WEIGHT * math.exp(-age / REPORT_TIME_CONSTANT_S)
        return self.tokens + weight * max(0, reported - self.tokens)
