"""Stand-in of a server that keeps an entry in the store."""

import asyncio
import contextlib
import time

from .fleet import free_port
from .httpwire import Message, encode, read_head
from .store import Store

HOST = '127.0.0.1'


class Replica:
    """Answer requests one at a time on each connection."""

    def __init__(self, store: Store, name: str, service: str = 'app') -> None:
        """Serve the service under the id `name`."""
        self.store = store
        self.name = name
        self.service = service
        self.slots = 32
        self.port = 0
        self.born = int(time.time() * 1000)
        self.arrivals: list[tuple[float, str]] = []
        self.ran: list[str] = []
        self.read_delay_s = 0.0
        self.read_bytes = 65536
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and write the entry."""
        self.port = free_port(HOST)
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.register()

    def register(self, state: str = 'ready') -> None:
        """Write the entry in the store."""
        self.store.write(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': f'{HOST}:{self.port}',
                'zone': 'z1',
                'version': 'v1',
                'slots': self.slots,
                'state': state,
                'coldLeftMs': 0,
                'sequence': 1,
                'born': self.born,
            },
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._server:
            self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(EOFError, OSError, asyncio.CancelledError):
            while True:
                request = await read_head(reader)
                await self._read_body(request, reader)
                attempt = request.headers.get('x-oriolegauge-attempt-id', '')
                self.arrivals.append((time.monotonic(), attempt))
                await self.answer(request, attempt, writer)
                await writer.drain()
        writer.close()

    async def _read_body(self, request: Message, reader) -> None:
        left = int(request.headers.get('content-length', 0))
        while left:
            part = await reader.read(min(left, self.read_bytes))
            if not part:
                raise EOFError
            left -= len(part)
            request.pieces.append(part)
            if self.read_delay_s:
                await asyncio.sleep(self.read_delay_s)

    async def answer(self, request: Message, attempt: str, writer) -> None:
        """Run the request and answer it."""
        self.ran.append(attempt)
        writer.write(self.success(attempt, b'done ' + attempt.encode()))

    def success(self, attempt: str, body: bytes) -> bytes:
        """Return a signed success."""
        return encode(
            'HTTP/1.1 200 OK',
            {
                'X-Oriolegauge-Attempt-Id': attempt,
                'X-Oriolegauge-Server-Signature': f's.{attempt}',
                'Keep-Alive': 'timeout=5',
            },
            body,
        )
