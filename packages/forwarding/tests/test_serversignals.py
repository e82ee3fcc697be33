"""Servers whose replies state that they are leaving or full."""

import asyncio
import random

import pytest

from oriolegauge.forwarding import BackendServer
from oriolegauge.forwarding.leavinginstances import (
    UNLISTED_RETENTION_S,
    LeavingInstance,
    LeavingInstances,
    ServerInstance,
)
from oriolegauge.forwarding.serverdirectory import ServerDirectory
from oriolegauge.routing.serverpauses import ServerPauses

from .world import (
    ScriptedServer,
    World,
    chunk,
    event,
    reply,
    request_bytes,
    stream_head,
)

LEAVES = {'X_Server_Leaving': '1'}


async def success(seen, writer):
    writer.write(reply(seen, **LEAVES))


async def failure(seen, writer):
    writer.write(reply(seen, 500, **LEAVES))


async def refusal(seen, writer):
    writer.write(reply(seen, 503, signed=False, X_Not_Run='1', **LEAVES))


async def reply_to_another_request_first(seen, writer):
    other = type(seen)('', {'x-request-id': 'other'}, b'')
    writer.write(reply(other, **LEAVES))
    writer.write(reply(seen))


async def late_copy(seen, writer):
    writer.write(reply(seen))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.write(reply(seen, **LEAVES))


async def interim(seen, writer):
    writer.write(b'HTTP/1.1 103 Early Hints\r\nX-Server-Leaving: 1\r\n\r\n')
    writer.write(reply(seen))


async def unsigned(seen, writer):
    writer.write(reply(seen, signed=False, **LEAVES))


async def not_leaving(seen, writer):
    writer.write(reply(seen, X_Server_Leaving='0'))


async def misdirected(seen, writer):
    writer.write(reply(seen, 421, signed=False, **LEAVES))


async def streamed(seen, writer):
    head = stream_head(seen).replace(
        b'\r\n\r\n', b'\r\nX-Server-Leaving: 1\r\n\r\n'
    )
    writer.write(head + chunk(event(1)) + b'0\r\n\r\n')


async def send_requests(world, path='/safe/x', count=12):
    for number in range(count):
        await world.call(path, request_id=f'n{number}', body=b'b')


async def call_until_first_server_is_used(world, path):
    """Send requests until the first server has received one."""
    number = 0
    for name in ('s1', 's2'):
        world.chooser.connected(name, ok=False, now=world.now())
    while not world.servers[0].seen:
        number += 1
        await world.call(path, request_id=f'm{number}', body=b'b')
    await asyncio.sleep(0.05)
    return len(world.servers[0].seen)


class TestLeavingServers:
    @pytest.mark.parametrize(
        ('script', 'path'),
        [
            (success, '/safe/x'),
            (success, '/once/x'),
            (failure, '/safe/x'),
            (failure, '/once/x'),
            (refusal, '/once/x'),
            (reply_to_another_request_first, '/once/x'),
            (late_copy, '/safe/x'),
            (interim, '/safe/x'),
            (unsigned, '/once/x'),
            (streamed, '/chat/x'),
            (streamed, '/review/x'),
        ],
    )
    async def test_any_reply_that_announces_it_ends_new_work(
        self, script, path
    ):
        """Guards against new work for a leaving server listed as ready."""
        async with World(
            ScriptedServer(script), ScriptedServer(), ScriptedServer()
        ) as world:
            seen = await call_until_first_server_is_used(world, path)
            # The store still lists it as ready.
            world.list_servers()
            await send_requests(world)
            assert len(world.servers[0].seen) == seen

    @pytest.mark.parametrize('script', [not_leaving, misdirected])
    async def test_other_replies_do_not_mark_a_server_as_leaving(self, script):
        """Guards against marking a server by the reply of another one."""
        async with World(ScriptedServer(script), ScriptedServer()) as world:
            await call_until_first_server_is_used(world, '/safe/x')
            assert not len(world.leaving_instances)

    async def test_server_whose_address_is_reused_is_not_tried_again(self):
        """Guards against sending most requests to servers that are gone.

        12 servers that had crashed stayed listed for 4 s with no load, and
        1,150 requests reached those that had got their addresses.
        """
        async with World(
            ScriptedServer(misdirected), ScriptedServer()
        ) as world:
            await call_until_first_server_is_used(world, '/safe/x')
            await send_requests(world, count=30)
            assert len(world.servers[0].seen) == 1
            assert len(world.servers[1].seen) >= 30

    async def test_header_of_a_stream_marks_server_as_leaving(self):
        """Guards against reading the announcement only after a long stream."""
        release = asyncio.Event()

        async def endless(seen, writer):
            writer.write(
                stream_head(seen).replace(
                    b'\r\n\r\n', b'\r\nX-Server-Leaving: 1\r\n\r\n'
                )
                + chunk(event(1))
            )
            await writer.drain()
            await release.wait()

        async with World(ScriptedServer(endless)) as world:
            reader, writer = await world.connect()
            writer.write(request_bytes('/review/x', body=b'b'))
            await reader.readuntil(b'\r\n\r\n')
            answer = await world.call('/once/y', body=b'b')
            assert ' 503 ' in answer.first_line
            assert len(world.servers[0].seen) == 1
            release.set()
            writer.close()


def server(started_ms):
    return BackendServer(
        instance='s',
        service='svc',
        host='h',
        port=1,
        zone='z',
        started_ms=started_ms,
    )


def ignore_leaving_instance():
    """Ignore the instance: there are no peers."""


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class TestLeavingInstances:
    @pytest.fixture
    def clock(self):
        return Clock()

    def test_restarted_server_gets_new_work(self, clock):
        """Guards against excluding a server after its restart."""
        leaving_instances = LeavingInstances(clock, ignore_leaving_instance)
        directory = ServerDirectory(clock, leaving_instances)
        leaving_instances.note(ServerInstance('s', 1))
        directory.replace([server(1)], keep_missing_until=0)
        assert not directory.of_service('svc')
        directory.replace([server(2)], keep_missing_until=0)
        assert directory.of_service('svc')
        # An older list holds the previous run again.
        directory.replace([server(1)], keep_missing_until=0)
        assert not directory.of_service('svc')

    def test_restarted_daemon_learns_from_peers(self, clock):
        """Guards against using a leaving server after a daemon restart."""
        reported = LeavingInstances(clock, ignore_leaving_instance)
        restarted = LeavingInstances(clock, ignore_leaving_instance)
        reported.note(ServerInstance('s', 1))
        clock.now += 3 * UNLISTED_RETENTION_S
        reported.keep({ServerInstance('s', 1)})
        restarted.keep({ServerInstance('s', 1)})
        restarted.learn(reported.all(), 'peer')
        assert ServerInstance('s', 1) in restarted

    def test_forgotten_instance_is_not_learned_again(self, clock):
        """Guards against stale entries that daemons send each other forever."""
        first = LeavingInstances(clock, ignore_leaving_instance)
        second = LeavingInstances(clock, ignore_leaving_instance)
        first.note(ServerInstance('s', 1))
        second.learn(first.all(), 'first')
        clock.now += UNLISTED_RETENTION_S + 1
        first.keep(())
        first.learn(second.all(), 'second')
        assert not len(first)

    def test_leaving_instance_is_reported_once(self, clock):
        """Guards against an endless exchange of heartbeats."""
        news = []
        leaving_instances = LeavingInstances(
            clock, on_leaving_instance=lambda: news.append(1)
        )
        for _ in range(3):
            leaving_instances.note(ServerInstance('s', 1))
            leaving_instances.learn(
                [LeavingInstance(ServerInstance('s', 1), 0.5)], 'peer'
            )
        assert len(news) == 1


def full(retry_after):
    async def play(seen, writer):
        extra = {} if retry_after is None else {'Retry_After': retry_after}
        writer.write(reply(seen, 503, signed=False, X_Not_Run='1', **extra))

    return play


class TestFullServers:
    @pytest.mark.parametrize('pause', ['1.5', '2', '300000'])
    async def test_gets_no_requests_until_its_pause_ends(self, pause):
        """Guards against requests to a server before its Retry-After."""
        async with World(
            ScriptedServer(full(pause)), ScriptedServer(), ScriptedServer()
        ) as world:
            seen = await call_until_first_server_is_used(world, '/safe/x')
            until = asyncio.get_running_loop().time() + 0.3
            while asyncio.get_running_loop().time() < until:
                await send_requests(world, count=1)
            assert len(world.servers[0].seen) == seen

    @pytest.mark.parametrize(
        'pause', [None, '', 'abc', 'nan', '-3', '0', 'Fri, 04 Dec 2026']
    )
    async def test_absent_or_invalid_pauses_are_ignored(self, pause):
        """Guards against excluding a server forever."""
        async with World(ScriptedServer(full(pause))) as world:
            for number in range(3):
                await world.call('/once/x', request_id=f'r{number}', body=b'b')
            assert len(world.servers[0].seen) == 3

    async def test_gets_requests_after_the_pause(self):
        """Guards against pauses that never end."""
        async with World(
            ScriptedServer(full('0.3'), ScriptedServer.plain)
        ) as world:
            answer = await world.call('/once/x', body=b'b')
            assert ' 503 ' in answer.first_line
            await asyncio.sleep(0.35)
            answer = await world.call('/once/x', request_id='r2', body=b'b')
            assert ' 200 ' in answer.first_line

    async def test_callers_get_retry_after_of_first_pause_at_once(self):
        """Guards against waiting callers and too early or bunched retries."""
        async with World(
            ScriptedServer(full('2')), ScriptedServer(full('5'))
        ) as world:
            for number in range(8):
                await world.call('/safe/x', request_id=f'm{number}')
            sent = sum(len(one.seen) for one in world.servers)
            waits = []
            began = asyncio.get_running_loop().time()
            for number in range(20):
                answer = await world.call('/safe/x', request_id=f'n{number}')
                assert ' 503 ' in answer.first_line
                waits.append(float(answer.headers['retry-after']))
            assert asyncio.get_running_loop().time() - began < 0.5
            assert sum(len(one.seen) for one in world.servers) == sent
            assert min(waits) > 1.0
            assert max(waits) - min(waits) > 0.3

    async def test_full_reply_is_not_a_failure(self):
        """Guards against rating a full server as slow or failed."""
        async with World(
            ScriptedServer(full('0.1'), ScriptedServer.plain)
        ) as world:
            await world.call('/once/x', body=b'b')
            record = world.chooser._record('s0')
            assert record.failure_share == 0
            assert record.slowness == 1


class TestServerPauses:
    def test_longer_pause_stays_in_force(self):
        """Guards against a late reply that shortens the pause."""
        pauses = ServerPauses(random.Random(1))
        pauses.note('s', 5, 100)
        pauses.note('s', 1, 101)
        assert pauses.is_paused('s', 104)
        assert not pauses.is_paused('s', 105.1)
