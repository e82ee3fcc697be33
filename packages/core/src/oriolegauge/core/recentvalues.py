"""Quantiles over a bounded window of recent values."""

from bisect import bisect_left, insort
from collections import deque


class RecentValues:
    """Keep the last measured values in arrival order and in sorted order."""

    def __init__(self, size: int) -> None:
        """Keep at most `size` values."""
        self._size = size
        self._arrived: deque[float] = deque()
        self._sorted: list[float] = []

    def __len__(self) -> int:
        return len(self._sorted)

    def add(self, value: float) -> None:
        """Add a value and drop the oldest one if the window is full."""
        if len(self._arrived) == self._size:
            oldest = self._arrived.popleft()
            self._sorted.pop(bisect_left(self._sorted, oldest))
        self._arrived.append(value)
        insort(self._sorted, value)

    def quantile(self, share: float) -> float | None:
        """Return the quantile for a share from 0 to 1; None without values."""
        if not self._sorted:
            return None
        position = int(share * len(self._sorted))
        return self._sorted[min(position, len(self._sorted) - 1)]
