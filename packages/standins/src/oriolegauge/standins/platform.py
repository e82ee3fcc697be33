"""Simulated platform: object store, host list and switchable faults."""

import asyncio
import json
import time
from collections import deque
from typing import Any

from aiohttp import web

from oriolegauge.standins.server import arguments, serve

MAX_VALUE_BYTES = 1_000_000
WRITES_PER_S = 400
READS_PER_S = 2_000


class Platform:
    """Keep versioned objects and count the calls and watches."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Any]] = {}
        self.revision = 0
        self.changed = asyncio.Condition()
        self.hosts: list[dict[str, str]] = []
        self.earlier_hosts: deque[tuple[float, list[dict[str, str]]]] = deque()
        self.faults: dict[str, Any] = {
            'outage': False,
            'delay_s': 0.0,
            'lose_answers': 0,
            'host_list_lag_s': 0.0,
        }
        self.counts = {'reads': 0, 'writes': 0, 'watches': 0, 'refused': 0}
        self.recent_calls: dict[str, deque[float]] = {
            'reads': deque(),
            'writes': deque(),
        }

    def application(self) -> web.Application:
        app = web.Application(client_max_size=4 * MAX_VALUE_BYTES)
        app.add_routes(
            [
                web.get('/objects', self.list_objects),
                web.get('/objects/{key:.+}', self.get_object),
                web.put('/objects/{key:.+}', self.put_object),
                web.get('/watch', self.watch),
                web.get('/hosts', self.list_hosts),
                web.put('/admin/hosts', self.set_hosts),
                web.post('/admin/faults', self.set_faults),
                web.get('/admin/counts', self.get_counts),
            ]
        )
        return app

    async def admit(self, kind: str) -> None:
        """Apply outage, delay and rate limit to a call."""
        self.counts[kind] += 1
        if self.faults['outage']:
            raise web.HTTPServiceUnavailable(text='outage')
        if self.faults['delay_s']:
            await asyncio.sleep(self.faults['delay_s'])
        window = self.recent_calls['writes' if kind == 'writes' else 'reads']
        now = time.monotonic()
        while window and window[0] < now - 1:
            window.popleft()
        limit = WRITES_PER_S if kind == 'writes' else READS_PER_S
        if len(window) >= limit:
            self.counts['refused'] += 1
            raise web.HTTPTooManyRequests(text='rate limit')
        window.append(now)

    async def get_object(self, request: web.Request) -> web.Response:
        await self.admit('reads')
        found = self.objects.get(request.match_info['key'])
        if found is None:
            raise web.HTTPNotFound(text='{}', content_type='application/json')
        return web.json_response(found)

    async def list_objects(self, request: web.Request) -> web.Response:
        await self.admit('reads')
        prefix = request.query.get('prefix', '')
        rows = [
            row for key, row in self.objects.items() if key.startswith(prefix)
        ]
        return web.json_response({'items': rows, 'revision': self.revision})

    async def put_object(self, request: web.Request) -> web.Response:
        await self.admit('writes')
        key = request.match_info['key']
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(body))
        current = self.objects.get(key, {'version': 0})['version']
        if current != int(request.headers.get('If-Match', '-1')):
            return web.json_response({'version': current}, status=409)
        self.revision += 1
        self.objects[key] = {
            'key': key,
            'version': self.revision,
            'value': json.loads(body),
        }
        async with self.changed:
            self.changed.notify_all()
        if self.faults['lose_answers'] > 0:
            self.faults['lose_answers'] -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({'version': self.revision})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        await self.admit('watches')
        prefix = request.query.get('prefix', '')
        seen = int(request.query.get('after', '0'))
        response = web.StreamResponse()
        await response.prepare(request)
        while not self.faults['outage']:
            rows = sorted(
                (
                    row
                    for key, row in self.objects.items()
                    if key.startswith(prefix) and row['version'] > seen
                ),
                key=lambda row: row['version'],
            )
            for row in rows:
                seen = row['version']
                await response.write(json.dumps(row).encode() + b'\n')
            async with self.changed:
                if self.revision <= seen or not rows:
                    await self.changed.wait()
        return response

    async def list_hosts(self, request: web.Request) -> web.Response:
        await self.admit('reads')
        horizon = time.monotonic() - self.faults['host_list_lag_s']
        shown = self.hosts
        for replaced_at, rows in self.earlier_hosts:
            if replaced_at > horizon:
                shown = rows
                break
        return web.json_response({'items': shown})

    async def set_hosts(self, request: web.Request) -> web.Response:
        self.earlier_hosts.append((time.monotonic(), self.hosts))
        self.hosts = (await request.json())['items']
        return web.json_response({})

    async def set_faults(self, request: web.Request) -> web.Response:
        self.faults.update(await request.json())
        async with self.changed:
            self.changed.notify_all()
        return web.json_response(self.faults)

    async def get_counts(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts)


def main() -> None:
    """Run the simulated platform from the command line."""
    options = arguments('platform').parse_args()
    serve(Platform().application(), options.host, options.port)


if __name__ == '__main__':
    main()
