"""Reports of brittle servers to peers, and daemons that share their slots."""

import asyncio

import pytest

from oriolegauge.gateway.fleetmembers import SHARE_RETENTION_S
from oriolegauge.gateway.peerstates import FORGET_PEER_S
from oriolegauge.mesh import ReceivedHeartbeat
from oriolegauge.routing.brittleservices import BrittleServices
from oriolegauge.wire import Sender
from oriolegauge.wire.messages import BrittleService, Heartbeat

from .test_fleetlinks import links_of

NAMES = ['d0', 'd1', 'd2']


class Daemon:
    """The links of one daemon, and what it knows of services."""

    def __init__(self, name):
        self.name = name
        self.clock = asyncio.get_running_loop().time
        self.links, _ = links_of(name, NAMES, self.clock)
        self.brittle = BrittleServices(self.clock, on_change=lambda: None)
        self.links.attach_brittle_services(self.brittle)

    async def hear(self, other):
        await self.links.answer(
            Sender(other.name, '1'), other.links.heartbeat()
        )


@pytest.mark.looptime
class TestReports:
    async def test_daemon_without_replies_learns_of_brittle_servers(self):
        """Guards against daemons that flood a service they hear of last."""
        first, second, third = map(Daemon, NAMES)
        first.brittle.note('svc', 3)
        await second.hear(first)
        assert second.brittle.is_brittle('svc')
        # In large fleets not all daemons are linked.
        await third.hear(second)
        assert third.brittle.is_brittle('svc')

    async def test_daemon_without_replies_learns_of_the_end(self):
        """Guards against daemons that bound a service for ever."""
        first, second, _ = map(Daemon, NAMES)
        first.brittle.note('svc', 3)
        await second.hear(first)
        await asyncio.sleep(1)
        first.brittle.note_unnamed('svc', first.clock() - 0.1)
        await second.hear(first)
        assert not second.brittle.is_brittle('svc')
        await first.hear(second)
        assert not first.brittle.is_brittle('svc')

    @pytest.mark.parametrize('per_s', [float('nan'), float('inf'), -2.0])
    async def test_invalid_rows_are_passed_over(self, per_s):
        """Guards against a faulty peer that bounds services."""
        daemon = Daemon('d0')
        message = Heartbeat(
            member='d1',
            incarnation='1',
            zone='z',
            state='serving',
            brittle_services=(BrittleService('svc', per_s, 0),),
        )
        await daemon.links.answer(Sender('d1', '1'), message)
        assert not daemon.brittle.is_brittle('svc')


@pytest.mark.looptime
class TestPlaceHolders:
    async def test_none_before_the_members_are_listed(self):
        """Guards against a started daemon that takes all slots."""
        links = Daemon('d0').links
        assert not links.place_holders()
        links.note_listed()
        assert links.place_holders() == set(NAMES)

    async def test_stopping_daemon_leaves_its_places(self):
        """Guards against slots that nobody uses in a planned stop."""
        links = Daemon('d0').links
        links.note_listed()
        message = Heartbeat(
            member='d1', incarnation='1', zone='z', state='draining'
        )
        links._mesh.heartbeats['d1'] = ReceivedHeartbeat(message, 0)
        assert links.place_holders() == {'d0', 'd2'}

    async def test_lost_daemon_keeps_its_places(self):
        """Guards against places of daemons behind a cut that others take."""
        links = Daemon('d0').links
        links.note_listed()
        await asyncio.sleep(1)
        links.apply_heartbeats()
        links._mesh.names['d1'].connected = False
        await asyncio.sleep(FORGET_PEER_S + 1)
        links.apply_heartbeats()
        assert links.place_holders() == set(NAMES)
        await asyncio.sleep(SHARE_RETENTION_S)
        assert links.place_holders() == {'d0', 'd2'}
