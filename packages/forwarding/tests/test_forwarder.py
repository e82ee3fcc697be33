"""Answers and retries while backend servers fail in many ways."""

import asyncio
import contextlib
import math

import pytest
from structlog.testing import capture_logs

from oriolegauge.forwarding.dispatcher import Dispatcher

from .serverscripts import (
    cut_reply,
    encoded,
    fail,
    garbage,
    misdirected,
    never_reply,
    reject,
    reply_to_another_request,
    request_count,
    reset,
    unframed,
    unframed_reset,
    unmarked_503,
    unsigned,
)
from .world import (
    ReceivedMessage,
    ScriptedServer,
    World,
    read_message,
    reply,
    request_bytes,
)


class TestBusyHost:
    async def test_refusal_on_congested_link_states_retry_after(
        self,
    ):
        """Guards against a request that runs after it was refused."""
        async with World(ScriptedServer()) as world:
            world.link.sent(1_000_000_000)
            answer = await world.call('/once/x', body=b'order')
            assert ' 429 ' in answer.first_line
            assert float(answer.headers['retry-after']) > 0
            assert request_count(world) == 0


class TestExpectedTime:
    @pytest.mark.parametrize('adapts_to_load', [False, True])
    async def test_request_line_has_the_expected_time(self, adapts_to_load):
        """Guards against placements whose reason can't be seen later."""
        world = World(ScriptedServer(), adapts_to_load=adapts_to_load)
        async with world:
            with capture_logs() as lines:
                answer = await world.call('/once/x', body=b'order')
            assert ' 200 ' in answer.first_line
            expected = [
                line['expected_s']
                for line in lines
                if line['event'] == 'request'
            ]
        assert len(expected) == 1
        assert (expected[0] is not None) is adapts_to_load
        assert expected[0] is None or 0 < expected[0] < 1

    async def test_ended_request_leaves_no_load(self):
        """Guards against requests that are counted after their end."""
        world = World(ScriptedServer(), adapts_to_load=True)
        async with world:
            for number in range(3):
                await world.call(
                    '/once/x', request_id=f'r{number}', body=b'order'
                )
            await asyncio.sleep(0)
            assert world.chooser.own_loads(world.now()) == {}


class TestNonIdempotent:
    @pytest.mark.parametrize(
        'script',
        [reset, cut_reply, garbage, unsigned, encoded, unframed_reset],
    )
    async def test_unknown_outcome_is_502_without_retry(self, script):
        """Guards against a second run, and against a false "not run"."""
        async with World(ScriptedServer(script), ScriptedServer()) as world:
            world.chooser.connected('s1', ok=False, now=math.inf)
            answer = await world.call('/once/x', body=b'order')
            assert ' 502 ' in answer.first_line
            assert request_count(world) == 1

    async def test_503_without_not_run_mark_is_502(self):
        """Guards against stating "not run" when the server did not."""
        async with World(ScriptedServer(unmarked_503)) as world:
            answer = await world.call('/once/x', body=b'order')
            assert ' 502 ' in answer.first_line

    async def test_rejection_is_503_with_retry_after(self):
        """Guards against an unknown outcome where "not run" is certain."""
        async with World(ScriptedServer(reject)) as world:
            answer = await world.call('/once/x', body=b'order')
            assert ' 503 ' in answer.first_line
            assert float(answer.headers['retry-after']) > 0
            assert 'x-server-signature' not in answer.headers
            assert request_count(world) == 1

    async def test_unreachable_server_is_replaced_before_sending(self):
        """Guards against failing a request that no server has received."""
        dead, alive = ScriptedServer(), ScriptedServer()
        async with World(dead, alive) as world:
            await dead.stop()
            for number in range(6):
                answer = await world.call(
                    '/once/x', request_id=f'r{number}', body=b'order'
                )
                assert ' 200 ' in answer.first_line

    async def test_failure_of_the_server_is_forwarded(self):
        """Guards against changing the server's own error reply."""
        async with World(ScriptedServer(fail)) as world:
            answer = await world.call('/once/x', body=b'order')
            assert ' 500 ' in answer.first_line
            assert answer.body == b'broken'
            assert answer.headers['x-server-signature'] == 'sig'

    async def test_deadline_is_504(self):
        """Guards against holding a request past its deadline."""
        async with World(ScriptedServer(never_reply)) as world:
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
            cut_reply,
            garbage,
            unsigned,
            encoded,
            reply_to_another_request,
            fail,
            reject,
            misdirected,
            unframed_reset,
        ],
    )
    async def test_is_retried_on_another_server(self, script):
        """Guards against failing a request that another server can run."""
        async with World(
            ScriptedServer(script), ScriptedServer(script, ScriptedServer.plain)
        ) as world:
            first = await world.call('/safe/x', X_Deadline_Ms='1500')
            second = await world.call('/safe/x', X_Deadline_Ms='1500')
            lines = [first.first_line, second.first_line]
            assert any(' 200 ' in line for line in lines), lines
            assert request_count(world) <= 4

    async def test_attempts_are_limited(self):
        """Guards against trying one request on every server."""
        servers = [ScriptedServer(fail) for _ in range(4)]
        async with World(*servers) as world:
            answer = await world.call('/safe/x')
            assert ' 500 ' in answer.first_line
            assert request_count(world) == 2

    async def test_retry_budget_bounds_all_requests(self):
        """Guards against retries that double the load of failing servers."""
        servers = [ScriptedServer(fail) for _ in range(3)]
        async with World(*servers, credit=2) as world:
            for number in range(20):
                await world.call('/safe/x', request_id=f'r{number}')
            assert request_count(world) <= 20 + 20 * 0.2 + 2

    async def test_silent_server_leaves_time_for_a_retry(self):
        """Guards against waiting for a stalled server up to the deadline."""
        servers = [
            ScriptedServer(never_reply, ScriptedServer.plain),
            ScriptedServer(never_reply, ScriptedServer.plain),
        ]
        async with World(*servers) as world:
            await world.call('/safe/x', X_Deadline_Ms='1500')
            answer = await world.call('/safe/x', X_Deadline_Ms='1500')
            assert ' 200 ' in answer.first_line

    async def test_unframed_reply_ends_with_its_connection(self):
        """Guards against dropping a complete reply without a length."""
        async with World(ScriptedServer(unframed)) as world:
            answer = await world.call('/safe/x')
            assert answer.body == b'whole body'


class TestHeaders:
    async def test_forged_and_secret_headers_are_dropped(self):
        """Guards against callers that set the daemon's headers."""
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

    @pytest.mark.parametrize(
        ('workspace', 'sent'),
        [
            ('Bak\u0131m', 'Bak\u0131m'),
            ('été', 'été'),
            ('a\r\nX-Api-Key: b', 'a??X-Api-Key: b'),
            ('\ud800', '?'),
        ],
    )
    async def test_any_name_of_a_workspace_reaches_the_server(
        self, workspace, sent
    ):
        """Guards against requests without an answer because of a name."""
        server = ScriptedServer()
        async with World(server, workspace=workspace) as world:
            answer = await world.call('/safe/x')
            assert ' 200 ' in answer.first_line
            header = server.seen[0].headers['x-team']
            assert header.encode('latin-1').decode() == sent

    async def test_failed_send_returns_its_connection(self, monkeypatch):
        """Guards against connections that count as lent for ever."""
        server = ScriptedServer()
        async with World(server) as world:

            def fail_to_encode(*_):
                raise UnicodeError

            with monkeypatch.context() as patched:
                patched.setattr(Dispatcher, '_encode', fail_to_encode)
                for number in range(5):
                    with contextlib.suppress(asyncio.IncompleteReadError):
                        await world.call('/safe/x', request_id=f'r{number}')
            assert not sum(world.pool._lent.values())
            answer = await world.call('/safe/x')
            assert ' 200 ' in answer.first_line

    async def test_second_attempt_has_less_time(self):
        """Guards against sending a deadline beyond the caller's."""

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


class TestDisconnectedCallers:
    @pytest.mark.parametrize('path', ['/once/x', '/chat/x', '/review/x'])
    async def test_request_to_the_server_is_closed_at_once(self, path):
        """Guards against servers that work for disconnected callers."""
        gone = asyncio.Event()

        async def watch(seen, writer):
            while not seen.is_disconnected:
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
        """Guards against answering with the reply to another request."""

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
        """Guards against failing a request because of an earlier reply."""

        async def stray_first(seen, writer):
            await reply_to_another_request(seen, writer)
            writer.write(reply(seen, body=b'own'))

        async with World(ScriptedServer(stray_first)) as world:
            answer = await world.call('/once/x', body=b'o')
            assert answer.body == b'own'

    @pytest.mark.parametrize('status', [400, 429, 500, 503])
    async def test_failure_without_an_id_is_skipped(self, status):
        """Guards against stating "not run" for a request that has run.

        The late failure of an earlier request arrives on a connection that
        already carries the next one.
        """
        nobody = ReceivedMessage('', {}, b'')

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
    @pytest.mark.parametrize('status', [408, 429, 503])
    @pytest.mark.parametrize('is_early', [True, False])
    async def test_refusal_that_is_sent_again_states_nothing(
        self, path, status, is_early
    ):
        """Guards against "not run" for a request that runs, or a second run.

        A server sends the refusal of an earlier request once more on the kept
        connection, with that request's id, before or after its answer.
        """
        refused = []

        async def refuse_or_repeat(seen, writer):
            if not refused:
                refused.append(reply(seen, status, signed=False, X_Not_Run='1'))
                writer.write(refused[0])
                return
            if is_early:
                writer.write(refused[0])
                await writer.drain()
                await asyncio.sleep(0.01)
            writer.write(reply(seen, body=b'own'))
            if not is_early:
                writer.write(refused[0])

        server = ScriptedServer(refuse_or_repeat)
        async with World(server) as world:
            first = await world.call(path, request_id='r0', body=b'o')
            assert ' 503 ' in first.first_line
            for number in range(1, 5):
                answer = await world.call(
                    path, request_id=f'r{number}', body=b'o'
                )
                assert ' 200 ' in answer.first_line
                assert answer.body == b'own'
            assert [one.request_id for one in server.seen] == [
                f'r{number}' for number in range(5)
            ]

    @pytest.mark.parametrize('path', ['/once/x', '/review/x'])
    async def test_only_a_failure_without_an_id_is_502(self, path):
        """Guards against stating "not run" where the outcome is unknown."""
        nobody = ReceivedMessage('', {}, b'')

        async def failure_only(seen, writer):
            writer.write(reply(nobody, 503, signed=False, X_Not_Run='1'))
            await writer.drain()
            writer.close()

        async with World(ScriptedServer(failure_only)) as world:
            answer = await world.call(path, body=b'o')
            assert ' 502 ' in answer.first_line
            assert request_count(world) == 1

    async def test_connections_are_reused(self):
        """Guards against opening a connection for each request."""
        server = ScriptedServer()
        async with World(server) as world:
            for number in range(8):
                await world.call('/safe/x', request_id=f'r{number}')
            assert server.connections == 1

    async def test_leaving_server_gets_no_new_work(self):
        """Guards against new work for a server listed as leaving."""
        servers = [ScriptedServer(), ScriptedServer()]
        async with World(*servers) as world:
            world.list_servers(leaving={'s0'})
            for number in range(6):
                await world.call('/safe/x', request_id=f'r{number}')
            assert not servers[0].seen
