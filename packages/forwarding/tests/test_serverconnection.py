"""Reuse of connections to backend servers after abnormal exchanges."""

import asyncio

import pytest

from oriolegauge.forwarding.errors import ReplyBrokenError
from oriolegauge.forwarding.serverconnection import ServerConnection

from .world import HOST, NAMES, ScriptedServer, request_bytes


async def connect(server):
    return await ServerConnection.open(
        (HOST, server.port), NAMES.request_id, 1.0
    )


@pytest.fixture
async def server():
    scripted = ScriptedServer()
    await scripted.start()
    yield scripted
    await scripted.stop()


class TestServerConnection:
    async def test_unread_reply_prevents_reuse(self, server):
        """Guards against giving a caller the body of an earlier reply.

        A daemon that resumes after it was stopped can find the complete reply
        and the end of the caller's deadline at once, and leave the body unread.
        """
        connection = await connect(server)
        await connection.send(request_bytes('/safe/a', 'first'), 'first')
        await connection.head()
        await asyncio.sleep(0.05)
        connection.release()
        assert not connection.is_reusable

    async def test_complete_reply_allows_reuse(self, server):
        """Guards against opening a connection for each request."""
        connection = await connect(server)
        for name in ('first', 'second'):
            await connection.send(request_bytes('/safe/a', name), name)
            await connection.head()
            parts = []
            while (part := await connection.read()) is not None:
                parts.append(part)
            assert b''.join(parts) == b'ok'
            connection.release()
            assert connection.is_reusable

    async def test_unrequested_bytes_prevent_reuse(self, server):
        """Guards against taking an unmatched reply for the next answer."""
        connection = await connect(server)
        data = b'HTTP/1.1 200 OK\r\n\r\n'
        connection.get_buffer(len(data))[: len(data)] = data
        connection.buffer_updated(len(data))
        assert not connection.is_reusable

    async def test_close_before_reply_is_a_broken_reply(self):
        """Guards against reporting a request with a lost reply as not run."""

        async def close(seen, writer):
            writer.close()

        scripted = ScriptedServer(close)
        await scripted.start()
        connection = await connect(scripted)
        await connection.send(request_bytes('/safe/a', 'r'), 'r')
        with pytest.raises(ReplyBrokenError):
            await connection.head()
        await scripted.stop()
