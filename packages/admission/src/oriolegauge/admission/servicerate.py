"""Measured rate of service of the jobs of this daemon."""

# Weight of one ended job in the averages.
SMOOTHING = 0.05
# Weight of one look at full servers in the number of slots.
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
        """Return the time of a token of one job, or None if unknown."""
        return self._seconds / self._tokens if self._tokens else None

    @property
    def tokens_per_s(self) -> float | None:
        """Return the rate of all slots together, or None if unknown."""
        if not self._tokens or not self._seconds:
            return None
        return self._slots * self._tokens / self._seconds

    def running(self, count: int) -> None:
        """Follow a rise of the running jobs."""
        self._slots = max(self._slots, count)

    def saturated(self, count: int) -> None:
        """Follow the running jobs while others wait for a slot.

        A fall is believed only then: idle slots are capacity too.
        """
        self._slots += SLOT_SMOOTHING * (max(1, count) - self._slots)

    def ended(self, tokens: int, seconds: float) -> None:
        """Add the tokens and the running time of an ended job."""
        weight = SMOOTHING if self._tokens else 1
        self._tokens += weight * (tokens - self._tokens)
        self._seconds += weight * (seconds - self._seconds)
