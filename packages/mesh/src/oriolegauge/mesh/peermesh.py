"""Keeps the links to other daemons, sends heartbeats and tracks membership.

Answers, refused connections and heartbeats are passed to the member table,
which decides which members are alive, suspect or dead.
"""

import asyncio
import contextlib
import ssl
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Collection,
    Mapping,
    Sequence,
)
from dataclasses import dataclass
from typing import Protocol

import aiohttp
import structlog

from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.taskset import TaskSet
from oriolegauge.membership import AliveMember, FailureProof, MemberTable, View
from oriolegauge.wire import (
    LINK_PATH,
    LinkLimits,
    PeerLink,
    PeerServer,
    PeerUnreachableError,
    Sender,
    one_way_frame,
)
from oriolegauge.wire.messages import Heartbeat, Message

HEARTBEAT_PERIOD_S = 0.5
# Shortest pause between two heartbeats when one is sent ahead of the period.
MIN_HEARTBEAT_PAUSE_S = 0.05

Answer = Message | AsyncIterator[Message] | None
Handler = Callable[[Sender, Message], Awaitable[Answer]]

log = structlog.get_logger()


class PeerAddress(Protocol):
    """Name and address of another daemon."""

    @property
    def name(self) -> str:
        """Return the name of the daemon."""

    @property
    def address(self) -> str:
        """Return `IP:PORT` of its peer port."""


class MeshSettings(Protocol):
    """Settings of this daemon and the peers known at the start."""

    @property
    def name(self) -> str:
        """Return the name of this daemon, unique in the fleet."""

    @property
    def zone(self) -> str:
        """Return its availability zone."""

    @property
    def address(self) -> str:
        """Return the IP address to listen on."""

    @property
    def peer_port(self) -> int:
        """Return the port for peers."""

    @property
    def peers(self) -> Sequence[PeerAddress]:
        """Return the peers known at the start."""

    @property
    def peer_timeout_s(self) -> float:
        """Return the timeout of one call to a peer."""

    @property
    def max_peer_message_bytes(self) -> int:
        """Return the largest size of one message."""


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """Hold a peer's last heartbeat and the loop time of its arrival."""

    heartbeat: Heartbeat
    received_at: float


class PeerMesh:
    """Keep one link per peer and track which members are alive."""

    def __init__(
        self,
        *,
        settings: MeshSettings,
        incarnation: str,
        session: aiohttp.ClientSession,
        handler: Handler,
        clock: Callable[[], float],
        server_ssl: ssl.SSLContext | None = None,
        client_ssl: ssl.SSLContext | None = None,
        is_member: Callable[[str], bool] | None = None,
        heartbeat_period_s: Callable[[], float] | None = None,
    ) -> None:
        """Answer messages of peers with `handler`; `clock` is in seconds.

        `is_member` decides which names may open links here; by default those
        of the peers. `heartbeat_period_s` is called again after each heartbeat.
        """
        self._settings = settings
        self._incarnation = incarnation
        self._handler = handler
        self._clock = clock
        self._heartbeats: dict[str, ReceivedHeartbeat] = {}
        self.table = MemberTable(
            name=settings.name,
            incarnation=incarnation,
            zone=settings.zone,
            now=clock(),
        )
        self._heartbeat_requested = asyncio.Event()
        self._heartbeat_period_s = heartbeat_period_s
        self._session = session
        self._client_ssl = client_ssl
        self._limits = LinkLimits(
            max_message_bytes=settings.max_peer_message_bytes,
        )
        self._group: asyncio.TaskGroup | None = None
        self._tasks: dict[str, asyncio.Task] = {}
        self._links: dict[str, PeerLink] = {}
        self._without_heartbeats: Collection[str] = ()
        # Calls under way to peers of which several processes may be alive.
        self._calls = TaskSet()
        self._asked: set[str] = set()
        for peer in settings.peers:
            self.add_peer(peer.name, peer.address)
        self._server = PeerServer(
            sender=self._sender,
            handler=self._handle,
            is_member=is_member or self._links.__contains__,
            limits=self._limits,
            ssl_context=server_ssl,
        )

    @property
    def heartbeats(self) -> Mapping[str, ReceivedHeartbeat]:
        """Return the last heartbeat of each peer that has sent one."""
        return self._heartbeats

    def view(self) -> View:
        """Return the members that are alive now."""
        return self.table.view(self._clock())

    def peers(self) -> list[AliveMember]:
        """Return the other members that are alive and linked."""
        return [
            member
            for name, member in self.view().members.items()
            if name in self._links and self._links[name].connected
        ]

    @property
    def names(self) -> Collection[str]:
        """Return the names of all peers, linked or not."""
        return self._links.keys()

    def send_heartbeat_soon(self) -> None:
        """Send the next heartbeat early, because its content has changed."""
        self._heartbeat_requested.set()

    def suppress_heartbeats(self, names: Collection[str]) -> None:
        """Send no heartbeats to these peers; calls to them still work."""
        self._without_heartbeats = names

    def add_peer(self, name: str, address: str) -> None:
        """Open and keep a link to a peer, unless there is one."""
        if name in self._links:
            return
        scheme = 'wss' if self._client_ssl else 'ws'
        self._links[name] = PeerLink(
            peer=name,
            url=f'{scheme}://{address}{LINK_PATH}',
            session=self._session,
            sender=self._sender,
            limits=self._limits,
            ssl_context=self._client_ssl,
            on_refused=self._note_refused,
            on_answered=self._note_answered,
        )
        if self._group:
            self._run_link(name)

    def remove_peer(self, name: str) -> None:
        """Close the link to a peer and forget it."""
        self._links.pop(name, None)
        self._heartbeats.pop(name, None)
        task = self._tasks.pop(name, None)
        if task:
            task.cancel()

    def link(self, member: str) -> PeerLink:
        """Return the link to a member, or raise PeerUnreachableError."""
        found = self._links.get(member)
        if found is None:
            raise PeerUnreachableError(f'{member} is not a configured peer')
        return found

    async def call(self, member: str, message: Message) -> Message:
        """Call one member with the configured timeout."""
        timeout_s = self._settings.peer_timeout_s
        return await self.link(member).call(message, timeout_s)

    async def broadcast(self, message: Message) -> None:
        """Call all linked members; later exchanges make up for failures."""
        await asyncio.gather(
            *(self.call(peer.name, message) for peer in self.peers()),
            return_exceptions=True,
        )

    async def listen(self) -> None:
        """Accept links of peers."""
        await self._server.listen(
            self._settings.address, self._settings.peer_port
        )

    async def close(self) -> None:
        """Stop accepting links."""
        await self._server.close()

    async def run(
        self,
        heartbeat: Callable[[], Heartbeat],
        after_heartbeat: Callable[[], None],
    ) -> None:
        """Keep the links open and send heartbeats until cancelled."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            for name in self._links:
                self._run_link(name)
            group.create_task(self._send_heartbeats(heartbeat, after_heartbeat))

    def _run_link(self, name: str) -> None:
        if self._group:
            self._tasks[name] = self._group.create_task(self._links[name].run())

    async def _send_heartbeats(
        self,
        heartbeat: Callable[[], Heartbeat],
        after_heartbeat: Callable[[], None],
    ) -> None:
        while True:
            message = heartbeat()
            self.table.set_own(
                incarnation=self._incarnation, state=message.state
            )
            self._send_to_peers(message)
            after_heartbeat()
            await asyncio.sleep(MIN_HEARTBEAT_PAUSE_S)
            rest_s = self._period_s() - MIN_HEARTBEAT_PAUSE_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(rest_s):
                    await self._heartbeat_requested.wait()
            self._heartbeat_requested.clear()

    def _send_to_peers(self, message: Heartbeat) -> None:
        ambiguous = self.table.members_to_ask()
        # Encoded once for all links: in a large fleet a daemon has a dozen
        # neighbours.
        frame = one_way_frame(self._sender(), message)
        for name, link in self._links.items():
            if not link.connected or name in self._without_heartbeats:
                continue
            if name in ambiguous and name not in self._asked:
                self._ask_with_heartbeat(name, link, message)
            else:
                self._send_heartbeat(link, frame)

    def _period_s(self) -> float:
        if self._heartbeat_period_s is None:
            return HEARTBEAT_PERIOD_S
        return self._heartbeat_period_s()

    def _ask_with_heartbeat(
        self, name: str, link: PeerLink, message: Heartbeat
    ) -> None:
        """Call the peer in the background: it may not answer for a while."""
        self._asked.add(name)
        task = self._calls.spawn(self._call_with_heartbeat(link, message))
        task.add_done_callback(lambda _: self._asked.discard(name))

    async def _call_with_heartbeat(
        self, link: PeerLink, message: Heartbeat
    ) -> None:
        try:
            await link.call(message, HEARTBEAT_PERIOD_S)
        except OriolegaugeError as error:
            log.info('heartbeat not sent', peer=link.peer, error=str(error))

    def _send_heartbeat(self, link: PeerLink, frame: bytes) -> None:
        try:
            link.send_frame(frame)
        except OriolegaugeError as error:
            log.info('heartbeat not sent', peer=link.peer, error=str(error))

    async def _handle(self, sender: Sender, message: Message) -> Answer:
        if not isinstance(message, Heartbeat):
            return await self._handler(sender, message)
        now = self._clock()
        if self.table.observe(message, now):
            self._heartbeats[message.member] = ReceivedHeartbeat(message, now)
        return await self._handler(sender, message)

    def _note_refused(self, peer: str, started_at: float) -> None:
        self.table.note_failure_proof(
            peer,
            FailureProof.REFUSED,
            started_at=started_at,
            now=self._clock(),
        )

    def _note_answered(self, sender: Sender, asked_at: float) -> None:
        self.table.answered(
            sender.name,
            sender.incarnation,
            asked_at=asked_at,
            now=self._clock(),
        )

    def _sender(self) -> Sender:
        return Sender(self._settings.name, self._incarnation)
