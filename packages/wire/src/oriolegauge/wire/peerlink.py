"""Client side of the link to one peer.

Reconnects with backoff while the peer is unreachable. When the link breaks,
pending calls fail at once instead of waiting for their timeouts.
"""

import asyncio
import contextlib
import random
import secrets
import ssl
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import aiohttp
import structlog
from tenacity import (
    AsyncRetrying,
    retry_if_exception_type,
    wait_exponential_jitter,
)

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.runstate import RunState
from oriolegauge.core.sockets import detect_unreachable_peer
from oriolegauge.wire.answerstream import AnswerStream
from oriolegauge.wire.codec import decode, encode
from oriolegauge.wire.envelope import Envelope, Sender
from oriolegauge.wire.errors import (
    MalformedMessageError,
    MessageTooLargeError,
    PeerBusyError,
    PeerFailedError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from oriolegauge.wire.framesender import FrameSender
from oriolegauge.wire.linklimits import LinkLimits
from oriolegauge.wire.messages import Cancel, End, Failure, Message

MEMBER_HEADER = 'X-Oriolegauge-Member'
LINK_PATH = '/link'
# Agreed on when a link opens if the peer understands requests for permits.
# Earlier builds close a link on which they get such a message.
PERMITS_PROTOCOL = 'oriolegauge.permits'
# Agreed on if the peer also understands reports of streams and queries for
# them.
STREAMS_PROTOCOL = 'oriolegauge.streams'
# In the order of preference: the server takes the first that it knows.
LINK_PROTOCOLS = (STREAMS_PROTOCOL, PERMITS_PROTOCOL)
# Message ids start at a random number, so that an answer to an earlier process
# never matches a call of this one.
_FIRST_ID_BITS = 62
# After this many frames of a burst the other tasks run, so that a stream does
# not overflow although its reader is fast enough.
_FRAMES_PER_TURN = 64
_CONNECT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Pending:
    answer: asyncio.Future | AnswerStream
    asked_at: float


class PeerLink:
    """Call one peer over a WebSocket that is kept open by `run`.

    `on_refused(peer, started_at)` reports that the peer's address refused the
    connection attempt begun at `started_at`; `on_answered(sender, asked_at)`
    reports who answered a call sent at `asked_at`. Times are seconds of
    `loop.time()`.
    """

    def __init__(
        self,
        *,
        peer: str,
        url: str,
        session: aiohttp.ClientSession,
        sender: Callable[[], Sender],
        limits: LinkLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
        on_refused: Callable[[str, float], None] | None = None,
        on_answered: Callable[[Sender, float], None] | None = None,
    ) -> None:
        """Prepare a link to the peer at the URL; `run` opens it.

        The session's connector must allow a connection for each link.
        """
        self.peer = peer
        self.dropped_answers = 0
        self._url = url
        self._session = session
        self._sender = sender
        self._limits = limits or LinkLimits()
        self._ssl_context = ssl_context
        self._on_refused = on_refused
        self._on_answered = on_answered
        self._frames: FrameSender | None = None
        self._open = asyncio.Event()
        self._protocol: str | None = None
        self._pending: dict[int, _Pending] = {}
        self._last_id = secrets.randbits(_FIRST_ID_BITS)

    @property
    def connected(self) -> bool:
        """Return whether the link is open."""
        return self._open.is_set()

    @property
    def supports_permits(self) -> bool:
        """Return whether the peer of the open link understands permits."""
        return self._protocol in LINK_PROTOCOLS

    @property
    def supports_stream_starts(self) -> bool:
        """Return whether the peer of the open link understands StreamStarts.

        The same holds for StreamStartQuery.
        """
        return self._protocol == STREAMS_PROTOCOL

    async def run(self) -> None:
        """Keep the link open, reconnecting as needed, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            socket = await self._connect()
            detect_unreachable_peer(socket, self._limits.unacked_timeout_ms)
            opened_at = loop.time()
            frames = FrameSender(
                socket, max_bytes=self._limits.max_unsent_bytes
            )
            self._frames = frames
            self._protocol = socket.protocol
            self._open.set()
            try:
                await self._read(socket)
            finally:
                self._fail_pending_calls()
                await frames.close(
                    code=aiohttp.WSCloseCode.GOING_AWAY,
                    timeout_s=self._limits.close_timeout_s,
                )
            # Avoids a busy loop if the peer closes each link at once.
            if loop.time() - opened_at < self._limits.retry_max_s:
                pause = self._limits.retry_initial_s
                await asyncio.sleep(random.uniform(pause, 2 * pause))

    async def wait_connected(self, timeout_s: float) -> None:
        """Wait for the link; raise PeerUnreachableError after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._open.wait()
        except TimeoutError:
            raise self._unreachable(RunState.NOT_RUN) from None

    async def send(self, message: Message) -> None:
        """Send a message that is not answered and may be lost."""
        self.send_frame(one_way_frame(self._sender(), message))

    def send_frame(self, frame: bytes) -> None:
        """Send a frame of `one_way_frame`; one frame serves many links."""
        if self._frames is None:
            raise self._unreachable(RunState.NOT_RUN)
        if len(frame) > self._limits.max_message_bytes:
            raise MessageTooLargeError(
                f'message of {len(frame)} bytes is too large'
            )
        if not self._frames.offer(frame):
            raise PeerBusyError(f'too many unsent bytes to {self.peer}')

    async def call(self, message: Message, timeout_s: float) -> Message:
        """Return the answer; raise a WireError if it does not arrive in time.

        A `Failure` returned by the peer is raised as PeerFailedError.
        """
        answer = asyncio.get_running_loop().create_future()
        message_id = self._register(answer)
        try:
            self._send_envelope(message, message_id)
            async with asyncio.timeout(timeout_s):
                return _checked(await answer)
        except TimeoutError:
            raise self._timed_out(timeout_s) from None
        finally:
            self._pending.pop(message_id, None)

    async def stream(
        self, message: Message, timeout_s: float
    ) -> AsyncIterator[Message]:
        """Yield the parts of the answer, each within `timeout_s`.

        The stream ends without an error only after the peer's `End`, which is
        not yielded. A stream that is not read to its end is cancelled at the
        peer.
        """
        parts = AnswerStream(
            max_messages=self._limits.stream_buffer_messages,
            max_bytes=self._limits.stream_buffer_bytes,
        )
        message_id = self._register(parts)
        unfinished = True
        try:
            self._send_envelope(message, message_id)
            while True:
                part = await self._next(parts, timeout_s)
                if isinstance(part, End | Failure):
                    unfinished = False
                    _checked(part)
                    return
                yield part
        finally:
            self._pending.pop(message_id, None)
            if unfinished:
                self._cancel(message_id)

    async def _connect(self) -> aiohttp.ClientWebSocketResponse:
        retrying = AsyncRetrying(
            retry=retry_if_exception_type(_CONNECT_ERRORS),
            wait=wait_exponential_jitter(
                multiplier=self._limits.retry_initial_s,
                max=self._limits.retry_max_s,
                jitter=self._limits.retry_initial_s,
            ),
        )
        return await retrying(self._dial)

    async def _dial(self) -> aiohttp.ClientWebSocketResponse:
        started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(self._limits.connect_timeout_s):
                return await self._session.ws_connect(
                    self._url,
                    headers={MEMBER_HEADER: self._sender().name},
                    protocols=LINK_PROTOCOLS,
                    max_msg_size=self._limits.max_message_bytes,
                    heartbeat=self._limits.ping_period_s,
                    timeout=aiohttp.ClientWSTimeout(
                        ws_close=self._limits.close_timeout_s
                    ),
                    ssl=self._ssl_context or True,
                    server_hostname=self.peer if self._ssl_context else None,
                )
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                self._report_refused(started_at)
            raise
        except aiohttp.WSServerHandshakeError as error:
            log.warning(
                'peer rejected link', peer=self.peer, status=error.status
            )
            raise

    def _report_refused(self, started_at: float) -> None:
        if self._on_refused:
            self._on_refused(self.peer, started_at)

    async def _read(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        log.info('peer link open', peer=self.peer)
        frames = 0
        async for frame in socket:
            frames += 1
            if frames % _FRAMES_PER_TURN == 0:
                await asyncio.sleep(0)
            if frame.type is not aiohttp.WSMsgType.BINARY:
                self._log_closed(f'unexpected frame {frame.type.name}')
                return
            try:
                envelope = decode(frame.data)
            except MalformedMessageError as error:
                self._log_closed(error.message)
                return
            self._accept(envelope, len(frame.data))
        self._log_closed(f'closed with code {socket.close_code}')

    def _log_closed(self, reason: str) -> None:
        log.warning('peer link closed', peer=self.peer, reason=reason)

    def _accept(self, envelope: Envelope, size: int) -> None:
        pending = self._pending.get(envelope.reply_to)
        if pending is None or envelope.sender.name != self.peer:
            self.dropped_answers += 1
            return
        match pending.answer:
            case AnswerStream() as parts:
                taken = parts.offer(
                    envelope.message, position=envelope.position, size=size
                )
                self.dropped_answers += not taken
            case future:
                self._pending.pop(envelope.reply_to)
                if not future.done():
                    future.set_result(envelope.message)
        if self._on_answered and envelope.position == 0:
            self._on_answered(envelope.sender, pending.asked_at)

    def _fail_pending_calls(self) -> None:
        self._frames = None
        self._open.clear()
        error = self._unreachable(RunState.UNKNOWN)
        pending = list(self._pending.values())
        self._pending.clear()
        for entry in pending:
            match entry.answer:
                case AnswerStream() as parts:
                    parts.fail(error)
                case future if not future.done():
                    future.set_result(error)

    def _register(self, answer: asyncio.Future | AnswerStream) -> int:
        if self._frames is None:
            raise self._unreachable(RunState.NOT_RUN)
        if len(self._pending) >= self._limits.max_pending_calls:
            raise PeerBusyError(f'too many pending calls to {self.peer}')
        self._last_id += 1
        now = asyncio.get_running_loop().time()
        self._pending[self._last_id] = _Pending(answer, now)
        return self._last_id

    def _send_envelope(
        self,
        message: Message,
        message_id: int,
        *,
        reply_to: int = 0,
        one_way: bool = False,
    ) -> None:
        if self._frames is None:
            raise self._unreachable(RunState.NOT_RUN)
        self.send_frame(
            encode(
                Envelope(
                    message_id=message_id,
                    sender=self._sender(),
                    message=message,
                    reply_to=reply_to,
                    one_way=one_way,
                )
            )
        )

    async def _next(self, parts: AnswerStream, timeout_s: float) -> Message:
        try:
            async with asyncio.timeout(timeout_s):
                return await parts.take()
        except TimeoutError:
            raise self._timed_out(timeout_s) from None

    def _cancel(self, message_id: int) -> None:
        self._last_id += 1
        with contextlib.suppress(OriolegaugeError):
            self._send_envelope(
                Cancel(), self._last_id, reply_to=message_id, one_way=True
            )

    def _unreachable(self, run_state: RunState) -> PeerUnreachableError:
        return PeerUnreachableError(
            f'no link to {self.peer}', run_state=run_state
        )

    def _timed_out(self, timeout_s: float) -> PeerTimeoutError:
        return PeerTimeoutError(
            f'no answer from {self.peer} within {timeout_s} s'
        )


def one_way_frame(sender: Sender, message: Message) -> bytes:
    """Return the bytes of a message that is not answered."""
    return encode(
        Envelope(message_id=0, sender=sender, message=message, one_way=True)
    )


def _checked(answer: Message | OriolegaugeError) -> Message:
    if isinstance(answer, OriolegaugeError):
        raise answer
    if isinstance(answer, Failure):
        raise PeerFailedError(answer)
    return answer
