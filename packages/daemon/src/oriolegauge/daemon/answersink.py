"""Destinations that an answer is written to."""

from collections.abc import Mapping
from typing import Protocol

from aiohttp import web


class AnswerSink(Protocol):
    """Receive one answer: status and headers, body bytes in order, an end."""

    @property
    def started(self) -> bool:
        """Return whether status and headers were sent."""

    @property
    def is_disconnected(self) -> bool:
        """Return whether nobody will read the rest of the answer."""

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send bytes of the body."""

    async def finish(self) -> None:
        """End the answer cleanly."""


class ResponseSink:
    """Write an answer to a caller's connection."""

    def __init__(self, http: web.Request) -> None:
        """Write the answer to the request `http`."""
        self._http = http
        self._response: web.StreamResponse | None = None
        self._is_disconnected = False
        self.request_id = ''

    @property
    def started(self) -> bool:
        """Return whether status and headers were sent."""
        return self._response is not None

    @property
    def is_disconnected(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._is_disconnected

    @property
    def response(self) -> web.StreamResponse:
        """Return the response for the HTTP server; raise if not started."""
        if self._response is None:
            raise RuntimeError('answer was not started')
        return self._response

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send status and headers."""
        response = web.StreamResponse(status=status, headers=headers)
        self._response = response
        try:
            await response.prepare(self._http)
        except ConnectionError:
            self._is_disconnected = True

    async def write(self, data: bytes) -> None:
        """Send bytes of the body; do nothing if the caller disconnected."""
        if self._is_disconnected:
            return
        try:
            await self.response.write(data)
        except ConnectionError:
            self._is_disconnected = True

    async def finish(self) -> None:
        """End the answer cleanly."""
        if self._is_disconnected:
            return
        try:
            await self.response.write_eof()
        except ConnectionError:
            self._is_disconnected = True

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete answer."""
        if self._http.transport is not None:
            self._http.transport.abort()
