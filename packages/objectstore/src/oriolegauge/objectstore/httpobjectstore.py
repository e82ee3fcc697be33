"""Object store client over HTTP.

Its errors state whether a failed call was never sent, was rejected or may have
been applied, so that callers know what they may retry.
"""

import json
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import orjson
from yarl import URL

from oriolegauge.core.sendonce import NOT_CONNECTED_ERRORS, send_once
from oriolegauge.objectstore.errors import (
    StoreAnswerLostError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreUnreachableError,
    VersionConflictError,
)
from oriolegauge.objectstore.hoststatus import HostStatus
from oriolegauge.objectstore.storedobject import StoredObject

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_SHARE = 0.5
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_MANY = 429
HTTP_ERROR = 400


class HttpObjectStore:
    """Call the object API of the platform."""

    def __init__(
        self,
        *,
        url: str,
        session: aiohttp.ClientSession,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Call the API at `url`; a call takes at most `timeout_s` seconds."""
        self._url = URL(url)
        self._session = session
        # The connect timeout is shorter, so that a call that was never sent
        # differs from one whose reply is lost.
        self._timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=timeout_s * CONNECT_TIMEOUT_SHARE
        )
        self.calls = 0

    async def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        status, body = await self._call('GET', self._object_url(key))
        if status == HTTP_NOT_FOUND:
            return None
        return _stored(body)

    async def put(
        self,
        key: str,
        value: Mapping[str, Any],
        expected_version: int,
    ) -> StoredObject:
        """Replace the object if its version is the expected one (0 creates)."""
        _, body = await self._call(
            'PUT',
            self._object_url(key),
            body=orjson.dumps(value),
            headers={'If-Match': str(expected_version)},
        )
        return StoredObject(key=key, version=body['version'], value=value)

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys start with the prefix."""
        url = (self._url / 'objects').with_query(prefix=prefix)
        _, body = await self._call('GET', url)
        return [_stored(row) for row in body['items']]

    async def hosts(self) -> list[HostStatus]:
        """Return the host list, which may be stale."""
        _, body = await self._call('GET', self._url / 'hosts')
        return [HostStatus(**row) for row in body['items']]

    async def watch(
        self,
        prefix: str,
        after: int,
    ) -> AsyncIterator[StoredObject]:
        """Yield each change under the prefix with a version above `after`."""
        url = (self._url / 'watch').with_query(prefix=prefix, after=str(after))
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                _raise_for(response.status)
                async for line in response.content:
                    if line.strip():
                        yield _stored(json.loads(line))
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreUnreachableError(f'watch ended: {error!r}') from error

    def _object_url(self, key: str) -> URL:
        return self._url / 'objects' / key

    async def _call(
        self,
        method: str,
        url: URL,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, Any]:
        self.calls += 1
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                headers=headers,
                timeout=self._timeout,
                # A write that is sent again after it was applied is refused
                # as a conflict, which must mean that it was not applied.
                middlewares=() if method == 'GET' else (send_once,),
            ) as response:
                payload = await response.read()
        except NOT_CONNECTED_ERRORS as error:
            raise StoreUnreachableError(
                f'store unreachable: {error!r}'
            ) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            raise _after_send(method, error) from error
        if response.status != HTTP_NOT_FOUND:
            _raise_for(response.status)
        return response.status, orjson.loads(payload)


def _after_send(
    method: str, error: Exception
) -> StoreUnavailableError | StoreAnswerLostError:
    message = f'no reply from the store: {error!r}'
    if method == 'GET':
        return StoreUnreachableError(message)
    return StoreAnswerLostError(message)


def _raise_for(status: int) -> None:
    if status == HTTP_CONFLICT:
        raise VersionConflictError('the object has changed')
    if status == HTTP_TOO_MANY:
        raise StoreRateLimitError('store call rate exceeded', retry_after_s=1)
    if status >= HTTP_ERROR:
        raise StoreUnavailableError(f'store answered {status}')


def _stored(row: Mapping[str, Any]) -> StoredObject:
    return StoredObject(
        key=row['key'], version=row['version'], value=row['value']
    )
