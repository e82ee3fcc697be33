"""Callers that send malformed, slow or oversized requests, or read slowly."""

import asyncio
import contextlib
import socket
import time
from dataclasses import replace

import pytest

from oriolegauge.core import sockets
from oriolegauge.forwarding import CallerLimits

from .world import (
    HOST,
    ROUTES,
    ScriptedServer,
    World,
    chunk,
    event,
    read_message,
    reply,
    request_bytes,
    stream_head,
)

LIMITS = CallerLimits(
    max_header_bytes=2_000,
    max_body_bytes=5_000,
    header_timeout_s=0.3,
    idle_timeout_s=0.5,
)
HEAD = b'POST /once/x HTTP/1.1\r\nHost: host.example\r\n'


async def answer_slowly(seen, writer):
    await asyncio.sleep(0.2)
    writer.write(reply(seen))


class TestRefusedInput:
    @pytest.mark.parametrize(
        ('data', 'status'),
        [
            (b'NONSENSE\r\n\r\n', 400),
            (b'GET /safe/x HTTP/1.1\r\n\r\n', 400),
            (HEAD + b'Host: other.example\r\n\r\n', 400),
            (HEAD + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc', 400),
            (
                HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n'
                b'\r\n0\r\n\r\n',
                400,
            ),
            (HEAD + b'Transfer-Encoding: gzip\r\n\r\n', 400),
            (HEAD + b'X-A : b\r\n\r\n', 400),
            (HEAD + b'X-A: ' + b'a' * 3_000 + b'\r\n\r\n', 431),
            (HEAD + b'X-A: ' + b'a' * 3_000, 431),
            (HEAD + b'Content-Length: 6000\r\n\r\n', 413),
            (
                HEAD
                + b'Transfer-Encoding: chunked\r\n\r\n'
                + chunk(b'a' * 6_000),
                413,
            ),
            (
                HEAD + b'Transfer-Encoding: chunked\r\n\r\n1;' + b'e' * 3_000,
                431,
            ),
            (
                HEAD
                + b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nT: '
                + b't' * 3_000,
                431,
            ),
            (HEAD, 408),
            (HEAD + b'Content-Length: 10\r\n\r\nabc', 408),
            (b'GET http://a.example/x HTTP/1.1\r\nHost: a\r\n\r\n', 400),
        ],
    )
    async def test_gets_its_status_and_closes_only_its_connection(
        self, data, status
    ):
        """Guards against smuggled, oversized and slow requests."""
        server = ScriptedServer()
        async with World(server, limits=LIMITS) as world:
            other_reader, other = await world.connect()
            other.write(request_bytes('/safe/x', 'other'))
            await read_message(other_reader)
            reader, writer = await world.connect()
            writer.write(data)
            answer = await asyncio.wait_for(read_message(reader), 2)
            assert f' {status} ' in answer.first_line
            assert answer.headers['connection'] == 'close'
            assert await asyncio.wait_for(reader.read(), 2) == b''
            assert [seen.request_id for seen in server.seen] == ['other']
            writer.close()
            other.close()

    async def test_smuggled_request_is_not_run(self):
        """Guards against a second request hidden in a malformed one."""
        server = ScriptedServer()
        hidden = request_bytes('/once/hidden', 'hidden', b'x')
        async with World(server, limits=LIMITS) as world:
            reader, writer = await world.connect()
            writer.write(
                HEAD
                + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
                + b'0\r\n\r\n'
                + hidden
            )
            answer = await read_message(reader)
            assert ' 400 ' in answer.first_line
            assert not server.seen
            writer.close()


class TestPipelining:
    async def test_requests_are_answered_in_order(self):
        """Guards against answers in the wrong order on one connection."""
        server = ScriptedServer()
        async with World(server) as world:
            reader, writer = await world.connect()
            for number in range(20):
                writer.write(request_bytes('/safe/x', f'r{number}'))
            for number in range(20):
                answer = await asyncio.wait_for(read_message(reader), 2)
                assert answer.headers['x-request-id'] == f'r{number}'
            writer.close()

    async def test_chunked_body_is_forwarded_complete(self):
        """Guards against forwarding a changed body."""
        server = ScriptedServer()
        async with World(server) as world:
            reader, writer = await world.connect()
            head = request_bytes('/once/x', method='POST')[:-2]
            writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
            for part in (b'one', b'two', b'three'):
                writer.write(chunk(part))
                await asyncio.sleep(0.01)
            writer.write(b'0\r\nX-Trailer: t\r\n\r\n')
            await read_message(reader)
            assert server.seen[0].body == b'onetwothree'
            assert 'x-trailer' not in server.seen[0].headers
            writer.close()


class TestEndOfIdleTime:
    @pytest.mark.parametrize('begun', [0, 10])
    async def test_request_in_the_last_moment_is_answered(self, begun):
        """Guards against a whole request without an answer or a refusal."""
        limits = CallerLimits(idle_timeout_s=0.3, header_timeout_s=0.3)
        async with World(ScriptedServer(), limits=limits) as world:
            sock = socket.create_connection((HOST, world.port))
            data = request_bytes('/once/x')
            sock.sendall(data[:begun])
            await asyncio.sleep(0.2)
            sock.sendall(data[begun:])
            # The loop sees the bytes and the end of the time in one turn.
            time.sleep(0.2)  # noqa: ASYNC251
            reader, writer = await asyncio.open_connection(sock=sock)
            answer = await asyncio.wait_for(read_message(reader), 1)
            assert ' 200 ' in answer.first_line
            writer.close()


class TestDrain:
    async def test_open_answers_complete_and_idle_connections_close(self):
        """Guards against a shutdown that interrupts requests."""

        async def slow(seen, writer):
            writer.write(stream_head(seen))
            for number in range(1, 5):
                writer.write(chunk(event(number)))
                await asyncio.sleep(0.1)
            writer.write(b'0\r\n\r\n')

        async with World(ScriptedServer(slow)) as world:
            idle_reader, idle = await world.connect()
            reader, writer = await world.connect()
            writer.write(request_bytes('/review/x', body=b'p'))
            await asyncio.sleep(0.15)
            world.listener.drain()
            assert await asyncio.wait_for(idle_reader.read(), 1) == b''
            answer = await asyncio.wait_for(read_message(reader), 2)
            assert answer.body.count(b'data:') == 4
            assert await asyncio.wait_for(reader.read(), 1) == b''
            writer.close()
            idle.close()

    async def test_request_after_the_start_of_a_drain_is_served(self):
        """Guards against dropping requests that the balancer still sends."""
        async with World(ScriptedServer()) as world:
            world.listener.drain()
            answer = await world.call('/safe/x')
            assert ' 200 ' in answer.first_line
            assert answer.headers['connection'] == 'close'

    async def test_request_not_read_yet_is_served(self):
        """Guards against a reset of a request in the kernel's buffer."""
        async with World(ScriptedServer()) as world:
            sock = socket.create_connection((HOST, world.port))
            await asyncio.sleep(0.05)
            sock.sendall(request_bytes('/safe/x'))
            world.listener.drain()
            reader, writer = await asyncio.open_connection(sock=sock)
            answer = await asyncio.wait_for(read_message(reader), 1)
            assert ' 200 ' in answer.first_line
            writer.close()

    async def test_next_request_of_an_open_connection_is_served(self):
        """Guards against dropping a request that arrives as its turn comes."""
        async with World(ScriptedServer()) as world:
            reader, writer = await world.connect()
            writer.write(request_bytes('/safe/x', 'first'))
            await asyncio.wait_for(read_message(reader), 1)
            data = request_bytes('/safe/x', 'second')
            for part in (data[:10], data[10:-1], data[-1:]):
                writer.write(part)
                await asyncio.sleep(0.05)
                world.listener.drain()
            answer = await asyncio.wait_for(read_message(reader), 1)
            assert answer.request_id == 'second'
            writer.close()

    async def test_request_behind_another_is_answered(self):
        """Guards against dropping requests that were read whole."""
        async with World(ScriptedServer(answer_slowly)) as world:
            reader, writer = await world.connect()
            writer.write(request_bytes('/once/x', 'r0'))
            await asyncio.sleep(0.05)
            world.listener.drain()
            writer.write(request_bytes('/once/x', 'r1'))
            writer.write(request_bytes('/once/x', 'r2'))
            for name in ('r0', 'r1', 'r2'):
                answer = await asyncio.wait_for(read_message(reader), 1)
                assert ' 200 ' in answer.first_line
                assert answer.request_id == name
                is_last = name == 'r2'
                assert ('connection' in answer.headers) == is_last
            assert await asyncio.wait_for(reader.read(), 1) == b''
            writer.close()


class TestBackPressure:
    async def test_slow_reader_pauses_the_server(self):
        """Guards against buffering a whole stream for a slow caller."""
        written = 0

        async def endless(seen, writer):
            nonlocal written
            writer.write(stream_head(seen))
            for number in range(1, 3_000):
                data = chunk(b'id: %d\ndata: %b\n\n' % (number, b'x' * 20_000))
                writer.write(data)
                await writer.drain()
                written += len(data)

        async with World(ScriptedServer(endless)) as world:
            _, writer = await world.connect()
            writer.write(request_bytes('/review/x', body=b'p'))
            await asyncio.sleep(0.7)
            assert written < 30_000_000
            writer.transport.abort()
            await asyncio.sleep(0.1)
            assert not world.forwarder.running


class TestSlowReaders:
    """Callers that read an answer with pauses, through a small window."""

    # More than the kernel holds for a connection.
    ANSWER = b'x' * 8_000_000

    @pytest.fixture(autouse=True)
    def _short_times(self, monkeypatch):
        monkeypatch.setattr(sockets, 'UNACKED_TIMEOUT_MS', 400)

    @contextlib.asynccontextmanager
    async def asked(self, idle_timeout_s):
        """Ask for the answer on a connection with a small window."""

        async def long_answer(seen, writer):
            writer.write(reply(seen, body=self.ANSWER))

        limits = CallerLimits(idle_timeout_s=idle_timeout_s)
        routes = tuple(replace(route, timeout_s=30.0) for route in ROUTES)
        async with World(
            ScriptedServer(long_answer), limits=limits, routes=routes
        ) as world:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(
                sock, (HOST, world.port)
            )
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=4_096
            )
            writer.write(request_bytes('/once/x'))
            yield reader
            writer.close()

    @staticmethod
    async def read_rest(reader, most=10**9):
        """Return the number of bytes read until the connection ends."""
        count = 0
        with contextlib.suppress(ConnectionError, TimeoutError):
            while count < most:
                async with asyncio.timeout(5):
                    part = await reader.read(65_536)
                if not part:
                    break
                count += len(part)
        return count

    async def test_answer_outlasts_a_pause(self):
        """Guards against a cut of callers that pause and read on."""
        async with self.asked(idle_timeout_s=5) as reader:
            await asyncio.sleep(1.5)
            assert await self.read_rest(reader) > len(self.ANSWER)

    async def test_answer_is_not_cut_while_it_moves(self):
        """Guards against a time limit for callers that read slowly."""
        async with self.asked(idle_timeout_s=1.2) as reader:
            count = 0
            for _ in range(6):
                count += await self.read_rest(reader, 400_000)
                await asyncio.sleep(0.4)
            assert count + await self.read_rest(reader) > len(self.ANSWER)

    async def test_answer_is_cut_if_nothing_is_read(self):
        """Guards against callers that hold an answer for ever."""
        async with self.asked(idle_timeout_s=0.6) as reader:
            await asyncio.sleep(2)
            assert await self.read_rest(reader) < len(self.ANSWER)
