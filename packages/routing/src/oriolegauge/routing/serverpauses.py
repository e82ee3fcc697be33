"""Pauses that full backend servers have asked for.

Answers servers that turn work away and say when they take more: sending them
more before that only costs attempts and time. A pause is what the server wants
from this daemon, so peers are not told; others may still find room there.
"""

import math
import random
from collections.abc import Collection, Iterable

# A server that is full for longer than this has been replaced or forgotten what
# it said.
LONGEST_PAUSE_S = 300.0
# Callers that were refused for the same pause return over this part of it, or
# at least this time, after its end: the server has room for a few at once.
RETURN_SHARE = 0.5
RETURN_SPREAD_S = 0.2


class ServerPauses:
    """Know which servers want no work for now."""

    def __init__(self, rng: random.Random) -> None:
        """Spread the return of callers at random."""
        self._rng = rng
        self._until: dict[str, float] = {}

    def note(self, server: str, seconds: float, now: float) -> None:
        """Leave the server alone for that long, within bounds."""
        until = now + min(seconds, LONGEST_PAUSE_S)
        self._until[server] = max(until, self._until.get(server, until))

    def is_paused(self, server: str, now: float) -> bool:
        """State whether the server still wants no work."""
        until = self._until.get(server)
        if until is None:
            return False
        if until <= now:
            del self._until[server]
            return False
        return True

    def retry_after_s(self, servers: Iterable[str], now: float) -> float | None:
        """Return when a caller should come back if all these are paused."""
        ends = [self._until.get(server, now) for server in servers]
        wait_s = min(ends, default=now) - now
        if wait_s <= 0:
            return None
        spread_s = max(RETURN_SPREAD_S, wait_s * RETURN_SHARE)
        return wait_s + self._rng.uniform(0, spread_s)

    def forget(self, server: str) -> None:
        """Drop the pause of a server that started anew."""
        self._until.pop(server, None)

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget servers that no longer exist."""
        for server in self._until.keys() - set(servers):
            del self._until[server]


def parse_retry_after(text: str) -> float | None:
    """Return the seconds that a `Retry-After` header asks for, if any.

    Dates are not understood: the clocks of servers are not known.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if seconds > 0 and not math.isnan(seconds) else None
