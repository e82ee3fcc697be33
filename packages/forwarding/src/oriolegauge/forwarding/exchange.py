"""Dependencies shared by plain and streaming exchanges."""

from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.forwarding.dispatcher import Dispatcher
from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.requestretries import RequestRetries
from oriolegauge.forwarding.requeststate import RequestState
from oriolegauge.forwarding.streamversions import StreamVersions


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeDependencies:
    """Hold what an exchange needs to send and to retry requests."""

    dispatcher: Dispatcher
    names: HeaderNames
    retries: RequestRetries
    versions: StreamVersions
    buffers: ByteBudget
    clock: Callable[[], float]

    def finish(self, state: RequestState) -> None:
        """Close the next attempt, or return its retry, as the request ends."""
        attempt = state.take_next_attempt()
        if attempt:
            state.note_sent(attempt)
            self.dispatcher.close(attempt)
        self.retries.give_back(state)
