"""Server side of the link from one peer.

Limits the calls and streams that a peer runs here at once, so that a peer that
sends too many requests is rejected instead of overloading the daemon.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import structlog
from aiohttp import WSCloseCode, WSMsgType, web

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.core.runstate import RunState
from oriolegauge.wire.codec import decode, encode
from oriolegauge.wire.envelope import Envelope, Sender
from oriolegauge.wire.errors import (
    MalformedMessageError,
    MessageTooLargeError,
    as_failure,
)
from oriolegauge.wire.framesender import FrameSender
from oriolegauge.wire.linklimits import LinkLimits
from oriolegauge.wire.messages import (
    Ack,
    Cancel,
    End,
    Failure,
    Forward,
    Message,
)

Answer = Message | AsyncIterator[Message] | None
Handler = Callable[[Sender, Message], Awaitable[Answer]]
BUSY_RETRY_S = 0.1
INTERNAL_FAILURE = Failure(
    code=ResultCode.INTERNAL,
    run_state=RunState.UNKNOWN,
    message='internal error',
)

log = structlog.get_logger()


class _LinkClosedError(Exception):
    """Report that the link closed before the answer was sent."""


class PeerConnection:
    """Run the calls of one peer and send the answers.

    When the link closes, running calls are completed, so that their work is
    never done by half; streams are cancelled.
    """

    def __init__(
        self,
        *,
        member: str,
        socket: web.WebSocketResponse,
        sender: Callable[[], Sender],
        handler: Handler,
        limits: LinkLimits,
    ) -> None:
        """Serve the member on the open socket."""
        self._member = member
        self._socket = socket
        self._frames = FrameSender(socket, max_bytes=limits.max_unsent_bytes)
        self._sender = sender
        self._handler = handler
        self._limits = limits
        self._calls: set[asyncio.Task] = set()
        self._streams: dict[int, asyncio.Task] = {}

    async def run(self) -> None:
        """Read messages until the link closes."""
        try:
            await self._read()
        finally:
            for task in list(self._streams.values()):
                task.cancel()
            await self.close(WSCloseCode.OK)

    async def stop(self) -> None:
        """Cancel all calls and close the link."""
        tasks = [*self._calls, *self._streams.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.close(WSCloseCode.GOING_AWAY)

    async def close(self, code: WSCloseCode) -> None:
        """Close the link; running calls go on."""
        await self._frames.close(
            code=code, timeout_s=self._limits.close_timeout_s
        )

    async def _read(self) -> None:
        async for frame in self._socket:
            if frame.type is not WSMsgType.BINARY:
                await self._close_on_protocol_error(
                    f'unexpected frame {frame.type.name}'
                )
                return
            try:
                envelope = decode(frame.data)
            except MalformedMessageError as error:
                await self._close_on_protocol_error(error.message)
                return
            if envelope.sender.name != self._member:
                await self._close_on_protocol_error(
                    f'unexpected sender {envelope.sender.name!r}'
                )
                return
            await self._start(envelope)

    async def _close_on_protocol_error(self, reason: str) -> None:
        log.warning('peer link closed', peer=self._member, reason=reason)
        await self.close(WSCloseCode.PROTOCOL_ERROR)

    async def _start(self, envelope: Envelope) -> None:
        match envelope.message:
            case Cancel():
                task = self._streams.get(envelope.reply_to)
                if task:
                    task.cancel()
            case Forward():
                await self._start_stream(envelope)
            case _:
                await self._start_call(envelope)

    async def _start_stream(self, envelope: Envelope) -> None:
        message_id = envelope.message_id
        if message_id in self._streams:
            return
        if len(self._streams) >= self._limits.max_running_streams:
            await self._send_queue_full(envelope)
            return
        task = asyncio.create_task(self._answer(envelope))
        self._streams[message_id] = task
        task.add_done_callback(lambda _: self._streams.pop(message_id))

    async def _start_call(self, envelope: Envelope) -> None:
        if len(self._calls) >= self._limits.max_running_calls:
            await self._send_queue_full(envelope)
            return
        task = asyncio.create_task(self._answer(envelope))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _send_queue_full(self, envelope: Envelope) -> None:
        failure = Failure(
            code=ResultCode.QUEUE_FULL,
            run_state=RunState.NOT_RUN,
            message='too many calls on this link',
            retry_after_s=BUSY_RETRY_S,
        )
        with contextlib.suppress(_LinkClosedError):
            await self._reply_to(envelope).send(failure)

    async def _answer(self, envelope: Envelope) -> None:
        reply = self._reply_to(envelope)
        with contextlib.suppress(_LinkClosedError):
            try:
                await self._run(envelope, reply)
            except OriolegaugeError as error:
                await reply.send(as_failure(error))
            except _LinkClosedError:
                raise
            except Exception:
                log.exception('peer call failed', peer=self._member)
                await reply.send(INTERNAL_FAILURE)

    async def _run(self, envelope: Envelope, reply: '_Reply') -> None:
        answer = await self._handler(envelope.sender, envelope.message)
        if isinstance(answer, AsyncIterator):
            await _send_parts(answer, reply)
            return
        await reply.send(Ack() if answer is None else answer)

    def _reply_to(self, envelope: Envelope) -> '_Reply':
        return _Reply(
            envelope=envelope,
            sender=self._sender,
            frames=self._frames,
            limits=self._limits,
        )


class _Reply:
    """Send the numbered parts of the answer to one message."""

    def __init__(
        self,
        *,
        envelope: Envelope,
        sender: Callable[[], Sender],
        frames: FrameSender,
        limits: LinkLimits,
    ) -> None:
        self._envelope = envelope
        self._sender = sender
        self._frames = frames
        self._limits = limits
        self._position = 0

    async def send(self, message: Message) -> None:
        """Send the next part, unless the message was one-way."""
        if self._envelope.one_way:
            return
        payload = encode(
            Envelope(
                message_id=0,
                sender=self._sender(),
                message=message,
                reply_to=self._envelope.message_id,
                position=self._position,
            )
        )
        if len(payload) > self._limits.max_message_bytes:
            raise MessageTooLargeError(
                f'answer of {len(payload)} bytes is too large',
                run_state=RunState.RAN,
            )
        limit = self._limits.max_unsent_bytes
        if isinstance(self._envelope.message, Forward):
            limit = self._limits.max_unsent_stream_bytes
        self._position += 1
        try:
            await self._frames.put(payload, max_bytes=limit)
        except ConnectionError as error:
            raise _LinkClosedError from error


async def _send_parts(parts: AsyncIterator[Message], reply: _Reply) -> None:
    async with _closing(parts):
        async for part in parts:
            await reply.send(part)
            if isinstance(part, End | Failure):
                return
    await reply.send(End())


@contextlib.asynccontextmanager
async def _closing(parts: AsyncIterator[Message]) -> AsyncIterator[None]:
    try:
        yield
    finally:
        close = getattr(parts, 'aclose', None)
        if close:
            await close()
