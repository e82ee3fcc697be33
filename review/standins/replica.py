"""Stand-in of a backend server."""

import asyncio
import contextlib
import time
from dataclasses import dataclass

from .store import Store


@dataclass(frozen=True, slots=True)
class Run:
    """State when (loop time, s) a server began to work on an attempt."""

    attempt: str
    server: str
    at: float
    sent_by: str


class Replica:
    """Answer requests with a signature and keep an entry in the store.

    A request takes `work_s`. On paths with `/stream/` it gets `events` events
    at intervals of `pause_s`.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        runs: list[Run],
        *,
        zone: str = 'z1',
        slots: int = 6,
        work_s: float = 0.02,
        events: int = 10,
        pause_s: float = 0.02,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.events = events
        self.pause_s = pause_s
        self.address = ''
        self._store = store
        self._runs = runs
        self._server: asyncio.Server | None = None
        self._sequence = 0
        self._born = int(time.time() * 1000)

    async def start(self, host: str, port: int = 0) -> None:
        """Listen, and register as ready."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = '{}:{}'.format(*self._server.sockets[0].getsockname())
        self.report('ready')

    def report(self, state: str) -> int:
        """Write the entry with the state; return the store's revision."""
        self._sequence += 1
        return self._store.write(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': '1',
                'slots': self.slots,
                'state': state,
                'coldLeftMs': 0,
                'sequence': self._sequence,
                'born': self._born,
            },
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._server:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info('peername')[0]
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                await self._answer(head, peer, reader, writer)
        writer.close()

    async def _answer(
        self,
        head: str,
        peer: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        first, *lines = head.split('\r\n')
        fields = {
            name.lower(): text
            for name, _, text in (line.partition(': ') for line in lines)
        }
        await reader.readexactly(int(fields.get('content-length', 0)))
        attempt = fields.get('x-oriolegauge-attempt-id', '')
        target = fields.get('x-oriolegauge-target-instance', self.name)
        if target != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\n'
                f'X-Oriolegauge-Attempt-Id: {attempt}\r\n'
                f'X-Oriolegauge-Instance-Id: {self.name}\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return
        now = asyncio.get_running_loop().time()
        self._runs.append(Run(attempt, self.name, now, peer))
        await asyncio.sleep(self.work_s)
        base = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Oriolegauge-Attempt-Id: {attempt}\r\n'
            f'X-Oriolegauge-Server-Signature: {self.name}.{attempt}\r\n'
            'Keep-Alive: timeout=5\r\n'
        )
        if '/stream/' not in first:
            body = f'{self.name} ran {attempt}'
            writer.write(
                f'{base}Content-Length: {len(body)}\r\n\r\n{body}'.encode()
            )
            await writer.drain()
            return
        writer.write(
            f'{base}Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        began = int(fields.get('last-event-id', 0))
        for number in range(began + 1, self.events + 1):
            data = f'id: {number}\ndata: {attempt}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b'0\r\n\r\n')
