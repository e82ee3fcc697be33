"""Send requests through another daemon while this host can't send to a server.

Matters when the links from a host to the servers are cut and callers still
connect to it, and when this daemon has no free part of the servers' slots. The
other daemon treats the request as one of its own callers: it admits and bills
it, keeps the limits of servers, and retries. This one only passes on bytes, so
a request is sent once, and what its peer promises holds.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.core.errors import OutcomeUnknownError, ServerFailedError
from oriolegauge.forwarding.answer import Answer
from oriolegauge.forwarding.errors import (
    ReplyBrokenError,
    ServerUnreachableError,
)
from oriolegauge.forwarding.headernames import HeaderNames
from oriolegauge.forwarding.headers import answer_headers, end_to_end
from oriolegauge.forwarding.requestcontext import RequestContext, RequestTrace
from oriolegauge.forwarding.serverconnection import ServerConnection
from oriolegauge.forwarding.serverreply import ServerReply
from oriolegauge.forwarding.traffic import UNCOUNTED, Traffic
from oriolegauge.forwarding.wholeexchange import NOT_RUN_STATUSES, read_body
from oriolegauge.routing.servicereach import ServiceReach

Address = tuple[str, int]

# Peers answer within some milliseconds; one that does not is passed over.
CONNECT_TIMEOUT_S = 0.2
MAX_PEERS_TRIED = 2
# Bounds what one daemon adds to the load of another.
MAX_RUNNING_PER_PEER = 64
# A peer without a free place gets no other request of the service for this
# time, so that what the fleet can't serve costs one daemon only.
REFUSED_PAUSE_S = 0.1
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class RelayPeer:
    """Name a daemon and the address at which it takes requests of peers."""

    name: str
    address: Address


class RelayPeers(Protocol):
    """Know which daemons reach a service."""

    def find(self, service: str, excluded: Collection[str]) -> list[RelayPeer]:
        """Return the daemons that may reach a server of the service."""


class PeerRelay:
    """Answer requests by way of other daemons."""

    def __init__(
        self,
        *,
        peers: RelayPeers,
        reach: ServiceReach,
        test_server: Callable[[str], None],
        names: HeaderNames,
        buffers: ByteBudget,
        choose: Callable[[list[RelayPeer]], RelayPeer],
        traffic: Traffic = UNCOUNTED,
    ) -> None:
        """Relay to one of `peers`, the less loaded of two that `choose` picks.

        `test_server(service)` tries to connect to a server of the service, to
        notice when this host reaches it again.
        """
        self._peers = peers
        self._reach = reach
        self._test_server = test_server
        self._names = names
        self._buffers = buffers
        self._choose = choose
        self._traffic = traffic
        self._clock = asyncio.get_running_loop().time
        self._running: Counter[str] = Counter()
        # Loop times until which peers get no request of a service.
        self._refused_until: dict[tuple[str, str], float] = {}

    @property
    def running(self) -> int:
        """Return the number of requests that peers are answering."""
        return self._running.total()

    def is_needed(self, service: str) -> bool:
        """State whether this host reaches no server of the service.

        Tests a server once a period, since no request would show its return.
        """
        if not self._reach.is_lost(service):
            return False
        if self._reach.take_test(service):
            self._test_server(service)
        return True

    async def serve(
        self,
        context: RequestContext,
        trace: RequestTrace,
        answer: Answer,
        *,
        lacks_place: bool = False,
    ) -> bool:
        """Answer through a peer; return false if no peer got the request.

        With `lacks_place` a peer that refuses it is passed over for a moment.
        Raise an OriolegaugeError if a peer got it and the answer is lost.
        """
        if not context.request_id:
            return False
        tried: set[str] = set()
        while len(tried) < MAX_PEERS_TRIED:
            peer = self._next_peer(context.service, tried)
            if peer is None:
                return False
            tried.add(peer.name)
            self._running[peer.name] += 1
            try:
                if await self._serve_at(peer, context, trace, answer):
                    if lacks_place:
                        self._note_status(peer, context.service, answer)
                    return True
            finally:
                self._running[peer.name] -= 1
        return False

    def _next_peer(
        self, service: str, tried: Collection[str]
    ) -> RelayPeer | None:
        self._end_pauses()
        found = [
            peer
            for peer in self._peers.find(service, tried)
            if self._running[peer.name] < MAX_RUNNING_PER_PEER
            and (peer.name, service) not in self._refused_until
        ]
        if not found:
            return None
        pair = (self._choose(found), self._choose(found))
        return min(pair, key=lambda peer: self._running[peer.name])

    def _note_status(
        self, peer: RelayPeer, service: str, answer: Answer
    ) -> None:
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            until = self._clock() + REFUSED_PAUSE_S
            self._refused_until[peer.name, service] = until

    def _end_pauses(self) -> None:
        now = self._clock()
        for refused, until in list(self._refused_until.items()):
            if until <= now:
                del self._refused_until[refused]

    async def _serve_at(
        self,
        peer: RelayPeer,
        context: RequestContext,
        trace: RequestTrace,
        answer: Answer,
    ) -> bool:
        """Return false if the peer did not get the request."""
        label = f'peer {peer.name}'
        try:
            connection = await self._send(peer, context)
        except ServerUnreachableError as error:
            trace.note(label, f'not sent ({error.message})')
            return False
        try:
            trace.note_relayed(
                label, self._clock() - context.request.received_at
            )
            await self._pass_on(connection, context, trace, answer)
        except ReplyBrokenError as error:
            trace.note(label, error.message)
            if self._clock() >= context.deadline:
                raise OutcomeUnknownError(error.message) from error
            raise ServerFailedError(error.message) from error
        finally:
            connection.abort()
        trace.note(label, str(answer.status))
        return True

    async def _send(
        self, peer: RelayPeer, context: RequestContext
    ) -> ServerConnection:
        """Send on a new connection; raise ServerUnreachableError.

        A peer that stops closes kept connections, and a request that is lost in
        this way can't be sent again.
        """
        connection = await ServerConnection.open(
            peer.address,
            self._names.request_id,
            CONNECT_TIMEOUT_S,
            traffic=self._traffic,
        )
        try:
            await connection.send(self._encode(context), context.request_id)
        except ServerUnreachableError:
            connection.abort()
            raise
        return connection

    async def _pass_on(
        self,
        connection: ServerConnection,
        context: RequestContext,
        trace: RequestTrace,
        answer: Answer,
    ) -> None:
        reply = await connection.head()
        trace.outcome = _outcome(reply)
        is_stream = context.is_stream
        if is_stream and reply.is_success:
            await self._pass_on_stream(
                connection, reply, context, trace, answer
            )
            return
        with self._buffers.lease() as buffer_lease:
            body = await read_body(connection.read, buffer_lease)
            headers = answer_headers(
                reply.headers, is_to_head=context.request.is_head
            )
            await answer.send_whole(reply.status, headers, body)

    async def _pass_on_stream(
        self,
        connection: ServerConnection,
        reply: ServerReply,
        context: RequestContext,
        trace: RequestTrace,
        answer: Answer,
    ) -> None:
        received_at = context.request.received_at
        while (part := await connection.read()) is not None:
            trace.note_event(self._clock(), received_at)
            if answer.is_started:
                await answer.send(part)
            else:
                await answer.begin(
                    reply.status, end_to_end(reply.headers), part
                )
        if answer.is_started:
            await answer.end()
        else:
            await answer.send_whole(
                reply.status, end_to_end(reply.headers), b''
            )

    def _encode(self, context: RequestContext) -> bytes:
        names = self._names
        request = context.request
        left_s = context.deadline - self._clock()
        left_ms = max(1, int(left_s * _MS_PER_S))
        kept = [
            names.request_id,
            names.caller_key,
            names.token_bounds,
            names.prompt_parts,
        ]
        headers = end_to_end(request.headers, [names.deadline_ms], kept)
        headers.append((names.deadline_ms.encode(), b'%d' % left_ms))
        if request.body or request.method not in {b'GET', b'HEAD'}:
            headers.append((b'Content-Length', b'%d' % len(request.body)))
        lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
        lines += [b'%b: %b' % header for header in headers]
        return b'\r\n'.join((*lines, b'', request.body))


def _outcome(reply: ServerReply) -> str:
    if reply.is_success:
        return 'answered'
    return 'refused' if reply.status in NOT_RUN_STATUSES else 'failed'
