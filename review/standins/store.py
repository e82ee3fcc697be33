"""Stand-in of the platform's metadata store, kept in memory."""

import asyncio
import contextlib
import json
from typing import Any

from aiohttp import web

PAGE_ITEMS = 500
GONE = 410
CONFLICT = 409
NOT_FOUND = 404
_BASE = '/oriolegauge/objects/{kind}'

Event = tuple[int, str, str, bool, bytes]


class Store:
    """Serve objects by kind and name, with revisions and watches.

    A `spec` is kept as the bytes that its writer sent, so that an entry of
    another writer is returned as it was written.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.address = ''
        self.calls = 0
        self._objects: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._events: list[Event] = []
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a loopback address."""
        app = web.Application(middlewares=[self._count])
        app.router.add_get(_BASE, self._list)
        app.router.add_post(_BASE, self._create)
        app.router.add_get(_BASE + '/{name}', self._get)
        app.router.add_put(_BASE + '/{name}', self._replace)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        self.address = '{}:{}'.format(*self._runner.addresses[0])

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner:
            await self._runner.cleanup()

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a server does."""
        return self.write_raw(kind, name, json.dumps(spec).encode())

    def write_raw(self, kind: str, name: str, spec: bytes) -> int:
        """Write an object whose `spec` has the given bytes."""
        found = self._objects.get((kind, name))
        if found and found[1] == spec:
            return found[0]
        self.revision += 1
        self._objects[kind, name] = (self.revision, spec)
        self._note(kind, name, is_deleted=False, spec=spec)
        return self.revision

    def delete(self, kind: str, name: str) -> int:
        """Remove an object."""
        _, spec = self._objects.pop((kind, name))
        self.revision += 1
        self._note(kind, name, is_deleted=True, spec=spec)
        return self.revision

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(name for held, name in self._objects if held == kind)

    def spec(self, kind: str, name: str) -> Any:
        """Return the `spec` of an object, None if there is none."""
        found = self._objects.get((kind, name))
        return json.loads(found[1]) if found else None

    def _note(
        self, kind: str, name: str, *, is_deleted: bool, spec: bytes
    ) -> None:
        entry = _encode(name, self.revision, spec)
        self._events.append((self.revision, kind, name, is_deleted, entry))
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _count(self, request: web.Request, handler: Any) -> Any:
        self.calls += 1
        return await handler(request)

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(kind, request)
        after = request.query.get('after', '')
        names = [name for name in self.names(kind) if name > after]
        items = [
            _encode(name, *self._objects[kind, name])
            for name in names[:PAGE_ITEMS]
        ]
        has_more = b'true' if len(names) > PAGE_ITEMS else b'false'
        return _answer(
            b'{"items":[%b],"hasMore":%b,"asOf":%d}'
            % (b','.join(items), has_more, self.revision)
        )

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        after = int(request.query['watch'])
        if after > self.revision:
            return web.json_response({}, status=GONE)
        wait_s = int(request.query.get('waitMs', 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._after(kind, after):
                    await self._changed.wait()
        events = [
            b'{"object":%b,"deleted":%b}'
            % (entry, b'true' if is_deleted else b'false')
            for is_deleted, entry in self._after(kind, after)
        ]
        return _answer(
            b'{"events":[%b],"asOf":%d}' % (b','.join(events), self.revision)
        )

    def _after(self, kind: str, revision: int) -> list[tuple[bool, bytes]]:
        return [
            (is_deleted, entry)
            for at, held, _, is_deleted, entry in self._events
            if held == kind and at > revision
        ]

    async def _get(self, request: web.Request) -> web.Response:
        kind, name = _key(request)
        found = self._objects.get((kind, name))
        if found is None:
            return web.json_response({}, status=NOT_FOUND)
        return _answer(_encode(name, *found))

    async def _create(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        body = await request.json()
        name = body['metadata']['name']
        found = self._objects.get((kind, name))
        if found:
            return _answer(_encode(name, *found), status=CONFLICT)
        self.write(kind, name, body['spec'])
        return _answer(_encode(name, *self._objects[kind, name]))

    async def _replace(self, request: web.Request) -> web.Response:
        kind, name = _key(request)
        body = await request.json()
        found = self._objects.get((kind, name))
        if found is None:
            return web.json_response({}, status=NOT_FOUND)
        expected = body['metadata'].get('revision')
        if expected is not None and expected != found[0]:
            return _answer(_encode(name, *found), status=CONFLICT)
        self.write(kind, name, body['spec'])
        return _answer(_encode(name, *self._objects[kind, name]))


def _key(request: web.Request) -> tuple[str, str]:
    return request.match_info['kind'], request.match_info['name']


def _encode(name: str, revision: int, spec: bytes) -> bytes:
    return (
        b'{"metadata":{"name":%b,"revision":%d,"created":%d,'
        b'"finalizers":[],"deleting":false},"spec":%b,"status":null}'
        % (json.dumps(name).encode(), revision, revision, spec)
    )


def _answer(body: bytes, status: int = 200) -> web.Response:
    return web.Response(
        body=body, status=status, content_type='application/json'
    )
