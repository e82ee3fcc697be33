"""Forward keyed requests to the member that owns them.

All retries of a key reach the same owner, which runs the request once. If the
owner is unreachable, the next member by rank takes its place.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

from multidict import CIMultiDict

from oriolegauge.core import rank
from oriolegauge.core.errors import AnswerIncompleteError
from oriolegauge.daemon.answersink import AnswerSink
from oriolegauge.daemon.callercall import CallerCall
from oriolegauge.mesh import PeerMesh
from oriolegauge.wire import PeerFailedError, WireError
from oriolegauge.wire.messages import (
    Chunk,
    Forward,
    Head,
    Header,
    Message,
)

ServeLocally = Callable[[AnswerSink], Awaitable[None]]
# Headers of the caller's connection; they are not forwarded to the owner.
CONNECTION_HEADERS = frozenset(('connection', 'host', 'transfer-encoding'))


class Forwarder:
    """Forward requests to their owner and relay the answer."""

    def __init__(self, *, mesh: PeerMesh, name: str) -> None:
        """Act as the member `name` of the mesh."""
        self._mesh = mesh
        self._name = name

    async def serve(
        self,
        sink: AnswerSink,
        request_id: str,
        call: CallerCall,
        *,
        timeout_s: float,
        serve_locally: ServeLocally,
    ) -> None:
        """Let the owner serve the call, or the next member if unreachable.

        Two members may thus run one request. Settlements and intents in the
        store keep it from being billed twice or, if it is non-idempotent,
        dispatched twice.
        """
        for member in rank(request_id, self._mesh.view().owners):
            if member == self._name:
                break
            if await self._try_owner(member, sink, call, timeout_s):
                return
        await serve_locally(sink)

    async def _try_owner(
        self,
        member: str,
        sink: AnswerSink,
        call: CallerCall,
        timeout_s: float,
    ) -> bool:
        """Relay the owner's answer; return False if it is unreachable."""
        try:
            await self._relay(member, sink, call, timeout_s)
        except PeerFailedError:
            raise
        except WireError as error:
            if sink.started:
                raise AnswerIncompleteError(
                    f'connection to owner {member} lost: {error.message}',
                    retry_after_s=1,
                ) from error
            return False
        return True

    async def _relay(
        self,
        member: str,
        sink: AnswerSink,
        call: CallerCall,
        timeout_s: float,
    ) -> None:
        parts = self._mesh.link(member).stream(_forward(call), timeout_s)
        async for part in parts:
            match part:
                case Head():
                    await sink.start(
                        part.status,
                        {row.name: row.value for row in part.headers},
                    )
                case Chunk():
                    await sink.write(part.data)
                case _:
                    raise AnswerIncompleteError(
                        'the owner sent an unexpected part of an answer'
                    )
        await sink.finish()


class PartsSink:
    """Turn an answer into peer messages, for the daemon that forwarded."""

    def __init__(self) -> None:
        """Start with an empty queue of messages."""
        self._parts: asyncio.Queue[Message | None] = asyncio.Queue()
        self._started = False

    @property
    def started(self) -> bool:
        """Return whether status and headers were sent."""
        return self._started

    @property
    def is_disconnected(self) -> bool:
        """Return False, as the forwarding daemon reads to the end."""
        return False

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Queue status and headers."""
        self._started = True
        rows = tuple(Header(name, text) for name, text in headers.items())
        self._parts.put_nowait(Head(status=status, headers=rows))

    async def write(self, data: bytes) -> None:
        """Queue bytes of the body."""
        self._parts.put_nowait(Chunk(data))

    async def finish(self) -> None:
        """Queue the end."""
        self._parts.put_nowait(None)

    async def parts(
        self, serve: Callable[['PartsSink'], Awaitable[None]]
    ) -> AsyncIterator[Message]:
        """Yield the messages of the answer by `serve`; raise its error."""
        task = asyncio.ensure_future(serve(self))
        task.add_done_callback(lambda _: self._parts.put_nowait(None))
        try:
            while (part := await self._parts.get()) is not None:
                yield part
            await task
        finally:
            task.cancel()


def received_call(message: Forward) -> CallerCall:
    """Return the caller's request from a forwarded message."""
    return CallerCall(
        method=message.method,
        path=message.path,
        headers=CIMultiDict((row.name, row.value) for row in message.headers),
        body=message.body,
    )


def _forward(call: CallerCall) -> Forward:
    return Forward(
        method=call.method,
        path=call.path,
        headers=tuple(
            Header(name, text)
            for name, text in call.headers.items()
            if name.lower() not in CONNECTION_HEADERS
        ),
        body=call.body,
    )
