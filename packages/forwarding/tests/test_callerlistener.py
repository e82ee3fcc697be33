"""Listening socket of a daemon whose host link is congested."""

import asyncio
import socket

import pytest

from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.forwarding.callerlistener import CallerListener
from oriolegauge.forwarding.forwardingconfig import CallerLimits

HOST = '127.0.0.1'
REQUEST = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


async def answer_ok(_, answer):
    await answer.send_whole(200, (), b'ok')


async def ask(port):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(REQUEST)
    head = await reader.readuntil(b'\r\n\r\n')
    return head, reader, writer


class TestCallerListener:
    async def make(self, **options):
        listener = CallerListener(
            handler=answer_ok,
            limits=CallerLimits,
            max_connections=10,
            buffers=ByteBudget(0),
            **options,
        )
        return listener, await listener.listen(HOST, 0)

    async def test_answers_close_connections_on_congested_link(self):
        """Guards against callers that stay on a congested host link."""
        listener, port = await self.make(may_keep_open=lambda: False)
        head, reader, writer = await ask(port)
        assert b'Connection: close' in head
        assert await reader.read() == b'ok'
        writer.close()
        listener.close()

    @pytest.mark.parametrize('ticks', range(6))
    async def test_connections_in_the_queue_are_served(self, ticks):
        """Guards against resets of connections that the kernel accepted."""
        listener, port = await self.make()
        socks = [socket.create_connection((HOST, port)) for _ in range(5)]
        for sock in socks:
            sock.sendall(REQUEST)
        for _ in range(ticks):
            await asyncio.sleep(0)
        listener.close()
        for sock in socks:
            reader, writer = await asyncio.open_connection(sock=sock)
            line = await asyncio.wait_for(reader.readline(), 1)
            assert b' 200 ' in line
            writer.close()
        with pytest.raises(ConnectionError):
            await asyncio.open_connection(HOST, port)
