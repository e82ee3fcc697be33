"""Places at servers that fall over if they reject too many requests."""

import asyncio

import pytest

from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.forwarding.serverconnection import ServerConnection

from .serverscripts import cut_reply, fail, reject, reset
from .world import (
    HOST,
    ScriptedServer,
    World,
    chunk,
    event,
    reply,
    request_bytes,
    reset_connection,
    stream_head,
)

SLOTS = 8
BRITTLE = {'X_Server_Brittle': '3'}


async def brittle(seen, writer):
    writer.write(reply(seen, **BRITTLE))


async def brittle_rejection(seen, writer):
    writer.write(reply(seen, 503, signed=False, X_Not_Run='1', **BRITTLE))


async def cut_stream(seen, writer):
    writer.write(stream_head(seen) + chunk(event(1)))
    await writer.drain()
    reset_connection(writer)


async def late(seen, writer):
    await asyncio.sleep(0.1)
    writer.write(reply(seen, **BRITTLE))


class CountingServer(ScriptedServer):
    """Be brittle, and hold all requests after the first one."""

    def __init__(self, *script):
        super().__init__(brittle, *script)
        self.running = 0
        self.most = 0
        self.release = asyncio.Event()
        self.script.append(self._hold)

    async def _hold(self, seen, writer):
        self.running += 1
        self.most = max(self.most, self.running)
        await self.release.wait()
        self.running -= 1
        writer.write(reply(seen, **BRITTLE))


async def call_many(world, path, count):
    return [
        asyncio.create_task(world.call(path, request_id=f'r{number}'))
        for number in range(count)
    ]


def statuses(answers):
    return [answer.first_line.split()[1] for answer in answers]


class TestBoundOfRequests:
    @pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
    async def test_server_gets_no_more_than_its_slots(self, path):
        """Guards against rejections that make a server fall over."""
        server = CountingServer()
        async with World(server) as world:
            await world.call('/safe/x')
            calls = await call_many(world, path, 3 * SLOTS)
            await asyncio.sleep(0.1)
            server.release.set()
            answers = await asyncio.gather(*calls)
        assert server.most == SLOTS
        assert sorted(statuses(answers)) == ['200'] * 8 + ['503'] * 16
        waits = [
            float(answer.headers['retry-after'])
            for answer in answers
            if 'retry-after' in answer.headers
        ]
        assert len(waits) == 16
        assert min(waits) > 0

    async def test_requests_from_before_count(self):
        """Guards against places that ignore what already runs."""
        server = CountingServer()
        server.script = [server._hold, brittle, server._hold]
        async with World(server) as world:
            first = await call_many(world, '/safe/x', 1)
            await asyncio.sleep(0.05)
            await world.call('/safe/x', request_id='teaches')
            calls = await call_many(world, '/safe/x', 2 * SLOTS)
            await asyncio.sleep(0.1)
            server.release.set()
            await asyncio.gather(*first, *calls)
        assert server.most == SLOTS

    async def test_bound_ends_with_the_replies(self):
        """Guards against a service that stays bounded for ever."""
        server = CountingServer()
        server.script = [brittle, ScriptedServer.plain, server._hold]
        async with World(server) as world:
            for _ in range(2):
                await world.call('/safe/x')
            calls = await call_many(world, '/safe/x', 2 * SLOTS)
            await asyncio.sleep(0.1)
            server.release.set()
            answers = await asyncio.gather(*calls)
        assert statuses(answers) == ['200'] * 2 * SLOTS


class TestPlacesThatAreFreedAgain:
    @pytest.mark.parametrize(
        ('path', 'failure'),
        [
            ('/once/x', fail),
            ('/once/x', reset),
            ('/once/x', cut_reply),
            ('/once/x', reject),
            ('/once/x', brittle_rejection),
            ('/safe/x', reset),
            ('/review/x', cut_stream),
        ],
    )
    async def test_after_failures(self, path, failure):
        """Guards against places that are lost with failed requests."""
        server = ScriptedServer(brittle, *([failure] * 2 * SLOTS), brittle)
        async with World(server, credit=0) as world:
            await world.call('/safe/x')
            for _ in range(2 * SLOTS):
                await self._try(world, path)
            server.script = [brittle]
            assert len(server.seen) > SLOTS
            answer = await world.call('/safe/x')
        assert statuses([answer]) == ['200']

    @staticmethod
    async def _try(world, path):
        try:
            await world.call(path)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            """The answer of a stream is cut too."""

    async def test_after_callers_left(self):
        """Guards against places of callers that wait no longer."""
        server = ScriptedServer(brittle, *([late] * 2 * SLOTS), brittle)
        async with World(server) as world:
            await world.call('/safe/x')
            for number in range(2 * SLOTS):
                _, writer = await world.connect()
                writer.write(request_bytes('/safe/x', f'r{number}'))
                await asyncio.sleep(0.01)
                writer.close()
            await asyncio.sleep(0.2)
            answer = await world.call('/safe/x')
        assert statuses([answer]) == ['200']

    async def test_after_deadlines(self):
        """Guards against places of requests whose time has passed."""
        server = ScriptedServer(brittle, *([late] * 2 * SLOTS), brittle)
        async with World(server) as world:
            await world.call('/safe/x')
            for _ in range(2 * SLOTS):
                await world.call('/safe/x', X_Deadline_Ms='20')
            answer = await world.call('/safe/x')
        assert statuses([answer]) == ['200']

    async def test_after_refused_connections(self):
        """Guards against places of requests that no server accepted."""
        server = ScriptedServer(brittle)
        async with World(server) as world:
            await world.call('/safe/x')
            await server.stop()
            world.pool.prune(())
            for _ in range(2 * SLOTS):
                await world.call('/once/x')
            server._server = await asyncio.start_server(
                server._serve, HOST, server.port
            )
            answer = await world.call('/once/x')
        assert statuses([answer]) == ['200']

    async def test_after_connections_closed_before_the_request(
        self, monkeypatch
    ):
        """Guards against places of requests that were not sent."""
        failures = iter(range(2 * SLOTS))
        send = ServerConnection.send

        async def fail_to_send(connection, *request):
            if next(failures, None) is None:
                await send(connection, *request)
                return
            raise ServerUnreachableError('closed')

        async with World(ScriptedServer(brittle)) as world:
            await world.call('/safe/x')
            monkeypatch.setattr(ServerConnection, 'send', fail_to_send)
            for _ in range(2 * SLOTS):
                await world.call('/once/x')
            answer = await world.call('/once/x')
        assert statuses([answer]) == ['200']
