"""Requests by HEAD, whose answers have no body, whatever their header says."""

import asyncio

import pytest

from oriolegauge.core.errors import ForbiddenError

from .world import ScriptedServer, World, reply, request_bytes

DEADLINE_MS = '600'


async def with_length(seen, writer):
    """State the length of the body for GET, and send none."""
    writer.write(reply(seen, body=b'x' * 40)[:-40])


async def with_chunks(seen, writer):
    whole = reply(seen).replace(
        b'Content-Length: 2', b'Transfer-Encoding: chunked'
    )
    writer.write(whole.partition(b'\r\n\r\n')[0] + b'\r\n\r\n')


async def without_length(seen, writer):
    whole = reply(seen).replace(b'Content-Length: 2\r\n', b'')
    writer.write(whole.partition(b'\r\n\r\n')[0] + b'\r\n\r\n')


async def with_body(seen, writer):
    """Send a body against the protocol."""
    writer.write(reply(seen, body=b'x' * 40))


async def no_content(seen, writer):
    whole = reply(seen, 204).replace(b'Content-Length: 2\r\n', b'')
    writer.write(whole.partition(b'\r\n\r\n')[0] + b'\r\n\r\n')


async def ask_twice(world, path, *, method='HEAD', **headers):
    """Ask by the method and then by GET; return both headers and the rest."""
    reader, writer = await world.connect()
    heads = []
    for name, target in ((method, path), ('GET', '/open/x')):
        writer.write(
            request_bytes(
                target, method=name, X_Deadline_Ms=DEADLINE_MS, **headers
            )
        )
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 2)
        heads.append(head.decode())
    await asyncio.sleep(0.05)
    writer.close()
    return (*heads, reader._buffer)


class TestAnswersOfServers:
    @pytest.mark.parametrize(
        'script', [with_length, with_chunks, without_length, with_body]
    )
    @pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
    async def test_header_is_the_whole_answer(self, script, path):
        """Guards against 504 for a body that never comes."""
        server = ScriptedServer(script, ScriptedServer.plain)
        async with World(server) as world:
            first, second, rest = await ask_twice(world, path)
        assert first.startswith('HTTP/1.1 200')
        assert second.startswith('HTTP/1.1 200')
        assert rest == b'ok'

    async def test_stated_length_is_passed_on(self):
        """Guards against the length of an empty body."""
        server = ScriptedServer(with_length, ScriptedServer.plain)
        async with World(server) as world:
            first, _, _ = await ask_twice(world, '/safe/x')
        assert 'Content-Length: 40' in first

    async def test_stream_route_answers_by_the_header(self):
        """Guards against 502 for a stream without events."""
        server = ScriptedServer(without_length, ScriptedServer.plain)
        async with World(server) as world:
            first, second, rest = await ask_twice(world, '/review/x')
        assert first.startswith('HTTP/1.1 200')
        assert second.startswith('HTTP/1.1 200')
        assert rest == b'ok'

    @pytest.mark.parametrize('method', ['HEAD', 'GET'])
    async def test_answer_without_content_has_no_length(self, method):
        """Guards against a length beside 204, which no answer may state."""
        server = ScriptedServer(no_content, ScriptedServer.plain)
        async with World(server) as world:
            first, second, rest = await ask_twice(
                world, '/safe/x', method=method
            )
        assert first.startswith('HTTP/1.1 204')
        assert 'content-length' not in first.lower()
        assert second.startswith('HTTP/1.1 200')
        assert rest == b'ok'


class TestRefusals:
    async def test_refusal_has_no_body(self):
        """Guards against bytes where the caller's next answer is due."""
        async with World(ScriptedServer()) as world:
            world.budget.error = ForbiddenError('no tokens are left')
            for path in ('/review/x', '/nowhere/x'):
                first, second, rest = await ask_twice(world, path)
                assert first.startswith('HTTP/1.1 4')
                assert 'Content-Length: ' in first
                assert second.startswith('HTTP/1.1 200')
                assert rest == b'ok'

    async def test_rejection_by_servers_has_no_body(self):
        """Guards against a body behind the header of 503."""

        async def full(seen, writer):
            writer.write(
                reply(seen, 503, signed=False, X_Not_Run='1', body=b'')
            )

        server = ScriptedServer(full, ScriptedServer.plain)
        async with World(server) as world:
            first, second, rest = await ask_twice(world, '/once/x')
        assert first.startswith('HTTP/1.1 503')
        assert float(first.partition('Retry-After: ')[2].split()[0]) > 0
        assert second.startswith('HTTP/1.1 200')
        assert rest == b'ok'
