"""Number of jobs that a backend server may run at once."""

import math

# The best time per token is the lowest of the current and the last window.
WINDOW_S = 30.0
# Time per token may rise to this multiple of the best before the limit falls.
TOLERANCE = 1.5
SMOOTHING = 0.2
MAX_CUT = 0.7


class ConcurrencyLimit:
    """Adapt the limit to the time per token against the best recent one."""

    def __init__(self, *, initial: int = 8, maximum: int = 256) -> None:
        """Start at `initial`; stay between 1 and `maximum`."""
        self._limit = float(initial)
        self._maximum = maximum
        self._in_flight = 0
        self._recent: float | None = None
        self._best = math.inf
        self._last_best = math.inf
        self._window_end = -math.inf
        self._changed_at = -math.inf

    @property
    def limit(self) -> int:
        """Return the limit for all daemons together."""
        return max(1, int(self._limit))

    @property
    def in_flight(self) -> int:
        """Return the jobs of this daemon on the server."""
        return self._in_flight

    def free(self, peers_in_flight: int = 0, sharing_daemons: int = 1) -> int:
        """Return the free slots.

        A daemon may use its even share even if peers hold more, because a
        late heartbeat would otherwise keep it out of a busy server for good.
        """
        left = self.limit - self._in_flight - peers_in_flight
        even = self.limit // max(1, sharing_daemons) - self._in_flight
        return max(0, left, even)

    def started(self) -> None:
        """Count a job that was sent."""
        self._in_flight += 1

    def finished(
        self,
        tokens: int,
        seconds: float,
        now: float,
        *,
        peers_in_flight: int = 0,
    ) -> None:
        """Count an ended job and adapt to its time per token."""
        busy = self._in_flight + peers_in_flight
        self._in_flight = max(0, self._in_flight - 1)
        if tokens <= 0 or seconds <= 0:
            return
        sample = seconds / tokens
        self._observe(sample, now)
        self._adapt(busy, now)

    def failed(self) -> None:
        """Count a failed job and reduce the limit."""
        self._in_flight = max(0, self._in_flight - 1)
        self._limit = max(1, self._limit * MAX_CUT)

    def _observe(self, sample: float, now: float) -> None:
        if now >= self._window_end:
            self._last_best = self._best
            self._best = math.inf
            self._window_end = now + WINDOW_S
        self._best = min(self._best, sample)
        if self._recent is None:
            self._recent = sample
        self._recent += SMOOTHING * (sample - self._recent)

    def _adapt(self, busy: int, now: float) -> None:
        recent = self._recent or 0
        best = min(self._best, self._last_best)
        if recent <= TOLERANCE * best:
            # A limit that isn't used says nothing about a higher one.
            if busy * 2 >= self._limit:
                grown = self._limit + 1 / self._limit
                self._limit = min(self._maximum, grown)
            return
        # One cut per round of answers: their latencies are of one cause.
        if now < self._changed_at + recent * 10:
            return
        self._changed_at = now
        ratio = max(MAX_CUT, TOLERANCE * best / recent)
        self._limit = max(1, self._limit * ratio)
