"""Detection of servers that crash while they run requests."""

import asyncio
from types import SimpleNamespace

import pytest

from oriolegauge.forwarding import crashdetector
from oriolegauge.forwarding.errors import ServerUnreachableError
from oriolegauge.routing.connectfailure import ConnectFailure
from oriolegauge.routing.crashquarantine import QuarantinedError
from oriolegauge.routing.crashsuspects import SAME_CAUSE_S, CrashSuspects

from .world import (
    HOST,
    ScriptedServer,
    World,
    chunk,
    event,
    reply,
    reset_connection,
    stream_head,
)

PARTS = 'first:40,deadly:30,own:30'
SHARED = {'part:first', 'part:deadly'}


async def lost_answer(seen, writer):
    reset_connection(writer)


async def whole_stream(seen, writer):
    writer.write(stream_head(seen))
    for number in (1, 2, 3):
        writer.write(chunk(event(number)))
    writer.write(b'0\r\n\r\n')


class CrashingServer(ScriptedServer):
    """Stop listening and reset all connections when a request starts."""

    def __init__(self, *script):
        super().__init__(*script, self.crash)
        self.writers = []

    async def crash(self, seen, writer):
        await self.stop()
        for one in (*self.writers, writer):
            reset_connection(one)

    async def crash_after_events(self, seen, writer):
        writer.write(stream_head(seen))
        for number in (1, 2, 3):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.02)
        await self.crash(seen, writer)

    async def two_events(self, seen, writer):
        self.writers.append(writer)
        writer.write(stream_head(seen) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(chunk(event(2)))
        await writer.drain()
        await asyncio.sleep(2)


async def review(world, request_id, parts=PARTS):
    return await world.call(
        '/review/x', request_id=request_id, X_Prompt_Parts=parts
    )


async def review_broken(world, request_id):
    """Ask for a stream that breaks off."""
    with pytest.raises(ValueError, match='invalid literal'):
        await review(world, request_id)


async def wait_for_crash(world):
    async with asyncio.timeout(2):
        while world.suspects.is_empty:
            await asyncio.sleep(0.01)


class TestCrashDetector:
    async def test_request_without_answer_at_a_crash_is_reported(self):
        """Guards against crashes that no request is connected with."""
        async with World(CrashingServer()) as world:
            answer = await review(world, 'r1')
            await wait_for_crash(world)
        assert ' 502 ' in answer.first_line
        [crash] = world.suspects.all()
        assert crash.server == 's0'
        assert crash.suspects >= SHARED
        [whole] = crash.suspects - SHARED
        assert whole.startswith('request:')

    async def test_lost_answer_of_a_running_server_is_no_crash(self):
        """Guards against suspects of answers that were lost on the way."""
        async with World(ScriptedServer(lost_answer)) as world:
            answer = await review(world, 'r1')
            await asyncio.sleep(0.1)
        assert ' 502 ' in answer.first_line
        assert world.suspects.is_empty

    async def test_stream_that_has_begun_is_no_suspect(self):
        """Guards against blaming sound streams of a crashed server."""
        server = CrashingServer()
        server.script.insert(0, server.two_events)
        async with World(server) as world:
            sound = asyncio.create_task(
                review(world, 'r1', 'first:40,sound:30,own:30')
            )
            await asyncio.sleep(0.2)
            await review(world, 'r2')
            await wait_for_crash(world)
            await asyncio.gather(sound, return_exceptions=True)
        [crash] = world.suspects.all()
        assert 'part:sound' not in crash.suspects
        assert 'part:deadly' in crash.suspects

    async def test_leaving_server_that_stops_is_no_crash(self):
        """Guards against suspects of a planned stop."""
        server = CrashingServer()
        async with World(server) as world:

            async def leave_and_crash(seen, writer):
                world.list_servers(leaving=('s0',))
                await server.crash(seen, writer)

            server.script = [leave_and_crash]
            await review(world, 'r1')
            await asyncio.sleep(0.1)
        assert world.suspects.is_empty

    async def test_stream_lost_in_the_middle_is_suspect_itself(self):
        """Guards against a request that crashes servers after some events."""
        server = CrashingServer()
        server.script = [server.crash_after_events]
        async with World(server) as world:
            await review_broken(world, 'r1')
            await wait_for_crash(world)
        [crash] = world.suspects.all()
        [only] = crash.suspects
        assert only.startswith('request:')

    async def test_stream_that_crashes_servers_after_events_is_held(self):
        """Guards against a request that crashes server after server."""
        servers = [CrashingServer() for _ in range(4)]
        for server in servers:
            server.script = [server.crash_after_events]
        async with World(*servers, credit=0) as world:
            for number in range(2):
                await review_broken(world, f'r{number}')
                await asyncio.sleep(SAME_CAUSE_S + 0.1)
            answer = await review(world, 'r3')
        assert ' 503 ' in answer.first_line
        assert b'"run_state":"not_run"' in answer.body
        assert sum(len(server.seen) for server in servers) == 2

    async def test_whole_stream_is_no_suspect_any_more(self):
        """Guards against sound streams that are held for one crash."""
        server = CrashingServer()
        server.script = [server.crash_after_events, whole_stream]
        async with World(server) as world:
            await review_broken(world, 'r1')
            await wait_for_crash(world)
            server._server = await asyncio.start_server(
                server._serve, HOST, server.port
            )
            answer = await review(world, 'r2')
            assert ' 200 ' in answer.first_line
            await asyncio.sleep(0.05)
        [crash] = world.suspects.all()
        assert crash.suspects <= crash.cleared

    @pytest.mark.parametrize('is_rejecting', [True, False])
    async def test_fall_after_rejections_is_no_crash(self, is_rejecting):
        """Guards against suspects of a server that bears few rejections."""

        async def first(seen, writer):
            status = 503 if is_rejecting else 200
            not_run = {'X_Not_Run': '1'} if is_rejecting else {}
            writer.write(reply(seen, status, X_Server_Brittle='3', **not_run))

        server = CrashingServer(first)
        async with World(server, credit=0) as world:
            await world.call('/safe/x')
            await review(world, 'r1')
            await asyncio.sleep(0.1)
        assert len(server.seen) == 2
        assert world.suspects.is_empty == is_rejecting

    async def test_request_that_crashed_two_servers_is_refused_as_not_run(self):
        """Guards against a held request that reaches a further server."""
        servers = [CrashingServer() for _ in range(3)]
        async with World(*servers) as world:
            for number in range(2):
                await review(world, f'r{number}')
                async with asyncio.timeout(2):
                    while len(world.suspects.all()) <= number:
                        await asyncio.sleep(0.01)
                await asyncio.sleep(SAME_CAUSE_S)
            answer = await review(world, 'r3')
        assert ' 503 ' in answer.first_line
        assert b'"run_state":"not_run"' in answer.body
        assert float(answer.headers['retry-after']) > 1
        assert sum(len(server.seen) for server in servers) == 2

    async def test_sound_request_with_the_same_first_part_is_served(self):
        """Guards against refusing all requests that share a part."""
        servers = [CrashingServer(), CrashingServer(), ScriptedServer()]
        async with World(*servers) as world:
            for crash in ('s0', 's1'):
                world.suspects.note(
                    (crash, 1), frozenset(('part:first', 'part:deadly'))
                )
                await asyncio.sleep(SAME_CAUSE_S)
            for server in servers[:2]:
                await server.stop()
            answer = await review(world, 'r1', 'first:40,sound:30,own:30')
            held = await review(world, 'r2')
        assert ' 200 ' in answer.first_line
        assert ' 503 ' in held.first_line


class CrashedServers:
    """Refuse all connections."""

    async def probe(self, server):
        raise ServerUnreachableError('refused', ConnectFailure.REFUSED)


class TestRetries:
    async def test_retry_waits_until_the_crash_is_known(self, monkeypatch):
        """Guards against a retry that is sent before its server is checked."""
        monkeypatch.setattr(crashdetector, 'fingerprints', frozenset)
        loop = asyncio.get_running_loop()
        detector = crashdetector.CrashDetector(
            probe=CrashedServers(),
            suspects=CrashSuspects(
                clock=loop.time,
                has_turn=lambda _: True,
                on_change=lambda: None,
            ),
        )
        retried, other = ['request:a', 'part:p'], ['request:b', 'part:p']
        for number in range(2):
            await detector.check(retried)
            server = SimpleNamespace(
                instance=f's{number}',
                started_ms=1,
                server_instance=(f's{number}', 1),
            )
            detector.note_lost(server, retried)
        began_at = loop.time()
        await detector.check(other)
        assert loop.time() - began_at < crashdetector.CHECK_DELAY_S / 2
        with pytest.raises(QuarantinedError):
            await detector.check(retried)
