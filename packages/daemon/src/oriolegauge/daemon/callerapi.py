"""HTTP routes for callers."""

import asyncio

import structlog
from aiohttp import web

from oriolegauge.config import ConfigTree, DaemonSettings
from oriolegauge.core.errors import (
    DrainingError,
    OriolegaugeError,
    StartingError,
)
from oriolegauge.core.resultcode import HTTP_STATUS, ResultCode
from oriolegauge.daemon.answersink import ResponseSink
from oriolegauge.daemon.bill import error_event
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.daemon.callerrequest import CallerRequest, identify
from oriolegauge.daemon.lifecycle import Lifecycle
from oriolegauge.daemon.requests import Requests

log = structlog.get_logger()


class CallerApi:
    """Answer callers and turn errors into numbered refusals."""

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        tree: ConfigTree,
        lifecycle: Lifecycle,
        requests: Requests,
    ) -> None:
        """Use the given parts of the daemon."""
        self._settings = settings
        self._tree = tree
        self._lifecycle = lifecycle
        self._requests = requests
        self.open_requests = 0

    def application(self) -> web.Application:
        """Return the application for the caller port."""
        app = web.Application(client_max_size=self._settings.max_body_bytes)
        app.add_routes(
            [
                web.get('/v1/models', self._models),
                web.route('*', '/{path:.*}', self._call),
            ]
        )
        return app

    def _identify(self, http: web.Request) -> CallerRequest:
        match self._lifecycle.state:
            case 'starting':
                raise StartingError('not yet serving', retry_after_s=1)
            case 'drained' | 'stopped':
                raise DrainingError('daemon is draining', retry_after_s=1)
        return identify(
            http.headers,
            tree=self._tree,
            now=asyncio.get_running_loop().time(),
            max_request_s=self._settings.max_request_s,
        )

    async def _call(self, http: web.Request) -> web.StreamResponse:
        self.open_requests += 1
        sink = ResponseSink(http)
        request_id = ''
        try:
            caller = self._identify(http)
            request_id = caller.request_id
            call = CallerCall(
                method=http.method,
                path=http.path_qs,
                headers=http.headers,
                body=await http.read(),
            )
            await self._requests.serve(sink, caller, call)
        except OriolegaugeError as error:
            return await _failed(sink, error, request_id)
        finally:
            self.open_requests -= 1
        return sink.response

    async def _models(self, http: web.Request) -> web.Response:
        try:
            caller = self._identify(http)
        except OriolegaugeError as error:
            return refusal(error)
        allowed = caller.settings.models
        names = sorted(
            {
                model
                for engine in self._tree.servers.engines.values()
                for model in engine.models
                if '*' in allowed or model in allowed
            }
        )
        return web.json_response(
            {
                'object': 'list',
                'data': [
                    {'id': name, 'object': 'model', 'owned_by': 'oriolegauge'}
                    for name in names
                ],
            }
        )


async def _failed(
    sink: ResponseSink, error: OriolegaugeError, request_id: str
) -> web.StreamResponse:
    log.info(
        'request failed',
        code=error.code.name,
        run_state=error.run_state.value,
        request_id=request_id,
        error=error.message,
    )
    if not sink.started:
        return refusal(error, request_id)
    # The caller has part of the answer: an error event and a cut connection
    # show that it is not whole.
    await sink.write(error_event(error_fields(error, request_id)))
    sink.abort()
    return sink.response


def error_fields(error: OriolegaugeError, request_id: str) -> dict[str, object]:
    """Return the JSON fields of an error."""
    return {
        'code': int(error.code),
        'name': error.code.name.lower(),
        'message': error.message,
        'run_state': error.run_state.value,
        'retry_after_s': error.retry_after_s,
        'request_id': request_id,
    }


def refusal(error: OriolegaugeError, request_id: str = '') -> web.Response:
    """Return the JSON error of a refused or failed request."""
    headers = {'X-Request-Id': request_id}
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(error.retry_after_s)))
    return web.json_response(
        {'error': error_fields(error, request_id)},
        status=HTTP_STATUS.get(error.code, HTTP_STATUS[ResultCode.INTERNAL]),
        headers=headers,
    )
