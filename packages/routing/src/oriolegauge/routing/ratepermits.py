"""Permits to send requests to servers that take a limited rate.

One daemon hands out permits for many others, each for one request. A token
bucket per server keeps their number to the rate.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass

# Seconds of the rate that an unused bucket saves up, besides one permit.
BURST_S = 0.25
# A server that takes nothing gets a request at this rate, since only a reply
# can tell that it takes requests again.
TRIAL_PER_S = 0.1
# Bounds of the wait after a refusal.
MIN_WAIT_S = 0.02
MAX_WAIT_S = 5.0
# Wait of a daemon that has no part of the rate at the moment.
NO_RATE_WAIT_S = 0.3
# Daemons that wait for permits are slowed down to this many requests a second.
MAX_REFUSALS_PER_S = 200
# Refused daemons get turns at the rate of the server, but no later than this: a
# daemon may have no request left when its turn comes.
MAX_TURN_S = 1.0


@dataclass(frozen=True, slots=True)
class Permits:
    """Hold permits for `count` requests, or the time (s) to the next try."""

    count: int
    wait_s: float = 0


@dataclass(slots=True)
class _Bucket:
    level: float
    filled_at: float
    last_turn_at: float


class RatePermits:
    """Hand out permits at the rate of each server."""

    def __init__(self, rng: random.Random) -> None:
        """Spread the waits of refused daemons by `rng`."""
        self._rng = rng
        self._buckets: dict[Hashable, _Bucket] = {}
        self._refused_at: deque[float] = deque()

    def take(
        self,
        server: Hashable,
        *,
        per_s: float,
        wanted: int,
        now: float,
        burst_s: float = BURST_S,
        saved_s: float = math.inf,
    ) -> Permits:
        """Return up to `wanted` permits for a server that takes `per_s`.

        An unused bucket saves up `burst_s` of the rate besides one permit, and
        that permit for `saved_s`.
        """
        if per_s <= 0:
            return Permits(0, NO_RATE_WAIT_S)
        self._drop_saved(server, per_s, saved_s, now)
        bucket = self._filled(server, per_s, burst_s, now)
        count = min(wanted, math.floor(bucket.level))
        if count > 0:
            bucket.level -= count
            return Permits(count)
        return Permits(0, self._wait_s(bucket, per_s, now))

    def keep_only(self, is_limited: Callable[[Hashable], bool]) -> None:
        """Forget the servers that are not limited any more."""
        self._buckets = {
            server: bucket
            for server, bucket in self._buckets.items()
            if is_limited(server)
        }

    def _drop_saved(
        self, server: Hashable, per_s: float, saved_s: float, now: float
    ) -> None:
        """Drop the permit of a bucket that has held it for too long."""
        bucket = self._buckets.get(server)
        if bucket is None or per_s * saved_s >= 1:
            return
        full_at = bucket.filled_at + max(0, 1 - bucket.level) / per_s
        if now - full_at > saved_s:
            # Holds one with the probability that it was full lately, if it had
            # lost each permit in time.
            bucket.level = self._rng.uniform(0, 1 + per_s * saved_s)
            bucket.filled_at = now

    def _filled(
        self, server: Hashable, per_s: float, burst_s: float, now: float
    ) -> _Bucket:
        bucket = self._buckets.get(server)
        if bucket is None:
            # Daemons that lose each other at the same moment each begin to
            # hand out their part; their first permits must not coincide.
            bucket = _Bucket(self._rng.random(), now, now)
            self._buckets[server] = bucket
        most = 1 + per_s * burst_s
        gained = max(0, now - bucket.filled_at) * per_s
        bucket.level = min(most, bucket.level + gained)
        bucket.filled_at = now
        return bucket

    def _wait_s(self, bucket: _Bucket, per_s: float, now: float) -> float:
        """Return the time to the turn of a daemon that is refused."""
        until_next_s = (1 - bucket.level) / per_s
        turn_at = max(now + until_next_s, bucket.last_turn_at + 1 / per_s)
        longest_s = max(until_next_s, MAX_TURN_S, self._pace_s(now))
        if turn_at > now + longest_s:
            # Not all at the end of the longest wait.
            wait_s = longest_s * (1 + self._rng.random()) / 2
            wait_s = max(wait_s, until_next_s)
        else:
            bucket.last_turn_at = turn_at
            wait_s = turn_at - now
        return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))

    def _pace_s(self, now: float) -> float:
        """Return the wait that keeps the refusals to MAX_REFUSALS_PER_S."""
        while self._refused_at and now - self._refused_at[0] > 1:
            self._refused_at.popleft()
        self._refused_at.append(now)
        return len(self._refused_at) / MAX_REFUSALS_PER_S
