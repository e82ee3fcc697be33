"""HTTP endpoints for readiness and metrics."""

from collections.abc import Callable
from typing import Any

from aiohttp import web

from oriolegauge.forwarding.forwardmetrics import ForwardMetrics
from oriolegauge.gateway.gatewaysettings import ListenAddress


class HttpChecks:
    """Serve the endpoints that the platform polls."""

    def __init__(
        self, *, is_ready: Callable[[], bool], metrics: ForwardMetrics
    ) -> None:
        """Take the readiness check and the metrics to render."""
        self._is_ready = is_ready
        self._metrics = metrics
        self._runners: list[web.AppRunner] = []

    async def serve_ready(self, listen: ListenAddress) -> None:
        """Serve readiness: 200 if the daemon is ready, else 503."""
        await self._serve(listen, self._answer_ready)

    async def serve_metrics(self, listen: ListenAddress) -> None:
        """Serve the counters and histograms."""
        await self._serve(listen, self._answer_metrics)

    async def close(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def _serve(self, listen: ListenAddress, handler: Any) -> None:
        app = web.Application()
        app.router.add_get(listen.path, handler)
        runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await runner.setup()
        await web.TCPSite(runner, listen.host, listen.port).start()
        self._runners.append(runner)

    async def _answer_ready(self, _: web.Request) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        body, headers = self._metrics.render(request.headers.get('Accept', ''))
        return web.Response(body=body, headers=headers)
