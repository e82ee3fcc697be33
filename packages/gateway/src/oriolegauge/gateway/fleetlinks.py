"""Links of a daemon to its peers: heartbeats, documents, loads and limits.

Selects the peers to link and the leaders, which serve the whole fleet. Matters
when peers freeze, restart or lose the store.
"""

import asyncio
import contextlib
import math
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Iterator,
)
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
from oriolegauge.forwarding.serverlimits import ReportedLimit, ServerLimits
from oriolegauge.gateway.documentexchange import DocumentExchange
from oriolegauge.gateway.fleetlayout import (
    FULL_MESH_MEMBERS,
    has_zone_aggregators,
    heartbeat_period_s,
    ring_neighbours,
    watch_sign_age_s,
)
from oriolegauge.gateway.limitexchange import LimitExchange
from oriolegauge.gateway.loadexchange import (
    LoadExchange,
    in_flight_loads,
    in_flight_rows,
)
from oriolegauge.gateway.rankedmembers import FleetMember, RankedMembers
from oriolegauge.gateway.shareddocuments import Document, SharedDocuments
from oriolegauge.gateway.versionexchange import VersionExchange
from oriolegauge.gateway.watchsigns import WatchSigns
from oriolegauge.mesh import PeerMesh
from oriolegauge.routing.brittleservices import (
    BrittleServices,
    ReportedService,
)
from oriolegauge.routing.crashsuspects import CrashSuspects
from oriolegauge.routing.loadaggregator import LoadAggregator
from oriolegauge.routing.peerload import PeerLoad
from oriolegauge.routing.serverchooser import ServerChooser
from oriolegauge.routing.servicereach import ServiceReach
from oriolegauge.wire import PeerTimeoutError, PeerUnreachableError, Sender
from oriolegauge.wire.messages import (
    NOT_BRITTLE,
    UNLIMITED_PER_S,
    BrittleService,
    ConfigFetch,
    Heartbeat,
    LeavingServer,
    LoadReport,
    Message,
    PermitRequest,
    ServerLimit,
    StreamStartQuery,
    StreamStarts,
    WatchSign,
)

# Loads in an older heartbeat are ignored.
LOAD_REPORT_MAX_AGE_S = 1.7
# A peer is heard if its last heartbeat is no older than this many periods.
FRESH_PERIODS = 3
# A peer that was unreachable for this time counts as replaced.
FORGET_PEER_S = 60.0
# A lost peer may serve others behind a partition, and still owns its share of
# the limits of servers for this time.
SHARE_RETENTION_S = 300.0
# A peer that did not answer as the limiter is passed over for this time.
LIMITER_PAUSE_S = 3.0
# Number of leaders that remember streams which the history of versions does not
# tell: a stream is lost to its caller only if all of them end.
MAX_STREAM_KEEPERS = 3
# Number of leaders. They watch the store, and the others get changes from them.
# They also hold reserves of prepaid tokens, so they have to notice a recovery
# of the store soon.
MAX_WATCHERS = 8
# A new member changes half of the neighbours on the ring, and hosts of a fleet
# register within a second of each other.
NEIGHBOURS_PAUSE_S = 1.0
# A daemon that can't list the members within this time starts without peers.
LISTING_TIMEOUT_S = 1.0
# A new link counts as usable for this time while it connects. A draw of tokens
# waits for it, since the alternative is a write to the store.
LINK_OPENING_S = 1.0
CONNECT_WAIT_S = 0.3
# A peer that timed out is no leader for this time. It may be frozen, which an
# open connection does not show.
UNRESPONSIVE_PAUSE_S = 1.0
# A peer that reported the store unreachable is no allocator for this time.
STORE_UNAVAILABLE_PAUSE_S = 1.0
# Slow hosts answer within this time, so a shorter timeout does not mean that
# the peer is frozen.
UNRESPONSIVE_AFTER_S = 0.2
_MS_PER_S = 1000
_SERVING = ('serving', 'starting')

MessageHandler = Callable[[Message], Awaitable[Message | None]]

log = structlog.get_logger()


@dataclass(slots=True)
class _LinkTimes:
    """Loop times of events of a link.

    `open_at` is when the link was last seen open, or added if never.
    `unresponsive_at` is the last timeout, and `store_unavailable_at` the last
    reply that reported the store unreachable. `limiter_failed_at` is the last
    call for permits without an answer.
    """

    added_at: float
    open_at: float
    unresponsive_at: float = -math.inf
    store_unavailable_at: float = -math.inf
    limiter_failed_at: float = -math.inf

    @property
    def was_open(self) -> bool:
        """State whether the link has ever been open."""
        return self.open_at > self.added_at


class FleetLinks:
    """Share documents, loads and limits with the other daemons.

    A daemon's name is the address of its peer port, so a heartbeat from an
    unknown daemon contains the address to connect to.
    """

    def __init__(
        self,
        *,
        own: FleetMember,
        incarnation: str,
        documents: SharedDocuments,
        leaving_instances: LeavingInstances,
        server_limits: ServerLimits,
        crash_suspects: CrashSuspects,
        chooser: ServerChooser,
        state: Callable[[], str],
        reaches_store: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        """Take the callbacks whose results go into heartbeats.

        `state` returns the lifecycle state of this daemon, `reaches_store`
        whether it reaches the store.
        """
        self._own = own
        self._name = own.name
        self._incarnation = incarnation
        self._documents = DocumentExchange(
            documents, self._call_without_penalty, self._is_linked
        )
        self._leaving_instances = leaving_instances
        self._server_limits = server_limits
        self._crash_suspects = crash_suspects
        self._chooser = chooser
        self._state = state
        self._reaches_store = reaches_store
        self._watches_store: Callable[[], bool] | None = None
        self._reach: ServiceReach | None = None
        self._brittle: BrittleServices | None = None
        self._relay_port = 0
        self._clock = clock
        self._watch_signs = WatchSigns(clock)
        # Loop times at which other daemons became known.
        self._known_since: dict[str, float] = {}
        self.loads = LoadExchange(
            name=own.name, links=self, chooser=chooser, clock=clock
        )
        self._limits: LimitExchange | None = None
        self._versions: VersionExchange | None = None
        self._mesh: PeerMesh | None = None
        self._answer_other: MessageHandler | None = None
        self._ranked_members = RankedMembers(own)
        # Peers that were unreachable for too long; their entries stay listed.
        self._forgotten: set[str] = set()
        self._neighbours: set[str] = set()
        self._neighbours_chosen_at = -math.inf
        self._neighbours_update: asyncio.TimerHandle | None = None
        # Peers that are linked for calls although they are no ring neighbours.
        self._extra_links: set[str] = set()
        # Peers that send heartbeats although they are neither. They are linked
        # meanwhile, since only linked peers can be asked.
        self._unlinked_senders: set[str] = set()
        self._times: dict[str, _LinkTimes] = {}
        # Loop times at which peers were forgotten that own a share.
        self._lost_at: dict[str, float] = {}
        self._tasks = TaskSet()
        self._is_listed = asyncio.Event()
        self._listing_deadline = (
            asyncio.get_running_loop().time() + LISTING_TIMEOUT_S
        )

    @property
    def members(self) -> int:
        """Return the number of daemons, this one included."""
        return self._ranked_members.size

    @property
    def zones(self) -> set[str]:
        """Return the availability zones of the daemons."""
        return self._ranked_members.zones

    @property
    def linked(self) -> int:
        """Return the number of peers with an open link."""
        return len(self.linked_peers())

    @property
    def is_cut_off(self) -> bool:
        """State whether this daemon is not linked to the fleet.

        Before it has listed the members, it may be linked to some, but not to
        the leaders.
        """
        if not self._is_listed.is_set():
            return True
        return self.members > 1 and not self.linked_peers()

    @property
    def share_holders(self) -> int:
        """Return the number of daemons that own a share of each limit."""
        return 1 + len(self._other_share_holders())

    def place_holders(self) -> Collection[str]:
        """Return the daemons that share the slots of brittle servers.

        None are returned until the members in the store have been listed.
        """
        if not self.is_listed:
            return ()
        return self._other_share_holders() | {self._name}

    @property
    def is_listed(self) -> bool:
        """State whether the members in the store have been listed."""
        return self._is_listed.is_set()

    @property
    def is_serving(self) -> bool:
        """State whether this daemon has not announced its shutdown."""
        return self._state() in _SERVING

    def note_listed(self) -> None:
        """Note that the members in the store have been listed."""
        self._is_listed.set()

    async def wait_for_members(self) -> None:
        """Wait until the members were listed, at most LISTING_TIMEOUT_S.

        Before that each daemon would consider itself the leader.
        """
        if self._is_listed.is_set():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._listing_deadline):
                await self._is_listed.wait()

    def announce_change(self) -> None:
        """Send a heartbeat soon, since documents or servers have changed."""
        if self._mesh:
            self._mesh.send_heartbeat_soon()

    def attach(self, mesh: PeerMesh, answer_other: MessageHandler) -> None:
        """Use the links of the mesh; pass other messages to the handler."""
        self._mesh = mesh
        self._answer_other = answer_other

    def provide_document(
        self, key: str, provider: Callable[[], Document | None]
    ) -> None:
        """Serve a document that only peers which ask for it get."""
        self._documents.provide(key, provider)

    def add_later_document(self, key: str) -> None:
        """Exchange a document only with builds that know of it."""
        self._documents.add_later_key(key)

    def attach_watch(self, watches_store: Callable[[], bool]) -> None:
        """Tell peers whether this daemon watches the store for them."""
        self._watches_store = watches_store

    def attach_relay(self, reach: ServiceReach, port: int) -> None:
        """Tell peers what this daemon reaches, and where it takes requests."""
        self._reach = reach
        self._relay_port = port

    def attach_brittle_services(self, brittle: BrittleServices) -> None:
        """Share with peers which services' servers are brittle."""
        self._brittle = brittle

    def attach_limits(self, limits: LimitExchange) -> None:
        """Answer requests of peers for permits."""
        self._limits = limits

    def attach_versions(self, versions: VersionExchange) -> None:
        """Tell peers the versions of new streams, and answer theirs."""
        self._versions = versions

    def list_members(self, members: Iterable[FleetMember]) -> None:
        """Add the daemons that the store lists.

        A list that was read before this daemon was registered may lack others
        that start at the same time.
        """
        listed = list(members)
        self._add_members(
            member for member in listed if member.name not in self._forgotten
        )
        if any(member.name == self._name for member in listed):
            self.note_listed()

    def add_member(self, member: FleetMember) -> None:
        """Add a daemon that has sent a heartbeat."""
        self._forgotten.discard(member.name)
        self._add_members([member])

    def _add_members(self, members: Iterable[FleetMember]) -> None:
        is_changed = False
        for member in members:
            if not member.name or not self._ranked_members.add(member):
                continue
            is_changed = True
            self._known_since.setdefault(member.name, self._clock())
            log.info(
                'peer found',
                peer=member.name,
                zone=member.zone,
                strength=member.capacity_class,
            )
        if is_changed:
            self._update_neighbours_soon()

    async def answer(self, sender: Sender, message: Message) -> Message | None:
        """Answer a message of a peer."""
        match message:
            case Heartbeat():
                self.add_member(
                    FleetMember(
                        name=sender.name,
                        zone=message.zone,
                        capacity_class=message.strength,
                    )
                )
                # At once: after the next own heartbeat it would be later by a
                # period at each hop.
                self._documents.learn(sender.name, message)
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
                self._server_limits.learn(
                    _reported_limits(message.server_limits), peer=sender.name
                )
                if self._brittle:
                    self._brittle.learn(
                        _reported_services(message.brittle_services),
                        peer=sender.name,
                    )
                self._crash_suspects.learn(message.crashes)
                self._watch_signs.learn(message.watch_signs)
                if self._versions:
                    self._versions.learn(message, sender.name)
                return None
            case ConfigFetch():
                return self._documents.answer(message)
            case LoadReport():
                return self.loads.answer(sender.name, message)
            case PermitRequest() if self._limits:
                return self._limits.answer(sender.name, message)
            case StreamStarts() | StreamStartQuery() if self._versions:
                return self._versions.answer(message)
            case _:
                if self._answer_other is None:
                    return Ack(accepted=False)
                return await self._answer_other(message)

    def is_watcher(self) -> bool:
        """State whether this daemon watches the store.

        The first leaders that reach the store watch it for all daemons. A
        daemon without an open link watches for itself. Its own failures do not
        end its watch: calls of one kind fail without those of others, and if
        all daemons gave up at once, nobody would notice the next change.
        """
        if not self._knows_members():
            return False
        if not self.linked_peers():
            return True
        watchers = islice(
            filter(self._may_watch, self._leaders()), MAX_WATCHERS
        )
        return self._name in watchers

    def is_leader(self) -> bool:
        """State whether this daemon is one of the leaders."""
        return self._knows_members() and self._name in islice(
            self._leaders(), MAX_WATCHERS
        )

    def _knows_members(self) -> bool:
        """State whether the members were listed, or can't be at the start.

        A daemon that knows no members yet would take itself for a leader.
        """
        return self.is_listed or self._clock() >= self._listing_deadline

    def aggregator_host(self) -> str | None:
        """Return the peer with the load aggregator, None if it is this one."""
        host = self._aggregator_of(self._own.zone)
        if host is None or host == self._name:
            return None
        self.open_link(host)
        return host

    def other_aggregators(self) -> Collection[str]:
        """Return the peers with the aggregators of the other zones."""
        if not has_zone_aggregators(self.members):
            return set()
        zones = self._ranked_members.zones - {self._own.zone}
        hosts = {self._aggregator_of(zone) for zone in zones} - {None}
        for host in hosts:
            self.open_link(host)
        return hosts

    def _aggregator_of(self, zone: str) -> str | None:
        """Return the daemon with the aggregator of a zone, if there is one."""
        leaders = self._leaders()
        if has_zone_aggregators(self.members):
            leaders = filter(
                self._ranked_members.names_in(zone).__contains__, leaders
            )
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
        """Return the names of the peers with an open link."""
        if self._mesh is None:
            return set()
        return {peer.name for peer in self._mesh.peers()}

    def send_one_way(self, peer: str, message: Message) -> None:
        """Send a message without reply or guarantee of delivery."""
        self._tasks.spawn(self._send_one_way(peer, message))

    async def call(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; wait shortly if its link is still connecting."""
        if self._mesh is None:
            raise PeerUnreachableError('peer links are not open yet')
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
        """Return the leaders, which hold reserves of tokens, by rank."""
        # Includes those that can't reach the store: if no daemon can, their
        # reserves are the only tokens left.
        return list(islice(self._leaders(), MAX_WATCHERS))

    def allocator(self) -> str:
        """Return the first leader that may reach the store.

        If no daemon is known to reach it, return the first leader, which stays
        the same in an outage: the tokens that it holds are the only ones left.
        """
        leaders = self.reserve_hosts()
        if not (self._reaches_store() or self.reaching_store()):
            return leaders[0] if leaders else self._name
        reaching = filter(self._may_reach_store, leaders)
        return next(reaching, leaders[0] if leaders else self._name)

    def limiter(self) -> str | None:
        """Return the peer that hands out permits, None if it is this one."""
        found = next(filter(self._may_limit, self._leaders()), self._name)
        if found == self._name:
            return None
        self.open_link(found)
        return found

    def stream_keepers(self) -> list[str]:
        """Return the peers that remember streams for the fleet."""
        keepers = [
            name
            for name in islice(self._leaders(), MAX_STREAM_KEEPERS)
            if name != self._name
        ]
        for name in keepers:
            self.open_link(name)
        return [name for name in keepers if self._supports_streams(name)]

    def peer_periods(self) -> dict[str, int]:
        """Return the period of versions of each peer that knows one."""
        return {
            name: number
            for name, number in self._known_periods().items()
            if number
        }

    def has_peer_behind(self, number: int) -> bool:
        """State whether a peer knows no period up to the number."""
        mesh = self._mesh
        return mesh is not None and any(
            known < number and mesh.link(name).connected
            for name, known in self._known_periods().items()
        )

    def has_peer_without_periods(self) -> bool:
        """State whether a linked peer is of a build without periods."""
        mesh = self._mesh
        return mesh is not None and any(
            mesh.link(name).connected and not self._supports_streams(name)
            for name in mesh.names
        )

    def hears_of_changes(self) -> bool:
        """State whether a change of the periods would be heard of soon.

        A daemon that hears no peer may be cut off, whatever it last knew of the
        store. Without the store, daemons that all hear each other miss none.
        """
        mesh = self._mesh
        if mesh is None or not mesh.names:
            return self._reaches_store()
        heard = self.fresh_heartbeats()
        if not heard:
            return False
        reaches_store = self._reaches_store() or any(
            heartbeat.watches_store for heartbeat in heard.values()
        )
        return reaches_store or heard.keys() >= set(mesh.names)

    def fresh_heartbeats(self) -> dict[str, Heartbeat]:
        """Return the heartbeats of the peers that are heard, by name."""
        if self._mesh is None:
            return {}
        oldest = self._clock() - FRESH_PERIODS * heartbeat_period_s(
            self.members
        )
        return {
            name: received.heartbeat
            for name, received in self._mesh.heartbeats.items()
            if received.received_at > oldest
        }

    def _other_share_holders(self) -> set[str]:
        """Return the other daemons that own a share of each limit.

        A daemon that has announced its shutdown does not use its share.
        """
        oldest = self._clock() - SHARE_RETENTION_S
        lost = {name for name, at in self._lost_at.items() if at > oldest}
        owners = lost | set(self._ranked_members.others)
        return {
            name for name in owners if not self.has_announced_shutdown(name)
        }

    def _known_periods(self) -> dict[str, int]:
        mesh = self._mesh
        if mesh is None:
            return {}
        return {
            name: received.heartbeat.version_period
            for name, received in mesh.heartbeats.items()
            if name in mesh.names and self._supports_streams(name)
        }

    def _supports_streams(self, name: str) -> bool:
        mesh = self._mesh
        return (
            mesh is not None
            and name in mesh.names
            and mesh.link(name).supports_stream_starts
        )

    def has_turn(self, number: int) -> bool:
        """State whether the turn of that number is this daemon's."""
        names = sorted((self._name, *self._ranked_members.others))
        return names[number % len(names)] == self._name

    def note_limiter_failed(self, peer: str) -> None:
        """Note that the peer did not answer a call for permits."""
        if peer in self._times:
            self._times[peer].limiter_failed_at = self._clock()

    def has_announced_shutdown(self, peer: str) -> bool:
        """State whether the peer has said that it stops."""
        received = self._mesh.heartbeats.get(peer) if self._mesh else None
        return received is not None and received.heartbeat.state not in _SERVING

    def note_unresponsive(self, peer: str) -> None:
        """Note that a peer timed out; it may be frozen."""
        if peer in self._times:
            self._times[peer].unresponsive_at = self._clock()

    def note_store_unavailable(self, peer: str) -> None:
        """Note that a peer reported the store unreachable."""
        if peer in self._times:
            self._times[peer].store_unavailable_at = self._clock()

    def open_link(self, name: str) -> None:
        """Add a permanent link to the peer."""
        if self._mesh and name not in self._mesh.names:
            self._extra_links.add(name)
            self._update_links()

    def _is_linked(self, peer: str) -> bool:
        mesh = self._mesh
        return (
            mesh is not None
            and peer in mesh.names
            and mesh.link(peer).connected
        )

    async def _call_without_penalty(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; a timeout does not mark it unresponsive."""
        if self._mesh is None:
            raise PeerUnreachableError('peer links are not open yet')
        return await self._mesh.link(peer).call(message, timeout_s)

    async def _send_one_way(self, peer: str, message: Message) -> None:
        try:
            if self._mesh:
                await self._mesh.link(peer).send(message)
        except OriolegaugeError as error:
            log.info('send to peer failed', peer=peer, error=error.message)

    def _leaders(self) -> Iterator[str]:
        """Yield the serving daemons in the order of rank, equal on all."""
        names = (member.name for member in self._ranked_members.ranked)
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
        received = mesh.heartbeats.get(name)
        return received is None or received.heartbeat.state in _SERVING

    def _may_limit(self, name: str) -> bool:
        mesh = self._mesh
        if mesh is None or name not in mesh.names:
            return True
        link = mesh.link(name)
        if link.connected and not link.supports_permits:
            return False
        failed_at = self._times[name].limiter_failed_at
        return self._clock() - failed_at >= LIMITER_PAUSE_S

    def _is_opening(self, name: str) -> bool:
        return self._clock() - self._times[name].added_at < LINK_OPENING_S

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
        received = self._mesh.heartbeats.get(name) if self._mesh else None
        return received is None or received.heartbeat.watches_store

    def _may_watch(self, name: str) -> bool:
        if name == self._name:
            return True
        return self._may_reach_store(name) and self._shows_watch(name)

    def _shows_watch(self, name: str) -> bool:
        """State whether the daemon was lately known to watch the store.

        A daemon that has just become known counts until its sign can be here.
        """
        known_s = self._clock() - self._known_since.get(name, -math.inf)
        return known_s < LINK_OPENING_S or self._watch_signs.is_fresh(
            name, watch_sign_age_s(self.members)
        )

    def _signs_to_send(self) -> tuple[WatchSign, ...]:
        if self._watches_store and self._watches_store():
            self._watch_signs.note(self._name)
        names = [self._name]
        if self.members > FULL_MESH_MEMBERS:
            names = [member.name for member in self._ranked_members.ranked]
        signs = self._watch_signs.fresh(names, watch_sign_age_s(self.members))
        return tuple(islice(signs, MAX_WATCHERS))

    def _update_neighbours_soon(self) -> None:
        """Choose the neighbours again, once for members that come together."""
        wait_s = self._neighbours_chosen_at + NEIGHBOURS_PAUSE_S - self._clock()
        if wait_s <= 0 or self.members <= FULL_MESH_MEMBERS:
            self._update_neighbours()
        elif self._neighbours_update is None:
            self._neighbours_update = asyncio.get_running_loop().call_later(
                wait_s, self._update_neighbours
            )

    def _update_neighbours(self) -> None:
        self._neighbours_chosen_at = self._clock()
        if self._neighbours_update:
            self._neighbours_update.cancel()
            self._neighbours_update = None
        self._neighbours = ring_neighbours(
            self._name, self._ranked_members.others
        )
        self._update_links()

    def _update_links(self) -> None:
        if self._mesh is None:
            return
        wanted = self._neighbours | self._extra_links | self._unlinked_senders
        self._mesh.suppress_heartbeats(
            wanted - self._neighbours - self._fellow_leaders()
        )
        for name in wanted - set(self._mesh.names):
            now = self._clock()
            self._times[name] = _LinkTimes(added_at=now, open_at=now)
            self._mesh.add_peer(name, name)
        for name in set(self._mesh.names) - wanted:
            del self._times[name]
            self._mesh.remove_peer(name)

    def _link_senders(self) -> None:
        """Link the daemons that send heartbeats while they do so.

        Daemons that know other members have other neighbours, and leaders send
        heartbeats to all leaders that they have a link to.
        """
        senders = self.fresh_heartbeats().keys() - (
            self._neighbours | self._extra_links
        )
        if senders != self._unlinked_senders:
            self._unlinked_senders = senders
            self._update_links()

    def _fellow_leaders(self) -> set[str]:
        """Return all leaders if this daemon is one, else an empty set.

        Leaders send each other heartbeats, wherever they are on the ring.
        """
        first = {
            member.name
            for member in islice(self._ranked_members.ranked, MAX_WATCHERS)
        }
        return first if self._name in first else set()

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""
        versions = self._versions
        return Heartbeat(
            member=self._name,
            incarnation=self._incarnation,
            zone=self._own.zone,
            strength=self._own.capacity_class,
            state=self._state(),
            watches_store=self._reaches_store(),
            config_versions=self._documents.revisions(),
            document_versions=self._documents.versions(),
            later_versions=self._documents.later_versions(),
            in_flight=in_flight_rows(self._chooser.own_loads()),
            departures=tuple(
                LeavingServer(
                    reported.server_instance.instance,
                    reported.server_instance.started_ms,
                    int(reported.age_s * _MS_PER_S),
                )
                for reported in self._leaving_instances.all()
            ),
            server_limits=tuple(
                ServerLimit(
                    limit.server_instance.instance,
                    limit.server_instance.started_ms,
                    UNLIMITED_PER_S if limit.per_s is None else limit.per_s,
                    int(limit.age_s * _MS_PER_S),
                )
                for limit in self._server_limits.all()
            ),
            crashes=self._crash_suspects.all(),
            version_period=versions.history.number if versions else 0,
            version_shares=versions.shares() if versions else (),
            watch_signs=self._signs_to_send(),
            lost_services=self._reach.lost_services if self._reach else (),
            relay_port=self._relay_port,
            brittle_services=_service_rows(self._brittle),
            read_ages_ms=self._documents.read_ages_ms(),
        )

    def apply_heartbeats(self) -> None:
        """Apply the loads in the latest heartbeats of the peers."""
        mesh = self._mesh
        if mesh is None:
            return
        now = self._clock()
        peer_loads = LoadAggregator()
        reporting_peers = 0
        for name, received in mesh.heartbeats.items():
            if now - received.received_at > LOAD_REPORT_MAX_AGE_S:
                continue
            reporting_peers += 1
            loads = in_flight_loads(received.heartbeat.in_flight)
            peer_loads.note(name, loads, now)
        self._forget_unlinked_peers(mesh, now)
        self._link_senders()
        if self.loads.is_fresh:
            return
        # Assumes that unlinked daemons run as much as linked ones.
        scale = (
            len(self._ranked_members.others) / reporting_peers
            if reporting_peers
            else 0
        )
        self._chooser.note_peers(
            {
                server: PeerLoad(
                    int(load.requests * scale), int(load.prompt_tokens * scale)
                )
                for server, load in peer_loads.other_loads(
                    self._name, now
                ).items()
            }
        )

    def _forget_unlinked_peers(self, mesh: PeerMesh, now: float) -> None:
        for name, times in self._times.items():
            if mesh.link(name).connected:
                times.open_at = now
        forgotten = {
            name
            for name, times in self._times.items()
            if now - times.open_at > FORGET_PEER_S
        }
        if not forgotten:
            return
        log.info('peers forgotten', peers=sorted(forgotten))
        for name in forgotten:
            if self._times[name].was_open and not self.has_announced_shutdown(
                name
            ):
                self._lost_at[name] = now
        self._ranked_members.remove(forgotten)
        self._forgotten |= forgotten
        self._watch_signs.keep_only((self._name, *self._ranked_members.others))
        for name in forgotten:
            self._known_since.pop(name, None)
        self._extra_links -= forgotten
        self._update_neighbours()


def _reported_limits(rows: Iterable[ServerLimit]) -> Iterator[ReportedLimit]:
    for row in rows:
        is_unlimited = row.per_s == UNLIMITED_PER_S
        if is_unlimited or (row.per_s >= 0 and math.isfinite(row.per_s)):
            yield ReportedLimit(
                ServerInstance(row.server, row.started_ms),
                None if is_unlimited else row.per_s,
                max(0, row.age_ms) / _MS_PER_S,
            )


def _reported_services(
    rows: Iterable[BrittleService],
) -> Iterator[ReportedService]:
    for row in rows:
        is_over = row.per_s == NOT_BRITTLE
        if is_over or (row.per_s >= 0 and math.isfinite(row.per_s)):
            yield ReportedService(
                row.service,
                None if is_over else row.per_s,
                max(0, row.age_ms) / _MS_PER_S,
            )


def _service_rows(
    brittle: BrittleServices | None,
) -> tuple[BrittleService, ...]:
    reported = brittle.all() if brittle else ()
    return tuple(
        BrittleService(
            report.service,
            NOT_BRITTLE if report.bears is None else report.bears,
            int(report.age_s * _MS_PER_S),
        )
        for report in reported
    )
