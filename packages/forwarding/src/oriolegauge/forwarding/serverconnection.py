"""HTTP connection to a backend server for one request at a time.

Replies are matched to requests by their id. After unexpected bytes or a broken
reply the connection is closed, so that no caller gets another's answer.
"""

import asyncio
import contextlib
import math
import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools
import structlog

from oriolegauge.core.sockets import detect_unreachable_peer
from oriolegauge.forwarding.errors import (
    ReplyBrokenError,
    ServerUnreachableError,
)
from oriolegauge.forwarding.replybounds import ReplyBounds
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.forwarding.traffic import UNCOUNTED, Traffic
from oriolegauge.routing.connectfailure import ConnectFailure

# Reading is paused while more bytes of a reply wait for a slow caller.
MAX_BUFFERED_BYTES = 64 * 1024
# Most bytes per read.
READ_BYTES = 32 * 1024
# Assumed if a server states no keep-alive time. Such servers close an idle
# connection within a second.
DEFAULT_KEEP_ALIVE_S = 0.5
# The server's idle timer starts before this side has received the reply.
KEEP_ALIVE_MARGIN_S = 0.3
# A loaded server closes a new connection as soon as it has accepted it.
RESET_WITHIN_S = 0.1
_FIRST_INTERIM_STATUS = 100
_FIRST_FINAL_STATUS = 200
_KEEP_ALIVE = re.compile(rb'timeout=(\d+)')
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
# Shared by all connections: each read is parsed before the next one.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))

ReplyObserver = Callable[[ServerReply], None]

log = structlog.get_logger()


@dataclass(slots=True)
class _Counts:
    """Count what was received for one request.

    `head` counts the bytes of the current header section, `before_header` those
    before the matching reply's header, `framing` those of the reply after its
    header and `body` those of its body. `interim` and `unmatched` count replies
    of status 1xx and replies with another request id.
    """

    head: int = 0
    before_header: int = 0
    framing: int = 0
    body: int = 0
    interim: int = 0
    unmatched: int = 0


def ignore_reply(_: ServerReply) -> None:
    """Ignore a reply."""


class ServerConnection(asyncio.BufferedProtocol):
    """Send a request and read its reply.

    It is not reused if it is uncertain where a reply ends or belongs.
    """

    def __init__(
        self,
        request_id_header: str,
        on_reply: ReplyObserver = ignore_reply,
        bounds: ReplyBounds | None = None,
        traffic: Traffic = UNCOUNTED,
    ) -> None:
        """Match replies by the request id, which servers return in a header.

        `on_reply` is called with the header of every reply, also of those that
        match no request. `traffic` counts the bytes of this connection.
        """
        self._traffic = traffic
        self._id_header = request_id_header
        self._on_reply = on_reply
        self._bounds = bounds or ReplyBounds()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body_parts: deque[bytes] = deque()
        self._buffered = 0
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._request_id: str | None = None
        self._is_head_request = False
        self._reply: ServerReply | None = None
        self._is_complete = False
        self._is_skipping = False
        self._is_in_head = False
        self._has_unexpected_bytes = False
        self._is_eof = False
        self._is_lost = False
        self._failure: str | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._counts = _Counts()
        self._reusable_until = -math.inf
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._released_at = self._loop.time()
        self._opened_at = self._loop.time()
        self._closed_at = math.inf
        self._is_closed = False
        self._has_received = False

    @classmethod
    async def open(
        cls,
        address: tuple[str, int],
        request_id_header: str,
        timeout_s: float,
        on_reply: ReplyObserver = ignore_reply,
        traffic: Traffic = UNCOUNTED,
    ) -> 'ServerConnection':
        """Connect; raise ServerUnreachableError."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: cls(request_id_header, on_reply, traffic=traffic),
                    *address,
                )
        except TimeoutError as error:
            raise ServerUnreachableError('no connection in time') from error
        except OSError as error:
            raise ServerUnreachableError(
                str(error), _connect_failure(error)
            ) from error
        return connection

    @property
    def is_reusable(self) -> bool:
        """State whether another request may be sent now."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not (self._has_unexpected_bytes or self._is_eof)
            and self._request_id is None
            and self._loop.time() < self._reusable_until
        )

    @property
    def is_lost(self) -> bool:
        """State whether the server closed it before the reply was complete."""
        return self._is_lost

    @property
    def is_reset_at_once(self) -> bool:
        """State whether the server closed it soon, without any reply."""
        return (
            self._is_closed
            and not self._has_received
            and self._closed_at - self._opened_at < RESET_WITHIN_S
        )

    @property
    def idle_s(self) -> float:
        """Return the seconds since the last reply ended."""
        return self._loop.time() - self._released_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        detect_unreachable_peer(transport)
        self._opened_at = self._loop.time()
        self._reusable_until = self._opened_at + DEFAULT_KEEP_ALIVE_S

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the read buffer."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the received bytes."""
        self._traffic.received_answer(nbytes)
        self._has_received = True
        # Bytes that match no request are parsed too: the headers of a reply may
        # state that the server is leaving or full.
        is_unrequested = self._request_id is None or self._is_complete
        self._has_unexpected_bytes = (
            self._has_unexpected_bytes or is_unrequested
        )
        try:
            self._parser.feed_data(_READ_BUFFER[:nbytes])
        except _PARSER_ERRORS as error:
            self._fail(f'malformed reply: {error}')
        else:
            self._check_bounds(nbytes)
        if self._failure or is_unrequested:
            self.abort()
        self._changed.set()

    def eof_received(self) -> bool:
        """Record that the server closed its side of the connection."""
        self._is_eof = True
        self._note_closed()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete or fail the reply."""
        if (
            self._may_end_here()
            and self._is_eof
            and exc is None
            and not self._failure
        ):
            self._is_complete = True
        elif not self._is_complete:
            self._is_lost = self._failure is None
            self._fail('the server closed the connection')
        if exc is not None:
            self._note_closed()
        self._writable.set()
        self._changed.set()

    def pause_writing(self) -> None:
        """Block writers until the server has read more."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()

    def on_message_begin(self) -> None:
        """Start a reply."""
        if self._is_complete:
            self._has_unexpected_bytes = True
        self._headers = []
        self._is_in_head = True
        self._counts.head = 0

    def on_header(self, name: bytes, content: bytes) -> None:
        """Add a header; trailers are dropped."""
        if not self._is_in_head:
            return
        self._headers.append((name, content))
        if len(self._headers) > self._bounds.max_headers:
            self._fail_and_stop_parsing('too many headers')

    def on_headers_complete(self) -> None:
        """Decide whether the reply belongs to the request."""
        self._is_in_head = False
        status = self._parser.get_status_code()
        # The parser takes any number for a status.
        if status < _FIRST_INTERIM_STATUS:
            self._fail_and_stop_parsing('the status is below 100')
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
        if _FIRST_INTERIM_STATUS <= status < _FIRST_FINAL_STATUS:
            self._counts.interim += 1
            if self._counts.interim > self._bounds.max_interim:
                self._fail_and_stop_parsing('too many interim replies')
            return
        # A reply without the id of the request states nothing about it, not
        # even that it has not run.
        if reply.header(self._id_header) != self._request_id:
            self._skip_unmatched_reply(reply)
            return
        self._note_keep_alive(reply)
        self._reply = reply
        # The parser would wait for a body whose length the header states.
        self._is_complete = self._is_head_request
        self._counts.framing = 0
        self._counts.body = 0

    def on_body(self, part: bytes) -> None:
        """Buffer a part of the body."""
        if self._is_skipping or self._is_complete or self._reply is None:
            return
        self._body_parts.append(part)
        self._counts.body += len(part)
        self._buffered += len(part)
        if self._buffered > MAX_BUFFERED_BYTES and self._transport:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the reply, or an unmatched one before it."""
        if self._is_skipping:
            self._is_skipping = False
        elif self._reply is not None:
            self._is_complete = True

    async def send(self, data: bytes, request_id: str) -> None:
        """Send a request; raise ServerUnreachableError if nothing was sent."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_eof:
            raise ServerUnreachableError(
                'the connection has closed', ConnectFailure.RESET
            )
        self._request_id = request_id
        self._is_head_request = data.startswith(b'HEAD ')
        self._reply = None
        self._is_complete = False
        self._counts = _Counts()
        transport.write(data)
        self._traffic.sent(len(data))

    async def stay_open(self, seconds: float) -> None:
        """Wait; raise ServerUnreachableError if the server closes it."""
        self._changed.clear()
        if not self._is_closed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._changed.wait()
        if self._is_closed or self._has_received:
            self.abort()
            raise ServerUnreachableError(
                'the server closed the new connection', ConnectFailure.RESET
            )

    async def head(self) -> ServerReply:
        """Return the header of the reply; raise ReplyBrokenError."""
        while self._reply is None:
            self._raise_failure()
            self._changed.clear()
            await self._changed.wait()
        return self._reply

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end."""
        while not self._body_parts:
            if self._is_complete:
                return None
            self._raise_failure()
            self._changed.clear()
            await self._changed.wait()
        parts = b''.join(self._body_parts)
        self._body_parts.clear()
        self._buffered = 0
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()
        return parts

    def release(self) -> None:
        """Allow another request after a complete reply, else close."""
        reply = self._reply
        is_read = self._is_complete and not self._body_parts
        if reply is None or not is_read:
            self.abort()
            return
        self._request_id = None
        self._released_at = self._loop.time()
        closes = (
            reply.ends_with_connection
            or reply.header('Connection').lower() == 'close'
            or self._has_unexpected_bytes
            or self._is_head_request
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

    def _note_closed(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._closed_at = self._loop.time()

    def _may_end_here(self) -> bool:
        """State whether the end of the connection may complete the reply.

        A success without a length and without a body looks the same as one of a
        server that stopped after the header.
        """
        reply = self._reply
        if reply is None or not reply.ends_with_connection:
            return False
        has_body = self._counts.body > 0 or self._is_head_request
        return has_body or not reply.is_success

    def _skip_unmatched_reply(self, reply: ServerReply) -> None:
        self._has_unexpected_bytes = True
        self._counts.unmatched += 1
        log.info(
            'reply matches no request',
            status=reply.status,
            has_id=bool(reply.header(self._id_header)),
        )
        is_last = (
            reply.ends_with_connection
            or reply.header('Connection').lower() == 'close'
        )
        if (
            is_last
            or self._counts.unmatched > self._bounds.max_unmatched_replies
        ):
            self._fail_and_stop_parsing('replies of other requests')
            return
        self._is_skipping = True

    def _check_bounds(self, nbytes: int) -> None:
        """Check the limits on bytes outside the reply's body."""
        counts, bounds = self._counts, self._bounds
        if self._is_in_head:
            counts.head += nbytes
            if counts.head > bounds.max_head_bytes:
                self._fail('the header is too large')
        if self._reply is None:
            counts.before_header += nbytes
            if counts.before_header > bounds.max_bytes_before_header:
                self._fail('too many bytes before the reply')
            return
        counts.framing += nbytes
        allowed = counts.body * (1 + bounds.framing_per_byte)
        if counts.framing > allowed + bounds.max_framing_bytes:
            self._fail('too many bytes beside the body')

    def _fail_and_stop_parsing(self, reason: str) -> None:
        """Fail the reply, and raise to stop the parser at once."""
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


def _connect_failure(error: OSError) -> ConnectFailure:
    if isinstance(error, ConnectionRefusedError):
        return ConnectFailure.REFUSED
    if isinstance(error, ConnectionError):
        return ConnectFailure.RESET
    return ConnectFailure.SILENT
