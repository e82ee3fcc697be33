"""Simulated plain service whose calls must not be repeated."""

import asyncio
import os
from collections import Counter

from aiohttp import web

from oriolegauge.standins.server import arguments, serve


class Service:
    """Count how often each call ran, by the X-Reference header."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: Counter[str] = Counter()
        self.faults = {'delay_s': 0.0, 'cut_answers': 0, 'fail': False}

    def application(self) -> web.Application:
        app = web.Application()
        app.add_routes(
            [
                web.get('/admin/runs', self.get_runs),
                web.post('/admin/faults', self.set_faults),
                web.route('*', '/{path:.*}', self.run),
            ]
        )
        return app

    async def run(self, request: web.Request) -> web.Response:
        if request.headers.get('X-Crash') == 'exit':
            os._exit(1)
        body = await request.read()
        reference = request.headers.get('X-Reference', 'none')
        if self.faults['fail']:
            raise web.HTTPInternalServerError(text='failed')
        self.runs[reference] += 1
        await asyncio.sleep(self.faults['delay_s'])
        if self.faults['cut_answers']:
            self.faults['cut_answers'] -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response(
            {
                'service': self.name,
                'method': request.method,
                'path': request.path,
                'reference': reference,
                'run': self.runs[reference],
                'body_bytes': len(body),
            }
        )

    async def get_runs(self, request: web.Request) -> web.Response:
        return web.json_response(self.runs)

    async def set_faults(self, request: web.Request) -> web.Response:
        self.faults.update(await request.json())
        return web.json_response(self.faults)


def main() -> None:
    """Run the simulated service from the command line."""
    options = arguments('service').parse_args()
    serve(Service(options.name).application(), options.host, options.port)


if __name__ == '__main__':
    main()
