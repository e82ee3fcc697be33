"""Times at which refused callers return to servers of a limited rate.

If all returned when the next request may be sent, only one would be served.
"""

# Share of the rate for callers that return; the rest is for new ones.
RETURN_SHARE = 0.8
# Longer waits are cut to this: by then the limit has changed.
MAX_WAIT_S = 60.0


class RetrySchedule:
    """Give each refused caller of a service the next free time."""

    def __init__(self) -> None:
        """Start without refused callers."""
        self._last_at: dict[str, float] = {}

    def wait_s(
        self,
        service: str,
        *,
        earliest_s: float,
        per_s: float,
        left_s: float,
        now: float,
    ) -> float:
        """Return the seconds until a request of the caller may be sent.

        That is after `earliest_s`, and after the callers told before if
        requests are sent at the rate `per_s`. A caller without so much time
        left does not return, and leaves its place to the next one.
        """
        at = now + earliest_s
        last_at = self._last_at.get(service)
        if last_at is not None and per_s > 0:
            at = max(at, last_at + 1 / (RETURN_SHARE * per_s))
        wait_s = min(at - now, max(earliest_s, MAX_WAIT_S))
        if wait_s <= left_s:
            self._last_at[service] = now + wait_s
        return wait_s
