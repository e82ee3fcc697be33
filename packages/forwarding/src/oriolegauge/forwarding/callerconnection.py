"""Connection of one caller, with HTTP pipelining.

Bounds what slow, malformed or stalled callers can hold open.
"""

import asyncio
import contextlib
import select
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import structlog

from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.core.sockets import (
    allow_pauses,
    detect_unreachable_peer,
    forbid_pauses,
    unread_bytes,
)
from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.callerrequest import CallerRequest
from oriolegauge.forwarding.errors import CallerDisconnectedError, CallerError
from oriolegauge.forwarding.forwardingconfig import CallerLimits
from oriolegauge.forwarding.requestparser import RequestParser
from oriolegauge.forwarding.traffic import UNCOUNTED, Traffic

# Pipelined requests held in memory; further ones stay in the kernel's buffer.
MAX_PIPELINED = 8
# Time for a caller to read an error answer. Closing at once while the caller
# still sends would reset the connection and lose the answer.
LINGER_S = 1.0
# The balancer has removed a daemon that refuses requests since it stops, so a
# retry reaches another one.
STOPPING_RETRY_AFTER_S = 0.1

Handler = Callable[[CallerRequest, Answer], Awaitable[None]]

log = structlog.get_logger()


def keep_always_open() -> bool:
    """Allow connections to stay open whatever the load."""
    return True


class CallerConnection(asyncio.Protocol):
    """Read requests and answer them one after the other.

    The handler is cancelled if the caller disconnects.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        is_draining: Callable[[], bool],
        may_keep_open: Callable[[], bool] = keep_always_open,
        on_closed: Callable[['CallerConnection'], None],
        buffers: ByteBudget,
        traffic: Traffic = UNCOUNTED,
    ) -> None:
        """Answer with `handler`; `limits` returns the limits in force.

        `buffers` bounds the bodies of requests until they are answered.
        `traffic` counts the bytes of this connection.
        """
        self._traffic = traffic
        self._handler = handler
        self._limits = limits
        self._is_draining = is_draining
        self._may_keep_open_now = may_keep_open
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._requests: deque[CallerRequest] = deque()
        self._error: CallerError | None = None
        self._changed = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._task: asyncio.Task | None = None
        self._is_answering = False
        self._is_refusing = False
        self._has_answered = False
        self._may_caller_pause = False
        self._last_byte_at = self._loop.time()
        self._parser = RequestParser(
            limits=limits,
            clock=self._loop.time,
            on_request=self._accept,
            buffers=buffers,
        )

    @property
    def is_idle(self) -> bool:
        """State whether no request is being read or answered."""
        return not (
            self._is_answering
            or self._requests
            or self._parser.began_at is not None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve requests."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        detect_unreachable_peer(transport)
        self._task = self._loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent."""
        self._last_byte_at = self._loop.time()
        self._traffic.received(len(data))
        self._forbid_pauses()
        if self._is_refusing or self._error:
            return
        try:
            self._parser.feed(data)
        except CallerError as error:
            self._error = error
        self._changed.set()

    def eof_received(self) -> bool:
        """Close the connection: an end of the stream counts as a disconnect."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._writable.set()
        self._parser.release()
        for request in self._requests:
            request.release()
        if self._task:
            self._task.cancel()
        self._on_closed(self)

    def pause_writing(self) -> None:
        """Block writers until the caller has read more."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()

    async def write(self, data: bytes) -> None:
        """Send the bytes; raise CallerDisconnectedError."""
        transport = self._transport
        if transport is None or transport.is_closing():
            raise CallerDisconnectedError('the caller has disconnected')
        self._allow_pauses(transport)
        transport.write(data)
        self._traffic.sent(len(data))
        while not self._writable.is_set():
            unread = unread_bytes(transport)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._limits().idle_timeout_s):
                    await self._writable.wait()
            if self._writable.is_set():
                return
            if unread_bytes(transport) >= unread:
                self.abort()
                raise CallerDisconnectedError('the caller stopped reading')

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.is_idle and self._transport and not self._has_unread_bytes():
            self._transport.close()

    def refuse_unfinished(self) -> None:
        """Refuse a request that has not arrived whole, as not run."""
        if self._is_answering or self._requests or self._error:
            return
        if self._parser.began_at is not None:
            self._error = CallerError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'the daemon stops before the request is whole',
                retry_after_s=STOPPING_RETRY_AFTER_S,
            )
            self._changed.set()

    def _allow_pauses(self, transport: asyncio.Transport) -> None:
        """Keep the connection open while the caller reads nothing.

        Its kernel may hold the answer long after this one has written it.
        """
        if not self._may_caller_pause:
            self._may_caller_pause = True
            allow_pauses(transport, self._limits().idle_timeout_s)

    def _forbid_pauses(self) -> None:
        """Notice soon that a caller that waits for an answer is gone."""
        if self._may_caller_pause and self._transport:
            self._may_caller_pause = False
            forbid_pauses(self._transport)

    async def _serve(self) -> None:
        try:
            while await self._serve_next():
                """Another request may follow."""
        except (CallerError, CallerDisconnectedError) as error:
            log.info('caller connection ended', reason=error.message)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception('caller connection failed')
            self.abort()
        finally:
            if self._transport:
                self._transport.close()

    async def _serve_next(self) -> bool:
        try:
            request = await self._next_request()
        except CallerError as error:
            await self._refuse(error)
            return False
        if request is None:
            return False
        answer = Answer(
            self,
            may_keep_open=lambda: self._may_keep_open(request),
            is_to_head=request.is_head,
        )
        self._is_answering = True
        try:
            await self._handler(request, answer)
        finally:
            request.release()
            self._is_answering = False
            self._has_answered = True
        if not answer.is_finished:
            answer.abort()
        return not answer.closes

    def _accept(self, request: CallerRequest) -> None:
        self._requests.append(request)
        if len(self._requests) >= MAX_PIPELINED and self._transport:
            self._transport.pause_reading()

    def _may_keep_open(self, request: CallerRequest) -> bool:
        if request.wants_close or not self._may_keep_open_now():
            return False
        # Requests that have arrived whole are answered too.
        return bool(self._requests) or not (self._is_draining() or self._error)

    async def _next_request(self) -> CallerRequest | None:
        """Return the next request, or None to close the connection.

        Raise CallerError for a malformed or slow request.
        """
        idle_since = self._loop.time()
        while not self._requests:
            if self._error:
                raise self._error
            if self._closes_when_idle() and self._parser.began_at is None:
                return None
            if not await self._wait_for_bytes(idle_since):
                return None
        request = self._requests.popleft()
        if self._transport and len(self._requests) < MAX_PIPELINED:
            self._transport.resume_reading()
        return request

    def _closes_when_idle(self) -> bool:
        return (
            self._is_draining()
            and self._has_answered
            and not self._has_unread_bytes()
        )

    def _has_unread_bytes(self) -> bool:
        """State whether a request may wait in the kernel's buffer.

        Closing the connection then would reset it.
        """
        if self._transport is None or self._transport.is_closing():
            return False
        sock = self._transport.get_extra_info('socket')
        if sock is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def _wait_for_bytes(self, idle_since: float) -> bool:
        """Return False if the idle timeout has passed."""
        self._changed.clear()
        try:
            async with asyncio.timeout_at(self._wait_until(idle_since)):
                await self._changed.wait()
        except TimeoutError:
            # A request may come in the same turn of the loop.
            if self._requests or self._loop.time() < self._wait_until(
                idle_since
            ):
                return True
            if self._parser.began_at is None:
                return self._has_unread_bytes()
            raise CallerError(
                HTTPStatus.REQUEST_TIMEOUT, 'the request took too long'
            ) from None
        return True

    def _wait_until(self, idle_since: float) -> float:
        limits = self._limits()
        began_at = self._parser.began_at
        if began_at is None:
            return idle_since + limits.idle_timeout_s
        if self._parser.is_reading_body:
            return self._last_byte_at + limits.idle_timeout_s
        return began_at + limits.header_timeout_s

    async def _refuse(self, error: CallerError) -> None:
        self._is_refusing = True
        self._parser.release()
        answer = Answer(self, may_keep_open=bool)
        log.info('request refused', status=error.status, reason=error.message)
        headers = []
        if error.retry_after_s is not None:
            headers.append((b'Retry-After', b'%.3f' % error.retry_after_s))
        await answer.send_whole(error.status, headers, b'')
        if self._transport and self._transport.can_write_eof():
            self._transport.write_eof()
        await asyncio.sleep(LINGER_S)
