"""Times of an outage of the store, as a daemon learns them from replies."""

import math
import random

# A request waits for reserves to open for this share of its time at most. The
# waiting requests of a daemon continue at random within the spread.
OPENING_WAIT_SHARE = 0.5
OPENING_SPREAD_S = 0.6
MAX_OPENING_WAITS = 4
# An announced opening time that is past for this long no longer counts.
OPENING_INFO_EXPIRY_S = 1.0
# Tokens reserved by other requests are free again soon.
RETRY_AFTER_S = 0.4
# A peer's reply that it does not reach the store counts for this time.
STORE_LOST_EXPIRY_S = 1.0
# Without the store no tokens can be granted until the outage ends, after 2 to
# 9 s. The range spreads the retries of callers while accounts fill up again.
OUTAGE_RETRY_AFTER_S = (1.5, 4.0)


class OutageTimes:
    """Tell how long to wait for tokens; times are of one clock in seconds."""

    def __init__(self, rng: random.Random) -> None:
        """Start without an outage."""
        self._rng = rng
        # When reserves of other daemons may be opened, by team.
        self._opens_at: dict[str, float] = {}
        # When a peer last replied that it does not reach the store.
        self._store_lost_at = -math.inf

    def note_opening(self, team: str, opens_at: float) -> None:
        """Note when reserves may be opened, by a peer's reply."""
        self._opens_at[team] = opens_at

    def note_store_lost(self, now: float) -> None:
        """Note a peer's reply that it does not reach the store."""
        self._store_lost_at = now

    def is_store_lost_since(self, since: float) -> bool:
        """State whether a peer has replied so since that time."""
        return self._store_lost_at >= since

    def opening_wait_s(
        self, team: str, own_opens_in_s: float | None, now: float
    ) -> float | None:
        """Return the seconds to wait for reserves; None if none will open.

        `own_opens_in_s` is that of the own reserve, None if it will not open.
        """
        opens_at = self._opens_at.get(team, -math.inf)
        if own_opens_in_s is not None:
            opens_at = max(opens_at, now + own_opens_in_s)
        if opens_at < now - OPENING_INFO_EXPIRY_S:
            return None
        # Requests that wait for the same opening continue at random times, as
        # more tokens become open over time.
        spread_s = self._rng.uniform(OPENING_SPREAD_S / 2, OPENING_SPREAD_S)
        return max(0, opens_at - now) + spread_s

    def retry_after_s(
        self, team: str, now: float, *, reaches_store: bool
    ) -> float:
        """Return the seconds until the next grant is expected."""
        opens_in_s = self._opens_at.get(team, -math.inf) - now
        if opens_in_s > 0:
            return opens_in_s + self._rng.uniform(0, OPENING_SPREAD_S)
        if reaches_store and not self.is_store_lost_since(
            now - STORE_LOST_EXPIRY_S
        ):
            return RETRY_AFTER_S
        return self._rng.uniform(*OUTAGE_RETRY_AFTER_S)
