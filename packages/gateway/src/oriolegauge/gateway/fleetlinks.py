"""Links of a daemon to its peers: heartbeats, documents, loads and limits.

Sends and answers messages. Who is linked, and who has a role for the fleet, is
decided by LinkSelection and FleetRoles.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable

import structlog

from oriolegauge.budget.messages import Ack
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.taskset import TaskSet
from oriolegauge.forwarding.leavinginstances import LeavingInstances
from oriolegauge.forwarding.serverlimits import ServerLimits
from oriolegauge.gateway.documentexchange import DocumentExchange
from oriolegauge.gateway.fleetlayout import heartbeat_period_s
from oriolegauge.gateway.fleetmembers import FleetMembers
from oriolegauge.gateway.fleetroles import FleetRoles
from oriolegauge.gateway.heartbeatrows import (
    departure_rows,
    limit_rows,
    reported_departures,
    reported_limits,
    reported_services,
    service_rows,
)
from oriolegauge.gateway.limitexchange import LimitExchange
from oriolegauge.gateway.linkselection import LinkSelection
from oriolegauge.gateway.loadexchange import (
    LoadExchange,
    in_flight_loads,
    in_flight_rows,
)
from oriolegauge.gateway.peerstates import PeerStates
from oriolegauge.gateway.rankedmembers import FleetMember
from oriolegauge.gateway.shareddocuments import Document, SharedDocuments
from oriolegauge.gateway.versionexchange import VersionExchange
from oriolegauge.gateway.watchsigns import WatchSigns
from oriolegauge.mesh import PeerMesh
from oriolegauge.routing.brittleservices import BrittleServices
from oriolegauge.routing.crashsuspects import CrashSuspects
from oriolegauge.routing.loadaggregator import LoadAggregator
from oriolegauge.routing.peerload import PeerLoad
from oriolegauge.routing.serverchooser import ServerChooser
from oriolegauge.routing.servicereach import ServiceReach
from oriolegauge.wire import PeerTimeoutError, Sender
from oriolegauge.wire.messages import (
    ConfigFetch,
    Heartbeat,
    LoadReport,
    Message,
    PermitRequest,
    StreamStartQuery,
    StreamStarts,
)

# Loads in an older heartbeat are ignored.
LOAD_REPORT_MAX_AGE_S = 1.7
# A peer is heard if its last heartbeat is no older than this many periods.
FRESH_PERIODS = 3
# A call waits this long for a link that was just added.
CONNECT_WAIT_S = 0.3
# Slow hosts answer within this time, so a shorter timeout does not mean that
# the peer is frozen.
UNRESPONSIVE_AFTER_S = 0.2

MessageHandler = Callable[[Message], Awaitable[Message | None]]

log = structlog.get_logger()


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
        self._members = FleetMembers(own, clock)
        self._peers = PeerStates(clock)
        self._selection = LinkSelection(self._members, clock)
        self._roles = FleetRoles(
            members=self._members,
            peers=self._peers,
            watch_signs=self._watch_signs,
            state=state,
            reaches_store=reaches_store,
        )
        self.loads = LoadExchange(
            name=own.name, links=self, chooser=chooser, clock=clock
        )
        self._limits: LimitExchange | None = None
        self._versions: VersionExchange | None = None
        self._mesh: PeerMesh | None = None
        self._answer_other: MessageHandler | None = None
        self._neighbours_update: asyncio.TimerHandle | None = None
        self._tasks = TaskSet()

    @property
    def members(self) -> int:
        """Return the number of daemons, this one included."""
        return self._members.size

    @property
    def zones(self) -> set[str]:
        """Return the availability zones of the daemons."""
        return self._members.zones

    @property
    def linked(self) -> int:
        """Return the number of peers that are heard over an open link."""
        return len(self.linked_peers())

    @property
    def is_cut_off(self) -> bool:
        """State whether this daemon is not linked to the fleet.

        Before it has listed the members, it may be linked to some, but not to
        the leaders.
        """
        if not self.is_listed:
            return True
        return self.members > 1 and not self.linked_peers()

    @property
    def is_listed(self) -> bool:
        """State whether the members in the store have been listed."""
        return self._members.is_listed

    @property
    def is_serving(self) -> bool:
        """State whether this daemon has not announced its shutdown."""
        return self._roles.is_serving

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

    def attach(self, mesh: PeerMesh, answer_other: MessageHandler) -> None:
        """Use the links of the mesh; pass other messages to the handler."""
        self._mesh = mesh
        self._peers.attach(mesh)
        self._answer_other = answer_other

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

    def provide_document(
        self, key: str, provider: Callable[[], Document | None]
    ) -> None:
        """Serve a document that only peers which ask for it get."""
        self._documents.provide(key, provider)

    def add_later_document(self, key: str) -> None:
        """Exchange a document only with builds that know of it."""
        self._documents.add_later_key(key)

    def note_listed(self) -> None:
        """Note that the members in the store have been listed."""
        self._members.note_listed()

    async def wait_for_members(self) -> None:
        """Wait until the members were listed, or a timeout after the start.

        Before that each daemon would consider itself the leader.
        """
        await self._members.wait_until_listed()

    def list_members(self, members: Iterable[FleetMember]) -> None:
        """Add the daemons that the store lists."""
        if self._members.add_listed(members):
            self._update_neighbours_soon()

    def add_member(self, member: FleetMember) -> None:
        """Add a daemon that has sent a heartbeat."""
        if self._members.add_sender(member):
            self._update_neighbours_soon()

    def announce_change(self) -> None:
        """Send a heartbeat soon, since documents or servers have changed."""
        if self._mesh:
            self._mesh.send_heartbeat_soon()

    async def answer(self, sender: Sender, message: Message) -> Message | None:
        """Answer a message of a peer."""
        match message:
            case Heartbeat():
                self._learn(sender.name, message)
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

    def _learn(self, peer: str, heartbeat: Heartbeat) -> None:
        self.add_member(
            FleetMember(
                name=peer,
                zone=heartbeat.zone,
                capacity_class=heartbeat.strength,
            )
        )
        # At once: after the next own heartbeat it would be later by a period at
        # each hop.
        self._documents.learn(peer, heartbeat)
        self._leaving_instances.learn(
            reported_departures(heartbeat.departures), peer=peer
        )
        self._server_limits.learn(
            reported_limits(heartbeat.server_limits), peer=peer
        )
        if self._brittle:
            self._brittle.learn(
                reported_services(heartbeat.brittle_services), peer=peer
            )
        self._crash_suspects.learn(heartbeat.crashes)
        self._watch_signs.learn(heartbeat.watch_signs)
        if self._versions:
            self._versions.learn(heartbeat, peer)

    def is_watcher(self) -> bool:
        """State whether this daemon watches the store."""
        return self._roles.is_watcher()

    def is_leader(self) -> bool:
        """State whether this daemon is one of the leaders."""
        return self._roles.is_leader()

    def aggregator_host(self) -> str | None:
        """Return the peer with the load aggregator, None if it is this one."""
        return self._linked_role(self._roles.aggregator())

    def other_aggregators(self) -> Collection[str]:
        """Return the peers with the aggregators of the other zones."""
        hosts = self._roles.other_aggregators()
        for host in hosts:
            self.open_link(host)
        return hosts

    def reserve_hosts(self) -> list[str]:
        """Return the leaders, which hold reserves of tokens, by rank."""
        return self._roles.reserve_hosts()

    def allocator(self) -> str:
        """Return the daemon that writes the ledger of prepaid tokens."""
        return self._roles.allocator()

    def limiter(self) -> str | None:
        """Return the peer that hands out permits, None if it is this one."""
        return self._linked_role(self._roles.limiter())

    def stream_keepers(self) -> list[str]:
        """Return the peers that remember streams for the fleet."""
        keepers = self._roles.stream_keepers()
        for name in keepers:
            self.open_link(name)
        return list(filter(self._peers.supports_streams, keepers))

    def reaching_store(self) -> list[str]:
        """Return the linked peers that reach the store."""
        return self._peers.reaching_store()

    def linked_peers(self) -> set[str]:
        """Return the names of the peers that are heard over an open link."""
        return self._peers.heard()

    def fresh_heartbeats(self) -> dict[str, Heartbeat]:
        """Return the heartbeats of the peers that are heard, by name."""
        return self._peers.fresh_heartbeats(
            FRESH_PERIODS * heartbeat_period_s(self.members)
        )

    def peer_periods(self) -> dict[str, int]:
        """Return the period of versions of each peer that knows one."""
        return {
            name: number
            for name, number in self._known_periods().items()
            if number
        }

    def has_peer_behind(self, number: int) -> bool:
        """State whether a peer knows no period up to the number."""
        return any(
            known < number and self._is_linked(name)
            for name, known in self._known_periods().items()
        )

    def has_peer_without_periods(self) -> bool:
        """State whether a linked peer is of a build without periods."""
        return any(
            self._is_linked(name) and not self._peers.supports_streams(name)
            for name in self._peers.names
        )

    def hears_of_changes(self) -> bool:
        """State whether a change of the periods would be heard of soon.

        A daemon that hears no peer may be cut off, whatever it last knew of the
        store. Without the store, daemons that all hear each other miss none.
        """
        if not self._peers.names:
            return self._reaches_store()
        heard = self.fresh_heartbeats()
        if not heard:
            return False
        reaches_store = self._reaches_store() or any(
            heartbeat.watches_store for heartbeat in heard.values()
        )
        return reaches_store or heard.keys() >= set(self._peers.names)

    def has_turn(self, number: int) -> bool:
        """State whether the turn of that number is this daemon's."""
        return self._members.has_turn(number)

    def has_announced_shutdown(self, peer: str) -> bool:
        """State whether the peer has said that it stops."""
        return self._peers.has_announced_shutdown(peer)

    def note_limiter_failed(self, peer: str) -> None:
        """Note that the peer did not answer a call for permits."""
        self._peers.note_limiter_failed(peer)

    def note_unresponsive(self, peer: str) -> None:
        """Note that a peer timed out; it may be frozen."""
        self._peers.note_unresponsive(peer)

    def note_store_unavailable(self, peer: str) -> None:
        """Note that a peer reported the store unreachable."""
        self._peers.note_store_unavailable(peer)

    def open_link(self, name: str) -> None:
        """Add a permanent link to the peer."""
        if self._mesh and name not in self._peers.names:
            self._selection.add_called(name)
            self._update_links()

    def send_one_way(self, peer: str, message: Message) -> None:
        """Send a message without reply or guarantee of delivery."""
        self._tasks.spawn(self._send_one_way(peer, message))

    async def call(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; wait shortly if its link is still connecting."""
        link = self._peers.link(peer)
        try:
            if not link.connected and self._peers.is_opening(peer):
                await link.wait_connected(CONNECT_WAIT_S)
            return await link.call(message, timeout_s)
        except PeerTimeoutError:
            if timeout_s >= UNRESPONSIVE_AFTER_S:
                self.note_unresponsive(peer)
            raise

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send now."""
        versions = self._versions
        watches = bool(self._watches_store and self._watches_store())
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
            departures=departure_rows(self._leaving_instances),
            server_limits=limit_rows(self._server_limits),
            crashes=self._crash_suspects.all(),
            version_period=versions.history.number if versions else 0,
            version_shares=versions.shares() if versions else (),
            watch_signs=self._roles.signs_to_send(watches=watches),
            lost_services=self._reach.lost_services if self._reach else (),
            relay_port=self._relay_port,
            brittle_services=service_rows(self._brittle),
            read_ages_ms=self._documents.read_ages_ms(),
        )

    def apply_heartbeats(self) -> None:
        """Apply the loads in the latest heartbeats of the peers."""
        if self._mesh is None:
            return
        now = self._clock()
        heartbeats = self._peers.fresh_heartbeats(LOAD_REPORT_MAX_AGE_S)
        self._forget_unreachable_peers()
        if self._selection.set_senders(self.fresh_heartbeats()):
            self._update_links()
        if self.loads.is_fresh:
            return
        peer_loads = LoadAggregator()
        for name, heartbeat in heartbeats.items():
            peer_loads.note(name, in_flight_loads(heartbeat.in_flight), now)
        # Assumes that unlinked daemons run as much as linked ones.
        scale = len(self._members.others) / len(heartbeats) if heartbeats else 0
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

    def _linked_role(self, name: str | None) -> str | None:
        """Return the peer with a role, None if it is this daemon."""
        if name is None or name == self._name:
            return None
        self.open_link(name)
        return name

    def _other_share_holders(self) -> set[str]:
        """Return the other daemons that own a share of each limit.

        A daemon that has announced its shutdown does not use its share.
        """
        return {
            name
            for name in self._members.other_owners()
            if not self.has_announced_shutdown(name)
        }

    def _known_periods(self) -> dict[str, int]:
        return {
            name: received.heartbeat.version_period
            for name, received in self._peers.heartbeats.items()
            if self._peers.supports_streams(name)
        }

    def _is_linked(self, peer: str) -> bool:
        return self._peers.is_open(peer)

    async def _call_without_penalty(
        self, peer: str, message: Message, timeout_s: float
    ) -> Message:
        """Call a peer; a timeout does not mark it unresponsive."""
        return await self._peers.link(peer).call(message, timeout_s)

    async def _send_one_way(self, peer: str, message: Message) -> None:
        try:
            await self._peers.link(peer).send(message)
        except OriolegaugeError as error:
            log.info('send to peer failed', peer=peer, error=error.message)

    def _update_neighbours_soon(self) -> None:
        wait_s = self._selection.due_in_s()
        if not wait_s:
            self._update_neighbours()
        elif self._neighbours_update is None:
            self._neighbours_update = asyncio.get_running_loop().call_later(
                wait_s, self._update_neighbours
            )

    def _update_neighbours(self) -> None:
        if self._neighbours_update:
            self._neighbours_update.cancel()
            self._neighbours_update = None
        self._selection.choose_neighbours()
        self._update_links()

    def _update_links(self) -> None:
        self._peers.keep(self._selection.wanted, self._selection.muted)

    def _forget_unreachable_peers(self) -> None:
        forgotten = self._peers.find_unreachable()
        if not forgotten:
            return
        lost = {
            name
            for name in forgotten
            if self._peers.was_open(name)
            and not self.has_announced_shutdown(name)
        }
        self._members.forget(forgotten, lost)
        self._watch_signs.keep_only((self._name, *self._members.others))
        self._selection.forget(forgotten)
        self._update_neighbours()
