"""Sender of orders to model engines, such as loading a model.

An order must be sent while the lease behind it is valid. Since connecting may
be slow and the process may be paused, the time is checked again just before
the order is sent.
"""

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


class _DeadlinePassedError(Exception):
    """Stop an order whose connection was opened after the deadline."""


class OrderSender:
    """Post orders, each with a deadline before which it must be sent."""

    def __init__(
        self, *, clock: Callable[[], float], order_max_s: float
    ) -> None:
        """Allow `order_max_s` for an order; `clock` returns seconds."""
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
        """Send the order and wait until the engine has finished it.

        It is sent only before `send_before`, a time of the clock.

        Raise ServerConnectError if nothing was sent, ServerRejectedError if
        the engine refused it, ServerConnectionLostError if it may still run.
        """
        async with aiohttp.ClientSession(
            trace_configs=[self._deadline_check(send_before)]
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
        except (_DeadlinePassedError, aiohttp.ClientConnectorError) as error:
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

    def _deadline_check(self, send_before: float) -> aiohttp.TraceConfig:
        """Return a trace that checks the deadline when the connection opens.

        The process may have been paused while it connected.
        """

        async def check(
            session: aiohttp.ClientSession,
            context: SimpleNamespace,
            params: aiohttp.TraceConnectionCreateEndParams,
        ) -> None:
            if self._clock() >= send_before:
                raise _DeadlinePassedError('the deadline to send has passed')

        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(check)
        return trace
