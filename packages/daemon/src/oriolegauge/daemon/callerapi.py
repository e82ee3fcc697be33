"""HTTP routes for callers."""

import asyncio

import orjson
import structlog
from aiohttp import web
from oriolegauge.backends import (
    BackendServer,
    ServiceCall,
    ServiceClient,
)
from oriolegauge.budget import BudgetManager
from oriolegauge.config import ConfigTree, DaemonSettings
from oriolegauge.core.errors import (
    DrainingError,
    InvalidRequestError,
    NotFoundError,
    OriolegaugeError,
    StartingError,
)
from oriolegauge.core.resultcode import HTTP_STATUS, ResultCode
from oriolegauge.daemon.callerrequest import CallerRequest, identify
from oriolegauge.daemon.completions import Completions, bill_headers
from oriolegauge.daemon.lifecycle import Lifecycle

log = structlog.get_logger()


class CallerApi:
    """Answer callers and turn errors into numbered refusals."""

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        tree: ConfigTree,
        lifecycle: Lifecycle,
        budgets: BudgetManager,
        completions: Completions,
        services: ServiceClient,
    ) -> None:
        """Use the given parts of the daemon."""
        self._settings = settings
        self._tree = tree
        self._lifecycle = lifecycle
        self._budgets = budgets
        self._completions = completions
        self._services = services
        self.open_requests = 0

    def application(self) -> web.Application:
        """Return the application for the caller port."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[self._refuse],
        )
        app.add_routes(
            [
                web.post('/v1/chat/completions', self._complete),
                web.post('/v1/completions', self._complete),
                web.get('/v1/models', self._models),
                web.route('*', '/services/{name}/{path:.*}', self._service),
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

    @web.middleware
    async def _refuse(self, http: web.Request, handler) -> web.StreamResponse:
        self.open_requests += 1
        try:
            return await handler(http)
        except OriolegaugeError as error:
            log.info('request refused', code=error.code.name)
            return refusal(error)
        finally:
            self.open_requests -= 1

    async def _complete(self, http: web.Request) -> web.StreamResponse:
        caller = self._identify(http)
        try:
            body = orjson.loads(await http.read())
        except ValueError as error:
            raise InvalidRequestError('body is not JSON') from error
        if not isinstance(body, dict):
            raise InvalidRequestError('body must be an object')
        return await self._completions.serve(http, caller, body)

    async def _models(self, http: web.Request) -> web.Response:
        caller = self._identify(http)
        names = sorted(
            {
                model
                for engine in self._tree.servers.engines.values()
                for model in engine.models
                if '*' in caller.settings.models
                or model in caller.settings.models
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

    async def _service(self, http: web.Request) -> web.Response:
        caller = self._identify(http)
        name = http.match_info['name']
        service = self._tree.services.services.get(name)
        if service is None:
            raise NotFoundError(f'no service {name}')
        reservation = await self._budgets.reserve(
            budget=caller.budget,
            request_id=caller.request_id,
            tokens=service.tokens_per_call,
            minimum=service.tokens_per_call,
            deadline=caller.deadline,
        )
        server_name, url = next(iter(service.urls.items()))
        server = BackendServer(name=server_name, url=url, zone='')
        try:
            answer = await self._services.call(
                server,
                ServiceCall(
                    request_id=caller.request_id,
                    method=http.method,
                    path=f'/{http.match_info["path"]}',
                    headers=http.headers,
                    body=await http.read(),
                ),
            )
        except BaseException:
            self._budgets.release(reservation)
            raise
        settled = await self._budgets.settle(
            reservation, service.tokens_per_call, keyed=caller.keyed
        )
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={**answer.headers, **bill_headers(caller, settled)},
        )


def refusal(error: OriolegaugeError, request_id: str = '') -> web.Response:
    """Return the JSON error of a refused or failed request."""
    headers = {}
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(error.retry_after_s)))
    return web.json_response(
        {
            'error': {
                'code': int(error.code),
                'name': error.code.name.lower(),
                'message': error.message,
                'run_state': error.run_state.value,
                'retry_after_s': error.retry_after_s,
                'request_id': request_id,
            }
        },
        status=HTTP_STATUS.get(error.code, HTTP_STATUS[ResultCode.INTERNAL]),
        headers=headers,
    )
