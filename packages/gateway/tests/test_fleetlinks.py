"""Links, leaders, allocators and aggregators in fleets of any size."""

import asyncio
import random
from dataclasses import dataclass

import pytest

from oriolegauge.forwarding.leavinginstances import LeavingInstances
from oriolegauge.forwarding.serverlimits import ServerLimits
from oriolegauge.gateway.fleetlayout import (
    FULL_MESH_MEMBERS,
    MAX_LEADERS,
    heartbeat_period_s,
    ring_neighbours,
)
from oriolegauge.gateway.fleetlinks import FRESH_PERIODS, FleetLinks
from oriolegauge.gateway.grantlinks import GrantLinks
from oriolegauge.gateway.linkselection import NEIGHBOURS_PAUSE_S
from oriolegauge.gateway.loadexchange import AGGREGATOR_TIMEOUT_S
from oriolegauge.gateway.peerstates import (
    FORGET_PEER_S,
    STORE_UNAVAILABLE_PAUSE_S,
    UNRESPONSIVE_PAUSE_S,
)
from oriolegauge.gateway.rankedmembers import (
    FleetMember,
    RankedMembers,
    capacity_class,
)
from oriolegauge.gateway.shareddocuments import (
    SharedDocuments,
)
from oriolegauge.grants import DrawRequest
from oriolegauge.mesh import ReceivedHeartbeat
from oriolegauge.routing.crashsuspects import CrashSuspects
from oriolegauge.routing.serverchooser import ServerChooser
from oriolegauge.wire import PeerTimeoutError
from oriolegauge.wire.messages import Heartbeat, LoadReport


class TestRingNeighbours:
    @pytest.mark.parametrize('size', [2, 8, 16])
    def test_small_fleets_link_all(self, size):
        """Guards against needless hops in a small fleet."""
        names = {f'm{number}' for number in range(size)}
        assert ring_neighbours('m0', names - {'m0'}) == names - {'m0'}

    @pytest.mark.parametrize('size', [30, 85, 300, 700])
    def test_links_are_few_symmetric_and_short(self, size):
        """Guards against too many links, and against slow spread of updates."""
        names = [f'm{number:03}' for number in range(size)]
        links = {
            name: ring_neighbours(name, set(names) - {name}) for name in names
        }
        assert max(map(len, links.values())) <= 2 * FULL_MESH_MEMBERS
        for name in names:
            assert all(name in links[peer] for peer in links[name])
        reached, steps = {names[0]}, 0
        while len(reached) < size:
            reached |= {peer for name in reached for peer in links[name]}
            steps += 1
        assert steps <= 6

    @pytest.mark.parametrize('size', [30, 85, 300, 700])
    def test_heartbeats_of_a_daemon_stay_below_those_of_a_small_fleet(
        self, size
    ):
        """Guards against a cost of heartbeats that grows with the fleet."""
        names = {f'm{number:03}' for number in range(size)}
        large = len(ring_neighbours('m000', names)) / heartbeat_period_s(size)
        assert large <= 7 / heartbeat_period_s(8)


class StubLink:
    def __init__(self):
        self.connected = True

    async def call(self, message, timeout_s):
        await asyncio.sleep(timeout_s)
        raise PeerTimeoutError('no answer')


@dataclass(frozen=True)
class AlivePeer:
    name: str


class StubMesh:
    """Mesh with an open link to each peer; tests set the heartbeats."""

    def __init__(self):
        self.names = {}
        self.heartbeats = {}

    def link(self, name):
        return self.names[name]

    def add_peer(self, name, _):
        self.names[name] = StubLink()

    def remove_peer(self, name):
        self.names.pop(name)

    def suppress_heartbeats(self, names):
        self.suppressed = names

    def peers(self):
        return [
            AlivePeer(name)
            for name, link in self.names.items()
            if link.connected
        ]


def links_of(
    name,
    others,
    clock,
    reaches_store=True,
    capacity_classes=None,
    zones=None,
    documents=None,
    mesh=None,
):
    def member(called):
        return FleetMember(
            name=called,
            zone=(zones or {}).get(called, 'z'),
            capacity_class=(capacity_classes or {}).get(called, 0),
        )

    own = member(name)
    links = FleetLinks(
        own=own,
        incarnation='1',
        documents=documents or SharedDocuments(lambda *_: None),
        leaving_instances=LeavingInstances(
            clock, on_leaving_instance=lambda: None
        ),
        server_limits=ServerLimits(clock, on_change=lambda _: None),
        crash_suspects=CrashSuspects(
            clock=clock, has_turn=lambda _: True, on_change=lambda: None
        ),
        chooser=ServerChooser(zone='z', rng=random.Random(1)),
        state=lambda: 'serving',
        reaches_store=(
            reaches_store if callable(reaches_store) else lambda: reaches_store
        ),
        clock=clock,
    )
    links.attach(mesh or StubMesh(), None)
    links.list_members([member(other) for other in others if other != name])
    return links, GrantLinks(name=name, links=links)


def heartbeat(name, reaches_store):
    beat = Heartbeat(
        member=name,
        incarnation='1',
        zone='z',
        state='serving',
        watches_store=reaches_store,
    )
    return ReceivedHeartbeat(beat, 0)


class TestAllocator:
    @pytest.mark.parametrize('size', [8, 68])
    async def test_stays_the_same_in_an_outage_of_the_store(self, size):
        """Guards against an allocator without tokens in an outage.

        When no daemon reached the store, each drew through peers of which it
        had no heartbeat. Requests were refused although only a quarter of the
        budget was granted.
        """
        names = [f'd{number:02}' for number in range(size)]
        clock = asyncio.get_running_loop().time
        before, after = set(), set()
        for name in names[:10]:
            _, grants = links_of(name, names, clock)
            before.add(grants.allocator() or name)
            links, grants = links_of(name, names, clock, reaches_store=False)
            for peer in links._mesh.names:
                links._mesh.heartbeats[peer] = heartbeat(peer, False)
            after.add(grants.allocator() or name)
        assert before == after
        assert len(after) == 1

    async def test_moves_when_only_it_cannot_reach_the_store(self):
        """Guards against draws through a daemon that can't reach the store."""
        names = [f'd{number:02}' for number in range(8)]
        clock = asyncio.get_running_loop().time
        first = links_of('d00', names, clock)[0].allocator()
        name = next(name for name in names if name != first)
        links, _ = links_of(name, names, clock)
        for peer in links._mesh.names:
            links._mesh.heartbeats[peer] = heartbeat(peer, peer != first)
        assert links.allocator() != first

    @pytest.mark.looptime
    async def test_moves_when_a_draw_reports_the_store_unavailable(self):
        """Guards against repeated draws through an allocator without store.

        Without a link for heartbeats, only the reply to a draw tells that the
        allocator can't reach the store.
        """
        clock = asyncio.get_running_loop().time
        names = [f'd{number:02}' for number in range(68)]
        name = next(
            name
            for name in names
            if links_of(name, names, clock)[1].allocator()
        )
        links, grants = links_of(name, names, clock)
        first = grants.allocator()
        links.note_store_unavailable(first)
        assert grants.allocator() != first
        await asyncio.sleep(STORE_UNAVAILABLE_PAUSE_S)
        assert grants.allocator() == first

    @pytest.mark.looptime
    async def test_moves_for_a_while_from_a_frozen_but_not_a_slow_host(self):
        """Guards against draws that all wait for a frozen host.

        A slow host may exceed the short timeout of load reports. If the
        allocator moved for that, the tokens would be scattered.
        """
        clock = asyncio.get_running_loop().time
        names = [f'd{number:02}' for number in range(68)]
        name = next(
            name
            for name in names
            if links_of(name, names, clock)[1].allocator()
        )
        links, grants = links_of(name, names, clock)
        first = grants.allocator()
        with pytest.raises(PeerTimeoutError):
            await links.call(first, LoadReport(), AGGREGATOR_TIMEOUT_S)
        assert grants.allocator() == first
        draw = DrawRequest(team='team', need=100, ahead=0, spent=0)
        assert await grants.draw(first, draw) is None
        assert grants.allocator() != first
        await asyncio.sleep(UNRESPONSIVE_PAUSE_S)
        assert grants.allocator() == first


class TestWatchers:
    async def test_daemon_that_knows_no_members_yet_leaves_it_to_others(self):
        """Guards against a start of the fleet at which all daemons watch."""
        clock = asyncio.get_running_loop().time
        links, _ = links_of('d0', [], clock)
        assert not links.is_watcher()
        assert not links.is_leader()
        links.note_listed()
        assert links.is_watcher()
        assert links.is_leader()

    @pytest.mark.parametrize('size', [8, 68])
    async def test_store_is_watched_when_it_refuses_grants_to_all(self, size):
        """Guards against a configuration that all daemons leave to others."""
        names = [f'd{number:02}' for number in range(size)]
        clock = asyncio.get_running_loop().time
        watching = 0
        for name in names:
            links, _ = links_of(name, names, clock, reaches_store=False)
            links.note_listed()
            for peer in links._mesh.names:
                links._mesh.heartbeats[peer] = heartbeat(peer, False)
            watching += links.is_watcher()
        assert watching >= MAX_LEADERS


class TestRankedMembers:
    def test_hosts_of_high_capacity_come_first(self):
        """Guards against load aggregators and allocators on the smallest hosts.

        With the aggregator on a host with half a core and a link of 5 Mbit/s,
        prompts waited 43 ms for it in the median.
        """
        large = capacity_class(cores=2.15, link_mbps=100)
        small = capacity_class(cores=0.516, link_mbps=5)
        members = [
            FleetMember(
                name=f'd{number:02}',
                zone='z',
                capacity_class=large if number % 14 == 0 else small,
            )
            for number in range(85)
        ]
        orders = set()
        for own in members[:3]:
            ranked_members = RankedMembers(own)
            for member in members:
                ranked_members.add(member)
            orders.add(tuple(member.name for member in ranked_members.ranked))
        (order,) = orders
        assert {int(name[1:]) % 14 for name in order[:7]} == {0}

    async def test_reserves_are_on_hosts_of_high_capacity(self):
        """Guards against draws that wait for a slow host."""
        names = [f'd{number:02}' for number in range(85)]
        capacity_classes = dict.fromkeys(names[::10], 2)
        clock = asyncio.get_running_loop().time
        for name in names[:5]:
            links, _ = links_of(
                name, names, clock, capacity_classes=capacity_classes
            )
            assert set(links.reserve_hosts()) <= set(capacity_classes)

    async def test_large_fleet_has_an_aggregator_in_each_zone(self):
        """Guards against load queries across zones."""
        clock = asyncio.get_running_loop().time
        names = [f'd{number:02}' for number in range(60)]
        zones = {name: 'abc'[number % 3] for number, name in enumerate(names)}
        hosts = {}
        for name in names[:12]:
            links, _ = links_of(name, names, clock, zones=zones)
            host = links.aggregator_host() or name
            assert zones[host] == zones[name]
            assert hosts.setdefault(zones[name], host) == host
            if host == name:
                assert len(links.other_aggregators()) == 2
        small, _ = links_of(names[0], names[:8], clock, zones=zones)
        assert not small.other_aggregators()

    async def test_daemon_without_open_links_watches_the_store(self):
        """Guards against stale state on a host partitioned from its peers."""
        clock = asyncio.get_running_loop().time
        names = [f'd{number:02}' for number in range(60)]
        watching = []
        for name in names:
            links, _ = links_of(name, names, clock)
            links.note_listed()
            watching.append(links.is_watcher())
            for link in links._mesh.names.values():
                link.connected = False
            assert links.is_watcher()
        assert sum(watching) == MAX_LEADERS

    def test_similar_hosts_are_of_one_class(self):
        """Guards against a ranking by tiny differences of capacity."""
        usual = capacity_class(cores=1.07, link_mbps=1_000)
        assert capacity_class(cores=1.1, link_mbps=900) == usual


class TestSendersWithoutALink:
    @pytest.mark.looptime
    async def test_is_linked_while_it_sends(self):
        """Guards against a peer that tells of documents and can't be asked."""
        names = [f'd{number:02}' for number in range(68)]
        clock = asyncio.get_running_loop().time
        links, _ = links_of('d00', names, clock)
        [stranger, *_] = sorted(set(names) - {'d00', *links._mesh.names})
        before = set(links._mesh.names)
        links._mesh.heartbeats[stranger] = ReceivedHeartbeat(
            heartbeat(stranger, reaches_store=True).heartbeat, clock()
        )
        links.apply_heartbeats()
        assert set(links._mesh.names) == before | {stranger}
        assert stranger in links._mesh.suppressed
        await asyncio.sleep(FRESH_PERIODS * heartbeat_period_s(68) + 0.1)
        links.apply_heartbeats()
        assert set(links._mesh.names) == before


class TestForgottenPeers:
    @pytest.mark.looptime
    async def test_entry_of_a_forgotten_one_is_no_member_again(self):
        """Guards against hosts that are gone and lead whenever one joins."""
        names = [f'd{number:02}' for number in range(68)]
        links, _ = links_of('d00', names, asyncio.get_running_loop().time)
        listed = [FleetMember(name=name, zone='z') for name in names]
        [gone, *_] = sorted(links._mesh.names)
        links._mesh.names[gone].connected = False
        await asyncio.sleep(FORGET_PEER_S + 1)
        links.apply_heartbeats()
        links.list_members(listed)
        assert links.members == len(names) - 1
        links.add_member(FleetMember(name=gone, zone='z'))
        assert links.members == len(names)

    @pytest.mark.looptime
    async def test_members_that_register_together_change_links_once(self):
        """Guards against links that are opened and dropped at each start."""
        names = [f'd{number:02}' for number in range(68)]
        clock = asyncio.get_running_loop().time
        links, _ = links_of('d00', names[:20], clock)
        opened = []
        add_peer = links._mesh.add_peer
        links._mesh.add_peer = lambda *peer: (opened.append(1), add_peer(*peer))
        for number in range(20, 68):
            links.list_members([FleetMember(name=names[number], zone='z')])
            await asyncio.sleep(0.01)
        await asyncio.sleep(NEIGHBOURS_PAUSE_S)
        expected = ring_neighbours('d00', set(names) - {'d00'})
        assert set(links._mesh.names) == expected
        assert len(opened) <= len(expected)

    @pytest.mark.looptime
    async def test_many_replaced_hosts_are_removed(self):
        """Guards against an error in the heartbeat task.

        Each forgotten peer changes the neighbours on the ring. The loop over
        the links used ones that were removed meanwhile.
        """
        names = [f'd{number:02}' for number in range(68)]
        links, _ = links_of('d00', names, asyncio.get_running_loop().time)
        before = set(links._mesh.names)
        lost = sorted(before)[:8]
        for name in lost:
            links._mesh.names[name].connected = False
        await asyncio.sleep(FORGET_PEER_S + 1)
        links.apply_heartbeats()
        assert links.members == len(names) - len(lost)
        assert not set(lost) & set(links._mesh.names)


class TestListedMembers:
    async def test_list_without_this_daemon_is_not_complete(self):
        """Guards against a daemon that starts first and leads alone."""
        clock = asyncio.get_running_loop().time
        links, grants = links_of('d0', [], clock)
        links.list_members([])
        assert grants.is_cut_off()
        listed = [FleetMember(name=name, zone='z') for name in ('d0', 'd1')]
        links.list_members(listed[1:])
        assert grants.is_cut_off()
        links.list_members(listed)
        assert not grants.is_cut_off()


class TestCutOff:
    async def test_daemon_without_a_link_is_cut_off_if_others_exist(self):
        """Guards against hosts that lead alone and draw for the whole fleet."""
        clock = asyncio.get_running_loop().time
        alone, grants = links_of('d0', [], clock)
        # Others, and the leaders, are known once the members were listed.
        assert grants.is_cut_off()
        alone.note_listed()
        assert not grants.is_cut_off()
        links, grants = links_of('d0', ['d1', 'd2'], clock)
        assert grants.is_cut_off()
        links.note_listed()
        assert not grants.is_cut_off()
        for link in links._mesh.names.values():
            link.connected = False
        assert grants.is_cut_off()
