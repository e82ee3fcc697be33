"""HTTP endpoints for readiness and metrics."""

from collections.abc import Callable, Mapping
from typing import Any

import orjson
from aiohttp import web

from oriolegauge.forwarding.forwardmetrics import ForwardMetrics
from oriolegauge.gateway.gatewaysettings import ListenAddress

# Answers where a request would go now, on the listener of the metrics.
EXPLAIN_PATH = '/explain'
# The caller key is in a header, since URLs may be logged.
KEY_HEADER = 'X-Explain-Key'

Explain = Callable[[Mapping[str, str], str], Mapping[str, Any]]


class HttpChecks:
    """Serve the endpoints that the platform polls."""

    def __init__(
        self,
        *,
        is_ready: Callable[[], bool],
        metrics: ForwardMetrics,
        explain: Explain,
    ) -> None:
        """Take the readiness check and the metrics to render.

        `explain` gets the query of a request for an explanation, and a caller
        key.
        """
        self._explain = explain
        self._is_ready = is_ready
        self._metrics = metrics
        self._runners: list[web.AppRunner] = []

    async def serve_ready(self, listen: ListenAddress) -> None:
        """Serve readiness: 200 if the daemon is ready, else 503."""
        await self._serve(listen, self._answer_ready)

    async def serve_metrics(self, listen: ListenAddress) -> None:
        """Serve counters and histograms, and explanations of placements."""
        await self._serve(
            listen, self._answer_metrics, {EXPLAIN_PATH: self._answer_explain}
        )

    async def close(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def _serve(
        self,
        listen: ListenAddress,
        handler: Any,
        others: Mapping[str, Any] | None = None,
    ) -> None:
        app = web.Application()
        app.router.add_get(listen.path, handler)
        for path, other in (others or {}).items():
            app.router.add_get(path, other)
        runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await runner.setup()
        await web.TCPSite(runner, listen.host, listen.port).start()
        self._runners.append(runner)

    async def _answer_ready(self, _: web.Request) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        body, headers = self._metrics.render(request.headers.get('Accept', ''))
        return web.Response(body=body, headers=headers)

    async def _answer_explain(self, request: web.Request) -> web.Response:
        found = self._explain(
            request.query, request.headers.get(KEY_HEADER, '')
        )
        return web.Response(
            body=orjson.dumps(found), content_type='application/json'
        )
