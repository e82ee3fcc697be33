"""Times before which backend servers take no requests of this daemon.

Requests sent to a server before the end of a pause that it asked for by
`Retry-After` would be rejected and only cost attempts and time. Peers are not
told of it: the server may still accept their requests. A server that takes a
limited rate is held until this daemon may get a permit for it.
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
        self._held_until: dict[str, float] = {}

    def note(self, server: str, seconds: float, now: float) -> None:
        """Pause the server for that long, within bounds."""
        until = now + min(seconds, MAX_PAUSE_S)
        self._until[server] = max(until, self._until.get(server, until))

    def hold(self, server: str, seconds: float, now: float) -> None:
        """Hold the server until a permit for it may be had."""
        self._held_until[server] = now + seconds

    def release(self, server: str) -> None:
        """End the hold of a server whose limit has changed."""
        self._held_until.pop(server, None)

    def is_held(self, server: str, now: float) -> bool:
        """State whether no permit for the server may be had yet."""
        return self._held_until.get(server, now) > now

    def is_paused(self, server: str, now: float) -> bool:
        """State whether the server takes no requests of this daemon."""
        return self._end(server, now) > now

    def wait_s(self, servers: Iterable[str], now: float) -> float:
        """Return the seconds until the first server takes requests."""
        ends = [self._end(server, now) for server in servers]
        return min(ends, default=now) - now

    def retry_after_s(self, servers: Iterable[str], now: float) -> float | None:
        """Return the seconds until a retry; None unless all are paused."""
        wait_s = self.wait_s(servers, now)
        if wait_s <= 0:
            return None
        spread_s = max(MIN_RETRY_SPREAD_S, wait_s * RETRY_SPREAD_SHARE)
        return wait_s + self._rng.uniform(0, spread_s)

    def forget(self, server: str) -> None:
        """Drop the pause of a server that was restarted."""
        self._until.pop(server, None)
        self.release(server)

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget servers that no longer exist."""
        for known in (self._until, self._held_until):
            for server in known.keys() - set(servers):
                del known[server]

    def _end(self, server: str, now: float) -> float:
        return max(
            self._until.get(server, now), self._held_until.get(server, now)
        )


def parse_retry_after(text: str) -> float | None:
    """Return the seconds that a `Retry-After` header asks for, if any.

    Dates are ignored, since the clocks of servers may be wrong.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if seconds > 0 and not math.isnan(seconds) else None
