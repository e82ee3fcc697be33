"""Common limit on the bytes that a process buffers for all connections.

Many connections that each stay within their own limit could together exceed
the memory of the host.
"""

from types import TracebackType

# Granted even over the limit, so that large leases never block small ones.
ALWAYS_GRANTED_BYTES = 16 * 1024


class ByteBudget:
    """Grant bytes to leases up to a common limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Grant at most `limit_bytes`, apart from small leases."""
        self._limit = limit_bytes
        self._held = 0

    @property
    def held(self) -> int:
        """Return the bytes held by all leases."""
        return self._held

    def lease(self) -> 'ByteLease':
        """Return a lease that holds nothing yet."""
        return ByteLease(self)

    def acquire(self, count: int, lease_held: int) -> bool:
        """Grant `count` bytes to a lease that holds `lease_held` bytes.

        Return False if the limit leaves no room for them.
        """
        is_small = lease_held + count <= ALWAYS_GRANTED_BYTES
        if not is_small and self._held + count > self._limit:
            return False
        self._held += count
        return True

    def release(self, count: int) -> None:
        """Free `count` bytes of a lease."""
        self._held -= count


class ByteLease:
    """Hold bytes of a budget until `release` or the end of a `with` block."""

    def __init__(self, budget: ByteBudget) -> None:
        """Start without bytes."""
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
        """Request `count` more bytes; return whether they were granted."""
        if not self._budget.acquire(count, self._held):
            return False
        self._held += count
        return True

    def release(self, count: int | None = None) -> None:
        """Free `count` bytes, or all of them by default."""
        freed = self._held if count is None else min(count, self._held)
        self._held -= freed
        self._budget.release(freed)
