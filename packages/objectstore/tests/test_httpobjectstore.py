import contextlib
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web

from oriolegauge.objectstore import StoreAnswerLostError
from oriolegauge.objectstore.httpobjectstore import HttpObjectStore


@contextlib.asynccontextmanager
async def store_that_loses_answers(writes: list[str]) -> AsyncIterator[str]:
    """Record the expected versions of writes and drop their answers."""

    async def put(request: web.Request) -> web.Response:
        writes.append(request.headers['If-Match'])
        request.transport.abort()
        return web.Response()

    app = web.Application()
    app.router.add_put('/objects/{key:.*}', put)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    try:
        yield f'http://127.0.0.1:{runner.addresses[0][1]}'
    finally:
        await runner.cleanup()


class TestHttpObjectStore:
    async def test_lost_answer_of_a_write_is_not_retried(self):
        """Guards against a conflict with the own write.

        A conflict means that the write was not applied.
        """
        writes: list[str] = []
        async with (
            store_that_loses_answers(writes) as url,
            aiohttp.ClientSession() as session,
        ):
            store = HttpObjectStore(url=url, session=session, timeout_s=2)
            with pytest.raises(StoreAnswerLostError):
                await store.put('budgets/0', {'x': 1}, 7)
        assert writes == ['7']
