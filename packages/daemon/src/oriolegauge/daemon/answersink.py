"""Where the parts of an answer go."""

from collections.abc import Mapping
from typing import Protocol

from aiohttp import web


class AnswerSink(Protocol):
    """Take one answer: a start, bytes in order and an end."""

    @property
    def started(self) -> bool:
        """Tell whether status and headers were sent."""

    @property
    def gone(self) -> bool:
        """Tell whether nobody reads the answer any more."""

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send bytes of the body."""

    async def finish(self) -> None:
        """End the answer cleanly."""


class ResponseSink:
    """Write an answer to a caller's connection."""

    def __init__(self, http: web.Request) -> None:
        """Answer the given request."""
        self._http = http
        self._response: web.StreamResponse | None = None
        self._gone = False
        self.request_id = ''

    @property
    def started(self) -> bool:
        """Tell whether status and headers were sent."""
        return self._response is not None

    @property
    def gone(self) -> bool:
        """Tell whether the caller has disconnected."""
        return self._gone

    @property
    def response(self) -> web.StreamResponse:
        """Return the response to give back to the HTTP server."""
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
            self._gone = True

    async def write(self, data: bytes) -> None:
        """Send bytes of the body; a caller that left is not an error."""
        if self._gone:
            return
        try:
            await self.response.write(data)
        except ConnectionError:
            self._gone = True

    async def finish(self) -> None:
        """End the answer cleanly."""
        if self._gone:
            return
        try:
            await self.response.write_eof()
        except ConnectionError:
            self._gone = True

    def abort(self) -> None:
        """Cut the connection so that the caller sees no clean end."""
        if self._http.transport is not None:
            self._http.transport.abort()
