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
# The step grows if less than a quarter of it stays free, averaged over the
# first time, and falls if the lower classes stay clearly below their marks,
# averaged over the second one too, which is that of several requests. Averages
# of shared loads, unlike times since a bound was crossed, are nearly the same
# on all daemons.
FREE_SHARE = 1 / 4
RISE_AVERAGE_S = 0.3
FALL_AVERAGE_S = 4.0
# A lower class that fills the slots up to its mark must not let the step fall.
FALL_GAP = 1 / 16
# After a change the loads need this time to follow.
SETTLE_S = 1.0


class ClassMarks:
    """Adapt the marks of the classes of one service."""

    def __init__(self) -> None:
        """Start with the smallest step and no class."""
        self._seen: dict[int, float] = {}
        self._step = MIN_STEP
        self._averages: dict[float, float] = {
            RISE_AVERAGE_S: 0,
            FALL_AVERAGE_S: 0,
        }
        self._noted_at = -math.inf
        self._changed_at = -math.inf

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
    def average_busy(self) -> float:
        """Return the share of taken slots, averaged over a short time."""
        return self._averages[RISE_AVERAGE_S]

    @property
    def lowest(self) -> float:
        """Return the mark of the least urgent class."""
        return self.mark(max(self._seen, default=0))

    def note_busy(self, busy_share: float, now: float) -> None:
        """Adapt the step to the share of slots that are taken."""
        passed = max(0, now - self._noted_at)
        self._noted_at = max(now, self._noted_at)
        for span_s, known in self._averages.items():
            fade = math.exp(-passed / span_s)
            self._averages[span_s] = busy_share + (known - busy_share) * fade
        if now - self._changed_at < SETTLE_S:
            return
        if self.average_busy >= 1 - FREE_SHARE * self._step:
            self._change(STEP_CHANGE, now)
        elif max(self._averages.values()) < 1 - self._step - FALL_GAP:
            self._change(-STEP_CHANGE, now)

    def _change(self, change: float, now: float) -> None:
        step = min(MAX_STEP, max(MIN_STEP, self._step + change))
        if step != self._step:
            self._step = step
            self._changed_at = now
