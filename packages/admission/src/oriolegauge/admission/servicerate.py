"""Measured rate of service of the jobs of this daemon."""

import math

# Weights of past measurements halve in this time.
HALF_LIFE_S = 10.0


class ServiceRate:
    """Estimate tokens a second from ended jobs and busy slots."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._tokens: float = 0
        self._slot_seconds: float = 0
        self._slots: float = 0
        self._updated_at: float = 0

    @property
    def seconds_per_token(self) -> float | None:
        """Return the time of a token of one job, or None if unknown."""
        if not self._tokens:
            return None
        return self._slot_seconds / self._tokens

    def tokens_per_s(self, running: int, now: float) -> float | None:
        """Return the rate of all slots together, or None if unknown."""
        self.observe_slots(running, now)
        if not self._tokens or not self._slot_seconds:
            return None
        return self._slots * self._tokens / self._slot_seconds

    def observe_slots(self, running: int, now: float) -> None:
        """Follow the number of running jobs: up at once, down slowly."""
        fade = math.exp2((self._updated_at - now) / HALF_LIFE_S)
        self._updated_at = now
        self._tokens *= fade
        self._slot_seconds *= fade
        self._slots = max(running, running + (self._slots - running) * fade)

    def ended(self, tokens: int, seconds: float) -> None:
        """Add the tokens and the running time of an ended job."""
        self._tokens += tokens
        self._slot_seconds += seconds
