import asyncio
import base64
import contextlib
import hashlib
import random
import re
import socket as sockets
import zlib
from collections.abc import AsyncIterator, Callable

import aiohttp
import aiohttp.web
import pytest
from oriolegauge.core import ResultCode, RunState
from oriolegauge.core.errors import AnswerIncompleteError, NotFoundError
from oriolegauge.wire import (
    Envelope,
    LinkLimits,
    MalformedMessageError,
    MessageTooLargeError,
    PeerBusyError,
    PeerFailedError,
    PeerLink,
    PeerServer,
    PeerTimeoutError,
    PeerUnreachableError,
    Sender,
    StreamOverflowError,
    decode,
    encode,
    peerconnection,
)
from oriolegauge.wire.framesender import FrameSender
from oriolegauge.wire.messages import (
    Ack,
    Cancel,
    Chunk,
    End,
    Forward,
    Head,
    JournalQuery,
    Recall,
    Reserve,
    ReserveAnswer,
)

SERVER = Sender('d2', 'inc2')
CLIENT = Sender('d1', 'inc1')
# Long even after deflating.
LONG_TEXT = random.Random(1).randbytes(4000).hex()
FORWARD = Forward(method='POST', path='/v1/completions', body=b'{}')


def reserve(tokens: int = 5, request_id: str = 'r1') -> Reserve:
    return Reserve(
        budget='b',
        request_id=request_id,
        tokens=tokens,
        minimum=1,
        holder='d1/inc1',
    )


class Peer:
    """Answer by message type; keep what was asked and cancelled."""

    def __init__(self) -> None:
        self.seen: list[object] = []
        self.finished: list[str] = []
        self.gate = asyncio.Event()
        self.chunks = 3
        self.chunk = b'x' * 100

    async def handle(self, sender: Sender, message):
        self.seen.append((sender, message))
        match message:
            case Reserve(tokens=tokens):
                return ReserveAnswer(granted=tokens, free=10)
            case Recall():
                await self.gate.wait()
                self.finished.append('recall')
                return None
            case JournalQuery():
                raise NotFoundError('no such holder')
            case Forward():
                return self.parts()
        return None

    async def parts(self) -> AsyncIterator[object]:
        try:
            yield Head(status=200)
            for _ in range(self.chunks):
                yield Chunk(self.chunk)
            await self.gate.wait()
            yield Chunk(b'last')
            self.finished.append('stream')
        finally:
            self.finished.append('closed')


class Proxy:
    """Forward TCP, and cut all connections when asked."""

    def __init__(self, port: int) -> None:
        self.target = port
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.pipe, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]

    async def pipe(self, reader, writer) -> None:
        there = await asyncio.open_connection('127.0.0.1', self.target)
        self.writers += [writer, there[1]]
        await asyncio.gather(
            self.copy(reader, there[1]), self.copy(there[0], writer)
        )

    async def copy(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.close()

    def cut(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


@contextlib.asynccontextmanager
async def serving(
    handler: Callable, *, limits: LinkLimits | None = None, **options
) -> AsyncIterator[int]:
    server = PeerServer(
        sender=lambda: SERVER,
        handler=handler,
        is_member=lambda name: name in {'d1', 'd2'},
        limits=limits,
        **options,
    )
    try:
        yield await server.listen('127.0.0.1', 0)
    finally:
        await server.close()


@contextlib.asynccontextmanager
async def linked(
    port: int,
    *,
    sender: Sender = CLIENT,
    scheme: str = 'ws',
    wait: bool = True,
    **options,
) -> AsyncIterator[PeerLink]:
    async with aiohttp.ClientSession() as session:
        link = PeerLink(
            peer='d2',
            url=f'{scheme}://127.0.0.1:{port}/link',
            session=session,
            sender=lambda: sender,
            **options,
        )
        task = asyncio.create_task(link.run())
        try:
            if wait:
                await link.wait_connected(5)
            yield link
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


class TestCalls:
    async def test_answers_and_failures(self):
        """Guards against losing the error meaning on the way to the caller."""
        peer, answered = Peer(), []
        async with (
            serving(peer.handle) as port,
            linked(
                port, on_answered=lambda sender, _: answered.append(sender)
            ) as link,
        ):
            assert await link.call(reserve(7), 5) == ReserveAnswer(
                granted=7, free=10
            )
            with pytest.raises(PeerFailedError) as caught:
                await link.call(JournalQuery(holder='x/1'), 5)
            assert caught.value.code == NotFoundError.code
            assert caught.value.run_state is RunState.NOT_RUN
            peer.gate.set()
            assert await link.call(Recall(budget='b', tokens=1), 5) == Ack()
            await link.send(reserve(9))
            await until(lambda: len(peer.seen) == 4)
            assert peer.seen[0] == (CLIENT, reserve(7))
            assert set(answered) == {SERVER}

    async def test_cut_in_a_call(self):
        """Guards against a caller that waits for its timeout after a cut."""
        peer = Peer()
        async with serving(peer.handle) as port:
            proxy = Proxy(port)
            async with linked(await proxy.start()) as link:
                call = asyncio.create_task(
                    link.call(Recall(budget='b', tokens=1), 60)
                )
                await until(lambda: bool(peer.seen))
                proxy.cut()
                with pytest.raises(PeerUnreachableError) as caught:
                    await asyncio.wait_for(call, 2)
                assert caught.value.run_state is RunState.UNKNOWN
                with pytest.raises(PeerUnreachableError) as caught:
                    await link.call(reserve(), 5)
                assert caught.value.run_state is RunState.NOT_RUN
                # The call in progress is not torn down half way.
                peer.gate.set()
                await until(lambda: peer.finished == ['recall'])
                await link.wait_connected(5)
                assert await link.call(reserve(), 5)

    async def test_late_answer_is_dropped(self):
        """Guards against giving a late answer to the next call."""
        peer = Peer()
        async with serving(peer.handle) as port, linked(port) as link:
            with pytest.raises(PeerTimeoutError):
                await link.call(Recall(budget='b', tokens=1), 0.05)
            call = asyncio.create_task(link.call(reserve(3), 5))
            peer.gate.set()
            assert (await call).granted == 3
            await until(lambda: link.dropped_answers == 1)

    async def test_oversized_message(self):
        """Guards against a message that breaks the link for all others."""
        peer = Peer()
        limits = LinkLimits(max_message_bytes=2000)
        async with (
            serving(peer.handle, limits=limits) as port,
            linked(port, limits=limits) as link,
        ):
            with pytest.raises(MessageTooLargeError):
                await link.call(reserve(request_id=LONG_TEXT), 5)
            peer.chunk = b'x' * 4000
            with pytest.raises(PeerFailedError):
                [part async for part in link.stream(FORWARD, 5)]
            assert await link.call(reserve(), 5)

    async def test_peer_sends_more_than_allowed(self):
        """Guards against unbounded memory when a peer ignores the limit."""
        peer = Peer()
        async with (
            serving(
                peer.handle, limits=LinkLimits(max_message_bytes=2000)
            ) as port,
            linked(port) as link,
        ):
            with pytest.raises(PeerUnreachableError):
                await link.call(reserve(request_id=LONG_TEXT), 5)
            assert not peer.seen

    async def test_refused_connection_is_reported(self):
        """Guards against losing the evidence of a dead process."""
        async with serving(Peer().handle) as port:
            pass
        refused = []
        async with linked(
            port,
            wait=False,
            on_refused=lambda name, at: refused.append((name, at)),
        ):
            await until(lambda: len(refused) == 2)
        (name, first), (_, second) = refused
        assert name == 'd2'
        assert second - first >= 0.2


class TestStreams:
    async def test_whole_stream(self):
        """Guards against an answer without its parts in order."""
        peer = Peer()
        peer.gate.set()
        async with serving(peer.handle) as port, linked(port) as link:
            parts = [part async for part in link.stream(FORWARD, 5)]
        assert parts == [
            Head(status=200),
            *[Chunk(peer.chunk)] * 3,
            Chunk(b'last'),
        ]
        assert peer.finished == ['stream', 'closed']

    async def test_cut_in_a_stream(self):
        """Guards against a cut answer that looks complete, and its work."""
        peer = Peer()
        async with serving(peer.handle) as port:
            proxy = Proxy(port)
            async with linked(await proxy.start()) as link:
                parts = []
                with pytest.raises(PeerUnreachableError):
                    async for part in link.stream(FORWARD, 60):
                        parts.append(part)
                        if len(parts) == 4:
                            proxy.cut()
                assert len(parts) == 4
                await until(lambda: peer.finished == ['closed'])

    async def test_abandoned_stream_is_cancelled(self):
        """Guards against work for a caller who has left."""
        peer = Peer()
        async with serving(peer.handle) as port, linked(port) as link:
            async with contextlib.aclosing(link.stream(FORWARD, 5)) as parts:
                assert await anext(parts) == Head(status=200)
            await until(lambda: peer.finished == ['closed'])
            assert await link.call(reserve(), 5)

    async def test_overflow_leaves_calls_alone(self):
        """Guards against a slow reader that blocks the whole link."""
        peer = Peer()
        peer.chunks = 5000
        limits = LinkLimits(stream_buffer_bytes=20_000)
        async with (
            serving(peer.handle) as port,
            linked(port, limits=limits) as link,
        ):
            slow = link.stream(FORWARD, 5)
            assert await anext(slow) == Head(status=200)
            for number in range(50):
                answer = await link.call(reserve(number + 1), 5)
                assert answer.granted == number + 1
            await until(lambda: link.dropped_answers > 100)
            with pytest.raises(StreamOverflowError):
                [part async for part in slow]
            await until(lambda: 'closed' in peer.finished)
            assert 'stream' not in peer.finished


class TestCrossedAnswers:
    """A peer that answers wrongly, driven frame by frame."""

    @staticmethod
    async def script(answers: Callable[[int], list[bytes]], use: Callable):
        async def handle(request):
            socket = aiohttp.web.WebSocketResponse()
            await socket.prepare(request)
            async for frame in socket:
                asked = decode(frame.data).message_id
                for payload in answers(asked):
                    await socket.send_bytes(payload)
            return socket

        app = aiohttp.web.Application()
        app.router.add_get('/link', handle)
        runner = aiohttp.web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        site = aiohttp.web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        try:
            async with linked(runner.addresses[0][1]) as link:
                return await use(link)
        finally:
            await runner.cleanup()

    @staticmethod
    def answer(reply_to: int, message, *, name: str = 'd2', position: int = 0):
        return encode(
            Envelope(
                message_id=1,
                sender=Sender(name, 'i'),
                message=message,
                reply_to=reply_to,
                position=position,
            )
        )

    async def test_only_its_own_answer_counts(self):
        """Guards against taking an answer of another call, peer or time."""

        def answers(asked: int) -> list[bytes]:
            return [
                self.answer(asked + 1, ReserveAnswer(granted=1, free=0)),
                self.answer(asked, ReserveAnswer(granted=2, free=0), name='d9'),
                self.answer(asked, ReserveAnswer(granted=3, free=0)),
                self.answer(asked, ReserveAnswer(granted=4, free=0)),
            ]

        async def use(link: PeerLink):
            granted = [(await link.call(reserve(), 5)).granted for _ in 'abc']
            await until(lambda: link.dropped_answers == 9)
            return granted

        assert await self.script(answers, use) == [3, 3, 3]

    async def test_repeated_and_missing_parts(self):
        """Guards against a streamed answer with doubled or lost parts."""

        def answers(asked: int) -> list[bytes]:
            return [
                self.answer(asked, Chunk(text), position=position)
                for text, position in (
                    (b'a', 0),
                    (b'b', 1),
                    (b'b', 1),
                    (b'd', 3),
                )
            ]

        async def use(link: PeerLink):
            parts = []
            with pytest.raises(AnswerIncompleteError):
                async for part in link.stream(FORWARD, 5):
                    parts.append(part.data)
            return parts

        assert await self.script(answers, use) == [b'a', b'b']

    async def test_malformed_answer_closes_the_link(self):
        """Guards against going on with a peer that speaks another protocol."""

        async def use(link: PeerLink):
            with pytest.raises(PeerUnreachableError):
                await link.call(reserve(), 5)
            assert not link.connected

        await self.script(lambda _: [b'\x01garbage'], use)


class TestStrangers:
    async def test_unlisted_member(self):
        """Guards against serving a process that is no member."""
        peer = Peer()
        async with (
            serving(peer.handle) as port,
            linked(port, sender=Sender('d7', 'x'), wait=False) as link,
        ):
            with pytest.raises(PeerUnreachableError):
                await link.wait_connected(0.5)
        assert not peer.seen

    async def test_sender_other_than_announced(self):
        """Guards against a member that speaks in another's name."""
        peer, names = Peer(), iter(['d1'])
        async with (
            serving(peer.handle) as port,
            aiohttp.ClientSession() as session,
        ):
            link = PeerLink(
                peer='d2',
                url=f'ws://127.0.0.1:{port}/link',
                session=session,
                sender=lambda: Sender(next(names, 'd2'), 'x'),
            )
            task = asyncio.create_task(link.run())
            await link.wait_connected(5)
            with pytest.raises(PeerUnreachableError):
                await link.call(reserve(), 5)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert not peer.seen

    async def test_malformed_frames_close_the_link(self):
        """Guards against a link that goes on after bytes it can't read."""
        peer = Peer()
        async with (
            serving(peer.handle) as port,
            aiohttp.ClientSession() as session,
            session.ws_connect(
                f'ws://127.0.0.1:{port}/link',
                headers={'X-Oriolegauge-Member': 'd1'},
            ) as socket,
        ):
            await socket.send_bytes(b'\x00\x01\x02')
            frame = await socket.receive(5)
            assert frame.type is aiohttp.WSMsgType.CLOSE
            assert frame.data == aiohttp.WSCloseCode.PROTOCOL_ERROR
        assert not peer.seen

    def test_inflating_is_bounded(self):
        """Guards against a small message that expands to much memory."""
        with pytest.raises(MalformedMessageError):
            decode(b'\x01' + zlib.compress(bytes(100_000_000)))


class DirectSender(FrameSender):
    """Broken: each answer waits for the transport by itself."""

    async def put(self, payload, *, max_bytes):
        await self._socket.send_bytes(payload)


class TestBounds:
    async def test_running_calls(self):
        """Guards against a peer that starts work without bound."""
        peer, limits = Peer(), LinkLimits(max_running_calls=3)
        async with (
            serving(peer.handle, limits=limits) as port,
            linked(port) as link,
        ):
            waiting = [
                asyncio.create_task(link.call(Recall(budget='b', tokens=1), 5))
                for _ in range(3)
            ]
            await until(lambda: len(peer.seen) == 3)
            with pytest.raises(PeerFailedError) as caught:
                await link.call(reserve(), 5)
            assert caught.value.code is ResultCode.QUEUE_FULL
            assert caught.value.run_state is RunState.NOT_RUN
            assert caught.value.retry_after_s
            # Streams have a bound of their own.
            peer.gate.set()
            assert [part async for part in link.stream(FORWARD, 5)]
            assert await asyncio.gather(*waiting) == [Ack()] * 3

    async def test_pending_calls(self):
        """Guards against calls that pile up in the memory of the caller."""
        peer, limits = Peer(), LinkLimits(max_pending_calls=2)
        async with (
            serving(peer.handle) as port,
            linked(port, limits=limits) as link,
        ):
            waiting = [
                asyncio.create_task(link.call(Recall(budget='b', tokens=1), 5))
                for _ in range(2)
            ]
            await until(lambda: len(peer.seen) == 2)
            with pytest.raises(PeerBusyError) as caught:
                await link.call(reserve(), 5)
            assert caught.value.run_state is RunState.NOT_RUN
            peer.gate.set()
            await asyncio.gather(*waiting)
            assert await link.call(reserve(), 5)

    async def test_peer_that_does_not_read(self):
        """Guards against unsent bytes without bound, and a stuck sender."""
        held = asyncio.Event()

        async def hold(reader, writer) -> None:
            request = await reader.readuntil(b'\r\n\r\n')
            key = re.search(rb'Sec-WebSocket-Key: (\S+)', request)[1]
            guid = b'258EAFA5-E914-47DA-95CA-C5AB0DC85B11'
            accept = base64.b64encode(hashlib.sha1(key + guid).digest())
            writer.write(
                b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n'
                b'Connection: Upgrade\r\nSec-WebSocket-Accept: '
                + accept
                + b'\r\n\r\n'
            )
            await held.wait()
            writer.close()

        server = await asyncio.start_server(hold, '127.0.0.1', 0, limit=1024)
        port = server.sockets[0].getsockname()[1]
        limits = LinkLimits(max_unsent_bytes=3_000_000, ping_period_s=1)
        big = Forward(method='POST', path='/', body=bytes(1_000_000))
        async with linked(port, limits=limits) as link:
            results = await asyncio.gather(
                *[link.call(big, 0.3) for _ in range(40)],
                return_exceptions=True,
            )
            kinds = {type(result) for result in results}
            assert kinds <= {PeerTimeoutError, PeerBusyError}
            assert PeerBusyError in kinds
            # The missing pong ends the link.
            await until(lambda: not link.connected)
            held.set()
        server.close()

    async def cancel_one_of_three_streams(self) -> None:
        """Cancel while the transport is full; expect the others whole."""
        peer = Peer()
        peer.chunks, peer.chunk = 40, bytes(200_000)
        peer.gate.set()
        received: dict[int, list] = {1: [], 2: [], 3: []}
        async with (
            serving(peer.handle) as port,
            aiohttp.ClientSession() as session,
            session.ws_connect(
                f'ws://127.0.0.1:{port}/link',
                headers={'X-Oriolegauge-Member': 'd1'},
            ) as socket,
        ):

            async def ask(number: int, message, reply_to: int = 0) -> None:
                await socket.send_bytes(
                    encode(
                        Envelope(
                            message_id=number,
                            sender=CLIENT,
                            message=message,
                            reply_to=reply_to,
                        )
                    )
                )

            raw = socket.get_extra_info('socket')
            raw.setsockopt(sockets.SOL_SOCKET, sockets.SO_RCVBUF, 65536)
            for number in received:
                await ask(number, FORWARD)
            await until(lambda: len(peer.seen) == 3)
            await asyncio.sleep(0.2)
            await ask(4, Cancel(), reply_to=2)
            await until(lambda: peer.finished == ['closed'])
            while sum(End() in parts for parts in received.values()) < 2:
                envelope = decode(await socket.receive_bytes(timeout=2))
                received[envelope.reply_to].append(envelope.message)
        assert len(received[1]) == len(received[3]) == peer.chunks + 3
        assert End() not in received[2]

    async def test_cancelled_stream_while_the_transport_is_full(self):
        """Guards against a cancelled stream that takes others with it."""
        await self.cancel_one_of_three_streams()

    async def test_broken_sender_is_caught(self, monkeypatch):
        """Guards against a check too weak to see shared cancellation."""
        monkeypatch.setattr(peerconnection, 'FrameSender', DirectSender)
        with pytest.raises((TimeoutError, AssertionError)):
            await self.cancel_one_of_three_streams()

    async def test_peer_that_never_answers_the_handshake(self):
        """Guards against a paused peer that holds the link task."""
        reached = []

        async def hold(reader, writer) -> None:
            reached.append(writer)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(hold, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        refused = []
        async with linked(
            port,
            wait=False,
            limits=LinkLimits(connect_timeout_s=0.1),
            on_refused=lambda *args: refused.append(args),
        ):
            await until(lambda: len(reached) >= 2)
        assert not refused
        server.close()


class TestServer:
    async def test_error_of_a_handler(self):
        """Guards against a fault that ends the link, or leaks its text."""

        async def fail(sender, message):
            raise ZeroDivisionError('secret')

        async with serving(fail) as port, linked(port) as link:
            for _ in range(2):
                with pytest.raises(PeerFailedError) as caught:
                    await link.call(reserve(), 5)
                assert caught.value.code is ResultCode.INTERNAL
                assert caught.value.run_state is RunState.UNKNOWN
                assert 'secret' not in caught.value.message

    async def test_failure_within_a_stream(self):
        """Guards against a failed answer that looks whole."""

        async def parts():
            yield Head(status=200)
            raise NotFoundError('gone')

        async def handle(sender, message):
            return parts()

        async with serving(handle) as port, linked(port) as link:
            seen = []
            with pytest.raises(PeerFailedError):
                async for part in link.stream(FORWARD, 5):
                    seen.append(part)
            assert seen == [Head(status=200)]

    async def test_newest_link_of_a_member_wins(self):
        """Guards against links left over from a cut, which pile up."""
        peer = Peer()
        async with (
            serving(peer.handle) as port,
            linked(port) as first,
            linked(port) as second,
        ):
            assert await second.call(reserve(), 5)
            await until(lambda: not first.connected)

    async def test_close_ends_calls_at_once(self):
        """Guards against a daemon that can't stop for its peers."""
        peer = Peer()
        async with serving(peer.handle) as port:
            opening = linked(port)
            link = await opening.__aenter__()
            call = asyncio.create_task(
                link.call(Recall(budget='b', tokens=1), 60)
            )
            await until(lambda: bool(peer.seen))
            began = asyncio.get_running_loop().time()
        assert asyncio.get_running_loop().time() - began < 2
        with pytest.raises(PeerUnreachableError):
            await call
        await opening.__aexit__(None, None, None)
