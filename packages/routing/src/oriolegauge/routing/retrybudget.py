"""Limit retries to a share of the requests.

Keeps retries from multiplying the load while backend servers fail.
"""

import random

RETRY_SHARE = 0.1
# The initial credit allows a retry right after the start; the maximum limits a
# burst of retries.
INITIAL_CREDIT = 1.0
MAX_CREDIT = 20.0
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudget:
    """Share one budget of retries between all requests of a daemon."""

    def __init__(
        self,
        *,
        rng: random.Random,
        share: float = RETRY_SHARE,
        initial_credit: float = INITIAL_CREDIT,
        max_credit: float = MAX_CREDIT,
    ) -> None:
        """Allow `share` retries per request; save up to `max_credit`."""
        self._rng = rng
        self._credit = initial_credit
        self._max_credit = max_credit
        self.share = share

    def limit(self, *, share: float, max_credit: float) -> None:
        """Change the limits; the credit that was saved up stays, if it fits."""
        self.share = share
        self._max_credit = max_credit
        self._credit = min(max_credit, self._credit)

    def request(self) -> None:
        """Count a request that is not a retry."""
        self._credit = min(self._max_credit, self._credit + self.share)

    def retry(self, attempt: int, *, all_failing: bool = False) -> float | None:
        """Spend one retry; return the backoff in seconds, or None.

        `attempt` is 1 for the first retry of a request. None is allowed while
        all servers fail, since it can't help.
        """
        if all_failing or not self._spend():
            return None
        longest = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**attempt)
        return longest * (0.5 + self._rng.random() / 2)

    def give_back(self) -> None:
        """Return a retry that was spent but not sent."""
        self._credit = min(self._max_credit, self._credit + 1)

    def _spend(self) -> bool:
        if self._credit >= 1:
            self._credit -= 1
            return True
        if self._max_credit >= 1:
            return False
        # A part of less than one retry gives one with that probability, else
        # the parts of a large fleet would be rounded up.
        is_given = self._rng.random() < self._credit
        self._credit = 0
        return is_given
