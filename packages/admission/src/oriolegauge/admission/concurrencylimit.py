"""Adaptive limit of the jobs that a backend server runs at once.

Rises while the server is as fast as at its best and falls when the time per
token or to the first token grows: an overloaded server is slow for all jobs.
"""

import math

from oriolegauge.core.recentvalues import RecentValues

# The best time is the lowest of the current and the previous window.
WINDOW_S = 60.0
# Time per token rises with the batch size long before a server is full, so it
# may reach this multiple of the best time.
TOKEN_TOLERANCE = 2.0
# The time to the first token shows a queue inside the server; it may reach
# this multiple of the best time.
FIRST_TOKEN_TOLERANCE = 2.0
SMOOTHING = 0.2
FIRST_TOKEN_SAMPLES = 16
FIRST_TOKEN_QUANTILE = 0.75
# Above this share of the limit before the last reduction, growth slows down to
# `SLOW_GROWTH_STEP`, until a window has passed without a reduction.
NEAR_CUT_SHARE = 0.85
SLOW_GROWTH_STEP = 0.1
MIN_FIRST_TOKEN_SAMPLES = 8
SMALL_CUT_FACTOR = 0.9
LARGE_CUT_FACTOR = 0.7


class ConcurrencyLimit:
    """Adapt the limit by comparing latency with the best recent one."""

    def __init__(self, *, initial: int = 8, maximum: int = 256) -> None:
        """Start at `initial`; stay between 1 and `maximum`."""
        self._limit = float(initial)
        self._maximum = maximum
        self._in_flight = 0
        self._token_time = _TokenTime()
        self._best_token_time = _WindowedBest()
        self._first_token_times = RecentValues(FIRST_TOKEN_SAMPLES)
        self._best_first_token = _WindowedBest()
        self._changed_at = -math.inf
        self._cut_at = math.inf

    @property
    def limit(self) -> int:
        """Return the limit for all daemons together."""
        return max(1, int(self._limit))

    @property
    def in_flight(self) -> int:
        """Return how many jobs of this daemon run on the server."""
        return self._in_flight

    def free(self, peers_in_flight: int = 0, sharing_daemons: int = 1) -> int:
        """Return the slots that this daemon may still use.

        A daemon may always use an even share of the limit, whatever the peers
        use: stale heartbeats would otherwise keep it off a busy server.
        """
        left = self.limit - self._in_flight - peers_in_flight
        even = self.limit // max(1, sharing_daemons) - self._in_flight
        return max(0, left, even)

    def started(self) -> None:
        """Count a job that was sent to the server."""
        self._in_flight += 1

    def first_token(self, latency_s: float, now: float) -> None:
        """Adapt to the time from sending a job to its first token."""
        self._first_token_times.add(latency_s)
        typical = self._first_token_times.quantile(FIRST_TOKEN_QUANTILE)
        if (
            typical is None
            or len(self._first_token_times) < MIN_FIRST_TOKEN_SAMPLES
        ):
            return
        best = self._best_first_token.lowest(typical, now)
        ratio = FIRST_TOKEN_TOLERANCE * best / typical
        if ratio < 1:
            self._cut(ratio)
            self._changed_at = now

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
        recent = self._token_time.add(tokens, seconds)
        best = self._best_token_time.lowest(recent, now)
        ratio = TOKEN_TOLERANCE * best / recent
        if ratio < 1:
            if now >= self._changed_at + seconds:
                self._cut(ratio)
                self._changed_at = now
        elif busy + 1 > self._limit:
            # A limit that isn't reached doesn't show that a higher one works.
            self._grow(now)

    def failed(self) -> None:
        """Count a failed job and reduce the limit."""
        self._in_flight = max(0, self._in_flight - 1)
        self._cut(LARGE_CUT_FACTOR)

    def _grow(self, now: float) -> None:
        if now > self._changed_at + WINDOW_S:
            self._cut_at = math.inf
        is_near = self._limit > self._cut_at * NEAR_CUT_SHARE
        step = (SLOW_GROWTH_STEP if is_near else 1) / self._limit
        self._limit = min(self._maximum, self._limit + step)

    def _cut(self, ratio: float) -> None:
        cut = min(SMALL_CUT_FACTOR, max(LARGE_CUT_FACTOR, ratio))
        self._cut_at = self._limit
        self._limit = max(1, self._limit * cut)
        # The next reduction needs latencies measured after this one.
        self._first_token_times = RecentValues(FIRST_TOKEN_SAMPLES)


class _TokenTime:
    """Smooth the time per token.

    Tokens and seconds are averaged separately, not their quotients: the time
    before the first token would make short answers look like a slow server.
    """

    def __init__(self) -> None:
        self._tokens: float = 0
        self._seconds: float = 0

    def add(self, tokens: int, seconds: float) -> float:
        weight = SMOOTHING if self._tokens else 1
        self._tokens += weight * (tokens - self._tokens)
        self._seconds += weight * (seconds - self._seconds)
        return self._seconds / self._tokens


class _WindowedBest:
    """Keep the lowest value of the current and the previous window."""

    def __init__(self) -> None:
        self._best = math.inf
        self._last_best = math.inf
        self._window_end = -math.inf

    def lowest(self, value: float, now: float) -> float:
        if now >= self._window_end:
            self._last_best = self._best
            self._best = math.inf
            self._window_end = now + WINDOW_S
        self._best = min(self._best, value)
        return min(self._best, self._last_best)
