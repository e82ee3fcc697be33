"""Retries of requests: whether one is left, and who has taken it."""

from collections.abc import Callable, Collection
from typing import Protocol

from oriolegauge.forwarding.requeststate import RequestState


class RetryCredit(Protocol):
    """Limit the retries of each service."""

    def may_retry(self, service: str) -> bool:
        """Take a retry from the budget of the service, if one is left."""

    def give_back(self, service: str) -> None:
        """Return a retry that was not sent."""


class RequestRetries:
    """Take retries for requests, each only if it can be used now."""

    def __init__(
        self,
        *,
        credit: RetryCredit,
        has_server: Callable[[str, Collection[str], str | None], bool],
        clock: Callable[[], float],
    ) -> None:
        """Use the servers outside a request's excluded ones."""
        self._credit = credit
        self._has_server = has_server
        self._clock = clock

    def take(self, state: RequestState) -> bool:
        """Take a retry for a request whose last attempt did not run."""
        context = state.context
        state.has_retry = (
            self._clock() < context.deadline
            and state.sends < context.route.max_attempts
            and self._has_server(context.service, state.excluded, state.version)
            and self._credit.may_retry(context.service)
        )
        return state.has_retry

    def take_to_run_again(self, state: RequestState) -> bool:
        """Take a retry for a request whose last attempt may have run.

        The retry of an attempt that was already sent is not taken again.
        """
        if state.next_attempt:
            return True
        return state.may_run_again and self.take(state)

    def give_back(self, state: RequestState) -> None:
        """Return the retry of the request if nothing was sent with it."""
        if state.has_retry:
            state.has_retry = False
            self._credit.give_back(state.context.service)
