"""Shares of the slots that each priority class may fill.

Each class leaves a step of the slots free for the more urgent ones (trunk
reservation), since a slot that is taken is only free again at the end of a
request. The marks follow the shared loads, so they are alike on all daemons.
"""

import math

# A class that has sent nothing for this time needs no free slots.
SEEN_S = 10.0
# Bounds of the step, and by how much it changes at once.
MIN_STEP = 1 / 16
MAX_STEP = 1 / 8
STEP_CHANGE = 1 / 16
# The least urgent class may fill the slots up to this share in any case, which
# is above the one below which refusals are mistakes.
LOWEST_MARK = 0.6
# The step grows if less than half of it stays free for the first time, and
# falls if clearly more does for the second one, which is that of several
# requests. Loads are averaged over SMOOTHING_S, as single bursts are no trend.
RISE_AFTER_S = 0.3
FALL_AFTER_S = 2.0
SMOOTHING_S = 0.3


class ClassMarks:
    """Adapt the marks of the classes of one service."""

    def __init__(self) -> None:
        """Start with the smallest step and no class."""
        self._seen: dict[int, float] = {}
        self._step = MIN_STEP
        self._pressed_since = math.inf
        self._calm_since = math.inf
        self._busy: float = 0
        self._noted_at = -math.inf

    @property
    def step(self) -> float:
        """Return the share of slots between the marks of two classes."""
        return self._step

    def seen(self, priority: int, now: float) -> None:
        """Note a request of a class."""
        self._seen[priority] = now
        for known in list(self._seen):
            if now - self._seen[known] > SEEN_S:
                del self._seen[known]

    def ranks(self) -> int:
        """Return the number of classes seen lately."""
        return len(self._seen)

    def rank(self, priority: int) -> int:
        """Return how many more urgent classes were seen lately."""
        return sum(known < priority for known in self._seen)

    def mark(self, priority: int) -> float:
        """Return the share of the slots that a class may fill."""
        return max(LOWEST_MARK, 1 - self.rank(priority) * self._step)

    @property
    def lowest(self) -> float:
        """Return the mark of the least urgent class."""
        return self.mark(max(self._seen, default=0))

    def note_busy(self, busy_share: float, now: float) -> None:
        """Adapt the step to the share of slots that are taken."""
        fade = math.exp(-max(0, now - self._noted_at) / SMOOTHING_S)
        self._noted_at = max(now, self._noted_at)
        self._busy = busy_share + (self._busy - busy_share) * fade
        pressed_from = 1 - self._step / 2
        if self._busy >= pressed_from:
            self._calm_since = math.inf
            self._pressed_since = min(self._pressed_since, now)
            if now - self._pressed_since >= RISE_AFTER_S:
                self._step = min(MAX_STEP, self._step + STEP_CHANGE)
                self._pressed_since = now
            return
        self._pressed_since = math.inf
        if self._busy >= pressed_from - STEP_CHANGE:
            self._calm_since = math.inf
            return
        self._calm_since = min(self._calm_since, now)
        if now - self._calm_since >= FALL_AFTER_S:
            self._step = max(MIN_STEP, self._step - STEP_CHANGE)
            self._calm_since = now
