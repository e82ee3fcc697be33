"""HTTP client of plain services."""

from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from oriolegauge.backends.backendserver import BackendServer
from oriolegauge.backends.errors import (
    ServerConnectError,
    ServerConnectionLostError,
)
from oriolegauge.core.sendonce import NOT_CONNECTED_ERRORS, send_once

CONNECT_TIMEOUT_S = 1.0
# Hop-by-hop headers and those of the caller's own connection and login.
# They concern the daemon and are not forwarded.
NOT_FORWARDED_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'authorization',
    )
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """Hold a call of a caller to a plain service.

    One that is not `repeatable` is sent at most once.
    """

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float
    repeatable: bool = False


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Hold the whole answer of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ServiceClient:
    """Call plain services; the caller of this class decides on retries."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
    ) -> None:
        """Use the session for all calls."""
        self._session = session

    async def call(
        self,
        server: BackendServer,
        call: ServiceCall,
    ) -> ServiceAnswer:
        """Return the answer of the service.

        Raise ServerConnectError if nothing was sent, and
        ServerConnectionLostError if the call may have run.
        """
        headers = forwardable_headers(call.headers)
        headers['X-Request-Id'] = call.request_id
        try:
            async with self._session.request(
                call.method,
                server.url + call.path,
                data=call.body or None,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
                middlewares=() if call.repeatable else (send_once,),
            ) as response:
                body = await response.read()
        except NOT_CONNECTED_ERRORS as error:
            raise ServerConnectError(
                f'{server.name} unreachable: {error}'
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ServerConnectionLostError(
                f'{server.name}: {error!r}',
                timed_out=isinstance(error, TimeoutError),
            ) from error
        return ServiceAnswer(
            response.status, forwardable_headers(response.headers), body
        )


def forwardable_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that may be forwarded."""
    return {
        name: text
        for name, text in headers.items()
        if name.lower() not in NOT_FORWARDED_HEADERS
    }
