"""Bytes that a process holds for others, bounded over all of them.

Answers many connections that each stay within their own bound and together
hold more than the host has.
"""

from types import TracebackType

# Granted whatever the others hold, so that large ones starve no small one.
ALWAYS_GRANTED_BYTES = 16 * 1024


class ByteBudget:
    """Grant bytes to leases up to a common limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Grant at most `limit_bytes` beyond the small amounts."""
        self._limit = limit_bytes
        self._held = 0

    @property
    def held(self) -> int:
        """Return the bytes held by all leases."""
        return self._held

    def lease(self) -> 'ByteLease':
        """Return a lease that holds nothing yet."""
        return ByteLease(self)

    def take(self, count: int, already: int) -> bool:
        """Grant more bytes to a lease that holds `already`."""
        is_small = already + count <= ALWAYS_GRANTED_BYTES
        if not is_small and self._held + count > self._limit:
            return False
        self._held += count
        return True

    def give_back(self, count: int) -> None:
        """Free bytes of a lease."""
        self._held -= count


class ByteLease:
    """Hold bytes until the end of the `with` block or `release`."""

    def __init__(self, budget: ByteBudget) -> None:
        """Hold nothing yet."""
        self._budget = budget
        self._held = 0

    def __enter__(self) -> 'ByteLease':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()

    def add(self, count: int) -> bool:
        """Hold more bytes; return whether they were granted."""
        if not self._budget.take(count, self._held):
            return False
        self._held += count
        return True

    def release(self, count: int | None = None) -> None:
        """Free that many bytes, or all."""
        freed = self._held if count is None else min(count, self._held)
        self._held -= freed
        self._budget.give_back(freed)
