"""HTTP answer to one request of a caller.

An answer that was begun either ends complete or is aborted, so that a caller
never takes a truncated answer for a whole one.
"""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Protocol

Header = tuple[bytes, bytes]

_LAST_CHUNK = b'0\r\n\r\n'
# Answers that end with their header (RFC 9110, section 6.4.1).
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class CallerWriter(Protocol):
    """Write to the caller's connection."""

    async def write(self, data: bytes) -> None:
        """Send the bytes; raise CallerDisconnectedError."""

    def abort(self) -> None:
        """Close the connection at once."""


class Answer:
    """Write one answer, which ends complete or with an abort."""

    def __init__(
        self,
        writer: CallerWriter,
        *,
        may_keep_open: Callable[[], bool],
        can_chunk: bool = True,
        is_to_head: bool = False,
    ) -> None:
        """Without `can_chunk`, streamed answers end with the connection.

        The answer to a HEAD request, `is_to_head`, consists of the header.
        """
        self._writer = writer
        self._is_to_head = is_to_head
        self._may_keep_open = may_keep_open
        self._can_chunk = can_chunk
        self.status: int | None = None
        self.is_finished = False
        self.closes = False

    @property
    def is_started(self) -> bool:
        """State whether the caller may have seen the header."""
        return self.status is not None

    async def send_whole(
        self, status: int, headers: Iterable[Header], body: bytes
    ) -> None:
        """Send an answer with its complete body.

        An answer without a body may state the length of the one for GET.
        """
        entries = list(headers)
        if status in _BODILESS or (self._is_to_head and not body):
            body = b''
        else:
            entries.append((b'Content-Length', b'%d' % len(body)))
        head = self._head(status, entries)
        # The connection holds the whole answer while this waits for the caller
        # to read it.
        self.is_finished = True
        await self._writer.write(
            head if self._is_to_head else b''.join((head, body))
        )

    async def begin(
        self, status: int, headers: Iterable[Header], first: bytes
    ) -> None:
        """Send the header and the first bytes of a streamed answer."""
        extra = []
        if self._can_chunk:
            extra.append((b'Transfer-Encoding', b'chunked'))
        else:
            self.closes = True
        head = self._head(status, [*headers, *extra])
        await self._writer.write(b''.join((head, self._chunk(first))))

    async def send(self, data: bytes) -> None:
        """Send more bytes of a streamed answer."""
        await self._writer.write(self._chunk(data))

    async def end(self) -> None:
        """Mark a streamed answer as complete."""
        self.is_finished = True
        if self._can_chunk and not self._is_to_head:
            await self._writer.write(_LAST_CHUNK)

    def abort(self) -> None:
        """Close the connection, so that the answer can't look complete."""
        self.closes = True
        self._writer.abort()

    def _chunk(self, data: bytes) -> bytes:
        if self._is_to_head:
            return b''
        if not data or not self._can_chunk:
            return data
        return b'%x\r\n%b\r\n' % (len(data), data)

    def _head(self, status: int, headers: Iterable[Header]) -> bytes:
        self.status = status
        self.closes = self.closes or not self._may_keep_open()
        lines = [b'HTTP/1.1 %d %b' % (status, _reason(status))]
        lines += [b'%b: %b' % header for header in headers]
        if self.closes:
            lines.append(b'Connection: close')
        return b'\r\n'.join((*lines, b'', b''))


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''
