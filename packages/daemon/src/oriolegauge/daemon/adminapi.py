"""HTTP routes for the balancer and operators."""

from collections.abc import Callable
from typing import Any

from aiohttp import web

from oriolegauge.daemon.lifecycle import Lifecycle


class AdminApi:
    """Report health, readiness and state; start a drain."""

    def __init__(
        self,
        *,
        lifecycle: Lifecycle,
        state: Callable[[], dict[str, Any]],
        start_drain: Callable[[], None],
    ) -> None:
        """Read the state and start the drain through callables."""
        self._lifecycle = lifecycle
        self._state = state
        self._start_drain = start_drain

    def application(self) -> web.Application:
        """Return the application for the admin port."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/healthz', self._health),
                web.get('/readyz', self._ready),
                web.get('/state', self._dump),
                web.post('/drain', self._drain),
            ]
        )
        return app

    async def _health(self, http: web.Request) -> web.Response:
        return web.json_response({'state': self._lifecycle.state})

    async def _ready(self, http: web.Request) -> web.Response:
        ready = self._lifecycle.ready
        return web.json_response({'ready': ready}, status=200 if ready else 503)

    async def _dump(self, http: web.Request) -> web.Response:
        return web.json_response(self._state())

    async def _drain(self, http: web.Request) -> web.Response:
        self._start_drain()
        return web.json_response({'state': self._lifecycle.state})
