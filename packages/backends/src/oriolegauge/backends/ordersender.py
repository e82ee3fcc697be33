"""Send orders to model engines."""

from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any

import aiohttp

from oriolegauge.backends.backendserver import BackendServer
from oriolegauge.backends.errors import (
    ServerConnectError,
    ServerConnectionLostError,
    ServerRejectedError,
)

CONNECT_TIMEOUT_S = 1.0
HTTP_OK = 200


class _TooLateError(Exception):
    """Stop an order whose connection was ready after its time."""


class OrderSender:
    """Post orders whose first byte must leave in time."""

    def __init__(
        self, *, clock: Callable[[], float], order_max_s: float
    ) -> None:
        """Give an order at most `order_max_s`; `clock` is in seconds."""
        self._clock = clock
        self._timeout = aiohttp.ClientTimeout(
            total=order_max_s, sock_connect=CONNECT_TIMEOUT_S
        )

    async def send(
        self,
        server: BackendServer,
        order: Mapping[str, Any],
        *,
        send_before: float,
    ) -> None:
        """Send the order and wait for its end.

        Raise ServerConnectError if nothing was sent, ServerRejectedError if
        the engine refused it, ServerConnectionLostError if it may still run.
        """
        async with aiohttp.ClientSession(
            trace_configs=[self._in_time(send_before)]
        ) as session:
            await self._post(session, server, order)

    async def _post(
        self,
        session: aiohttp.ClientSession,
        server: BackendServer,
        order: Mapping[str, Any],
    ) -> None:
        try:
            async with session.post(
                f'{server.url}/orders', json=dict(order), timeout=self._timeout
            ) as response:
                body = await response.read()
        except (_TooLateError, aiohttp.ClientConnectorError) as error:
            raise ServerConnectError(
                f'order to {server.name} not sent: {error!r}'
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ServerConnectionLostError(
                f'{server.name}: {error!r}'
            ) from error
        if response.status != HTTP_OK:
            raise ServerRejectedError(
                f'{server.name} answered {response.status}',
                status=response.status,
                body=body,
            )

    def _in_time(self, send_before: float) -> aiohttp.TraceConfig:
        """Check the time once more when the connection is ready.

        The process may have been paused while it connected.
        """

        async def check(
            session: aiohttp.ClientSession,
            context: SimpleNamespace,
            params: aiohttp.TraceConnectionCreateEndParams,
        ) -> None:
            if self._clock() >= send_before:
                raise _TooLateError('the time to send has passed')

        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(check)
        return trace
