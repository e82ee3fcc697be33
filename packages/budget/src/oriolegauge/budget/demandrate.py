"""Recent token demand on a budget at this daemon."""

import math

HORIZON_S = 60.0
"""Time constant of the average; a budget idle for 5 minutes counts as cold."""


class DemandRate:
    """Average of the requested tokens per second with exponential decay.

    `largest` is the largest recent request in tokens, with the same decay.
    """

    __slots__ = ('_count', '_sum', '_updated', 'largest')

    def __init__(self) -> None:
        self._count = float(0)
        self._sum = float(0)
        self._updated = float(0)
        self.largest = 0

    def note(self, tokens: int, now: float) -> None:
        """Add a request for `tokens` at `now`, in seconds."""
        self._decay(now)
        self._count += 1
        self._sum += tokens
        self.largest = max(tokens, self.largest)

    def per_second(self, now: float) -> float:
        """Return the average demand in tokens per second."""
        self._decay(now)
        return self._sum / HORIZON_S

    def requests(self, now: float) -> float:
        """Return the decayed number of requests in the last minute."""
        self._decay(now)
        return self._count

    def _decay(self, now: float) -> None:
        if now <= self._updated:
            return
        factor = math.exp((self._updated - now) / HORIZON_S)
        self._count *= factor
        self._sum *= factor
        self.largest = math.floor(self.largest * factor)
        self._updated = now
