"""State and dependencies shared by plain and streaming exchanges."""

from collections.abc import Callable
from dataclasses import dataclass, field

from oriolegauge.core.bytebudget import ByteBudget, ByteLease
from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.dispatcher import Dispatcher
from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace


@dataclass(slots=True)
class RequestState:
    """Hold the state of one request over all its attempts.

    `buffer_lease` covers the bytes that are buffered for it.
    `attempt_may_have_run` states that a server may have run an attempt that has
    ended.
    """

    context: RequestContext
    trace: RequestTrace
    answer: Answer
    buffer_lease: ByteLease
    excluded: set[str] = field(default_factory=set)
    sends: int = 0
    attempt_may_have_run: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeDependencies:
    """Hold what an exchange needs to send and to retry requests.

    `may_retry(service)` takes a retry from the service's retry budget, and
    returns whether one was left.
    """

    dispatcher: Dispatcher
    names: HeaderNames
    may_retry: Callable[[str], bool]
    buffers: ByteBudget
    clock: Callable[[], float]

    def has_server(self, state: RequestState) -> bool:
        """State whether an attempt and a server not tried yet are left."""
        context = state.context
        return (
            state.sends < context.route.max_attempts
            and self.dispatcher.has_server(context.service, state.excluded)
        )

    def may_send_again(self, state: RequestState) -> bool:
        """Take a retry from the retry budget if the request may be resent."""
        context = state.context
        return (
            self.clock() < context.deadline
            and self.has_server(state)
            and self.may_retry(context.service)
        )
