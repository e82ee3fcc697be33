"""What the exchanges with callers and servers have in common."""

from collections.abc import Callable
from dataclasses import dataclass, field

from oriolegauge.core.bytebudget import ByteBudget, ByteLease
from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.dispatcher import Dispatcher
from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace


@dataclass(slots=True)
class Serving:
    """Follow one request over all its sends.

    `held` covers what is buffered for it. `has_run` says that a server may have
    run it.
    """

    context: RequestContext
    trace: RequestTrace
    answer: Answer
    held: ByteLease
    excluded: set[str] = field(default_factory=set)
    sends: int = 0
    has_run: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ExchangeParts:
    """Hold what an exchange needs to send requests and to send them again.

    `may_retry(service)` takes a retry from the service's budget.
    """

    dispatcher: Dispatcher
    names: HeaderNames
    may_retry: Callable[[str], bool]
    buffers: ByteBudget
    clock: Callable[[], float]

    def has_server(self, serving: Serving) -> bool:
        """State whether an attempt and another server are left."""
        context = serving.context
        return (
            serving.sends < context.route.max_attempts
            and self.dispatcher.has_server(context.service, serving.excluded)
        )

    def may_send_again(self, serving: Serving) -> bool:
        """Take a retry from the budget if the request may be sent again."""
        context = serving.context
        return (
            self.clock() < context.deadline
            and self.has_server(serving)
            and self.may_retry(context.service)
        )
