"""Stand-in of the platform's metadata store, by the users' PROTOCOL.md."""

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from .httpwire import encode, read_message

BASE = '/oriolegauge/objects/'
REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone'}


class Store:
    """Keep objects by kind and name, with one revision for all."""

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self.revision = 1
        self.port = 0
        self.calls = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server:
            self._server.close()

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object, as the operator or a server does."""
        found = self.objects.get((kind, name))
        if found and found['spec'] == spec:
            return self.revision
        self.revision += 1
        created = found['metadata']['created'] if found else self.revision
        entry = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': found['status'] if found else None,
        }
        self.objects[kind, name] = entry
        self._note(kind, entry, is_deleted=False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.pop((kind, name), None)
        if found:
            self.revision += 1
            self._note(kind, found, is_deleted=True)

    def _note(self, kind: str, entry: Any, *, is_deleted: bool) -> None:
        self.events.append((self.revision, kind, is_deleted, entry))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                request = await read_message(reader)
                status, answer = await self._answer(request)
                self.calls += 1
                writer.write(
                    encode(
                        f'HTTP/1.1 {status} {REASONS[status]}',
                        {'Content-Type': 'application/json'},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request) -> tuple[int, Any]:
        method, target, _ = request.start.split()
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        kind, _, name = url.path.removeprefix(BASE).partition('/')
        body = json.loads(request.body) if request.body else {}
        if method == 'GET' and not name:
            if 'watch' in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query)
        if method == 'POST':
            return self._create(kind, body)
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        if method == 'GET':
            return 200, found
        expected = body.get('metadata', {}).get('revision')
        if expected not in {None, found['metadata']['revision']}:
            return 409, found
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, found
        self.write(kind, name, body['spec'])
        return 200, self.objects[kind, name]

    def _create(self, kind: str, body: Any) -> tuple[int, Any]:
        name = body['metadata']['name']
        if (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        self.write(kind, name, body['spec'])
        return 200, self.objects[kind, name]

    def _list(self, kind: str, query: dict[str, str]) -> Any:
        after = query.get('after', '')
        names = sorted(
            name for held, name in self.objects if held == kind and name > after
        )
        return {
            'items': [self.objects[kind, name] for name in names[:500]],
            'hasMore': len(names) > 500,
            'asOf': self.revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> Any:
        after = int(query['watch'])
        if after > self.revision:
            return 410, {}
        wait_s = int(query.get('waitMs', 0)) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._after(kind, after):
                    await self._changed.wait()
        return 200, {'events': self._after(kind, after), 'asOf': self.revision}

    def _after(self, kind: str, after: int) -> list[Any]:
        return [
            {'object': entry, 'deleted': is_deleted}
            for revision, held, is_deleted, entry in self.events
            if held == kind and revision > after
        ]
