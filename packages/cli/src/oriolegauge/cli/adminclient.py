"""HTTP client of the admin ports of daemons."""

import ssl
from collections.abc import Mapping
from typing import Any

import aiohttp

from oriolegauge.cli.errors import DaemonRejectedError, DaemonUnreachableError
from oriolegauge.core.errors import ForbiddenError, UnauthenticatedError

TIMEOUT = aiohttp.ClientTimeout(total=5)
HTTP_UNAUTHENTICATED = 401
HTTP_FORBIDDEN = 403
HTTP_ERROR = 400
EXPLAIN_KEY_HEADER = 'X-Explain-Key'


class AdminClient:
    """Read the state of daemons and drain daemons."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        token: str,
        trust: ssl.SSLContext | bool,
    ) -> None:
        """Send the token with each call unless it is empty.

        `trust` says which certificates of admin ports are trusted; True means
        those of the system.
        """
        self._session = session
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}
        self._trust = trust

    async def state(self, url: str) -> dict[str, Any]:
        """Return the state of the daemon at the admin URL."""
        return await self._call('GET', f'{url}/state')

    async def drain(self, url: str) -> dict[str, Any]:
        """Ask the daemon at the admin URL to drain."""
        return await self._call('POST', f'{url}/drain')

    async def explain(
        self, url: str, query: Mapping[str, str], key: str
    ) -> dict[str, Any]:
        """Return where a request would go, by the daemon's metrics URL."""
        # The metrics listener takes no operator's token.
        headers = {EXPLAIN_KEY_HEADER: key} if key else {}
        return await self._call(
            'GET', f'{url}/explain', params=query, headers=headers
        )

    async def _call(
        self,
        method: str,
        url: str,
        *,
        params: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> dict[str, Any]:
        try:
            async with self._session.request(
                method,
                url,
                params=params,
                headers=self._headers if headers is None else headers,
                ssl=self._trust,
                timeout=TIMEOUT,
            ) as response:
                _raise_for_status(response.status, url)
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise DaemonUnreachableError(f'{url}: {error!r}') from error


def _raise_for_status(status: int, url: str) -> None:
    if status == HTTP_UNAUTHENTICATED:
        raise UnauthenticatedError(f'{url}: the token is unknown')
    if status == HTTP_FORBIDDEN:
        raise ForbiddenError(f'{url}: the token lacks the role')
    if status >= HTTP_ERROR:
        raise DaemonRejectedError(f'{url} answered {status}')
