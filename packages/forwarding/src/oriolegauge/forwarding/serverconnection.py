"""Connection to a backend server; one request at a time."""

import asyncio
import math
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools
import structlog

from oriolegauge.forwarding.errors import (
    ReplyBrokenError,
    ServerUnreachableError,
)
from oriolegauge.forwarding.replybounds import ReplyBounds
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.forwarding.sockets import end_when_silent

# Bytes of a reply that wait for a slow caller before reading is paused.
MAX_BUFFERED_BYTES = 64 * 1024
# Read and parsed at once.
READ_BYTES = 32 * 1024
# Assumed when a server names no time: it closes within a second.
DEFAULT_KEEP_ALIVE_S = 0.5
# The server's clock for an idle connection started before ours.
KEEP_ALIVE_MARGIN_S = 0.3
_CONTINUE = 100
_FIRST_FINAL = 200
_KEEP_ALIVE = re.compile(rb'timeout=(\d+)')
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
# One for all connections: what is read is parsed before the next read.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))

ReplyObserver = Callable[[ServerReply], None]

log = structlog.get_logger()


@dataclass(slots=True)
class _Counts:
    """Count what came for one request.

    Bytes of the header being read, before the reply's header, and of the reply
    and its body; interim replies and those of other requests.
    """

    head: int = 0
    before: int = 0
    framing: int = 0
    body: int = 0
    interim: int = 0
    strays: int = 0


def ignore(_: ServerReply) -> None:
    """Take no note of a reply."""


class ServerConnection(asyncio.BufferedProtocol):
    """Send a request and read its reply; any doubt makes it unusable."""

    def __init__(
        self,
        request_id_header: str,
        on_reply: ReplyObserver = ignore,
        bounds: ReplyBounds | None = None,
    ) -> None:
        """Match replies by the header that servers echo.

        `on_reply` sees the header of every reply, also of those that answer no
        request.
        """
        self._id_header = request_id_header
        self._on_reply = on_reply
        self._bounds = bounds or ReplyBounds()
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
        self._is_in_head = False
        self._is_dirty = False
        self._is_eof = False
        self._failure: str | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._counts = _Counts()
        self._reusable_until = -math.inf
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._released_at = self._loop.time()

    @classmethod
    async def open(
        cls,
        address: tuple[str, int],
        request_id_header: str,
        timeout_s: float,
        on_reply: ReplyObserver = ignore,
    ) -> 'ServerConnection':
        """Connect; raise ServerUnreachableError."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: cls(request_id_header, on_reply), *address
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

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse a part of the reply."""
        # Bytes that no request asked for still may tell of the server.
        is_unasked = self._request_id is None or self._is_complete
        self._is_dirty = self._is_dirty or is_unasked
        try:
            self._parser.feed_data(_READ_BUFFER[:nbytes])
        except _PARSER_ERRORS as error:
            self._fail(f'malformed reply: {error}')
        else:
            self._count(nbytes)
        if self._failure or is_unasked:
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
        self._is_in_head = True
        self._counts.head = 0

    def on_header(self, name: bytes, content: bytes) -> None:
        """Add a header; trailers are dropped."""
        if not self._is_in_head:
            return
        self._headers.append((name, content))
        if len(self._headers) > self._bounds.max_headers:
            self._stop('too many headers')

    def on_headers_complete(self) -> None:
        """Decide whether the reply belongs to the request."""
        self._is_in_head = False
        status = self._parser.get_status_code()
        names = {name.lower() for name, _ in self._headers}
        reply = ServerReply(
            status=status,
            headers=tuple(self._headers),
            ends_with_connection=names.isdisjoint(
                (b'content-length', b'transfer-encoding')
            ),
        )
        self._on_reply(reply)
        if self._is_complete or self._request_id is None:
            return
        if _CONTINUE <= status < _FIRST_FINAL:
            self._counts.interim += 1
            if self._counts.interim > self._bounds.max_interim:
                self._stop('too many interim replies')
            return
        # Without the id of the request a reply promises nothing about it, not
        # even that the request has not run.
        if reply.header(self._id_header) != self._request_id:
            self._skip(reply)
            return
        self._note_keep_alive(reply)
        self._reply = reply
        self._counts.framing = 0
        self._counts.body = 0

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        if self._is_skipping or self._is_complete or self._reply is None:
            return
        self._parts.append(part)
        self._counts.body += len(part)
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
        self._counts = _Counts()
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
        self._counts.strays += 1
        log.info(
            'reply of no request here',
            status=reply.status,
            has_id=bool(reply.header(self._id_header)),
        )
        is_last = (
            reply.ends_with_connection
            or reply.header('Connection').lower() == 'close'
        )
        if is_last or self._counts.strays > self._bounds.max_strays:
            self._stop('replies of other requests')
            return
        self._is_skipping = True

    def _count(self, nbytes: int) -> None:
        """Bound the bytes that are no part of the reply's body."""
        counts, bounds = self._counts, self._bounds
        if self._is_in_head:
            counts.head += nbytes
            if counts.head > bounds.max_head_bytes:
                self._fail('the header is too large')
        if self._reply is None:
            counts.before += nbytes
            if counts.before > bounds.max_stray_bytes:
                self._fail('too many bytes before the reply')
            return
        counts.framing += nbytes
        allowed = counts.body * (1 + bounds.framing_per_byte)
        if counts.framing > allowed + bounds.max_framing_bytes:
            self._fail('too many bytes beside the body')

    def _stop(self, reason: str) -> None:
        """Fail the reply, and have the parser look at no further byte."""
        self._fail(reason)
        raise ReplyBrokenError(reason)

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
