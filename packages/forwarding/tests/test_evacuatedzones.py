"""Zones that get no new requests."""

import asyncio

import pytest
import structlog

from oriolegauge.forwarding.evacuatedzones import EvacuatedZones, zones_of

from .world import ScriptedServer, World, chunk, event, stream_head

KIND = 'evacuations'


def row(name, value=None):
    return {'key': f'{KIND}/{name}', 'value': value}


def apply(zones, names, revision):
    return zones.apply(names, revision=revision, source='store', age_s=0)


class TestState:
    @pytest.mark.parametrize(
        ('first', 'second', 'is_evacuated'),
        [
            ((['z1'], 5), ([], 6), False),
            (([], 6), (['z1'], 5), False),
            (([], 5), (['z1'], 6), True),
            ((['z1'], 6), ([], 5), True),
        ],
    )
    def test_later_of_put_and_removal_decides(
        self, first, second, is_evacuated
    ):
        """Guards against a state that depends on the order of the news."""
        zones = EvacuatedZones(lambda _: None)
        apply(zones, *first)
        apply(zones, *second)
        assert ('z1' in zones) == is_evacuated

    def test_changes_are_logged_and_ends_are_told(self):
        returned = []
        zones = EvacuatedZones(returned.append)
        with structlog.testing.capture_logs() as logs:
            assert not apply(zones, [], 1)
            assert apply(zones, ['z2', 'z1'], 2)
            assert not apply(zones, ['z2', 'z1'], 3)
            assert apply(zones, ['z1'], 4)
        assert [one['zones'] for one in logs] == [['z1', 'z2'], ['z1']]
        assert {one['event'] for one in logs} == {'zones evacuated'}
        assert returned == [{'z2'}]

    def test_unknown_zone_is_reported_once(self):
        zones = EvacuatedZones(lambda _: None)
        apply(zones, ['z1', 'zz'], 1)
        with structlog.testing.capture_logs() as logs:
            zones.report_unknown({'z1'})
            zones.report_unknown({'z1'})
        assert [one['zone'] for one in logs] == ['zz']


class TestDocument:
    def test_body_of_an_object_does_not_matter(self):
        """Guards against an evacuation lost by a body that can't be read."""
        rows = [row('a', {}), row('b'), row('c', 'x'), row('d', [1])]
        assert zones_of(KIND, rows) == {'a', 'b', 'c', 'd'}

    @pytest.mark.parametrize(
        'objects',
        [
            {},
            'x',
            None,
            [1],
            [{}],
            [{'key': 5, 'value': {}}],
            [{'key': 'evacuations/z'}],
            [row('')],
            [{'key': 'servers/z', 'value': {}}],
        ],
    )
    def test_damaged_document_is_refused(self, objects):
        """Guards against a state taken from a peer's damaged document."""
        with pytest.raises(ValueError):
            zones_of(KIND, objects)


async def held_stream(seen, writer):
    writer.write(stream_head(seen) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(0.2)
    writer.write(chunk(event(2)) + b'0\r\n\r\n')


class TestRequests:
    async def test_evacuated_servers_get_no_request(self):
        """Guards against a request that reaches an evacuated zone."""
        async with World(ScriptedServer()) as world:
            apply(world.evacuated_zones, ['z1', 'z2'], 1)
            began = world.now()
            answer = await world.call('/safe/x')
            assert answer.first_line.split()[1] == '503'
            assert world.now() - began < 0.1
            assert float(answer.headers['retry-after']) > 0
            assert b'evacuated zones: z1' in answer.body
            assert not world.servers[0].seen
            assert not world.directory.versions_of('svc')
            apply(world.evacuated_zones, [], 2)
            answer = await world.call('/safe/x')
            assert answer.first_line.split()[1] == '200'

    async def test_request_under_way_goes_on(self):
        """Guards against running work broken off by an evacuation."""
        async with World(ScriptedServer(held_stream)) as world:
            call = asyncio.create_task(world.call('/review/x'))
            while not world.servers[0].seen:
                await asyncio.sleep(0.01)
            apply(world.evacuated_zones, ['z1'], 1)
            answer = await call
            assert answer.first_line.split()[1] == '200'
            assert event(2) in answer.body
