"""Servers that say that they leave or are full."""

import asyncio
import random

import pytest

from oriolegauge.forwarding import BackendServer
from oriolegauge.forwarding.leavinginstances import (
    KEPT_UNLISTED_S,
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


async def answer_of_another(seen, writer):
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


async def call_often(world, path='/safe/x', count=12):
    for number in range(count):
        await world.call(path, request_id=f'n{number}', body=b'b')


async def meet_first(world, path):
    """Send requests until the first server has seen one."""
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
            (answer_of_another, '/once/x'),
            (late_copy, '/safe/x'),
            (interim, '/safe/x'),
            (unsigned, '/once/x'),
            (streamed, '/chat/x'),
            (streamed, '/review/x'),
        ],
    )
    async def test_any_answer_that_says_so_ends_new_work(self, script, path):
        """Guards against work for a server that the store calls ready."""
        async with World(
            ScriptedServer(script), ScriptedServer(), ScriptedServer()
        ) as world:
            seen = await meet_first(world, path)
            # The store still lists it as ready.
            world.show_servers()
            await call_often(world)
            assert len(world.servers[0].seen) == seen

    @pytest.mark.parametrize('script', [not_leaving, misdirected])
    async def test_answers_that_do_not_say_so_change_nothing(self, script):
        """Guards against losing a server by what another one said."""
        async with World(ScriptedServer(script), ScriptedServer()) as world:
            await meet_first(world, '/safe/x')
            assert not len(world.leaving_instances)

    async def test_first_byte_of_a_stream_is_enough(self):
        """Guards against waiting for the end of a long stream."""
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


def ignore_news():
    """Nobody is to be told."""


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class TestLeavingInstances:
    @pytest.fixture
    def clock(self):
        return Clock()

    def test_new_start_of_the_server_may_work(self, clock):
        """Guards against leaving out a server that came back."""
        leaving_instances = LeavingInstances(clock, ignore_news)
        directory = ServerDirectory(clock, leaving_instances)
        leaving_instances.note(ServerInstance('s', 1))
        directory.replace([server(1)], keep_missing_until=0)
        assert not directory.of_service('svc')
        directory.replace([server(2)], keep_missing_until=0)
        assert directory.of_service('svc')
        # An older list shows the old life again.
        directory.replace([server(1)], keep_missing_until=0)
        assert not directory.of_service('svc')

    def test_peers_tell_a_daemon_that_has_restarted(self, clock):
        """Guards against a restart that brings a leaving server back."""
        told = LeavingInstances(clock, ignore_news)
        restarted = LeavingInstances(clock, ignore_news)
        told.note(ServerInstance('s', 1))
        clock.now += 3 * KEPT_UNLISTED_S
        told.keep({ServerInstance('s', 1)})
        restarted.keep({ServerInstance('s', 1)})
        restarted.learn(told.all(), 'peer')
        assert ServerInstance('s', 1) in restarted

    def test_forgotten_server_does_not_come_back_from_peers(self, clock):
        """Guards against beliefs that go round among daemons for ever."""
        first = LeavingInstances(clock, ignore_news)
        second = LeavingInstances(clock, ignore_news)
        first.note(ServerInstance('s', 1))
        second.learn(first.all(), 'first')
        clock.now += KEPT_UNLISTED_S + 1
        first.keep(())
        first.learn(second.all(), 'second')
        assert not len(first)

    def test_news_is_told_once(self, clock):
        """Guards against heartbeats that answer one another."""
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
    async def test_gets_nothing_until_its_pause_is_over(self, pause):
        """Guards against asking a full server that has said when to ask."""
        async with World(
            ScriptedServer(full(pause)), ScriptedServer(), ScriptedServer()
        ) as world:
            seen = await meet_first(world, '/safe/x')
            until = asyncio.get_running_loop().time() + 0.3
            while asyncio.get_running_loop().time() < until:
                await call_often(world, count=1)
            assert len(world.servers[0].seen) == seen

    @pytest.mark.parametrize(
        'pause', [None, '', 'abc', 'nan', '-3', '0', 'Fri, 04 Dec 2026']
    )
    async def test_absent_or_absurd_pauses_hold_nothing_back(self, pause):
        """Guards against a server that is left out for ever."""
        async with World(ScriptedServer(full(pause))) as world:
            for number in range(3):
                await world.call('/once/x', request_id=f'r{number}', body=b'b')
            assert len(world.servers[0].seen) == 3

    async def test_work_comes_back_after_the_pause(self):
        """Guards against pauses that do not end."""
        async with World(
            ScriptedServer(full('0.3'), ScriptedServer.plain)
        ) as world:
            answer = await world.call('/once/x', body=b'b')
            assert ' 503 ' in answer.first_line
            await asyncio.sleep(0.35)
            answer = await world.call('/once/x', request_id='r2', body=b'b')
            assert ' 200 ' in answer.first_line

    async def test_callers_hear_at_once_when_the_first_pause_ends(self):
        """Guards against callers that wait, or return too early or together."""
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

    async def test_hint_is_no_failure(self):
        """Guards against a full server that is taken for a slow or bad one."""
        async with World(
            ScriptedServer(full('0.1'), ScriptedServer.plain)
        ) as world:
            await world.call('/once/x', body=b'b')
            record = world.chooser._record('s0')
            assert record.failure_share == 0
            assert record.slowness == 1


class TestServerPauses:
    def test_longer_pause_holds(self):
        """Guards against a late answer that shortens the pause."""
        pauses = ServerPauses(random.Random(1))
        pauses.note('s', 5, 100)
        pauses.note('s', 1, 101)
        assert pauses.is_paused('s', 104)
        assert not pauses.is_paused('s', 105.1)
