"""Client of a plain service."""

from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from oriolegauge.backends.backendserver import BackendServer
from oriolegauge.backends.errors import (
    ServerConnectError,
    ServerConnectionLostError,
)

CONNECT_TIMEOUT_S = 1.0
# Headers that describe one connection, not the message.
HOP_HEADERS = frozenset(
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
    """Carry one call of a caller to a plain service."""

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Hold the whole answer of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ServiceClient:
    """Call plain services; never repeat a call by itself."""

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
        headers = forwardable(call.headers)
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
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            raise ServerConnectError(
                f'{server.name} unreachable: {error}'
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ServerConnectionLostError(
                f'{server.name}: {error!r}',
                timed_out=isinstance(error, TimeoutError),
            ) from error
        return ServiceAnswer(
            response.status, forwardable(response.headers), body
        )


def forwardable(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers without those of a single connection."""
    return {
        name: text
        for name, text in headers.items()
        if name.lower() not in HOP_HEADERS
    }
