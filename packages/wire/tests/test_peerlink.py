import asyncio
import contextlib
import socket
import zlib
from collections.abc import Callable

import aiohttp
import aiohttp.web
import pytest

from oriolegauge.core import RunState
from oriolegauge.core.errors import AnswerIncompleteError, NotFoundError
from oriolegauge.wire import (
    Envelope,
    LinkLimits,
    MalformedMessageError,
    MessageTooLargeError,
    PeerFailedError,
    PeerLink,
    PeerServer,
    PeerTimeoutError,
    PeerUnreachableError,
    Sender,
    StreamOverflowError,
    decode,
    encode,
    one_way_frame,
)
from oriolegauge.wire.messages import (
    Ack,
    Chunk,
    Head,
    JournalQuery,
    Recall,
    ReserveAnswer,
)

from .peers import (
    CLIENT,
    FORWARD,
    LONG_TEXT,
    SERVER,
    Peer,
    Proxy,
    open_link,
    reserve,
    running_server,
    wait_until,
)


class TestSilentLinks:
    async def test_both_ends_notice_bytes_that_nobody_acknowledges(self):
        """Guards against a link that loses all, and counts as open for 6 s."""
        server = PeerServer(
            sender=lambda: SERVER,
            handler=Peer().handle,
            is_member=lambda _: True,
        )
        port = await server.listen('127.0.0.1', 0)
        async with open_link(port) as link:
            await link.call(reserve(1), 5)
            [connection] = server._connections.values()
            for end in (link._frames, connection._frames):
                raw = end._socket.get_extra_info('socket')
                timeout_ms = raw.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                )
                assert 0 < timeout_ms <= 2_000
                assert raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        await server.close()


class TestCalls:
    async def test_calls_return_answers_and_raise_failures(self):
        """Guards against losing the code or run state of a peer's error."""
        peer, answered = Peer(), []
        async with (
            running_server(peer.handle) as port,
            open_link(
                port, on_answered=lambda sender, _: answered.append(sender)
            ) as link,
        ):
            assert await link.call(reserve(7), 5) == ReserveAnswer(
                'x', 7, 'd1/1'
            )
            with pytest.raises(PeerFailedError) as caught:
                await link.call(JournalQuery('x/1'), 5)
            assert caught.value.code == NotFoundError.code
            assert caught.value.run_state is RunState.NOT_RUN
            peer.may_finish.set()
            assert await link.call(Recall('b', 'd1', 1), 5) == Ack()
            await link.send(reserve(9))
            await wait_until(lambda: len(peer.received) == 4)
            assert peer.received[0] == (CLIENT, reserve(7))
            assert set(answered) == {SERVER}

    async def test_one_frame_can_be_sent_many_times(self):
        """Guards against encoding a heartbeat again for each neighbour."""
        peer = Peer()
        frame = one_way_frame(CLIENT, reserve(9))
        async with (
            running_server(peer.handle) as port,
            open_link(port) as link,
        ):
            link.send_frame(frame)
            link.send_frame(frame)
            await wait_until(lambda: len(peer.received) == 2)
            assert peer.received == [(CLIENT, reserve(9))] * 2
            assert not link.dropped_answers

    async def test_broken_link_fails_pending_calls_at_once(self):
        """Guards against callers that wait for a timeout on a broken link."""
        peer = Peer()
        async with running_server(peer.handle) as port:
            proxy = Proxy(port)
            async with open_link(await proxy.start()) as link:
                call = asyncio.create_task(link.call(Recall('b', 'd1', 1), 60))
                await wait_until(lambda: bool(peer.received))
                proxy.cut()
                with pytest.raises(PeerUnreachableError) as caught:
                    await asyncio.wait_for(call, 2)
                assert caught.value.run_state is RunState.UNKNOWN
                with pytest.raises(PeerUnreachableError) as caught:
                    await link.call(reserve(), 5)
                assert caught.value.run_state is RunState.NOT_RUN
                # The peer still completes the running call.
                peer.may_finish.set()
                await wait_until(lambda: peer.finished == ['recall'])
                await link.wait_connected(5)
                assert await link.call(reserve(), 5)

    async def test_late_answer_is_dropped(self):
        """Guards against returning a late answer to the next call."""
        peer = Peer()
        async with running_server(peer.handle) as port, open_link(port) as link:
            with pytest.raises(PeerTimeoutError):
                await link.call(Recall('b', 'd1', 1), 0.05)
            call = asyncio.create_task(link.call(reserve(3), 5))
            peer.may_finish.set()
            assert (await call).tokens == 3
            await wait_until(lambda: link.dropped_answers == 1)

    async def test_oversized_message_fails_only_its_call(self):
        """Guards against a large message that closes the link for others."""
        peer = Peer()
        limits = LinkLimits(max_message_bytes=2000)
        async with (
            running_server(peer.handle, limits=limits) as port,
            open_link(port, limits=limits) as link,
        ):
            with pytest.raises(MessageTooLargeError):
                await link.call(reserve(request_id=LONG_TEXT), 5)
            peer.chunk = b'x' * 4000
            with pytest.raises(PeerFailedError):
                [part async for part in link.stream(FORWARD, 5)]
            assert await link.call(reserve(), 5)

    async def test_message_above_the_limit_of_the_server_is_rejected(self):
        """Guards against unlimited memory if a peer ignores the limit."""
        peer = Peer()
        async with (
            running_server(
                peer.handle, limits=LinkLimits(max_message_bytes=2000)
            ) as port,
            open_link(port) as link,
        ):
            with pytest.raises(PeerUnreachableError):
                await link.call(reserve(request_id=LONG_TEXT), 5)
            assert not peer.received

    async def test_refused_connection_is_reported(self):
        """Guards against losing the proof that a process has ended."""
        async with running_server(Peer().handle) as port:
            pass
        refused = []
        async with open_link(
            port,
            wait=False,
            on_refused=lambda name, at: refused.append((name, at)),
        ):
            await wait_until(lambda: len(refused) == 2)
        (name, first), (_, second) = refused
        assert name == 'd2'
        assert second - first >= 0.2


class TestStreams:
    async def test_stream_yields_all_parts_in_order(self):
        """Guards against missing or reordered parts of an answer."""
        peer = Peer()
        peer.may_finish.set()
        async with running_server(peer.handle) as port, open_link(port) as link:
            parts = [part async for part in link.stream(FORWARD, 5)]
        assert parts == [
            Head(status=200),
            *[Chunk(peer.chunk)] * 3,
            Chunk(b'last'),
        ]
        assert peer.finished == ['stream', 'closed']

    async def test_broken_link_fails_and_cancels_streams(self):
        """Guards against a partial answer that looks complete.

        The peer must also stop the work for it.
        """
        peer = Peer()
        async with running_server(peer.handle) as port:
            proxy = Proxy(port)
            async with open_link(await proxy.start()) as link:
                parts = []
                with pytest.raises(PeerUnreachableError):
                    async for part in link.stream(FORWARD, 60):
                        parts.append(part)
                        if len(parts) == 4:
                            proxy.cut()
                assert len(parts) == 4
                await wait_until(lambda: peer.finished == ['closed'])

    async def test_abandoned_stream_is_cancelled(self):
        """Guards against work for a caller that has disconnected."""
        peer = Peer()
        async with running_server(peer.handle) as port, open_link(port) as link:
            async with contextlib.aclosing(link.stream(FORWARD, 5)) as parts:
                assert await anext(parts) == Head(status=200)
            await wait_until(lambda: peer.finished == ['closed'])
            assert await link.call(reserve(), 5)

    async def test_stream_overflow_does_not_delay_calls(self):
        """Guards against a slow reader that blocks the whole link."""
        peer = Peer()
        peer.chunks = 5000
        limits = LinkLimits(stream_buffer_bytes=20_000)
        async with (
            running_server(peer.handle) as port,
            open_link(port, limits=limits) as link,
        ):
            slow = link.stream(FORWARD, 5)
            assert await anext(slow) == Head(status=200)
            for number in range(50):
                answer = await link.call(reserve(number + 1), 5)
                assert answer.tokens == number + 1
            await wait_until(lambda: link.dropped_answers > 100)
            with pytest.raises(StreamOverflowError):
                [part async for part in slow]
            await wait_until(lambda: 'closed' in peer.finished)
            assert 'stream' not in peer.finished


class TestFaultyAnswers:
    """Answers of a faulty peer, given frame by frame."""

    @staticmethod
    async def run_with_answers(
        answers: Callable[[int], list[bytes]], use: Callable
    ):
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
            async with open_link(runner.addresses[0][1]) as link:
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

    async def test_only_the_first_answer_to_a_call_is_returned(self):
        """Guards against answers to other calls, of other peers or repeated."""

        def answers(asked: int) -> list[bytes]:
            return [
                self.answer(asked + 1, ReserveAnswer('x', 1, 'd1/1')),
                self.answer(asked, ReserveAnswer('x', 2, 'd1/1'), name='d9'),
                self.answer(asked, ReserveAnswer('x', 3, 'd1/1')),
                self.answer(asked, ReserveAnswer('x', 4, 'd1/1')),
            ]

        async def use(link: PeerLink):
            granted = [(await link.call(reserve(), 5)).tokens for _ in 'abc']
            await wait_until(lambda: link.dropped_answers == 9)
            return granted

        assert await self.run_with_answers(answers, use) == [3, 3, 3]

    async def test_repeated_parts_are_dropped_and_missing_ones_fail(self):
        """Guards against a streamed answer with repeated or missing parts."""

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

        assert await self.run_with_answers(answers, use) == [b'a', b'b']

    async def test_malformed_answer_closes_the_link(self):
        """Guards against keeping a link to a peer with another protocol."""

        async def use(link: PeerLink):
            with pytest.raises(PeerUnreachableError):
                await link.call(reserve(), 5)
            assert not link.connected

        await self.run_with_answers(lambda _: [b'\x01garbage'], use)


class TestUnauthorizedPeers:
    async def test_link_of_a_non_member_is_rejected(self):
        """Guards against serving a process that is not a member."""
        peer = Peer()
        async with (
            running_server(peer.handle) as port,
            open_link(port, sender=Sender('d7', 'x'), wait=False) as link,
        ):
            with pytest.raises(PeerUnreachableError):
                await link.wait_connected(0.5)
        assert not peer.received

    async def test_message_of_another_sender_closes_the_link(self):
        """Guards against a member that sends messages in another's name."""
        peer, names = Peer(), iter(['d1'])
        async with (
            running_server(peer.handle) as port,
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
        assert not peer.received

    async def test_malformed_frames_close_the_link(self):
        """Guards against a link that stays open after malformed bytes."""
        peer = Peer()
        async with (
            running_server(peer.handle) as port,
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
        assert not peer.received

    def test_decompressed_size_is_limited(self):
        """Guards against a small message that decompresses to much memory."""
        with pytest.raises(MalformedMessageError):
            decode(b'\x01' + zlib.compress(bytes(100_000_000)))
