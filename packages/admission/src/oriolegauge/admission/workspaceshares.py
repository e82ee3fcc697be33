"""Share of the admitted work that each workspace of a class had lately."""

import math

# Long enough that a workspace of one request a second has several in it.
TIME_CONSTANT_S = 10.0
# A workspace is over its share above this multiple of an equal one. Below it,
# chance alone makes the work of equal workspaces differ.
FAIR_RATIO = 1.5
MAX_WORKSPACES = 4096
# Bounds the scaled sums: rescaled after three time constants, when idle
# workspaces are dropped too.
MAX_SCALE = 20.0
# After a longer pause earlier work counts next to nothing, and the scale would
# overflow: the clock of a host that has run for weeks is far from zero.
MAX_PAUSE_S = 10 * TIME_CONSTANT_S
MIN_WORK_S = 0.0001


class WorkspaceShares:
    """Average the admitted work of workspaces, in bounded memory."""

    def __init__(self) -> None:
        """Start without work."""
        self._work: dict[tuple[int, str], float] = {}
        self._totals: dict[int, float] = {}
        self._counts: dict[int, int] = {}
        self._scale: float = 1
        self._at: float = 0

    def add(
        self, priority: int, workspace: str, work_s: float, now: float
    ) -> None:
        """Add the work of an admitted request."""
        # Later work counts more, instead of fading all earlier work.
        passed_s = min(MAX_PAUSE_S, max(0, now - self._at))
        self._scale *= math.exp(passed_s / TIME_CONSTANT_S)
        self._at = max(now, self._at)
        if self._scale > MAX_SCALE or len(self._work) > MAX_WORKSPACES:
            self._rescale()
        key = (priority, workspace)
        if key not in self._work:
            self._counts[priority] = self._counts.get(priority, 0) + 1
        scaled = work_s * self._scale
        self._work[key] = self._work.get(key, 0) + scaled
        self._totals[priority] = self._totals.get(priority, 0) + scaled

    def excess(self, priority: int, workspace: str) -> float:
        """Return how far a workspace is over its share, in equal shares."""
        held = self._work.get((priority, workspace), 0)
        if not held:
            return 0
        equal = self._totals[priority] / self._counts[priority]
        return max(0, held / equal - FAIR_RATIO)

    def _rescale(self) -> None:
        """Start again from the shares, without the idle workspaces."""
        kept = {
            key: work / self._scale
            for key, work in self._work.items()
            if work / self._scale > MIN_WORK_S
        }
        self._scale = 1
        self._work = kept if len(kept) <= MAX_WORKSPACES else {}
        self._totals = {}
        self._counts = {}
        for (priority, _), work in self._work.items():
            self._totals[priority] = self._totals.get(priority, 0) + work
            self._counts[priority] = self._counts.get(priority, 0) + 1
