"""HTTP routes of the caller port."""

import asyncio

import structlog
from aiohttp import web

from oriolegauge.config import ConfigTree, DaemonSettings, Limits
from oriolegauge.core.errors import (
    DrainingError,
    OriolegaugeError,
    StartingError,
)
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.daemon.answersink import AnswerSink, ResponseSink
from oriolegauge.daemon.bill import error_event
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.daemon.callerrequest import CallerRequest, identify
from oriolegauge.daemon.errorresponses import error_fields, error_response
from oriolegauge.daemon.errors import (
    BodyTooLargeError,
    TooManyConnectionsError,
)
from oriolegauge.daemon.forwarder import Forwarder
from oriolegauge.daemon.metrics import Metrics
from oriolegauge.daemon.requests import (
    Requests,
    is_status_path,
    status_request_id,
)
from oriolegauge.mesh.lifecycle import Lifecycle

# aiohttp checks its own size limit first. It is larger than any configured
# limit, so that oversized bodies are refused here, with a result code.
AIOHTTP_BODY_BYTES_MAX = 100_000_000

log = structlog.get_logger()


class CallerApi:
    """Answer callers; report errors with their result codes."""

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        tree: ConfigTree,
        lifecycle: Lifecycle,
        requests: Requests,
        forwarder: Forwarder,
        metrics: Metrics,
    ) -> None:
        """Use the given parts of the daemon."""
        self._settings = settings
        self._tree = tree
        self._lifecycle = lifecycle
        self._requests = requests
        self._forwarder = forwarder
        self._metrics = metrics
        self._uploads: set[asyncio.Timeout] = set()
        self.open_requests = 0

    def application(self) -> web.Application:
        """Return the application of the caller port."""
        app = web.Application(client_max_size=AIOHTTP_BODY_BYTES_MAX)
        app.add_routes(
            [
                web.get('/v1/models', self._models),
                web.route('*', '/{path:.*}', self._call),
            ]
        )
        return app

    async def serve_forwarded(self, sink: AnswerSink, call: CallerCall) -> None:
        """Serve a call that another daemon received."""
        self.open_requests += 1
        try:
            caller = self._identify(call)
            await self._requests.serve(sink, caller, call)
        finally:
            self.open_requests -= 1

    def refuse_uploads(self) -> None:
        """Refuse requests whose body is incomplete, as the drain has ended.

        Their callers may take any time, for which the daemon would wait.
        """
        now = asyncio.get_running_loop().time()
        for upload in self._uploads:
            upload.reschedule(now)

    @property
    def _limits(self) -> Limits:
        return self._tree.limits_for(self._settings)

    def _check_accepting(self) -> None:
        match self._lifecycle.state:
            case 'starting':
                raise StartingError('daemon is starting', retry_after_s=1)
            case 'drained' | 'stopped':
                raise _draining()

    def _identify(self, call: CallerCall) -> CallerRequest:
        self._check_accepting()
        return identify(
            call.headers,
            tree=self._tree,
            now=asyncio.get_running_loop().time(),
            max_request_s=self._limits.max_request_s,
        )

    async def _call(self, http: web.Request) -> web.StreamResponse:
        started_at = asyncio.get_running_loop().time()
        sink = ResponseSink(http)
        code = ResultCode.OK
        self.open_requests += 1
        try:
            await self._serve(http, sink)
        except OriolegaugeError as error:
            code = error.code
            return await self._send_error(sink, error)
        finally:
            self.open_requests -= 1
            seconds = asyncio.get_running_loop().time() - started_at
            self._metrics.count(code=code.name.lower(), seconds=seconds)
        return sink.response

    async def _serve(self, http: web.Request, sink: ResponseSink) -> None:
        if self.open_requests > self._settings.max_connections:
            raise TooManyConnectionsError(
                'too many requests are open', retry_after_s=1
            )
        call = await self._read(http)
        caller = self._identify(call)
        sink.request_id = caller.request_id
        owned_id = _owned_request_id(caller, call)
        if owned_id is None:
            await self._requests.serve(sink, caller, call)
            return
        await self._forwarder.serve(
            sink,
            owned_id,
            call,
            timeout_s=self._limits.max_request_s,
            serve_locally=lambda local_sink: self._requests.serve(
                local_sink, caller, call
            ),
        )

    async def _read(self, http: web.Request) -> CallerCall:
        limit = self._limits.max_body_bytes
        if (http.content_length or 0) > limit:
            raise BodyTooLargeError(f'the body exceeds {limit} bytes')
        body = await self._read_body(http)
        if len(body) > limit:
            raise BodyTooLargeError(f'the body exceeds {limit} bytes')
        return CallerCall(
            method=http.method,
            path=http.path_qs,
            headers=http.headers,
            body=body,
        )

    async def _read_body(self, http: web.Request) -> bytes:
        self._check_accepting()
        upload = asyncio.timeout(None)
        self._uploads.add(upload)
        try:
            async with upload:
                return await http.read()
        except TimeoutError:
            raise _draining() from None
        finally:
            self._uploads.discard(upload)

    async def _send_error(
        self, sink: ResponseSink, error: OriolegaugeError
    ) -> web.StreamResponse:
        log.info(
            'request failed',
            code=error.code.name,
            run_state=error.run_state.value,
            request_id=sink.request_id,
            error=error.message,
        )
        if not sink.started:
            return error_response(error, sink.request_id)
        # The caller has part of the answer. An error event and an aborted
        # connection show that it is incomplete.
        await sink.write(error_event(error_fields(error, sink.request_id)))
        sink.abort()
        return sink.response

    async def _models(self, http: web.Request) -> web.Response:
        try:
            caller = self._identify(await self._read(http))
        except OriolegaugeError as error:
            return error_response(error)
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


def _draining() -> DrainingError:
    return DrainingError('daemon is draining', retry_after_s=1)


def _owned_request_id(caller: CallerRequest, call: CallerCall) -> str | None:
    """Return the request id whose owner serves the call.

    Return None if any daemon may serve it.
    """
    if is_status_path(call.path):
        return status_request_id(caller, call)
    return caller.request_id if caller.keyed else None
