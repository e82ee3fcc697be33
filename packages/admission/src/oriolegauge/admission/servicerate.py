"""Measured token rate of the jobs of this daemon.

It predicts how long a new job would wait.
"""

# Weight of one ended job in the averages.
SMOOTHING = 0.05
# Weight of one observation of full servers in the number of slots.
SLOT_SMOOTHING = 0.1


class ServiceRate:
    """Estimate tokens a second from ended jobs and busy slots."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._tokens: float = 0
        self._seconds: float = 0
        self._slots: float = 1

    @property
    def seconds_per_token(self) -> float | None:
        """Return the mean seconds per token of a job, or None if unknown."""
        return self._seconds / self._tokens if self._tokens else None

    @property
    def tokens_per_s(self) -> float | None:
        """Return the token rate of all slots, or None if unknown."""
        if not self._tokens or not self._seconds:
            return None
        return self._slots * self._tokens / self._seconds

    def running(self, count: int) -> None:
        """Raise the number of slots to the number of running jobs."""
        self._slots = max(self._slots, count)

    def note_saturated(self, count: int) -> None:
        """Adapt the number of slots to the jobs that run on full servers.

        Call it only while jobs wait for a slot: otherwise idle slots, which
        are capacity too, would lower the number.
        """
        self._slots += SLOT_SMOOTHING * (max(1, count) - self._slots)

    def ended(self, tokens: int, seconds: float) -> None:
        """Add the tokens and the running time of an ended job."""
        weight = SMOOTHING if self._tokens else 1
        self._tokens += weight * (tokens - self._tokens)
        self._seconds += weight * (seconds - self._seconds)
