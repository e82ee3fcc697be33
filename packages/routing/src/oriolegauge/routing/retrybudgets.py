"""Retry budgets of one daemon, one for each service."""

import random
from collections.abc import Callable

from oriolegauge.routing.retrybudget import RetryBudget


class RetryBudgets:
    """Limit the retries of each service to a share of its requests."""

    def __init__(
        self,
        *,
        rng: random.Random,
        share: float,
        max_credit: Callable[[], float],
        initial_credit: float = 0,
    ) -> None:
        """Let each service save up `max_credit()` unused retries.

        By default a service starts without any, since an earlier process of
        this daemon may have spent its part of the fleet's retries just now.
        """
        self._rng = rng
        self._max_credit = max_credit
        self._initial_credit = initial_credit
        self._budgets: dict[str, RetryBudget] = {}
        self.share = share

    def request(self, service: str) -> None:
        """Count a request for the service that is not a retry."""
        self._budget(service).request()

    def may_retry(self, service: str) -> bool:
        """Take a retry from the budget of the service, if one is left."""
        return self._budget(service).retry(1) is not None

    def give_back(self, service: str) -> None:
        """Return a retry that was taken but not sent."""
        self._budget(service).give_back()

    def _budget(self, service: str) -> RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(
                rng=self._rng, initial_credit=self._initial_credit
            )
            self._budgets[service] = found
        # The part of a daemon depends on the size of the fleet.
        found.limit(share=self.share, max_credit=self._max_credit())
        return found
