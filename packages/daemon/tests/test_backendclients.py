import contextlib
import socket

import aiohttp
import pytest
from aiohttp import web

from oriolegauge.backends import (
    BackendServer,
    EngineClient,
    EngineRequest,
    ServerConnectError,
    ServerConnectionLostError,
    ServiceCall,
    ServiceClient,
)


@pytest.fixture
def silent_address():
    """Return the URL of a host that leaves new connections unanswered."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        address = listener.getsockname()
        # Connections that are never accepted fill the queue of the listener.
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(address)
        yield f'http://127.0.0.1:{address[1]}'


class TestConnectTimeouts:
    """A connection that is not opened in time has carried no request."""

    async def test_service_call_was_not_run(self, silent_address):
        """Guards against an unknown outcome of a call that was never sent."""
        call = ServiceCall(
            request_id='r',
            method='POST',
            path='/reserve',
            headers={},
            body=b'x',
            timeout_s=5,
        )
        async with aiohttp.ClientSession() as session:
            client = ServiceClient(session=session)
            with pytest.raises(ServerConnectError):
                await client.call(server_at(silent_address), call)

    async def test_completion_was_not_run(self, silent_address):
        """Guards against a retry that is taken for an attempt never sent."""
        request = EngineRequest(
            request_id='r', path='/v1/completions', body={}, max_tokens=1
        )
        async with aiohttp.ClientSession() as session:
            client = EngineClient(session=session, idle_timeout_s=5)
            with pytest.raises(ServerConnectError):
                await client.fetch_completion(
                    server_at(silent_address), request, lambda: None
                )


class TestLostConnections:
    @pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
    async def test_service_call_is_sent_once(self, method):
        """Guards against a call that may not be repeated and runs twice.

        The HTTP client sends requests of some methods again by itself.
        """
        runs = []

        async def run(request):
            await request.read()
            runs.append(request.method)
            request.transport.abort()
            return web.Response()

        app = web.Application()
        app.router.add_route('*', '/reserve', run)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        call = ServiceCall(
            request_id='r',
            method=method,
            path='/reserve',
            headers={},
            body=b'x',
            timeout_s=5,
        )
        url = f'http://127.0.0.1:{runner.addresses[0][1]}'
        async with aiohttp.ClientSession() as session:
            client = ServiceClient(session=session)
            with pytest.raises(ServerConnectionLostError):
                await client.call(server_at(url), call)
        await runner.cleanup()
        assert runs == [method]


def server_at(url: str) -> BackendServer:
    return BackendServer(name='e1', url=url, zone='a')
