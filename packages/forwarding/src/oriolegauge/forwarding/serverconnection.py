"""Connection to a backend server; one request at a time."""

import asyncio
import math
import re
from collections import deque

import httptools

from oriolegauge.forwarding.errors import (
    ReplyBrokenError,
    ServerUnreachableError,
)
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.forwarding.sockets import end_when_silent

# Bytes of a reply that wait for a slow caller before reading is paused.
MAX_BUFFERED_BYTES = 64 * 1024
# Assumed when a server names no time: it closes within a second.
DEFAULT_KEEP_ALIVE_S = 0.5
# The server's clock for an idle connection started before ours.
KEEP_ALIVE_MARGIN_S = 0.3
# A server may send its answer to an earlier request first.
MAX_STRAY_REPLIES = 4
_CONTINUE = 100
_FIRST_FINAL = 200
_KEEP_ALIVE = re.compile(rb'timeout=(\d+)')


class ServerConnection(asyncio.Protocol):
    """Send a request and read its reply; any doubt makes it unusable."""

    def __init__(self, request_id_header: str) -> None:
        """Match replies by the header that servers echo."""
        self._id_header = request_id_header
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: deque[bytes] = deque()
        self._buffered = 0
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._request_id: str | None = None
        self._reply: ServerReply | None = None
        self._is_complete = False
        self._is_skipping = False
        self._strays = 0
        self._is_dirty = False
        self._is_eof = False
        self._failure: str | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._reusable_until = -math.inf
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._released_at = self._loop.time()

    @classmethod
    async def open(
        cls, address: tuple[str, int], request_id_header: str, timeout_s: float
    ) -> 'ServerConnection':
        """Connect; raise ServerUnreachableError."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: cls(request_id_header), *address
                )
        except TimeoutError as error:
            raise ServerUnreachableError('no connection in time') from error
        except OSError as error:
            raise ServerUnreachableError(str(error)) from error
        return connection

    @property
    def is_reusable(self) -> bool:
        """State whether another request may be sent now."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not (self._is_dirty or self._is_eof)
            and self._request_id is None
            and self._loop.time() < self._reusable_until
        )

    @property
    def idle_s(self) -> float:
        """Return the seconds since the last reply ended."""
        return self._loop.time() - self._released_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        end_when_silent(transport)
        self._reusable_until = self._loop.time() + DEFAULT_KEEP_ALIVE_S

    def data_received(self, data: bytes) -> None:
        """Parse a part of the reply."""
        if self._request_id is None or self._is_complete:
            # Bytes that no request asked for.
            self._is_dirty = True
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f'malformed reply: {error}')
            self.abort()
        self._changed.set()

    def eof_received(self) -> bool:
        """Note that the server closed its side in order."""
        self._is_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End or fail the reply."""
        reply = self._reply
        ends_here = reply is not None and reply.ends_with_connection
        if ends_here and self._is_eof and exc is None and not self._failure:
            self._is_complete = True
        elif not self._is_complete:
            self._fail('the server closed the connection')
        self._writable.set()
        self._changed.set()

    def pause_writing(self) -> None:
        """Stop writing: the server reads slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on writing."""
        self._writable.set()

    def on_message_begin(self) -> None:
        """Start a reply."""
        if self._is_complete:
            self._is_dirty = True
        self._headers = []

    def on_header(self, name: bytes, content: bytes) -> None:
        """Add a header."""
        self._headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Decide whether the reply belongs to the request."""
        status = self._parser.get_status_code()
        if self._is_complete or _CONTINUE <= status < _FIRST_FINAL:
            return
        names = {name.lower() for name, _ in self._headers}
        reply = ServerReply(
            status=status,
            headers=tuple(self._headers),
            ends_with_connection=names.isdisjoint(
                (b'content-length', b'transfer-encoding')
            ),
        )
        echoed = reply.header(self._id_header)
        is_foreign = echoed != self._request_id and (echoed or reply.is_success)
        if is_foreign:
            self._skip(reply)
            return
        self._note_keep_alive(reply)
        self._reply = reply

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        if self._is_skipping or self._is_complete:
            return
        self._parts.append(part)
        self._buffered += len(part)
        if self._buffered > MAX_BUFFERED_BYTES and self._transport:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the reply, or a stray one before it."""
        if self._is_skipping:
            self._is_skipping = False
        elif self._reply is not None:
            self._is_complete = True

    async def send(self, data: bytes, request_id: str) -> None:
        """Send a request; raise ServerUnreachableError if it can't start."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_eof:
            raise ServerUnreachableError('the connection has closed')
        self._request_id = request_id
        self._reply = None
        self._is_complete = False
        self._strays = 0
        transport.write(data)

    async def head(self) -> ServerReply:
        """Return the header of the reply; raise ReplyBrokenError."""
        while self._reply is None:
            self._raise_failure()
            self._changed.clear()
            await self._changed.wait()
        return self._reply

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end."""
        while not self._parts:
            if self._is_complete:
                return None
            self._raise_failure()
            self._changed.clear()
            await self._changed.wait()
        parts = b''.join(self._parts)
        self._parts.clear()
        self._buffered = 0
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()
        return parts

    def release(self) -> None:
        """Make the connection free for another request after a whole reply."""
        reply = self._reply
        is_read = self._is_complete and not self._parts
        if reply is None or not is_read:
            self.abort()
            return
        self._request_id = None
        self._released_at = self._loop.time()
        closes = (
            reply.ends_with_connection
            or reply.header('Connection').lower() == 'close'
            or self._is_dirty
        )
        if closes:
            self.abort()
            return
        self._reusable_until = (
            self._released_at + self._keep_alive_s - KEEP_ALIVE_MARGIN_S
        )

    def abort(self) -> None:
        """Close the connection at once, so that the server stops its work."""
        if self._transport:
            self._transport.abort()

    def _skip(self, reply: ServerReply) -> None:
        self._is_dirty = True
        self._strays += 1
        if reply.ends_with_connection or self._strays > MAX_STRAY_REPLIES:
            self._fail('replies of other requests')
            return
        self._is_skipping = True

    def _note_keep_alive(self, reply: ServerReply) -> None:
        found = _KEEP_ALIVE.search(reply.header('Keep-Alive').encode())
        self._keep_alive_s = (
            float(found.group(1)) if found else DEFAULT_KEEP_ALIVE_S
        )

    def _fail(self, reason: str) -> None:
        self._failure = self._failure or reason

    def _raise_failure(self) -> None:
        if self._failure:
            raise ReplyBrokenError(self._failure)
