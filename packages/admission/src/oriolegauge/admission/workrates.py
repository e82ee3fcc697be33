"""Rates of work that the classes of a service were admitted lately."""

import math

# Long enough for several requests of a class at one daemon, short beside the
# seconds in which a peak grows.
TIME_CONSTANT_S = 1.0
# Below this part of a request per second nothing is known.
MIN_RATE = 1e-4


class WorkRates:
    """Average the admitted seconds of slot time per second."""

    def __init__(self) -> None:
        """Start without admitted work."""
        self._work: dict[int, float] = {}
        self._at: float = 0

    def add(self, priority: int, work_s: float, now: float) -> None:
        """Add the work of an admitted request."""
        self._fade(now)
        self._work[priority] = self._work.get(priority, 0) + work_s

    def rate(self, priority: int, now: float) -> float | None:
        """Return the rate of a class; None if it was admitted no work."""
        self._fade(now)
        rate = self._work.get(priority, 0) / TIME_CONSTANT_S
        return rate if rate > MIN_RATE else None

    def total(self, now: float) -> float | None:
        """Return the rate of all classes; None if there was no work."""
        self._fade(now)
        rate = sum(self._work.values()) / TIME_CONSTANT_S
        return rate if rate > MIN_RATE else None

    def share_up_to(self, priority: int, now: float) -> float:
        """Return the share of the work in this class and more urgent ones."""
        self._fade(now)
        total = sum(self._work.values())
        if total <= MIN_RATE:
            return 1
        urgent = sum(
            work for known, work in self._work.items() if known <= priority
        )
        return urgent / total

    def _fade(self, now: float) -> None:
        fade = math.exp(-max(0, now - self._at) / TIME_CONSTANT_S)
        self._at = max(now, self._at)
        for priority in self._work:
            self._work[priority] *= fade
