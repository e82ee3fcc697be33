"""Base of stand-in servers that keep an entry in the stand-in store."""

import asyncio
import socket
import struct
from typing import Any

from tests.ports import HOST

from .standinstore import StandInStore


class RegisteredServer:
    """Listen on the loopback address; subclasses answer the requests."""

    def __init__(self, name: str, store: StandInStore) -> None:
        self.name = name
        self.store = store
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def is_serving(self) -> bool:
        return self._server is not None and self._server.is_serving()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        born = int(asyncio.get_running_loop().time() * 1000)
        await self._write_entry(state='ready', born=born)

    async def stop(self) -> None:
        self._server.close()

    def abort(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        self._server.close()
        for writer in self._writers:
            reset_connection(writer)

    async def _write_entry(self, **fields: Any) -> None:
        entry = {
            'service': 'svc',
            'address': f'{HOST}:{self.port}',
            'zone': 'z1',
            'slots': 20,
        }
        await self.store.write('servers', self.name, {**entry, **fields})

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
                lines = head.split('\r\n')[1:]
                fields = dict(line.split(': ', 1) for line in lines if line)
                await reader.readexactly(int(fields.get('content-length', 0)))
                await self._answer(fields, writer)
        except (EOFError, OSError):
            """The daemon has closed the connection, or the server crashed."""
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, fields: dict[str, str], writer) -> None:
        """Answer a request with the header fields, named in lower case."""
        raise NotImplementedError


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close the connection with a TCP reset, unless it is lost already."""
    sock = writer.get_extra_info('socket')
    # A handler that doesn't read notices a lost connection late, so its writer
    # may have a closed socket.
    if sock.fileno() == -1:
        return
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


def begin_stream(writer: asyncio.StreamWriter, attempt: str) -> None:
    writer.write(
        'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n'
        'Content-Type: text/event-stream\r\n'
        f'X-Oriolegauge-Attempt-Id: {attempt}\r\n'
        'X-Oriolegauge-Server-Signature: s\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'.encode()
    )


async def send_event(
    writer: asyncio.StreamWriter, number: int, text: str
) -> None:
    data = f'id: {number}\ndata: {text}\n\n'.encode()
    writer.write(b'%x\r\n%b\r\n' % (len(data), data))
    await writer.drain()


def end_stream(writer: asyncio.StreamWriter) -> None:
    writer.write(b'0\r\n\r\n')
