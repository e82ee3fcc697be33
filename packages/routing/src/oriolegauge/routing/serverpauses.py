"""Pauses that overloaded backend servers asked for by `Retry-After`.

Requests sent to such a server before the end of the pause would be rejected and
only cost attempts and time. The pause applies to this daemon, so peers are not
told: the server may still accept their requests.
"""

import math
import random
from collections.abc import Collection, Iterable

# Longer pauses are cut to this: by then the server has been replaced, or its
# answer is outdated.
MAX_PAUSE_S = 300.0
# Callers that were refused for the same pause retry after its end, spread over
# this share of its length or at least this time, as the server accepts only a
# few at once.
RETRY_SPREAD_SHARE = 0.5
MIN_RETRY_SPREAD_S = 0.2


class ServerPauses:
    """Record the servers that accept no requests until a given time."""

    def __init__(self, rng: random.Random) -> None:
        """Spread the retries of callers by `rng`."""
        self._rng = rng
        self._until: dict[str, float] = {}

    def note(self, server: str, seconds: float, now: float) -> None:
        """Pause the server for that long, within bounds."""
        until = now + min(seconds, MAX_PAUSE_S)
        self._until[server] = max(until, self._until.get(server, until))

    def is_paused(self, server: str, now: float) -> bool:
        """State whether the pause of the server is still running."""
        until = self._until.get(server)
        if until is None:
            return False
        if until <= now:
            del self._until[server]
            return False
        return True

    def retry_after_s(self, servers: Iterable[str], now: float) -> float | None:
        """Return the seconds until a retry; None unless all are paused."""
        ends = [self._until.get(server, now) for server in servers]
        wait_s = min(ends, default=now) - now
        if wait_s <= 0:
            return None
        spread_s = max(MIN_RETRY_SPREAD_S, wait_s * RETRY_SPREAD_SHARE)
        return wait_s + self._rng.uniform(0, spread_s)

    def forget(self, server: str) -> None:
        """Drop the pause of a server that was restarted."""
        self._until.pop(server, None)

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget servers that no longer exist."""
        for server in self._until.keys() - set(servers):
            del self._until[server]


def parse_retry_after(text: str) -> float | None:
    """Return the seconds that a `Retry-After` header asks for, if any.

    Dates are ignored, since the clocks of servers may be wrong.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if seconds > 0 and not math.isnan(seconds) else None
