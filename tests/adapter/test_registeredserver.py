"""Base of the stand-in servers of these tests."""

import asyncio

import pytest

from tests.ports import HOST

from .registeredserver import RegisteredServer, reset_connection


class WaitingServer(RegisteredServer):
    """Wait in each answer until the server is aborted."""

    def __init__(self, store):
        super().__init__('s0', store)
        self.begun = asyncio.Semaphore(0)

    async def _answer(self, fields, writer):
        self.begun.release()
        await asyncio.Event().wait()


class TestAbort:
    async def test_connection_lost_within_an_answer_is_passed_over(
        self, stand_in
    ):
        """Guards against OSError 9, after which no connection is reset."""
        server = WaitingServer(stand_in)
        await server.start()
        ends = []
        for _ in range(3):
            reader, writer = await asyncio.open_connection(HOST, server.port)
            writer.write(b'GET / HTTP/1.1\r\n\r\n')
            ends.append((reader, writer))
        for _ in ends:
            await asyncio.wait_for(server.begun.acquire(), 2)
        (_, lost), *others = ends
        reset_connection(lost)
        await asyncio.sleep(0.05)
        server.abort()
        for reader, writer in others:
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.read(), 2)
            writer.close()
