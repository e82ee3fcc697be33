"""Peers, proxies and links for the tests of this package."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable

import aiohttp
import aiohttp.web

from oriolegauge.core.errors import NotFoundError
from oriolegauge.wire import (
    LinkLimits,
    PeerLink,
    PeerServer,
    Sender,
)
from oriolegauge.wire.messages import (
    Chunk,
    Forward,
    Head,
    JournalQuery,
    Recall,
    Reserve,
    ReserveAnswer,
)

SERVER = Sender('d2', 'inc2')
CLIENT = Sender('d1', 'inc1')
# Random, so that it stays long when it is compressed.
LONG_TEXT = random.Random(1).randbytes(4000).hex()
FORWARD = Forward(method='POST', path='/v1/completions', body=b'{}')


def reserve(tokens: int = 5, request_id: str = 'r1') -> Reserve:
    return Reserve(
        reservation_id='x',
        asker='d1',
        budget='b',
        request_id=request_id,
        tokens=tokens,
        minimum=1,
    )


class Peer:
    """Answer by message type; record received messages and finished work.

    A `Recall` and the end of a stream wait until `may_finish` is set.
    """

    def __init__(self) -> None:
        self.received: list[object] = []
        self.finished: list[str] = []
        self.may_finish = asyncio.Event()
        self.chunks = 3
        self.chunk = b'x' * 100

    async def handle(self, sender: Sender, message):
        self.received.append((sender, message))
        match message:
            case Reserve(tokens=tokens):
                return ReserveAnswer('x', tokens, 'd1/1')
            case Recall():
                await self.may_finish.wait()
                self.finished.append('recall')
                return None
            case JournalQuery():
                raise NotFoundError('no such holder')
            case Forward():
                return self.parts()
        return None

    async def parts(self) -> AsyncIterator[object]:
        try:
            yield Head(status=200)
            for _ in range(self.chunks):
                yield Chunk(self.chunk)
            await self.may_finish.wait()
            yield Chunk(b'last')
            self.finished.append('stream')
        finally:
            self.finished.append('closed')


class Proxy:
    """Forward TCP connections; `cut` aborts all of them."""

    def __init__(self, port: int) -> None:
        self.target = port
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.pipe, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]

    async def pipe(self, reader, writer) -> None:
        there = await asyncio.open_connection('127.0.0.1', self.target)
        self.writers += [writer, there[1]]
        await asyncio.gather(
            self.copy(reader, there[1]), self.copy(there[0], writer)
        )

    async def copy(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.close()

    def cut(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


@contextlib.asynccontextmanager
async def running_server(
    handler: Callable, *, limits: LinkLimits | None = None, **options
) -> AsyncIterator[int]:
    server = PeerServer(
        sender=lambda: SERVER,
        handler=handler,
        is_member=lambda name: name in {'d1', 'd2'},
        limits=limits,
        **options,
    )
    try:
        yield await server.listen('127.0.0.1', 0)
    finally:
        await server.close()


@contextlib.asynccontextmanager
async def open_link(
    port: int,
    *,
    sender: Sender = CLIENT,
    scheme: str = 'ws',
    wait: bool = True,
    **options,
) -> AsyncIterator[PeerLink]:
    async with aiohttp.ClientSession() as session:
        link = PeerLink(
            peer='d2',
            url=f'{scheme}://127.0.0.1:{port}/link',
            session=session,
            sender=lambda: sender,
            **options,
        )
        task = asyncio.create_task(link.run())
        try:
            if wait:
                await link.wait_connected(5)
            yield link
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)
