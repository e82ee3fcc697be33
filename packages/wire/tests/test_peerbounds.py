import asyncio
import socket as sockets

import aiohttp
import aiohttp.web
import pytest

from oriolegauge.core import ResultCode, RunState
from oriolegauge.core.errors import NotFoundError
from oriolegauge.wire import (
    Envelope,
    LinkLimits,
    PeerBusyError,
    PeerFailedError,
    PeerTimeoutError,
    PeerUnreachableError,
    decode,
    encode,
    peerconnection,
)
from oriolegauge.wire.framesender import FrameSender
from oriolegauge.wire.messages import (
    Ack,
    Cancel,
    End,
    Forward,
    Head,
    Recall,
)

from .peers import (
    CLIENT,
    FORWARD,
    Peer,
    open_link,
    reserve,
    running_server,
    wait_until,
)


class DirectSender(FrameSender):
    """Faulty sender: each answer waits for the transport itself."""

    async def put(self, payload, *, max_bytes):
        await self._socket.send_bytes(payload)


class TestBounds:
    async def test_calls_above_the_limit_are_rejected(self):
        """Guards against a peer that starts calls without limit."""
        peer, limits = Peer(), LinkLimits(max_running_calls=3)
        async with (
            running_server(peer.handle, limits=limits) as port,
            open_link(port) as link,
        ):
            waiting = [
                asyncio.create_task(link.call(Recall('b', 'd1', 1), 5))
                for _ in range(3)
            ]
            await wait_until(lambda: len(peer.received) == 3)
            with pytest.raises(PeerFailedError) as caught:
                await link.call(reserve(), 5)
            assert caught.value.code is ResultCode.QUEUE_FULL
            assert caught.value.run_state is RunState.NOT_RUN
            assert caught.value.retry_after_s
            # Streams have a limit of their own.
            peer.may_finish.set()
            assert [part async for part in link.stream(FORWARD, 5)]
            assert await asyncio.gather(*waiting) == [Ack()] * 3

    async def test_link_to_a_peer_that_does_not_read_is_closed(self):
        """Guards against unlimited unsent bytes and a blocked sender."""
        held = asyncio.Event()

        async def hold(request):
            socket = aiohttp.web.WebSocketResponse()
            await socket.prepare(request)
            await held.wait()
            return socket

        app = aiohttp.web.Application()
        app.router.add_get('/link', hold)
        runner = aiohttp.web.AppRunner(app)
        await runner.setup()
        await aiohttp.web.TCPSite(runner, '127.0.0.1', 0).start()
        limits = LinkLimits(max_unsent_bytes=3_000_000, ping_period_s=1)
        big = Forward(method='POST', path='/', body=bytes(1_000_000))
        port = runner.addresses[0][1]
        async with open_link(port, limits=limits) as link:
            results = await asyncio.gather(
                *[link.call(big, 0.3) for _ in range(40)],
                return_exceptions=True,
            )
            kinds = {type(result) for result in results}
            assert kinds == {PeerTimeoutError, PeerBusyError}
            # The missing pong closes the link.
            await wait_until(lambda: not link.connected)
            held.set()
        await runner.cleanup()

    async def cancel_one_of_three_streams(self) -> None:
        """Cancel one while the transport is full; expect complete others."""
        peer = Peer()
        peer.chunks, peer.chunk = 40, bytes(200_000)
        peer.may_finish.set()
        received: dict[int, list] = {1: [], 2: [], 3: []}
        async with (
            running_server(peer.handle) as port,
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
            await wait_until(lambda: len(peer.received) == 3)
            await asyncio.sleep(0.2)
            await ask(4, Cancel(), reply_to=2)
            await wait_until(lambda: peer.finished == ['closed'])
            while sum(End() in parts for parts in received.values()) < 2:
                envelope = decode(await socket.receive_bytes(timeout=2))
                received[envelope.reply_to].append(envelope.message)
        assert len(received[1]) == len(received[3]) == peer.chunks + 3
        assert End() not in received[2]

    async def test_cancelling_a_stream_leaves_others_complete(self):
        """Guards against cancelling all streams that wait for the transport."""
        await self.cancel_one_of_three_streams()

    async def test_check_detects_shared_cancellation(self, monkeypatch):
        """Guards against a test above that passes with a faulty sender."""
        monkeypatch.setattr(peerconnection, 'FrameSender', DirectSender)
        with pytest.raises((TimeoutError, AssertionError)):
            await self.cancel_one_of_three_streams()

    async def test_unanswered_handshake_times_out_and_is_retried(self):
        """Guards against a paused peer that blocks the task of the link."""
        reached = []

        async def hold(reader, writer) -> None:
            reached.append(writer)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(hold, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        refused = []
        async with open_link(
            port,
            wait=False,
            limits=LinkLimits(connect_timeout_s=0.1),
            on_refused=lambda *args: refused.append(args),
        ):
            await wait_until(lambda: len(reached) >= 2)
        assert not refused
        server.close()


class TestServer:
    async def test_error_of_a_handler_becomes_an_internal_failure(self):
        """Guards against an error that closes the link or leaks its text."""

        async def fail(sender, message):
            raise ZeroDivisionError('secret')

        async with running_server(fail) as port, open_link(port) as link:
            for _ in range(2):
                with pytest.raises(PeerFailedError) as caught:
                    await link.call(reserve(), 5)
                assert caught.value.code is ResultCode.INTERNAL
                assert caught.value.run_state is RunState.UNKNOWN
                assert 'secret' not in caught.value.message

    async def test_error_within_a_stream_is_raised_to_the_reader(self):
        """Guards against a failed answer that looks complete."""

        async def parts():
            yield Head(status=200)
            raise NotFoundError('gone')

        async def handle(sender, message):
            return parts()

        async with running_server(handle) as port, open_link(port) as link:
            seen = []
            with pytest.raises(PeerFailedError):
                async for part in link.stream(FORWARD, 5):
                    seen.append(part)
            assert seen == [Head(status=200)]

    async def test_new_link_of_a_member_closes_the_old_one(self):
        """Guards against broken links that accumulate."""
        peer = Peer()
        async with (
            running_server(peer.handle) as port,
            open_link(port) as first,
            open_link(port) as second,
        ):
            assert await second.call(reserve(), 5)
            await wait_until(lambda: not first.connected)

    async def test_close_cancels_running_calls(self):
        """Guards against a shutdown that waits for the calls of peers."""
        peer = Peer()
        async with running_server(peer.handle) as port:
            opening = open_link(port)
            link = await opening.__aenter__()
            call = asyncio.create_task(link.call(Recall('b', 'd1', 1), 60))
            await wait_until(lambda: bool(peer.received))
            began = asyncio.get_running_loop().time()
        assert asyncio.get_running_loop().time() - began < 2
        with pytest.raises(PeerUnreachableError):
            await call
        await opening.__aexit__(None, None, None)
