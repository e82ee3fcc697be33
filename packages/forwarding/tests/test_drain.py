"""Requests that arrive or run while a daemon drains."""

import asyncio
import socket

import pytest

from .serverscripts import never_reply, request_count
from .world import (
    HOST,
    ScriptedServer,
    World,
    chunk,
    event,
    read_message,
    reply,
    request_bytes,
    stream_head,
)

PATHS = ('/once/x', '/safe/x', '/review/x')


async def endless_stream(seen, writer):
    writer.write(stream_head(seen))
    number = 0
    while True:
        number += 1
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.02)


async def wait_for_ever(*_):
    await asyncio.Event().wait()


def unread_request(world, path='/safe/x'):
    """Return a socket with a request that the daemon has not read yet."""
    sock = socket.create_connection((HOST, world.port))
    sock.sendall(request_bytes(path, Connection='close'))
    return sock


class TestLateRequests:
    @pytest.mark.parametrize('path', PATHS)
    async def test_request_that_may_outlast_the_stop_is_refused(self, path):
        """Guards against passing on requests that are cut at the end."""
        async with World(ScriptedServer()) as world:
            world.drain(refuses_from=0, answers_until=1)
            answer = await asyncio.wait_for(world.call(path, body=b'p'), 0.5)
            assert ' 503 ' in answer.first_line
            assert b'"run_state":"not_run"' in answer.body
            assert 0 < float(answer.headers['retry-after']) < 1
            assert answer.headers['connection'] == 'close'
            assert not request_count(world)

    async def test_request_that_ends_in_time_is_served(self):
        """Guards against refusing requests that can be answered."""
        async with World(ScriptedServer()) as world:
            world.drain(refuses_from=0, answers_until=1)
            answer = await world.call('/once/x', X_Deadline_Ms='800')
            assert ' 200 ' in answer.first_line

    async def test_request_read_whole_late_is_served(self):
        """Guards against cutting a request whose body still arrives."""
        async with World(ScriptedServer()) as world:
            reader, writer = await world.connect()
            data = request_bytes('/once/x', body=b'order')
            writer.write(data[:-1])
            await asyncio.sleep(0.05)
            world.drain()
            world.listener.close_idle()
            await asyncio.sleep(0.05)
            writer.write(data[-1:])
            answer = await asyncio.wait_for(read_message(reader), 1)
            assert ' 200 ' in answer.first_line
            writer.close()

    async def test_unfinished_request_is_refused_at_the_end(self):
        """Guards against cutting a slow sender without an answer."""
        async with World(ScriptedServer()) as world:
            reader, writer = await world.connect()
            writer.write(request_bytes('/once/x', body=b'order')[:-1])
            await asyncio.sleep(0.05)
            world.drain()
            world.listener.refuse_unfinished()
            answer = await asyncio.wait_for(read_message(reader), 1)
            assert ' 503 ' in answer.first_line
            assert float(answer.headers['retry-after'])
            writer.close()


class TestPipelined:
    async def test_request_behind_one_given_up_is_refused(self):
        """Guards against dropping or running it after the stop."""
        async with World(ScriptedServer(never_reply)) as world:
            reader, writer = await world.connect()
            writer.write(request_bytes('/once/x', 'r0'))
            writer.write(request_bytes('/once/x', 'r1'))
            await asyncio.sleep(0.05)
            world.drain(refuses_from=0.1, answers_until=0.2)
            for status in (' 504 ', ' 503 '):
                answer = await asyncio.wait_for(read_message(reader), 1)
                assert status in answer.first_line
            assert request_count(world) == 1
            writer.close()


class TestEnd:
    @pytest.mark.parametrize('path', PATHS)
    @pytest.mark.parametrize('is_late', [False, True])
    async def test_request_at_a_server_gets_an_answer(self, path, is_late):
        """Guards against cutting a request whose outcome is unknown."""
        async with World(ScriptedServer(never_reply)) as world:
            if is_late:
                world.drain(answers_until=0.2)
            call = asyncio.create_task(world.call(path, body=b'p'))
            if not is_late:
                await asyncio.sleep(0.05)
                world.drain(answers_until=0.2)
            answer = await asyncio.wait_for(call, 1)
            assert ' 504 ' in answer.first_line
            assert b'"run_state":"unknown"' in answer.body
            assert answer.headers['connection'] == 'close'
            assert request_count(world) == 1

    @pytest.mark.parametrize('resource', ['tokens', 'permits', 'loads'])
    async def test_waiting_request_is_refused_as_not_run(self, resource):
        """Guards against cutting a request that no server has got."""
        async with World(ScriptedServer()) as world:
            match resource:
                case 'tokens':
                    world.budget.reserve = wait_for_ever
                case 'permits':
                    world.permits.acquire = wait_for_ever
                case 'loads':
                    world.loads.refresh = wait_for_ever
            call = asyncio.create_task(world.call('/review/x', body=b'p'))
            await asyncio.sleep(0.05)
            world.drain(answers_until=0.2)
            answer = await asyncio.wait_for(call, 1)
            assert ' 503 ' in answer.first_line
            assert b'"run_state":"not_run"' in answer.body
            assert float(answer.headers['retry-after'])
            assert not request_count(world)
            assert not any(used for _, used in world.budget.settled)

    async def test_begun_stream_is_broken_off(self):
        """Guards against a cut stream that looks whole."""
        async with World(ScriptedServer(endless_stream)) as world:
            call = asyncio.create_task(world.call('/review/x', body=b'p'))
            await asyncio.sleep(0.05)
            world.drain(answers_until=0.1)
            with pytest.raises((EOFError, ConnectionError, ValueError)):
                await asyncio.wait_for(call, 1)

    async def test_whole_answer_reaches_a_slow_reader(self):
        """Guards against cutting an answer that waits for its reader."""
        body = b'x' * 7_000_000

        async def large(seen, writer):
            writer.write(reply(seen, body=body))

        async with World(ScriptedServer(large)) as world:
            sock = unread_request(world)
            await asyncio.sleep(0.2)
            world.drain(answers_until=0)
            await asyncio.sleep(0.1)
            reader, writer = await asyncio.open_connection(sock=sock)
            answer = await asyncio.wait_for(read_message(reader), 2)
            assert answer.body == body
            writer.close()
