"""Servers that fall silent, when a retry can be had and when not."""

import asyncio
import contextlib
import math
from dataclasses import replace

import pytest

from oriolegauge.forwarding import silencelimit, streamexchange

from .serverscripts import fail, never_reply
from .test_streamexchange import WHOLE, resumed
from .world import (
    ROUTES,
    ScriptedServer,
    World,
    chunk,
    event,
    reply,
    stream_head,
)

# The limits of an attempt are 0.25 s for streams and 0.6 s for calls.
TIMEOUT_S = 1.5
SILENCE_S = 0.9
PATHS = '/chat/x', '/safe/x'


def routes(max_attempts=2):
    return tuple(
        replace(
            one,
            timeout_s=TIMEOUT_S,
            max_attempts=max_attempts,
            longest_pause_s=0.05,
        )
        for one in ROUTES
    )


@pytest.fixture(autouse=True)
def _short_limits(monkeypatch):
    monkeypatch.setattr(streamexchange, 'MIN_STALL_TIMEOUT_S', 0.25)
    monkeypatch.setattr(silencelimit, 'ASK_AGAIN_S', 0.2)


async def silent_before_head(seen, writer):
    await asyncio.sleep(SILENCE_S)
    if seen.first_line.startswith('POST /chat/'):
        await resumed(seen, writer)
    else:
        await ScriptedServer.plain(seen, writer)


async def silent_between_events(seen, writer):
    writer.write(stream_head(seen) + chunk(event(1)) + chunk(event(2)))
    await writer.drain()
    await asyncio.sleep(SILENCE_S)
    for number in (3, 4, 5):
        writer.write(chunk(event(number)))
    writer.write(b'0\r\n\r\n')


async def silent_in_failure(seen, writer):
    whole = reply(seen, 500, b'the engine has failed')
    writer.write(whole[:-6])
    await writer.drain()
    await asyncio.sleep(SILENCE_S)
    writer.write(whole[-6:])


async def never_again(seen, writer):
    writer.write(stream_head(seen) + chunk(event(1)) + chunk(event(2)))
    await writer.drain()
    await asyncio.sleep(10)


class SilentWorld(World):
    """Send requests first to a silent server, and only then to another."""

    def __init__(self, script, *, others=1, max_attempts=2, credit=1.0):
        super().__init__(
            ScriptedServer(script),
            *(ScriptedServer(resumed_or_plain) for _ in range(others)),
            routes=routes(max_attempts),
            credit=credit,
        )
        self.ended = []

    async def __aenter__(self):
        await super().__aenter__()
        for number in range(1, len(self.servers)):
            self.chooser.connected(f's{number}', ok=False, now=math.inf)
        record = self.chooser.ended

        def ended(name, *arguments, ok, **others):
            self.ended.append((name, ok))
            record(name, *arguments, ok=ok, **others)

        self.chooser.ended = ended
        return self

    def begin(self, path):
        body = b'p' if path.startswith('/chat/') else b''
        return asyncio.create_task(self.call(path, body=body))

    async def until_sent(self):
        async with asyncio.timeout(1):
            while not self.servers[0].seen:
                await asyncio.sleep(0.01)


async def resumed_or_plain(seen, writer):
    if seen.first_line.startswith('POST /chat/'):
        await resumed(seen, writer)
    else:
        await ScriptedServer.plain(seen, writer)


async def nothing(world):
    """Leave the other servers as they are."""


async def pause_others(world):
    world.pauses.hold('s1', 10, world.now())


async def stop_others(world):
    await world.servers[1].stop()


HINDRANCES = [
    pytest.param({'credit': 0}, nothing, id='no-credit'),
    pytest.param({'others': 0}, nothing, id='no-other-server'),
    pytest.param({}, pause_others, id='others-paused'),
    pytest.param({}, stop_others, id='others-unreachable'),
    pytest.param({'max_attempts': 1}, nothing, id='no-attempt-left'),
]


async def answer_without_retry(path, script, options, hinder):
    """Return the answer and the recorded ends of attempts."""
    async with SilentWorld(script, **options) as world:
        call = world.begin(path)
        await world.until_sent()
        await hinder(world)
        answer = await call
        assert all(not server.seen for server in world.servers[1:])
        # A stream ends in the daemon just after its caller has read it.
        await asyncio.sleep(0.01)
        return answer, world.ended


@pytest.mark.parametrize(('options', 'hinder'), HINDRANCES)
class TestSilenceWithoutRetry:
    @pytest.mark.parametrize('path', PATHS)
    async def test_late_reply_is_used(self, path, options, hinder):
        """Guards against 502 although the server would have answered."""
        answer, ended = await answer_without_retry(
            path, silent_before_head, options, hinder
        )
        assert ' 200 ' in answer.first_line
        assert answer.body == (WHOLE if path == '/chat/x' else b'ok')
        assert ended == [('s0', True)]

    async def test_stream_goes_on_after_a_silence(self, options, hinder):
        """Guards against streams broken off although the server goes on."""
        answer, ended = await answer_without_retry(
            '/chat/x', silent_between_events, options, hinder
        )
        assert answer.body == WHOLE
        assert ended == [('s0', True)]

    async def test_late_failure_is_passed_on(self, options, hinder):
        """Guards against 502 in place of the server's own failure."""
        answer, _ = await answer_without_retry(
            '/chat/x', silent_in_failure, options, hinder
        )
        assert ' 500 ' in answer.first_line
        assert answer.body == b'the engine has failed'


class TestSilenceWithRetry:
    @pytest.mark.parametrize(
        ('path', 'script'),
        [
            ('/chat/x', never_reply),
            ('/safe/x', never_reply),
            ('/chat/x', never_again),
            ('/chat/x', silent_in_failure),
        ],
    )
    async def test_one_retry_is_taken_for_the_next_attempt(self, path, script):
        """Guards against waiting to the end, and a retry taken twice."""
        async with SilentWorld(script) as world:
            answer = await world.begin(path)
            await asyncio.sleep(0.01)
            assert answer.body == (WHOLE if path == '/chat/x' else b'ok')
            assert len(world.servers[1].seen) == 1
            assert world.ended == [('s0', False), ('s1', True)]
            assert not world.retries.may_retry('svc')
            assert not world.pool.in_use(('127.0.0.1', world.servers[0].port))

    @pytest.mark.parametrize('path', PATHS)
    async def test_retry_that_was_not_sent_is_given_back(self, path):
        """Guards against credit spent while no other server is reachable."""
        async with SilentWorld(silent_before_head) as world:
            call = world.begin(path)
            await world.until_sent()
            await stop_others(world)
            await call
            assert world.retries.may_retry('svc')
            assert not world.retries.may_retry('svc')

    @pytest.mark.parametrize('path', PATHS)
    async def test_failure_is_passed_on_if_the_retry_is_not_sent(self, path):
        """Guards against 502 in place of the server's own failure."""
        async with SilentWorld(fail) as world:
            await stop_others(world)
            answer = await world.begin(path)
            assert answer.body == b'broken'
            assert world.retries.may_retry('svc')

    @pytest.mark.parametrize(
        ('path', 'script'),
        [
            ('/chat/x', never_reply),
            ('/safe/x', never_reply),
            ('/chat/x', never_again),
        ],
    )
    async def test_credit_regained_later_is_used(self, path, script):
        """Guards against asking for a retry only once."""
        async with SilentWorld(script, credit=0) as world:
            call = world.begin(path)
            await asyncio.sleep(0.7)
            assert not world.servers[1].seen
            world.credit = 1
            for _ in range(6):
                world.retries.request('svc')
            answer = await call
            assert answer.body == (WHOLE if path == '/chat/x' else b'ok')

    async def test_last_attempt_has_all_the_time_left(self):
        """Guards against an end at the limit after the last attempt."""
        async with SilentWorld(never_reply) as world:
            world.servers[1].script = [silent_before_head]
            answer = await world.begin('/chat/x')
            assert answer.body == WHOLE

    @pytest.mark.parametrize(
        ('path', 'script'),
        [
            ('/chat/x', never_reply),
            ('/safe/x', never_reply),
            ('/chat/x', never_again),
        ],
    )
    async def test_silence_until_the_deadline_counts_as_failure(
        self, path, script
    ):
        """Guards against a frozen server that keeps getting requests."""
        async with SilentWorld(script, credit=0) as world:
            began = world.now()
            with contextlib.suppress(asyncio.IncompleteReadError, ValueError):
                await world.begin(path)
            assert world.now() - began > TIMEOUT_S - 0.1
            await asyncio.sleep(0.01)
            assert world.ended == [('s0', False)]
