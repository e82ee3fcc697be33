"""Stand-in of the platform's store that can be made to fail."""

import asyncio
import copy
from collections import Counter
from typing import Any

from aiohttp import web

HISTORY = 1_000


class StandInStore:
    """Store objects by kind and name; serve the platform's HTTP API.

    `status` other than 200 rejects all calls with it; `silent` leaves calls
    without an answer; `lose_writes` applies writes and drops the answer.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self.revision = 0
        self.oldest_revision = 0
        self.era = 0
        self.names_era = True
        self.status = 200
        self.silent = False
        self.lose_writes = False
        self.page_size = 500
        self.calls: Counter[str] = Counter()
        self.port = 0
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> None:
        app = web.Application(middlewares=[self._inject_faults])
        base = '/oriolegauge/objects/{kind}'
        app.router.add_get(base, self._list)
        app.router.add_post(base, self._create)
        app.router.add_get(base + '/{name}', self._get)
        app.router.add_put(base + '/{name}', self._replace)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a server does."""
        created = self.revision + 1
        found = self.objects.get((kind, name))
        if found:
            created = found['metadata']['created']
            if found['spec'] == spec:
                return self.revision
        return await self._store(kind, name, spec, created)

    async def delete(self, kind: str, name: str) -> None:
        found = self.objects.pop((kind, name))
        self.revision += 1
        await self._append_event(kind, True, found)

    def forget_history(self) -> None:
        self.oldest_revision = self.revision

    def copy(self) -> tuple[dict[tuple[str, str], dict[str, Any]], int]:
        """Return a copy to pass to `restore`."""
        return copy.deepcopy(self.objects), self.revision

    async def restore(self, kept) -> None:
        """Come back from a copy, as after a loss of all later writes."""
        self.objects, self.revision = copy.deepcopy(kept)
        self.events = [one for one in self.events if one[0] <= self.revision]
        self.oldest_revision = min(self.oldest_revision, self.revision)
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def _store(self, kind, name, spec, created):
        self.revision += 1
        entry = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[kind, name] = entry
        await self._append_event(kind, False, entry)
        return self.revision

    async def _append_event(self, kind, deleted, entry):
        self.events.append((self.revision, kind, deleted, entry))
        async with self._changed:
            self._changed.notify_all()

    @web.middleware
    async def _inject_faults(self, request, handler):
        self.calls[request.method] += 1
        if self.silent:
            await asyncio.sleep(60)
        if self.status == 200:
            answer = await handler(request)
        else:
            answer = web.json_response({}, status=self.status)
        if self.names_era:
            answer.headers['Store-Era'] = str(self.era)
        if self.lose_writes and request.method in {'PUT', 'POST'}:
            request.transport.abort()
        return answer

    async def _list(self, request):
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(kind, request.query)
        after = request.query.get('after', '')
        names = sorted(
            name for held, name in self.objects if held == kind and name > after
        )
        return web.json_response(
            {
                'items': [
                    self.objects[kind, name] for name in names[: self.page_size]
                ],
                'hasMore': len(names) > self.page_size,
                'asOf': self.revision,
            }
        )

    async def _watch(self, kind, query):
        after = int(query['watch'])
        if not self.oldest_revision <= after <= self.revision:
            return web.json_response({}, status=410)
        try:
            async with asyncio.timeout(int(query['waitMs']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: bool(self._events_after(kind, after))
                    )
        except TimeoutError:
            """Answers without events."""
        return web.json_response(
            {
                'events': [
                    {'object': entry, 'deleted': deleted}
                    for deleted, entry in self._events_after(kind, after)
                ],
                'asOf': self.revision,
            }
        )

    def _events_after(self, kind, after):
        return [
            (deleted, entry)
            for revision, held, deleted, entry in self.events
            if held == kind and revision > after
        ]

    async def _get(self, request):
        found = self.objects.get(_key(request))
        if found is None:
            return web.json_response({}, status=404)
        return web.json_response(found)

    async def _create(self, request):
        body = await request.json()
        kind, name = request.match_info['kind'], body['metadata']['name']
        if (kind, name) in self.objects:
            return web.json_response(self.objects[kind, name], status=409)
        await self._store(kind, name, body['spec'], self.revision + 1)
        return web.json_response(self.objects[kind, name])

    async def _replace(self, request):
        body = await request.json()
        kind, name = _key(request)
        found = self.objects.get((kind, name))
        if found is None:
            return web.json_response({}, status=404)
        expected = body['metadata'].get('revision')
        if expected and expected != found['metadata']['revision']:
            return web.json_response(found, status=409)
        await self.write(kind, name, body['spec'])
        return web.json_response(self.objects[kind, name])


def _key(request):
    return request.match_info['kind'], request.match_info['name']
