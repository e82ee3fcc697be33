"""Daemons that may serve requests of one that reaches no server."""

import asyncio

import pytest

from oriolegauge.gateway.fleetlayout import FULL_MESH_BEAT_PERIOD_S
from oriolegauge.gateway.fleetlinks import FRESH_PERIODS
from oriolegauge.gateway.relaypeers import FleetRelayPeers
from oriolegauge.gateway.shareddocuments import Document, SharedDocuments
from oriolegauge.mesh import ReceivedHeartbeat
from oriolegauge.wire.messages import ConfigVersion, Heartbeat

from .test_fleetlinks import links_of

HELD = Document(20, b'held', 'store')
CURRENT = (ConfigVersion('config', 20, HELD.digest),)


class Host:
    """A daemon with one peer, whose heartbeat a test sets."""

    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.without_place = set()
        self.links, _ = links_of('10.0.0.1:7000', ['10.0.0.2:7000'], self.clock)
        self.documents = SharedDocuments(lambda *_: None)
        self.documents.offer('config', HELD)
        self.peers = FleetRelayPeers(
            links=self.links,
            documents=self.documents,
            config_kind='config',
            may_serve=lambda peer, _: peer not in self.without_place,
        )

    def hear(self, **changes):
        fields = {
            'member': '10.0.0.2:7000',
            'incarnation': '1',
            'zone': 'z',
            'state': 'serving',
            'document_versions': CURRENT,
            'relay_port': 7001,
        }
        message = Heartbeat(**{**fields, **changes})
        received = ReceivedHeartbeat(message, self.clock())
        self.links._mesh.heartbeats[message.member] = received

    def found(self, service='svc', excluded=()):
        return [peer.address for peer in self.peers.find(service, excluded)]


class TestFleetRelayPeers:
    async def test_peer_that_reaches_the_service_is_found(self):
        """Guards against callers that are refused though peers could serve."""
        host = Host()
        host.hear(lost_services=('other',))
        assert host.found() == [('10.0.0.2', 7001)]
        assert not host.found(excluded={'10.0.0.2:7000'})

    async def test_peer_without_a_place_is_not_asked(self):
        """Guards against requests that a peer can only refuse."""
        host = Host()
        host.hear()
        host.without_place.add('10.0.0.2:7000')
        assert not host.found()

    @pytest.mark.parametrize(
        'changes',
        [
            # Servers that are down for all would only get more load.
            {'lost_services': ('svc',)},
            {'state': 'draining'},
            {'state': 'starting'},
            # An earlier build.
            {'relay_port': 0},
            # Its configuration may be one that this daemon has replaced.
            {'document_versions': (ConfigVersion('config', 19, 1),)},
            {'document_versions': ()},
        ],
    )
    async def test_peer_that_could_not_serve_is_not_found(self, changes):
        """Guards against requests that are sent on in vain."""
        host = Host()
        host.hear(**changes)
        assert not host.found()

    async def test_older_revision_of_the_same_content_is_current(self):
        """Guards against peers left out after a change of another kind."""
        host = Host()
        host.hear(document_versions=(ConfigVersion('config', 19, HELD.digest),))
        assert host.found()

    @pytest.mark.looptime
    async def test_peer_that_fell_silent_is_not_found(self):
        """Guards against requests that wait for a frozen peer."""
        host = Host()
        host.hear()
        await asyncio.sleep(FRESH_PERIODS * FULL_MESH_BEAT_PERIOD_S + 0.1)
        assert not host.found()
