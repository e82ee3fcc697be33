"""Requests of callers at a host that reaches no server."""

import asyncio
import contextlib
import random
import socket
from contextlib import asynccontextmanager

import pytest

from oriolegauge.forwarding.callerlistener import CallerListener
from oriolegauge.forwarding.peerrelay import (
    MAX_RUNNING_PER_PEER,
    REFUSED_PAUSE_S,
    PeerRelay,
    RelayPeer,
)
from oriolegauge.forwarding.serverplaces import ServerPlaces
from oriolegauge.routing.brittleservices import BrittleServices
from oriolegauge.routing.placeshares import PlaceShares

from .world import (
    HOST,
    NAMES,
    ScriptedServer,
    World,
    chunk,
    event,
    reply,
    request_bytes,
    reset_connection,
    stream_head,
)

BODY = b'b' * 40_000


class FoundPeers:
    """Peers that a test has set."""

    def __init__(self, *ports):
        self.found = [RelayPeer(f'p{port}', (HOST, port)) for port in ports]

    def find(self, service, excluded):
        return [peer for peer in self.found if peer.name not in excluded]


def relay_of(world, peers):
    relay = PeerRelay(
        peers=peers,
        reach=world.reach,
        test_server=lambda _: None,
        names=NAMES,
        buffers=world.buffers,
        choose=random.Random(1).choice,
    )
    world.forwarder.relay_by(relay)
    return relay


class GoneServer(ScriptedServer):
    """Refuse connections, and keep the port from other listeners."""

    async def start(self):
        self._reserving = socket.socket()
        self._reserving.bind((HOST, 0))
        self.port = self._reserving.getsockname()[1]

    async def stop(self):
        self._reserving.close()


@asynccontextmanager
async def relay_port(world):
    """Let a world take requests of peers; return the port."""
    listener = CallerListener(
        handler=world.forwarder.handle_relayed,
        limits=lambda: world.limits,
        max_connections=100,
        buffers=world.body_buffers,
    )
    port = await listener.listen(HOST, 0)
    try:
        yield port
    finally:
        listener.close()
        listener.drain()


@asynccontextmanager
async def two_daemons(*servers):
    """Run a daemon that reaches no server, and one that reaches all."""
    async with contextlib.AsyncExitStack() as stack:
        cut = await stack.enter_async_context(World(GoneServer()))
        peer = await stack.enter_async_context(World(*servers))
        port = await stack.enter_async_context(relay_port(peer))
        relay_of(cut, FoundPeers(port))
        yield cut, peer


async def streamed(seen, writer):
    writer.write(stream_head(seen))
    for number in (1, 2, 3):
        writer.write(chunk(event(number)))
    writer.write(b'0\r\n\r\n')


class TestCallersOfACutOffHost:
    @pytest.mark.parametrize('path', ['/once/x?q=1', '/safe/x', '/open/x'])
    async def test_call_is_served_by_a_peer(self, path):
        """Guards against callers that are refused by hosts without servers."""
        server = ScriptedServer()
        async with two_daemons(server) as (cut, _):
            for number in range(3):
                answer = await cut.call(
                    path, request_id=f'r{number}', body=BODY
                )
                assert answer.first_line.startswith('HTTP/1.1 200')
                assert answer.headers['x-server-signature'] == 'sig'
                assert answer.body == b'ok'
        assert [seen.request_id for seen in server.seen] == ['r0', 'r1', 'r2']
        assert {seen.body for seen in server.seen} == {BODY}
        assert {seen.first_line for seen in server.seen} == {
            f'POST {path} HTTP/1.1'
        }
        assert not any('x-api-key' in seen.headers for seen in server.seen)

    async def test_stream_is_served_whole_and_billed_once(self):
        """Guards against tokens that two daemons reserve for one request."""
        async with two_daemons(ScriptedServer(streamed)) as (cut, peer):
            for _ in range(2):
                answer = await cut.call('/review/x', body=b'{}')
                assert answer.body == event(1) + event(2) + event(3)
            await asyncio.sleep(0.05)
            assert peer.budget.settled == [(160, 109)] * 2
            # Only the first request looked for a server here.
            assert cut.budget.settled == [(160, 0)]

    async def test_deadline_counts_from_the_first_daemon(self):
        """Guards against servers that work longer than the caller waits."""
        server = ScriptedServer()
        async with two_daemons(server) as (cut, _):
            await cut.call('/safe/x', X_Deadline_Ms='700')
        assert 0 < int(server.seen[0].headers['x-deadline-ms']) <= 700

    async def test_refusal_of_the_peer_is_passed_on(self):
        """Guards against a refusal without the time to come back."""
        async with two_daemons(GoneServer()) as (cut, _):
            answer = await cut.call('/once/x')
        assert answer.first_line.startswith('HTTP/1.1 503')
        assert float(answer.headers['retry-after']) > 0

    async def test_request_is_relayed_only_once(self):
        """Guards against requests that daemons pass round without end."""
        async with (
            World(GoneServer()) as first,
            World(GoneServer()) as second,
            relay_port(first) as first_port,
            relay_port(second) as second_port,
        ):
            relay_of(first, FoundPeers(second_port))
            relay_of(second, FoundPeers(first_port))
            answer = await asyncio.wait_for(first.call('/once/x'), 2)
        assert answer.first_line.startswith('HTTP/1.1 503')

    async def test_caller_that_leaves_ends_the_work(self):
        """Guards against servers at work for callers that have left."""
        started = asyncio.Event()

        async def slow(seen, writer):
            started.set()
            await asyncio.sleep(0.3)

        server = ScriptedServer(slow)
        async with two_daemons(server) as (cut, _):
            _, writer = await cut.connect()
            writer.write(request_bytes('/safe/x'))
            await asyncio.wait_for(started.wait(), 2)
            writer.close()
            await asyncio.sleep(0.1)
            assert server.seen[0].is_disconnected


async def refuse_all(seen, writer):
    writer.write(reply(seen, 503, signed=False, Retry_After='1'))


class TestDaemonWithoutPlaces:
    """Requests of a daemon that has no part of the slots of brittle servers."""

    @staticmethod
    @asynccontextmanager
    async def world_without_places(*peers):
        for peer in peers:
            await peer.start()
        async with World(ScriptedServer()) as world:
            brittle = BrittleServices(world.now, on_change=lambda: None)
            brittle.note('svc', 3)
            world.forwarder._dispatcher.share_places(
                ServerPlaces(
                    brittle,
                    PlaceShares('d0', lambda: {'d1'}, world.now),
                    world.now,
                )
            )
            relay_of(world, FoundPeers(*(peer.port for peer in peers)))
            yield world

    async def test_call_is_served_by_a_peer(self):
        """Guards against slots that only the callers of some daemons get."""
        peer = ScriptedServer()
        async with self.world_without_places(peer) as world:
            answers = [await world.call('/once/x') for _ in range(3)]
        assert {one.first_line.split()[1] for one in answers} == {'200'}
        assert len(peer.seen) == 3
        assert not world.servers[0].seen

    async def test_peer_that_refuses_is_not_asked_again_at_once(self):
        """Guards against an overload that each refused request doubles."""
        peer = ScriptedServer(refuse_all)
        async with self.world_without_places(peer) as world:
            answers = [await world.call('/once/x') for _ in range(5)]
            assert len(peer.seen) == 1
            await asyncio.sleep(REFUSED_PAUSE_S)
            await world.call('/once/x')
            assert len(peer.seen) == 2
        for answer in answers:
            assert answer.first_line.split()[1] == '503'
            assert float(answer.headers['retry-after']) > 0

    async def test_relayed_request_is_not_relayed_again(self):
        """Guards against requests that daemons pass round without end."""
        peer = ScriptedServer()
        async with (
            self.world_without_places(peer) as world,
            relay_port(world) as port,
            World(GoneServer()) as cut,
        ):
            relay_of(cut, FoundPeers(port))
            answer = await cut.call('/once/x')
        assert answer.first_line.split()[1] == '503'
        assert not peer.seen


class TestPeersThatFail:
    async def test_lost_answer_is_no_refusal(self):
        """Guards against work that is said not to have run, and has."""

        async def lose_answer(seen, writer):
            reset_connection(writer)

        peer = ScriptedServer(lose_answer)
        other = ScriptedServer()
        for server in (peer, other):
            await server.start()
        async with World(GoneServer()) as cut:
            relay_of(cut, FoundPeers(peer.port, other.port))
            answers = [await cut.call('/once/x') for _ in range(8)]
        statuses = {answer.first_line.split()[1] for answer in answers}
        assert statuses == {'200', '502'}
        assert len(peer.seen) + len(other.seen) == len(answers)

    async def test_peer_that_takes_no_connection_is_passed_over(self):
        """Guards against callers that are refused for one lost peer."""
        lost = GoneServer()
        await lost.start()
        async with (
            World(GoneServer()) as cut,
            World(ScriptedServer()) as peer,
            relay_port(peer) as port,
        ):
            relay_of(cut, FoundPeers(lost.port, port))
            answers = [await cut.call('/once/x') for _ in range(6)]
        await lost.stop()
        assert {answer.first_line.split()[1] for answer in answers} == {'200'}

    async def test_stream_that_breaks_off_does_not_look_whole(self):
        """Guards against a part of a stream that is taken for all of it."""

        async def break_off(seen, writer):
            writer.write(stream_head(seen) + chunk(event(1)))
            await writer.drain()
            reset_connection(writer)

        peer = ScriptedServer(break_off)
        await peer.start()
        async with World(GoneServer()) as cut:
            relay_of(cut, FoundPeers(peer.port))
            reader, writer = await cut.connect()
            writer.write(request_bytes('/review/x', body=b'{}'))
            answer = b''
            with contextlib.suppress(ConnectionError):
                while part := await asyncio.wait_for(reader.read(1000), 2):
                    answer += part
            writer.close()
        assert event(1) in answer
        assert not answer.endswith(b'0\r\n\r\n')

    async def test_answer_to_another_request_is_not_passed_on(self):
        """Guards against an answer that belongs to another caller."""

        async def answer_other(seen, writer):
            seen.headers['x-request-id'] = 'other'
            writer.write(reply(seen))

        peer = ScriptedServer(answer_other)
        await peer.start()
        async with World(GoneServer()) as cut:
            relay_of(cut, FoundPeers(peer.port))
            answer = await cut.call('/once/x', X_Deadline_Ms='400')
        assert answer.first_line.split()[1] in {'502', '504'}

    async def test_no_peer_is_flooded(self):
        """Guards against one peer that gets all requests of many hosts."""
        release = asyncio.Event()

        async def wait(seen, writer):
            await release.wait()
            writer.write(reply(seen))

        peer = ScriptedServer(wait)
        await peer.start()
        async with World(GoneServer()) as cut:
            relay = relay_of(cut, FoundPeers(peer.port))
            calls = [
                asyncio.create_task(
                    cut.call('/once/x', request_id=f'r{number}')
                )
                for number in range(MAX_RUNNING_PER_PEER + 6)
            ]
            await asyncio.sleep(0.3)
            assert relay.running == MAX_RUNNING_PER_PEER
            release.set()
            answers = await asyncio.gather(*calls)
        statuses = [answer.first_line.split()[1] for answer in answers]
        assert statuses.count('503') == 6


class TestHostsThatReachServers:
    async def test_full_servers_are_no_reason_to_relay(self):
        """Guards against requests that load two daemons for nothing."""

        async def full(seen, writer):
            writer.write(
                reply(seen, 503, signed=False, X_Not_Run='1', Retry_After='1')
            )

        peer = ScriptedServer()
        await peer.start()
        async with World(ScriptedServer(full)) as world:
            relay_of(world, FoundPeers(peer.port))
            answer = await world.call('/once/x')
        assert answer.first_line.startswith('HTTP/1.1 503')
        assert not peer.seen

    async def test_servers_are_used_again_after_the_cut(self):
        """Guards against detours that go on after the links are back."""
        server = ScriptedServer()
        async with (
            World(server) as world,
            World(ScriptedServer()) as peer,
            relay_port(peer) as port,
        ):
            relay = relay_of(world, FoundPeers(port))
            world.reach.note_failed('svc', 's0')
            assert relay.is_needed('svc')
            await world.pool.probe(next(iter(world.directory.servers)))
            assert not relay.is_needed('svc')
            await world.call('/safe/x')
        assert len(server.seen) == 1
