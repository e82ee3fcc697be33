"""Memory that the bodies of requests take together."""

import asyncio

import pytest

from .serverscripts import never_reply, reset
from .world import ScriptedServer, World, request_bytes

BODY = b'b' * 90_000
# Room for two bodies.
ROOM = 200_000


def chunked(body):
    whole = request_bytes('/once/x', body=body)
    head = whole.partition(b'\r\n\r\n')[0].replace(
        b'Content-Length: %d' % len(body), b'Transfer-Encoding: chunked'
    )
    return b'%b\r\n\r\n%x\r\n%b\r\n0\r\n\r\n' % (head, len(body), body)


async def hold_all_room(world):
    """Begin two requests whose server does not answer."""
    calls = [
        asyncio.create_task(world.call('/once/x', request_id=name, body=BODY))
        for name in ('h1', 'h2')
    ]
    async with asyncio.timeout(2):
        while len(world.servers[0].seen) < 2:
            await asyncio.sleep(0.01)
    return calls


async def cancel(calls):
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    await asyncio.sleep(0.05)


def full_world(*script):
    server = ScriptedServer(never_reply, never_reply, *script)
    return World(server, body_bytes=ROOM)


class TestBodiesWithoutRoom:
    @pytest.mark.parametrize(
        'raw', [request_bytes('/once/x', body=BODY), chunked(BODY)]
    )
    async def test_body_is_refused_as_not_run(self, raw):
        """Guards against a daemon that is ended for its memory."""
        async with full_world(ScriptedServer.plain) as world:
            calls = await hold_all_room(world)
            reader, writer = await world.connect()
            writer.write(raw)
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 2)
            writer.close()
            assert head.startswith(b'HTTP/1.1 503')
            assert b'Retry-After: 1.000' in head
            assert len(world.servers[0].seen) == 2
            await cancel(calls)

    async def test_body_is_refused_before_it_is_sent(self):
        """Guards against callers that send megabytes in vain."""
        async with full_world() as world:
            calls = await hold_all_room(world)
            reader, writer = await world.connect()
            raw = request_bytes('/once/x', body=BODY)
            writer.write(raw.partition(b'\r\n\r\n')[0] + b'\r\n\r\n')
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 2)
            writer.close()
            assert head.startswith(b'HTTP/1.1 503')
            await cancel(calls)

    async def test_small_bodies_are_served(self):
        """Guards against large bodies that keep all others out."""
        async with full_world(ScriptedServer.plain) as world:
            calls = await hold_all_room(world)
            answer = await world.call('/once/x', body=b'b' * 1000)
            assert ' 200 ' in answer.first_line
            await cancel(calls)


class TestRoomThatIsFreed:
    @pytest.mark.parametrize('script', [ScriptedServer.plain, reset])
    async def test_after_answers(self, script):
        """Guards against room that is lost with each request."""
        async with World(ScriptedServer(script), body_bytes=ROOM) as world:
            for _ in range(4):
                await world.call('/once/x', body=BODY)
            await asyncio.sleep(0.05)
            assert world.body_buffers.held == 0

    async def test_after_callers_left(self):
        """Guards against room of requests that nobody waits for."""
        async with full_world() as world:
            calls = await hold_all_room(world)
            await cancel(calls)
            assert world.body_buffers.held == 0

    async def test_after_callers_left_within_a_body(self):
        """Guards against room of requests that never become whole."""
        async with World(ScriptedServer(), body_bytes=ROOM) as world:
            _, writer = await world.connect()
            writer.write(request_bytes('/once/x', body=BODY)[:-10])
            await asyncio.sleep(0.05)
            assert world.body_buffers.held == len(BODY)
            writer.close()
            await asyncio.sleep(0.05)
            assert world.body_buffers.held == 0

    async def test_after_pipelined_requests(self):
        """Guards against room of requests that wait in a connection."""
        async with full_world() as world:
            _, writer = await world.connect()
            writer.write(2 * request_bytes('/once/x', body=BODY))
            await asyncio.sleep(0.1)
            assert world.body_buffers.held == 2 * len(BODY)
            writer.close()
            await asyncio.sleep(0.1)
            assert world.body_buffers.held == 0

    async def test_after_a_refusal(self):
        """Guards against room of a request that was refused halfway."""
        async with World(ScriptedServer(), body_bytes=ROOM) as world:
            reader, writer = await world.connect()
            writer.write(chunked(BODY)[:-5] + b'no size\r\n')
            await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 2)
            assert world.body_buffers.held == 0
            writer.close()
