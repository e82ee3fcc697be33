"""Times at which refused callers return to servers of a limited rate.

If all returned when the next request may be sent, only one would be served.
"""

# Later returns are told this time: by then the limit has changed.
MAX_WAIT_S = 60.0


class RetrySchedule:
    """Give each refused caller of a service the next free time."""

    def __init__(self) -> None:
        """Start without refused callers."""
        self._last_at: dict[str, float] = {}

    def wait_s(
        self, service: str, *, earliest_s: float, per_s: float, now: float
    ) -> float:
        """Return the seconds until a request of the caller may be sent.

        That is after `earliest_s`, and after the callers told before if
        requests are sent at the rate `per_s`.
        """
        at = now + earliest_s
        last_at = self._last_at.get(service)
        if last_at is not None and per_s > 0:
            at = max(at, last_at + 1 / per_s)
        at = min(at, now + max(earliest_s, MAX_WAIT_S))
        self._last_at[service] = at
        return at - now
