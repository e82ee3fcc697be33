"""Promises to callers while backend servers fail in every way."""

import asyncio
import math

import pytest

from .serverscripts import (
    encoded,
    fail,
    garbage,
    hang,
    misdirected,
    of_another,
    reject,
    reset,
    sent,
    truncate,
    unframed,
    unframed_reset,
    unmarked_503,
    unsigned,
)
from .world import (
    ScriptedServer,
    Seen,
    World,
    read_message,
    reply,
    request_bytes,
)


class TestBusyHost:
    async def test_refusal_by_the_host_link_is_true_and_says_when_to_return(
        self,
    ):
        """Guards against a request that runs after it was refused."""
        async with World(ScriptedServer()) as world:
            world.link.sent(1_000_000_000)
            answer = await world.call('/once/x', body=b'order')
            assert ' 429 ' in answer.first_line
            assert float(answer.headers['retry-after']) > 0
            assert sent(world) == 0


class TestNonIdempotent:
    @pytest.mark.parametrize(
        'script',
        [reset, truncate, garbage, unsigned, encoded, unframed_reset],
    )
    async def test_doubt_is_502_and_never_sent_again(self, script):
        """Guards against a second run, and against a false 'not run'."""
        async with World(ScriptedServer(script), ScriptedServer()) as world:
            world.chooser.connected('s1', ok=False, now=math.inf)
            answer = await world.call('/once/x', body=b'order')
            assert ' 502 ' in answer.first_line
            assert sent(world) == 1

    async def test_unmarked_503_is_not_passed_on(self):
        """Guards against a promise that the server did not make."""
        async with World(ScriptedServer(unmarked_503)) as world:
            answer = await world.call('/once/x', body=b'order')
            assert ' 502 ' in answer.first_line

    async def test_rejection_is_503_with_retry_after(self):
        """Guards against an unsure answer where the promise is certain."""
        async with World(ScriptedServer(reject)) as world:
            answer = await world.call('/once/x', body=b'order')
            assert ' 503 ' in answer.first_line
            assert float(answer.headers['retry-after']) > 0
            assert 'x-server-signature' not in answer.headers
            assert sent(world) == 1

    async def test_dead_server_is_replaced_before_anything_was_sent(self):
        """Guards against failing a request that no server has seen."""
        dead, alive = ScriptedServer(), ScriptedServer()
        async with World(dead, alive) as world:
            await dead.stop()
            for number in range(6):
                answer = await world.call(
                    '/once/x', request_id=f'r{number}', body=b'order'
                )
                assert ' 200 ' in answer.first_line

    async def test_own_failure_of_the_server_is_passed_on(self):
        """Guards against changing what the server said."""
        async with World(ScriptedServer(fail)) as world:
            answer = await world.call('/once/x', body=b'order')
            assert ' 500 ' in answer.first_line
            assert answer.body == b'broken'
            assert answer.headers['x-server-signature'] == 'sig'

    async def test_no_time_left_is_504(self):
        """Guards against holding a request past its deadline."""
        async with World(ScriptedServer(hang)) as world:
            began = asyncio.get_running_loop().time()
            answer = await world.call(
                '/once/x', body=b'order', X_Deadline_Ms='300'
            )
            assert ' 504 ' in answer.first_line
            assert asyncio.get_running_loop().time() - began < 0.6


class TestIdempotent:
    @pytest.mark.parametrize(
        'script',
        [
            reset,
            truncate,
            garbage,
            unsigned,
            encoded,
            of_another,
            fail,
            reject,
            misdirected,
            unframed_reset,
        ],
    )
    async def test_runs_again_elsewhere(self, script):
        """Guards against failing work that another server can do."""
        async with World(
            ScriptedServer(script), ScriptedServer(script, ScriptedServer.plain)
        ) as world:
            first = await world.call('/safe/x', X_Deadline_Ms='1500')
            second = await world.call('/safe/x', X_Deadline_Ms='1500')
            lines = [first.first_line, second.first_line]
            assert any(' 200 ' in line for line in lines), lines
            assert sent(world) <= 4

    async def test_at_most_max_attempts(self):
        """Guards against a request that goes from server to server."""
        servers = [ScriptedServer(fail) for _ in range(4)]
        async with World(*servers) as world:
            answer = await world.call('/safe/x')
            assert ' 500 ' in answer.first_line
            assert sent(world) == 2

    async def test_retry_budget_bounds_all_requests(self):
        """Guards against doubling the load of servers in trouble."""
        servers = [ScriptedServer(fail) for _ in range(3)]
        async with World(*servers, credit=2) as world:
            for number in range(20):
                await world.call('/safe/x', request_id=f'r{number}')
            assert sent(world) <= 20 + 20 * 0.2 + 2

    async def test_silent_server_is_left_in_time(self):
        """Guards against waiting for a server that hangs until too late."""
        servers = [
            ScriptedServer(hang, ScriptedServer.plain),
            ScriptedServer(hang, ScriptedServer.plain),
        ]
        async with World(*servers) as world:
            await world.call('/safe/x', X_Deadline_Ms='1500')
            answer = await world.call('/safe/x', X_Deadline_Ms='1500')
            assert ' 200 ' in answer.first_line

    async def test_unframed_reply_ends_with_its_connection(self):
        """Guards against dropping a whole reply without a length."""
        async with World(ScriptedServer(unframed)) as world:
            answer = await world.call('/safe/x')
            assert answer.body == b'whole body'


class TestHeaders:
    async def test_forged_and_secret_headers_are_dropped(self):
        """Guards against callers that speak in the daemon's name."""
        server = ScriptedServer()
        async with World(server) as world:
            await world.call(
                '/safe/x',
                X_Team='other',
                X_Target_Instance='s9',
                X_Hold='h1',
                X_Server_Priority='0',
                Connection='close, X-Request-Id',
                X_Other='kept',
                X_Deadline_Ms='900',
            )
            headers = server.seen[0].headers
            assert headers['x-team'] == 'team'
            assert headers['x-target-instance'] == 's0'
            assert 'x-hold' not in headers
            assert 'x-api-key' not in headers
            assert 'x-server-priority' not in headers
            assert 'connection' not in headers
            assert headers['x-request-id'] == 'r1'
            assert headers['x-other'] == 'kept'
            assert 0 < int(headers['x-deadline-ms']) <= 900

    async def test_second_attempt_has_less_time(self):
        """Guards against handing out more time than is left."""

        async def slow_fail(seen, writer):
            await asyncio.sleep(0.2)
            writer.write(reply(seen, 500))

        servers = [ScriptedServer(slow_fail), ScriptedServer(slow_fail)]
        async with World(*servers) as world:
            await world.call('/safe/x', X_Deadline_Ms='1000')
            left = sorted(
                int(server.seen[0].headers['x-deadline-ms'])
                for server in servers
            )
            assert left[0] <= left[1] - 190

    @pytest.mark.parametrize(
        ('path', 'key', 'status'),
        [
            ('/safe/x', 'wrong', 401),
            ('/open/x', 'wrong', 200),
            ('/none/x', 'wrong', 404),
        ],
    )
    async def test_routes_and_keys(self, path, key, status):
        """Guards against serving without a key or a route."""
        async with World(ScriptedServer()) as world:
            reader, writer = await world.connect()
            writer.write(
                f'GET {path} HTTP/1.1\r\nHost: host.example\r\n'
                f'X-Api-Key: {key}\r\nX-Request-Id: r\r\n\r\n'.encode()
            )
            answer = await read_message(reader)
            assert f' {status} ' in answer.first_line
            writer.close()


class TestLeavingCallers:
    @pytest.mark.parametrize('path', ['/once/x', '/chat/x', '/review/x'])
    async def test_server_loses_its_caller_at_once(self, path):
        """Guards against servers at work for callers that have left."""
        gone = asyncio.Event()

        async def watch(seen, writer):
            while not seen.has_left:
                await asyncio.sleep(0.01)
            gone.set()

        async with World(ScriptedServer(watch)) as world:
            _, writer = await world.connect()
            writer.write(request_bytes(path, body=b'p'))
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.wait_for(gone.wait(), 0.4)
            assert not world.forwarder.running


class TestKeptConnections:
    async def test_late_second_reply_is_dropped(self):
        """Guards against an answer that belongs to another request."""

        async def twice(seen, writer):
            writer.write(reply(seen, body=b'own'))
            writer.write(reply(seen, body=b'extra'))

        async with World(ScriptedServer(twice)) as world:
            for number in range(5):
                answer = await world.call(
                    '/once/x', request_id=f'r{number}', body=b'o'
                )
                assert ' 200 ' in answer.first_line
                assert answer.body == b'own'

    async def test_reply_to_an_earlier_request_is_skipped(self):
        """Guards against losing a request to a late stray reply."""

        async def stray_first(seen, writer):
            await of_another(seen, writer)
            writer.write(reply(seen, body=b'own'))

        async with World(ScriptedServer(stray_first)) as world:
            answer = await world.call('/once/x', body=b'o')
            assert answer.body == b'own'

    @pytest.mark.parametrize('status', [400, 429, 500, 503])
    async def test_failure_without_an_id_belongs_to_no_request(self, status):
        """Guards against "not run" for work that has run.

        The late failure of an earlier request reaches a connection in use.
        """
        nobody = Seen('', {}, b'')

        async def failure_first(seen, writer):
            writer.write(reply(nobody, status, signed=False, X_Not_Run='1'))
            await writer.drain()
            await asyncio.sleep(0.01)
            writer.write(reply(seen, body=b'own'))

        async with World(ScriptedServer(failure_first)) as world:
            for number in range(4):
                answer = await world.call(
                    '/once/x', request_id=f'r{number}', body=b'o'
                )
                assert ' 200 ' in answer.first_line
                assert answer.body == b'own'

    @pytest.mark.parametrize('path', ['/once/x', '/review/x'])
    async def test_failure_without_an_id_and_no_other_is_no_promise(self, path):
        """Guards against "not run" where nothing is known."""
        nobody = Seen('', {}, b'')

        async def failure_only(seen, writer):
            writer.write(reply(nobody, 503, signed=False, X_Not_Run='1'))
            await writer.drain()
            writer.close()

        async with World(ScriptedServer(failure_only)) as world:
            answer = await world.call(path, body=b'o')
            assert ' 502 ' in answer.first_line
            assert sent(world) == 1

    async def test_connections_are_reused(self):
        """Guards against a new connection per request."""
        server = ScriptedServer()
        async with World(server) as world:
            for number in range(8):
                await world.call('/safe/x', request_id=f'r{number}')
            assert server.connections == 1

    async def test_leaving_server_gets_no_new_work(self):
        """Guards against new work for a server that leaves."""
        servers = [ScriptedServer(), ScriptedServer()]
        async with World(*servers) as world:
            world.show_servers(leaving={'s0'})
            for number in range(6):
                await world.call('/safe/x', request_id=f'r{number}')
            assert not servers[0].seen
