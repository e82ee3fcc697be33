"""HTTP client of model engines with OpenAI-style routes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import orjson

from oriolegauge.backends.backendserver import BackendServer
from oriolegauge.backends.enginerequest import EngineRequest
from oriolegauge.backends.enginestream import EngineStream
from oriolegauge.backends.errors import (
    ServerConnectError,
    ServerConnectionLostError,
    ServerRejectedError,
)
from oriolegauge.backends.silencelimit import SilenceLimit, TakeRetry
from oriolegauge.core.sendonce import NOT_CONNECTED_ERRORS

HTTP_OK = 200
CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0


class EngineClient:
    """Send completions and control calls to model engines."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        idle_timeout_s: float,
    ) -> None:
        """Ask for a retry when an engine sends nothing for `idle_timeout_s`."""
        self._session = session
        self._idle_timeout_s = idle_timeout_s
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        )

    @asynccontextmanager
    async def stream(
        self,
        server: BackendServer,
        request: EngineRequest,
        take_retry: TakeRetry,
    ) -> AsyncIterator[EngineStream]:
        """Open a streamed completion; the end of the block closes it.

        If the engine is silent, the attempt ends once a retry is taken.
        """
        limit = self._silence_limit(take_retry)
        response = await limit.run(self._post(server, request))
        try:
            yield EngineStream(response, limit)
        finally:
            response.close()

    async def fetch_completion(
        self,
        server: BackendServer,
        request: EngineRequest,
        take_retry: TakeRetry,
    ) -> dict[str, Any]:
        """Return the answer of a completion that is not streamed.

        If the engine is silent, the attempt ends once a retry is taken.
        """
        limit = self._silence_limit(take_retry)
        response = await limit.run(self._post(server, request))
        try:
            return orjson.loads(await limit.run(response.read()))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise ServerConnectionLostError(
                f'answer incomplete or invalid: {error!r}',
                timed_out=isinstance(error, TimeoutError),
            ) from error
        finally:
            response.release()

    async def cancel(self, server: BackendServer, request_id: str) -> None:
        """Ask the engine to cancel a stream."""
        await self.control(server, 'POST', f'/cancel/{request_id}')

    async def control(
        self,
        server: BackendServer,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> dict[str, Any]:
        """Call a control route of the engine, such as load or cancel."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._session.request(
                method, server.url + path, json=body, timeout=timeout
            ) as response:
                payload = await response.read()
        except NOT_CONNECTED_ERRORS as error:
            raise ServerConnectError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ServerConnectionLostError(
                f'no answer: {error!r}',
                timed_out=isinstance(error, TimeoutError),
            ) from error
        if response.status != HTTP_OK:
            raise ServerRejectedError(
                f'{server.name} answered {response.status}',
                status=response.status,
                body=payload,
            )
        return orjson.loads(payload)

    def _silence_limit(self, take_retry: TakeRetry) -> SilenceLimit:
        return SilenceLimit(
            silence_s=self._idle_timeout_s, take_retry=take_retry
        )

    async def _post(
        self,
        server: BackendServer,
        request: EngineRequest,
    ) -> aiohttp.ClientResponse:
        try:
            response = await self._session.post(
                server.url + request.path,
                data=orjson.dumps(request.payload()),
                headers={
                    'Content-Type': 'application/json',
                    'X-Request-Id': request.request_id,
                },
                timeout=self._timeout,
            )
        except NOT_CONNECTED_ERRORS as error:
            raise ServerConnectError(
                f'{server.name} unreachable: {error}'
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ServerConnectionLostError(
                f'{server.name}: {error!r}',
                timed_out=isinstance(error, TimeoutError),
            ) from error
        if response.status != HTTP_OK:
            body = await response.read()
            raise ServerRejectedError(
                f'{server.name} answered {response.status}',
                status=response.status,
                body=body,
            )
        return response
