"""Route requests to completions, services or status queries."""

from collections.abc import Callable
from typing import Any
from urllib.parse import unquote, urlsplit

import orjson

from oriolegauge.core.errors import NotFoundError
from oriolegauge.daemon.answersink import AnswerSink
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.daemon.callerrequest import CallerRequest
from oriolegauge.daemon.completions import Completions
from oriolegauge.daemon.keyedrequests import KeyedRequests
from oriolegauge.daemon.servicecalls import ServiceCalls, is_service_path
from oriolegauge.ledger import IntentLog, RequestLedger

COMPLETION_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
STATUS_PREFIX = '/v1/requests/'
HTTP_OK = 200


class Requests:
    """Serve completions, service calls and status queries."""

    def __init__(
        self,
        *,
        completions: Completions,
        services: ServiceCalls,
        ledger: RequestLedger,
        intents: IntentLog,
        clock: Callable[[], float],
    ) -> None:
        """Use the given parts of the daemon; `clock` is in seconds."""
        self._completions = completions
        self._services = services
        self._ledger = ledger
        self._intents = intents
        self._keyed = KeyedRequests(
            ledger=ledger, intents=intents, serve=self._run, clock=clock
        )

    @property
    def running(self) -> int:
        """Return the number of running keyed requests.

        It includes requests whose caller has disconnected.
        """
        return self._keyed.running

    async def serve(
        self, sink: AnswerSink, caller: CallerRequest, call: CallerCall
    ) -> None:
        """Write the answer to the sink; raise errors before it starts."""
        if is_status_path(call.path):
            await self._status(sink, caller, call)
        elif caller.keyed:
            await self._keyed.serve(
                sink,
                caller,
                call,
                non_idempotent=self._is_non_idempotent(caller, call),
            )
        else:
            await self._run(sink, caller, call)

    def _is_non_idempotent(
        self, caller: CallerRequest, call: CallerCall
    ) -> bool:
        if is_service_path(call.path):
            return self._services.target(caller, call).non_idempotent
        return caller.non_idempotent

    async def _run(
        self, sink: AnswerSink, caller: CallerRequest, call: CallerCall
    ) -> None:
        if urlsplit(call.path).path in COMPLETION_PATHS:
            await self._completions.serve(sink, caller, call)
        elif is_service_path(call.path):
            await self._services.serve(sink, caller, call)
        else:
            raise NotFoundError(f'no route for {call.method} {call.path}')

    async def _status(
        self, sink: AnswerSink, caller: CallerRequest, call: CallerCall
    ) -> None:
        request_id = status_request_id(caller, call)
        fields = self._ledger_status(request_id) or await self._intent_status(
            request_id
        )
        if fields is None:
            raise NotFoundError('the request is unknown')
        await sink.start(HTTP_OK, {'Content-Type': 'application/json'})
        await sink.write(orjson.dumps({'request_id': request_id, **fields}))
        await sink.finish()

    def _ledger_status(self, request_id: str) -> dict[str, Any] | None:
        record = self._ledger.find(request_id)
        if record is None:
            return None
        return {
            'state': record.state.value,
            'run_state': record.run_state.value,
            'status': record.status,
        }

    async def _intent_status(self, request_id: str) -> dict[str, Any] | None:
        status = await self._intents.lookup(request_id)
        if status is None:
            return None
        return {
            'state': 'claimed',
            'run_state': status.state.value,
            'status': status.code,
        }


def is_status_path(path: str) -> bool:
    """Return whether the path asks for the status of a request."""
    return path.startswith(STATUS_PREFIX)


def status_request_id(caller: CallerRequest, call: CallerCall) -> str:
    """Return the id of the request that a status query asks for."""
    key = unquote(urlsplit(call.path).path.removeprefix(STATUS_PREFIX))
    return f'{caller.team}:{key}'
