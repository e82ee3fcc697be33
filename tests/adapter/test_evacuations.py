"""Evacuated zones, with daemons as processes and a stand-in store."""

import asyncio
import contextlib
import secrets

import aiohttp
import orjson
import pytest
import structlog
from oriolegauge_adapter.decoder import PlatformDecoder
from oriolegauge_adapter.headernames import PLATFORM_HEADERS
from oriolegauge_adapter.platformstore import PlatformStore
from oriolegauge_adapter.processsettings import ProcessSettings

from oriolegauge.gateway import Gateway, LinuxClocks
from oriolegauge.gateway.shareddocuments import Document
from tests.ports import HOST

from .soakfleet import KEY, SoakFleet

KIND = 'evacuations'
# Requests reach no evacuated zone later than this after the write.
EVACUATED_S = 5.0
FIELDS = {
    'ip': HOST,
    'zone': 'z1',
    'portRange': [1, 1],
    'listen': {'front': f'{HOST}:1', 'ready': f'{HOST}:1'},
    'limits': {
        'maxFds': 1000,
        'cpuShare': 1,
        'vcpus': 1,
        'linkMbps': 100,
    },
    'contractParams': {'retryRatio': 0.2, 'retrySlack': 50, 'graceS': 5},
    'platform': {'address': f'{HOST}:1'},
}
SERVERS = [
    {
        'key': 'servers/i-1',
        'value': {
            'service': 'svc',
            'address': f'{HOST}:1',
            'zone': 'z1',
            'slots': 1,
            'state': 'ready',
            'born': 1,
        },
    }
]
CONFIG = {
    'key': 'config/main',
    'value': {
        'version': 1,
        'routes': [],
        'services': [
            {'name': 'svc', 'maxConns': 9, 'coldS': 3, 'coldPerS': 11}
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 100000,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 10000,
        },
    },
}


def settings(**changes):
    return ProcessSettings({**FIELDS, **changes}).gateway_settings()


def document(revision, objects):
    return Document(revision, orjson.dumps(objects), 'p')


def evacuation(zone):
    return {'key': f'{KIND}/{zone}', 'value': {}}


async def call(fleet, number):
    """Send a request to a daemon; return its status and body."""
    reader, writer = await asyncio.open_connection(HOST, fleet.ports[number][0])
    writer.write(
        f'GET /once/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: {KEY}\r\n'
        f'X-Oriolegauge-Attempt-Id: {secrets.token_hex(8)}\r\n'
        'Connection: close\r\n\r\n'.encode()
    )
    answer = await reader.read()
    writer.close()
    return int(answer.split()[1]), answer


async def call_all(fleet, count=12):
    for number in range(fleet.size):
        answers = await asyncio.gather(
            *(call(fleet, number) for _ in range(count))
        )
        assert {status for status, _ in answers} == {200}


async def calls_in_zone(fleet):
    """Return how many of some requests reach the servers in z1."""
    before = arrivals(fleet)
    await call_all(fleet)
    return arrivals(fleet) - before


def arrivals(fleet):
    return sum(len(one.arrivals) for one in fleet.backends[:2])


@pytest.fixture
async def fleet(tmp_path):
    started = SoakFleet(tmp_path, size=2, prepaid=100_000)
    started.zones = ['z1', 'z1', 'z2']
    started.contracts = ['places']
    async with started:
        for number in range(started.size):
            await started.wait_ready(number)
        yield started


class TestFleet:
    async def test_zone_gets_no_request_until_the_evacuation_ends(self, fleet):
        """Guards against requests in a zone after the operator's write."""
        assert await calls_in_zone(fleet)
        await fleet.store.write(KIND, 'z1', {})
        await asyncio.sleep(EVACUATED_S)
        assert not await calls_in_zone(fleet)
        fleet.store.status = 503
        await asyncio.sleep(1)
        assert not await calls_in_zone(fleet)
        # Only its peer can tell it.
        await fleet.kill(1)
        await fleet.start(1)
        await fleet.wait_ready(1)
        assert not await calls_in_zone(fleet)
        fleet.store.status = 200
        await asyncio.sleep(4)
        await fleet.store.delete(KIND, 'z1')
        await asyncio.sleep(EVACUATED_S)
        assert await calls_in_zone(fleet)

    async def test_service_without_other_zones_is_refused(self, fleet):
        """Guards against requests that wait for servers they can't have."""
        await fleet.store.write(KIND, 'z1', {})
        await fleet.store.write(KIND, 'z2', None)
        await asyncio.sleep(EVACUATED_S)
        status, answer = await call(fleet, 0)
        assert status == 503
        assert b'evacuated zones: z1, z2' in answer


class TestSettings:
    @pytest.mark.parametrize(
        ('contracts', 'kind', 'adapts'),
        [
            ([], None, False),
            (['other'], None, False),
            (['pressure'], None, True),
            (['places'], KIND, True),
        ],
    )
    def test_contracts_switch_new_behaviour(self, contracts, kind, adapts):
        """Guards against new behaviour in earlier deployments."""
        found = settings(contracts=contracts)
        assert found.evacuations_kind == kind
        assert found.adapts_to_load == adapts

    def test_settings_without_contracts_have_none(self):
        assert settings().evacuations_kind is None


@contextlib.asynccontextmanager
async def closing(store):
    yield
    await store.close()


@pytest.fixture
async def make_gateway():
    store = PlatformStore(f'{HOST}:1')
    async with closing(store), aiohttp.ClientSession() as session:

        def make(*contracts):
            return Gateway(
                settings=settings(contracts=list(contracts)),
                names=PLATFORM_HEADERS,
                store=store,
                decoder=PlatformDecoder(),
                session=session,
                host_clocks=LinuxClocks(boot_s=0, wall_s=0),
            )

        yield make


def note_attempts(gateway):
    """Have all followers fail their first call of the store."""
    for follower in gateway._followers.values():
        follower._note_attempt()


class TestGateway:
    async def test_servers_of_a_returned_zone_are_cold(self, make_gateway):
        """Guards against full load on servers that became cold meanwhile."""
        gateway = make_gateway('places')
        note_attempts(gateway)
        gateway._documents.offer('config', document(1, [CONFIG]))
        gateway._documents.offer(KIND, document(5, [evacuation('z1')]))
        gateway._documents.offer('servers', document(6, SERVERS))
        assert gateway._gauges()['zones_evacuated'] == 1
        assert gateway._gauges()['servers_cold'] == 0
        gateway._documents.offer(KIND, document(7, []))
        assert gateway._gauges()['zones_evacuated'] == 0
        assert gateway._gauges()['servers_cold'] == 1

    async def test_document_of_a_later_build_does_no_harm(self, make_gateway):
        """Guards against a task that fails on an unknown document."""
        gateway = make_gateway()
        assert KIND not in gateway._followers
        gateway._documents.offer(KIND, document(5, [evacuation('z1')]))

    async def test_servers_are_used_once_peers_tell_the_evacuations(
        self, make_gateway
    ):
        """Guards against a restarted daemon that sends to an evacuated zone."""
        gateway = make_gateway('places')
        note_attempts(gateway)
        gateway._documents.offer('servers', document(5, SERVERS))
        assert not gateway._directory.is_known
        gateway._documents.offer(KIND, document(5, [evacuation('z1')]))
        assert gateway._directory.is_known
        assert not gateway._directory.of_service('svc')

    async def test_servers_are_used_if_nobody_knows_evacuations(
        self, make_gateway, monkeypatch
    ):
        """Guards against a daemon that never serves without the store."""
        monkeypatch.setattr('oriolegauge.gateway.gateway.EVACUATIONS_WAIT_S', 0)
        gateway = make_gateway('places')
        note_attempts(gateway)
        gateway._documents.offer('servers', document(5, SERVERS))
        await asyncio.sleep(0.01)
        assert gateway._directory.of_service('svc')

    async def test_damaged_document_of_a_peer_is_refused(self, make_gateway):
        """Guards against an evacuation that ends by a damaged document."""
        gateway = make_gateway('places')
        note_attempts(gateway)
        gateway._documents.offer(KIND, document(5, [evacuation('z1')]))
        for objects in ({}, [{'key': 'x'}], [5]):
            gateway._documents.offer(KIND, document(6, objects))
        gateway._documents.offer(KIND, Document(7, b'{', 'p'))
        assert 'z1' in gateway._evacuated_zones

    async def test_unknown_zone_is_reported_once(self, make_gateway):
        """Guards against a misspelt zone that nobody notices."""
        gateway = make_gateway('places')
        note_attempts(gateway)
        with structlog.testing.capture_logs() as logs:
            gateway._documents.offer(KIND, document(5, [evacuation('zz')]))
            for revision in (6, 7):
                rows = [*SERVERS, {'key': f'servers/{revision}', 'value': {}}]
                gateway._documents.offer('servers', document(revision, rows))
        reported = [
            row['zone']
            for row in logs
            if row['event'] == 'evacuation of an unknown zone'
        ]
        assert reported == ['zz']
        assert gateway._directory.of_service('svc')

    async def test_older_news_change_nothing(self, make_gateway):
        """Guards against a peer that has not heard of a later change."""
        gateway = make_gateway('places')
        note_attempts(gateway)
        gateway._documents.offer(KIND, document(6, []))
        gateway._documents.offer(KIND, document(5, [evacuation('z1')]))
        assert 'z1' not in gateway._evacuated_zones
