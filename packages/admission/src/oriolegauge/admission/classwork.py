"""Work that the classes of a service were admitted lately."""

import math

# Long enough for several requests of a class at one daemon, short beside the
# seconds in which a peak grows.
TIME_CONSTANT_S = 1.0
# Less work than this is left over from requests of long ago.
MIN_WORK_S = 0.0001


class ClassWork:
    """Average the admitted seconds of slot time of each class."""

    def __init__(self) -> None:
        """Start without admitted work."""
        self._work: dict[int, float] = {}
        self._at: float = 0

    def add(self, priority: int, work_s: float, now: float) -> None:
        """Add the work of an admitted request."""
        self._fade(now)
        self._work[priority] = self._work.get(priority, 0) + work_s

    def share_up_to(self, priority: int, now: float) -> float:
        """Return the share of the work in this class and more urgent ones."""
        self._fade(now)
        total = sum(self._work.values())
        urgent = sum(
            work for known, work in self._work.items() if known <= priority
        )
        return urgent / total if total > MIN_WORK_S else 0

    def _fade(self, now: float) -> None:
        fade = math.exp(-max(0, now - self._at) / TIME_CONSTANT_S)
        self._at = max(now, self._at)
        for priority in self._work:
            self._work[priority] *= fade
