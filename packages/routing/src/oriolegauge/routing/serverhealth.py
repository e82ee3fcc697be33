"""Recent latency and failures of one backend server."""

import math
from enum import StrEnum

# Time constant of the latency average.
LATENCY_TIME_CONSTANT_S = 1.0
# A server without requests has no new samples. Its estimate returns to the
# median of its peers by this time constant; otherwise a slow one would never
# get requests again.
STALE_TIME_CONSTANT_S = 10.0
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
# After this time in a good state the next ejection is a short one again.
EJECTION_RESET_S = 60.0


class HealthState(StrEnum):
    """State of a backend server in the ejection cycle."""

    GOOD = 'good'
    EJECTED = 'ejected'
    PROBING = 'probing'


class ServerHealth:
    """Track one backend server by the requests of this daemon."""

    def __init__(self) -> None:
        """Start good and without measurements."""
        self.state = HealthState.GOOD
        self.failures = 0
        self.probes = 0
        self._time_per_token: float | None = None
        self._measured_at = -math.inf
        self._ejected_until = -math.inf
        self._ejection_s = FIRST_EJECTION_S
        self._returned_at = -math.inf

    @property
    def time_per_token(self) -> float | None:
        """Return the recent seconds per token, or None if unknown."""
        return self._time_per_token

    @property
    def ejected_until(self) -> float:
        """Return the end of the last ejection."""
        return self._ejected_until

    def estimate(self, median: float | None, now: float) -> float | None:
        """Return the time per token; old ones approach the median."""
        known = self._time_per_token
        if known is None or median is None:
            return median
        age = max(0, now - self._measured_at)
        fade = math.exp(-age / STALE_TIME_CONSTANT_S)
        return median + fade * (known - median)

    def observe(self, tokens: int, seconds: float, now: float) -> None:
        """Add a measurement of tokens that took that many seconds."""
        if tokens <= 0:
            return
        sample = seconds / tokens
        if self._time_per_token is None:
            self._time_per_token = sample
        # Frequent samples weigh less, so the average is one over time.
        gap = max(seconds / 4, now - self._measured_at)
        weight = 1 - math.exp(-gap / LATENCY_TIME_CONSTANT_S)
        self._time_per_token += weight * (sample - self._time_per_token)
        self._measured_at = now

    def outcome(self, *, ok: bool) -> None:
        """Count failures in a row."""
        self.failures = 0 if ok else self.failures + 1

    def eject(self, now: float) -> None:
        """Eject the server; each ejection in a row doubles its time."""
        good_since = max(self._returned_at, self._ejected_until)
        if now - good_since > EJECTION_RESET_S:
            self._ejection_s = FIRST_EJECTION_S
        self.state = HealthState.EJECTED
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(LONGEST_EJECTION_S, self._ejection_s * 2)

    def start_probing(self, time_per_token: float | None) -> None:
        """Allow one request as a probe; ignore samples from before."""
        self.state = HealthState.PROBING
        self.probes = 0
        self.failures = 0
        self._time_per_token = time_per_token
        self._measured_at = -math.inf

    def restore(self, now: float) -> None:
        """End the ejection of the server."""
        self.state = HealthState.GOOD
        self._returned_at = now
