"""HTTP routes of the admin port, for the balancer and operators."""

import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from oriolegauge.config import ConfigTree, Role, hash_key
from oriolegauge.core.errors import ForbiddenError
from oriolegauge.daemon.errorresponses import error_response
from oriolegauge.daemon.metrics import Metrics
from oriolegauge.mesh.lifecycle import Lifecycle


class AdminApi:
    """Report health, readiness, metrics and state; start a drain."""

    def __init__(
        self,
        *,
        lifecycle: Lifecycle,
        tree: ConfigTree,
        metrics: Metrics,
        state: Callable[[], dict[str, Any]],
        config_current: Callable[[], bool],
        start_drain: Callable[[], None],
    ) -> None:
        """Read the daemon's state and start its drain with the callables."""
        self._lifecycle = lifecycle
        self._tree = tree
        self._metrics = metrics
        self._state = state
        self._config_current = config_current
        self._start_drain = start_drain

    def application(self) -> web.Application:
        """Return the application for the admin port.

        Health, readiness and metrics need no operator token.
        """
        app = web.Application()
        app.add_routes(
            [
                web.get('/healthz', self._health),
                web.get('/readyz', self._ready),
                web.get('/metrics', self._show_metrics),
                web.get('/state', self._dump),
                web.post('/drain', self._drain),
            ]
        )
        return app

    async def _health(self, http: web.Request) -> web.Response:
        return web.json_response({'state': self._lifecycle.state})

    async def _ready(self, http: web.Request) -> web.Response:
        ready = self._lifecycle.ready
        body = {'ready': ready, 'config_current': self._config_current()}
        return web.json_response(body, status=200 if ready else 503)

    async def _show_metrics(self, http: web.Request) -> web.Response:
        body, headers = self._metrics.render(http.headers.get('Accept', ''))
        return web.Response(body=body, headers=headers)

    async def _dump(self, http: web.Request) -> web.Response:
        if not self._has_role(http, Role.READ):
            return error_response(
                ForbiddenError(
                    'the operator token does not permit reading the state'
                )
            )
        return web.json_response(self._state())

    async def _drain(self, http: web.Request) -> web.Response:
        if not self._has_role(http, Role.OPERATE):
            return error_response(
                ForbiddenError('the operator token does not permit a drain')
            )
        self._start_drain()
        return web.json_response({'state': self._lifecycle.state})

    def _has_role(self, http: web.Request, role: Role) -> bool:
        token = http.headers.get('Authorization', '').removeprefix('Bearer ')
        return self._tree.operators.permits(
            hash_key(token), role=role, unix_s=time.time()
        )
