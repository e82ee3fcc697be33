"""Connections to backend servers after exchanges that ended oddly."""

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
    async def test_unread_reply_is_not_left_to_the_next_request(self, server):
        """Guards against the body of a reply whose caller left in time.

        Found as MIXED on btbk-rota trouble-3: a daemon that woke from a freeze
        had the whole reply and the end of the caller's deadline at once.
        """
        connection = await connect(server)
        await connection.send(request_bytes('/safe/a', 'first'), 'first')
        await connection.head()
        await asyncio.sleep(0.05)
        connection.release()
        assert not connection.is_reusable

    async def test_whole_reply_makes_it_reusable(self, server):
        """Guards against a new connection per request."""
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

    async def test_bytes_that_nobody_asked_for_end_it(self, server):
        """Guards against reading a stray reply as the next answer."""
        connection = await connect(server)
        data = b'HTTP/1.1 200 OK\r\n\r\n'
        connection.get_buffer(len(data))[: len(data)] = data
        connection.buffer_updated(len(data))
        assert not connection.is_reusable

    async def test_closed_while_waiting_is_a_broken_reply(self):
        """Guards against taking a lost reply for 'not run'."""

        async def close(seen, writer):
            writer.close()

        scripted = ScriptedServer(close)
        await scripted.start()
        connection = await connect(scripted)
        await connection.send(request_bytes('/safe/a', 'r'), 'r')
        with pytest.raises(ReplyBrokenError):
            await connection.head()
        await scripted.stop()
