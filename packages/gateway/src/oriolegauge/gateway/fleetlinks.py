"""What the daemons of a fleet tell each other."""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable, Collection, Iterator
from dataclasses import dataclass
from itertools import islice

import structlog

from oriolegauge.budget.messages import Ack
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.taskset import TaskSet
from oriolegauge.forwarding.leavinginstances import (
    LeavingInstance,
    LeavingInstances,
    ServerInstance,
)
from oriolegauge.gateway.documentexchange import DocumentExchange
from oriolegauge.gateway.fleetlayout import (
    has_zone_aggregators,
    ring_neighbours,
)
from oriolegauge.gateway.fleetroster import FleetMember, FleetRoster
from oriolegauge.gateway.loadexchange import (
    LoadExchange,
    in_flight_loads,
    in_flight_rows,
)
from oriolegauge.gateway.shareddocuments import SharedDocuments
from oriolegauge.mesh import PeerMesh
from oriolegauge.routing.loadaggregator import LoadAggregator
from oriolegauge.routing.serverchooser import PeerLoad, ServerChooser
from oriolegauge.wire import PeerTimeoutError, PeerUnreachableError, Sender
from oriolegauge.wire.messages import (
    ConfigFetch,
    Heartbeat,
    LeavingServer,
    LoadReport,
    Message,
)

# Load reports of a daemon that has been silent for longer say nothing.
HEARD_WITHIN_S = 1.7
# A peer without a link for this time has been replaced.
FORGET_PEER_S = 60.0
# Daemons that watch the store; the others hear of changes from them. The same
# ones hold reserves of prepaid tokens and need to know soon that it is back.
MAX_WATCHERS = 8
# A daemon that can't list the others acts alone after this time.
SETTLING_S = 1.0
# A link to a leader that was just added gets this time to open; a draw waits
# for it, since the alternative is a write to the store.
OPENING_S = 1.0
CONNECT_WAIT_S = 0.3
# A peer that did not answer leads nobody for this time: it may be frozen, which
# its open connection does not show.
UNRESPONSIVE_PAUSE_S = 1.0
# The same for one that said that it does not reach the store.
STORE_UNAVAILABLE_PAUSE_S = 1.0
# A slow host answers within this time; shorter waits say nothing of it.
UNRESPONSIVE_AFTER_S = 0.2
_MS_PER_S = 1000
_SERVING = ('serving', 'starting')

MessageHandler = Callable[[Message], Awaitable[Message | None]]

log = structlog.get_logger()


@dataclass(slots=True)
class _LinkTimes:
    """Keep loop times of a link.

    Added, last seen open (or added), last call without an answer, and last
    answer that told of a store out of reach.
    """

    added_at: float
    open_at: float
    unresponsive_at: float = -math.inf
    store_unavailable_at: float = -math.inf


class FleetLinks:
    """Share documents and loads with the other daemons.

    A daemon's name is the address of its peer port, so that a heartbeat from
    an unknown daemon tells where to reach it.
    """

    def __init__(
        self,
        *,
        own: FleetMember,
        incarnation: str,
        documents: SharedDocuments,
        leaving_instances: LeavingInstances,
        chooser: ServerChooser,
        state: Callable[[], str],
        reaches_store: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        """Report the lifecycle state and the store's reach to the others."""
        self._own = own
        self._name = own.name
        self._incarnation = incarnation
        self._documents = DocumentExchange(documents, self._ask)
        self._leaving_instances = leaving_instances
        self._chooser = chooser
        self._state = state
        self._reaches_store = reaches_store
        self._clock = clock
        self.loads = LoadExchange(
            name=own.name, links=self, chooser=chooser, clock=clock
        )
        self._mesh: PeerMesh | None = None
        self._answer_other: MessageHandler | None = None
        self._roster = FleetRoster(own)
        # Daemons that are called, and linked for that beyond the neighbours.
        self._called: set[str] = set()
        self._times: dict[str, _LinkTimes] = {}
        self._tasks = TaskSet()
        self._is_listed = asyncio.Event()
        self._settled_at = asyncio.get_running_loop().time() + SETTLING_S

    @property
    def members(self) -> int:
        """Return the number of daemons, this one included."""
        return self._roster.size

    @property
    def linked(self) -> int:
        """Return the number of daemons that a link is open to."""
        return len(self.linked_peers())

    def note_listed(self) -> None:
        """Take note that the members in the store have been met."""
        self._is_listed.set()

    async def settled(self) -> None:
        """Wait until the fleet is known, for a moment after the start.

        Until then each daemon would take itself for the leader.
        """
        if self._is_listed.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._settled_at):
                await self._is_listed.wait()

    def tell_news(self) -> None:
        """Let the peers know of a new document at once."""
        if self._mesh:
            self._mesh.send_heartbeat_soon()

    def attach(self, mesh: PeerMesh, answer_other: MessageHandler) -> None:
        """Use the links of the mesh; leave other messages to the handler."""
        self._mesh = mesh
        self._answer_other = answer_other

    def meet(self, member: FleetMember) -> None:
        """Take note of a daemon that was heard of."""
        if not member.name or not self._roster.add(member):
            return
        log.info(
            'peer found',
            peer=member.name,
            zone=member.zone,
            strength=member.capacity_class,
        )
        self._choose_links()

    async def answer(self, sender: Sender, message: Message) -> Message | None:
        """Answer a message of a peer."""
        match message:
            case Heartbeat():
                self.meet(
                    FleetMember(
                        name=sender.name,
                        zone=message.zone,
                        capacity_class=message.strength,
                    )
                )
                self._leaving_instances.learn(
                    [
                        LeavingInstance(
                            ServerInstance(row.server, row.started_ms),
                            row.age_ms / _MS_PER_S,
                        )
                        for row in message.departures
                    ],
                    peer=sender.name,
                )
                return None
            case ConfigFetch(keys=keys):
                return self._documents.answer(keys)
            case LoadReport():
                return self.loads.answer(sender.name, message)
            case _:
                if self._answer_other is None:
                    return Ack(accepted=False)
                return await self._answer_other(message)

    def watches(self) -> bool:
        """State whether this daemon watches the store for the others.

        One that has no link to any of them watches for itself.
        """
        if not self.linked_peers():
            return True
        watchers = islice(
            filter(self._may_reach_store, self._leaders()), MAX_WATCHERS
        )
        return self._name in watchers

    def leads(self) -> bool:
        """State whether this daemon is among the first that serve."""
        return self._name in islice(self._leaders(), MAX_WATCHERS)

    def aggregator_host(self) -> str | None:
        """Return the peer that keeps the load aggregator, None for itself."""
        host = self._aggregator_of(self._own.zone)
        if host is None or host == self._name:
            return None
        self.open_link(host)
        return host

    def other_aggregators(self) -> Collection[str]:
        """Return the peers that keep the aggregators of other zones."""
        if not has_zone_aggregators(self.members):
            return set()
        zones = self._roster.zones - {self._own.zone}
        hosts = {self._aggregator_of(zone) for zone in zones} - {None}
        for host in hosts:
            self.open_link(host)
        return hosts

    def _aggregator_of(self, zone: str) -> str | None:
        """Return the daemon with the aggregator for a zone, if any serves."""
        leaders = self._leaders()
        if has_zone_aggregators(self.members):
            leaders = filter(self._roster.names_in(zone).__contains__, leaders)
        return next(leaders, None)

    def reaching_store(self) -> list[str]:
        """Return the linked peers that reach the store."""
        mesh = self._mesh
        if mesh is None:
            return []
        return [
            peer.name
            for peer in mesh.peers()
            if peer.name in mesh.heartbeats
            and mesh.heartbeats[peer.name].heartbeat.watches_store
        ]

    def linked_peers(self) -> set[str]:
        """Return the peers that a link is open to."""
        if self._mesh is None:
            return set()
        return {peer.name for peer in self._mesh.peers()}

    def tell(self, peer: str, message: Message) -> None:
        """Send a message that gets no answer and may be lost."""
        self._tasks.spawn(self._tell(peer, message))

    async def call(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer, waiting for a link that was just added."""
        if self._mesh is None:
            raise PeerUnreachableError('no links yet')
        link = self._mesh.link(peer)
        try:
            if not link.connected and self._is_opening(peer):
                await link.wait_connected(CONNECT_WAIT_S)
            return await link.call(message, timeout_s)
        except PeerTimeoutError:
            if timeout_s >= UNRESPONSIVE_AFTER_S:
                self.note_unresponsive(peer)
            raise

    def reserve_hosts(self) -> list[str]:
        """Return the daemons that hold reserves of tokens, by rank."""
        # Those that lost the store stay: what they hold is all there is if the
        # whole fleet lost it.
        return list(islice(self._leaders(), MAX_WATCHERS))

    def allocator(self) -> str:
        """Return the first leader that may reach the store.

        If nobody is known to reach it, the first leader stays what it was: what
        it holds is all there is.
        """
        leaders = self.reserve_hosts()
        if not (self._reaches_store() or self.reaching_store()):
            return leaders[0] if leaders else self._name
        reaching = filter(self._may_reach_store, leaders)
        return next(reaching, leaders[0] if leaders else self._name)

    def note_unresponsive(self, peer: str) -> None:
        """Take note that a peer has not answered in time; it may be frozen."""
        if peer in self._times:
            self._times[peer].unresponsive_at = self._clock()

    def note_store_unavailable(self, peer: str) -> None:
        """Take note that a peer said that it does not reach the store."""
        if peer in self._times:
            self._times[peer].store_unavailable_at = self._clock()

    def open_link(self, name: str) -> None:
        """Keep a link to the peer from now on."""
        if self._mesh and name not in self._mesh.names:
            self._called.add(name)
            self._choose_links()

    async def _ask(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; a late answer says nothing of it."""
        if self._mesh is None:
            raise PeerUnreachableError('no links yet')
        return await self._mesh.link(peer).call(message, timeout_s)

    async def _tell(self, peer: str, message: Message) -> None:
        try:
            if self._mesh:
                await self._mesh.link(peer).send(message)
        except OriolegaugeError as error:
            log.info('peer not told', peer=peer, error=error.message)

    def _leaders(self) -> Iterator[str]:
        """Yield the daemons that serve, in the order that all agree on."""
        names = (member.name for member in self._roster.ranked)
        return filter(self._is_serving, names)

    def _is_serving(self, name: str) -> bool:
        if name == self._name:
            return self._state() in _SERVING
        mesh = self._mesh
        if mesh is None or name not in mesh.names:
            return True
        if not mesh.link(name).connected:
            return self._is_opening(name)
        if (
            self._clock() - self._times[name].unresponsive_at
            < UNRESPONSIVE_PAUSE_S
        ):
            return False
        heard = mesh.heartbeats.get(name)
        return heard is None or heard.heartbeat.state in _SERVING

    def _is_opening(self, name: str) -> bool:
        return self._clock() - self._times[name].added_at < OPENING_S

    def _may_reach_store(self, name: str) -> bool:
        if name == self._name:
            return self._reaches_store()
        times = self._times.get(name)
        if (
            times
            and self._clock() - times.store_unavailable_at
            < STORE_UNAVAILABLE_PAUSE_S
        ):
            return False
        heard = self._mesh.heartbeats.get(name) if self._mesh else None
        return heard is None or heard.heartbeat.watches_store

    def _choose_links(self) -> None:
        if self._mesh is None:
            return
        neighbours = ring_neighbours(self._name, self._roster.others)
        wanted = neighbours | self._called
        self._mesh.suppress_heartbeats(
            self._called - neighbours - self._fellow_leaders()
        )
        for name in wanted - set(self._mesh.names):
            now = self._clock()
            self._times[name] = _LinkTimes(added_at=now, open_at=now)
            self._mesh.add_peer(name, name)
        for name in set(self._mesh.names) - wanted:
            del self._times[name]
            self._mesh.remove_peer(name)

    def _fellow_leaders(self) -> set[str]:
        """Return the leaders if this daemon is one; they hear of each other."""
        first = {
            member.name for member in islice(self._roster.ranked, MAX_WATCHERS)
        }
        return first if self._name in first else set()

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""
        return Heartbeat(
            member=self._name,
            incarnation=self._incarnation,
            zone=self._own.zone,
            strength=self._own.capacity_class,
            state=self._state(),
            watches_store=self._reaches_store(),
            config_versions=self._documents.versions(),
            in_flight=in_flight_rows(self._chooser.own_loads()),
            departures=tuple(
                LeavingServer(
                    told.server_instance.instance,
                    told.server_instance.started_ms,
                    int(told.age_s * _MS_PER_S),
                )
                for told in self._leaving_instances.all()
            ),
        )

    def after_heartbeat(self) -> None:
        """Take over what the peers last reported."""
        mesh = self._mesh
        if mesh is None:
            return
        now = self._clock()
        heard_loads = LoadAggregator()
        heard_of = 0
        for name, heard in mesh.heartbeats.items():
            if now - heard.received_at > HEARD_WITHIN_S:
                continue
            heard_of += 1
            loads = in_flight_loads(heard.heartbeat.in_flight)
            heard_loads.note(name, loads, now)
            self._documents.learn(name, heard.heartbeat.config_versions)
        self._forget_lost(mesh, now)
        if self.loads.is_fresh:
            return
        # Daemons that are not linked run as much as those that are.
        scale = len(self._roster.others) / heard_of if heard_of else 0
        self._chooser.note_peers(
            {
                server: PeerLoad(
                    int(load.requests * scale), int(load.prompt_tokens * scale)
                )
                for server, load in heard_loads.others(self._name, now).items()
            }
        )

    def _forget_lost(self, mesh: PeerMesh, now: float) -> None:
        for name, times in self._times.items():
            if mesh.link(name).connected:
                times.open_at = now
        lost = {
            name
            for name, times in self._times.items()
            if now - times.open_at > FORGET_PEER_S
        }
        if not lost:
            return
        log.info('peers forgotten', peers=sorted(lost))
        self._roster.remove(lost)
        self._called -= lost
        self._choose_links()
