"""Incremental parser of the requests on one caller connection.

Bounds the memory that an endless header, chunk extension or trailer can take,
and that the bodies of many callers take together.
"""

from collections.abc import Callable
from http import HTTPStatus

import httptools

from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.forwarding.callerrequest import CallerRequest
from oriolegauge.forwarding.errors import CallerError
from oriolegauge.forwarding.forwardingconfig import CallerLimits

# Headers that decide where a request ends, and whether another may follow.
_FRAMING_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'proxy-connection',
        b'transfer-encoding',
    )
)
# Bodies that are held for servers are sent, or given up, within seconds.
RETRY_AFTER_FULL_S = 1.0
# Separators around a header's name and value.
_HEADER_OVERHEAD_BYTES = 4
# Allows bodies in chunks of a single byte, with their size lines.
_MAX_FRAMING_BYTES_PER_BODY_BYTE = 16


class RequestParser:
    """Parse bytes into requests; raise CallerError for refused ones."""

    def __init__(
        self,
        *,
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
        on_request: Callable[[CallerRequest], None],
        buffers: ByteBudget,
    ) -> None:
        """Pass each complete request to `on_request`.

        Refuse a body, as not run, for which `buffers` have no room.
        """
        self._buffers = buffers
        self._lease = buffers.lease()
        self._leased_bytes = 0
        self._limits = limits
        self._clock = clock
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._began_at: float | None = None
        self._is_header_complete = False
        self._received_bytes = 0
        self._framed_bytes = 0
        self._error: CallerError | None = None
        self._has_ended_in_feed = False
        # The parser is fed a header that it has read before.
        self._is_repeating = False
        self._reset()

    @property
    def began_at(self) -> float | None:
        """Return when the first byte of an unfinished request arrived."""
        return self._began_at

    @property
    def is_reading_body(self) -> bool:
        """State whether the header of an unfinished request is complete."""
        return self._began_at is not None and self._is_header_complete

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection."""
        self._has_ended_in_feed = False
        if self._began_at is None:
            self._began_at = self._clock()
        try:
            self._parse(data)
        except httptools.HttpParserError as error:
            raise self._error or CallerError(
                HTTPStatus.BAD_REQUEST, f'malformed request: {error}'
            ) from error
        if self._error:
            raise self._error
        self._check_unfinished(len(data))
        self._check_framing(len(data))

    def release(self) -> None:
        """Free the bytes of an unfinished request."""
        self._lease.release()

    def on_message_begin(self) -> None:
        """Start a request."""
        if not self._is_repeating:
            self._began_at = self._clock()

    def on_url(self, part: bytes) -> None:
        """Add a part of the request target."""
        if self._is_repeating:
            return
        self._target += part
        self._add_head_bytes(len(part))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Add a header; trailers are dropped."""
        if self._is_header_complete or self._is_repeating:
            return
        self._headers.append((name, content))
        self._add_head_bytes(len(name) + len(content) + _HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Check the header."""
        if self._is_repeating:
            return
        self._is_header_complete = True
        if self._parser.get_method() == b'CONNECT':
            self._refuse(HTTPStatus.NOT_IMPLEMENTED, 'CONNECT is not supported')
        hosts = [1 for name, _ in self._headers if name.lower() == b'host']
        if len(hosts) != 1:
            self._refuse(HTTPStatus.BAD_REQUEST, 'one Host header is needed')
        if not self._target.startswith(b'/'):
            self._refuse(
                HTTPStatus.BAD_REQUEST, 'the request target is not a path'
            )
        for name, content in self._headers:
            if name.lower() == b'content-length':
                self._check_body(int(content))

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        self._body += part
        self._check_body(len(self._body))

    def on_message_complete(self) -> None:
        """Pass on the request."""
        began_at = self._began_at
        # The parser ends a request that offers an upgrade after its header.
        if self._error or began_at is None or self._parser.should_upgrade():
            return
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=tuple(self._headers),
            body=bytes(self._body),
            received_at=began_at,
            wants_close=not self._parser.should_keep_alive(),
            buffer_lease=self._lease,
        )
        self._lease = self._buffers.lease()
        self._leased_bytes = 0
        self._reset()
        self._has_ended_in_feed = True
        self._on_request(request)

    def _parse(self, data: bytes) -> None:
        """Parse requests; read one that offers an upgrade without the offer.

        A server may ignore the offer and stay with HTTP/1.1.
        """
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                if self._error:
                    return
                data = data[upgrade.args[0] :]
                self._repeat_header()
            else:
                return

    def _repeat_header(self) -> None:
        """Let a new parser read the body as the header frames it."""
        method = self._parser.get_method()
        version = self._parser.get_http_version().encode()
        lines = [b'%b / HTTP/%b' % (method, version)]
        lines += [
            b'%b: %b' % header
            for header in self._headers
            if header[0].lower() in _FRAMING_HEADERS
        ]
        self._parser = httptools.HttpRequestParser(self)
        self._is_repeating = True
        try:
            self._parser.feed_data(b'\r\n'.join((*lines, b'', b'')))
        finally:
            self._is_repeating = False

    def _reset(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._head_bytes = 0
        self._received_bytes = 0
        self._framed_bytes = 0
        self._is_header_complete = False
        self._began_at = None

    def _check_unfinished(self, count: int) -> None:
        """Bound header bytes that the parser has not reported yet."""
        if self._began_at is None or self._is_header_complete:
            return
        # If another request ended in these bytes, it is unknown how many belong
        # to this one. Its bytes count from the next call on.
        if not self._has_ended_in_feed:
            self._received_bytes += count
        self._check_head(self._received_bytes)
        if self._error:
            raise self._error

    def _check_framing(self, count: int) -> None:
        """Bound chunk extensions and trailers, which the parser skips."""
        if not self.is_reading_body:
            return
        if not self._has_ended_in_feed:
            self._framed_bytes += count
        body_bytes = len(self._body) * (1 + _MAX_FRAMING_BYTES_PER_BODY_BYTE)
        self._check_head(self._framed_bytes - body_bytes)
        if self._error:
            raise self._error

    def _add_head_bytes(self, count: int) -> None:
        self._head_bytes += count
        self._check_head(self._head_bytes)

    def _check_head(self, count: int) -> None:
        if count > self._limits().max_header_bytes:
            self._refuse(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'the header is too large',
            )

    def _check_body(self, count: int) -> None:
        if count > self._limits().max_body_bytes:
            self._refuse(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'the body is too large'
            )
        elif count > self._leased_bytes:
            self._lease_bytes(count - self._leased_bytes)

    def _lease_bytes(self, count: int) -> None:
        if self._lease.add(count):
            self._leased_bytes += count
        else:
            self._refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'other bodies take the memory for them',
                retry_after_s=RETRY_AFTER_FULL_S,
            )

    def _refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        # Raised later by `feed`: the parser replaces errors of its callbacks.
        self._error = self._error or CallerError(
            status, message, retry_after_s=retry_after_s
        )
