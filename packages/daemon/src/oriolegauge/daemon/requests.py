"""Route a caller's call to the part of the daemon that serves it."""

from oriolegauge.core.errors import NotFoundError
from oriolegauge.daemon.answersink import AnswerSink
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.daemon.callerrequest import CallerRequest
from oriolegauge.daemon.completions import Completions
from oriolegauge.daemon.servicecalls import ServiceCalls, is_service_path

COMPLETION_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))


class Requests:
    """Serve completions and service calls."""

    def __init__(
        self, *, completions: Completions, services: ServiceCalls
    ) -> None:
        """Use the given parts of the daemon."""
        self._completions = completions
        self._services = services

    async def serve(
        self, sink: AnswerSink, caller: CallerRequest, call: CallerCall
    ) -> None:
        """Write the answer to the sink; raise before its start to refuse."""
        if call.path in COMPLETION_PATHS:
            await self._completions.serve(sink, caller, call)
        elif is_service_path(call.path):
            await self._services.serve(sink, caller, call)
        else:
            raise NotFoundError(f'no route {call.method} {call.path}')
