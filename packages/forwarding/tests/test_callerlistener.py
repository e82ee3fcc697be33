"""Listening socket of a daemon whose host link is congested."""

import asyncio

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
