"""Decoding of valid and malformed configurations and server entries."""

import pytest
import structlog
from oriolegauge_adapter.decoder import PlatformDecoder

from oriolegauge.forwarding import RequestKind

ROUTE = {
    'name': 'r',
    'host': 'h.example',
    'pathPrefix': '/p/',
    'kind': 'streaming',
    'timeoutMs': 15000,
    'goalMs': 400,
    'priority': 1,
    'service': 'svc',
    'maxAttempts': 2,
    'public': False,
    'sticky': True,
    'canResume': True,
    'gapGoalMs': 250,
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 'svc',
            'healthPath': '/health',
            'maxConns': 370,
            'engine': {'slots': 64, 'stride': 3},
        }
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [
        {'name': 't', 'apiKeys': ['k1'], 'priority': 0, 'prepaid': 1000}
    ],
}
SERVER = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 4,
    'state': 'ready',
    'born': 1700000000000,
}


def decode(config):
    objects = [{'key': 'config/main', 'value': config}]
    return PlatformDecoder().config(objects)


def servers(fields):
    return PlatformDecoder().servers([{'key': 'servers/i-1', 'value': fields}])


class TestConfig:
    def test_fields_are_decoded_in_their_units(self):
        """Guards against milliseconds read as seconds."""
        found = decode(CONFIG)
        route = found.routes[0]
        assert found.version == 7
        assert (route.timeout_s, route.objective_s) == (15, 0.4)
        assert route.longest_pause_s == 0.25
        assert route.kind is RequestKind.STREAM
        assert route.is_resumable
        assert found.services[0].tokens_per_event == 3
        assert found.workspaces[0].prepaid_tokens == 1000
        assert found.limits.header_timeout_s == 3

    @pytest.mark.parametrize(
        ('capacity', 'tokens'),
        [(303_722, 303_722), (None, 0), ('much', 0), (-1, 0), (1.5, 0)],
    )
    def test_memory_of_an_engine_is_unknown_unless_valid(
        self, capacity, tokens
    ):
        """Guards against a configuration rejected for its engine's memory."""
        engine = {'slots': 64, 'stride': 3, 'kvCapacity': capacity}
        service = {**CONFIG['services'][0], 'engine': engine}
        found = decode({**CONFIG, 'services': [service]})
        assert found.services[0].memory_tokens == tokens
        assert found.services[0].tokens_per_event == 3

    def test_split_route_keeps_its_weights(self):
        """Guards against sending a split route to one service only."""
        route = {**ROUTE, 'backends': [{'service': 'a', 'weight': 9}]}
        found = decode({**CONFIG, 'routes': [route]})
        assert found.routes[0].services[0].weight == 9

    def test_unknown_kind_is_not_idempotent(self):
        """Guards against retries of a request kind that is not known."""
        found = decode({**CONFIG, 'routes': [{**ROUTE, 'kind': 'new'}]})
        assert found.routes[0].kind is RequestKind.NON_IDEMPOTENT

    @pytest.mark.parametrize('missing', ['version', 'routes', 'limits'])
    def test_incomplete_configuration_is_rejected(self, missing):
        """Guards against applying a part of a configuration."""
        with pytest.raises(ValueError):
            decode({k: v for k, v in CONFIG.items() if k != missing})


class TestServers:
    def test_state_and_address_are_decoded(self):
        """Guards against new requests to draining servers."""
        assert not servers(SERVER)[0].is_leaving
        assert servers({**SERVER, 'state': 'draining'})[0].is_leaving
        assert servers(SERVER)[0].address == ('10.0.0.1', 80)

    @pytest.mark.parametrize(
        'damage',
        [
            {'state': 'odd'},
            {'state': None},
            {'address': 'nowhere'},
            {'address': 7},
            {'slots': 'many'},
            {'slots': True},
            {'service': ['svc']},
            {'zone': 3},
            {'zone': 'z\x00\x01'},
            {'zone': 'z\ufffd'},
            {'service': 's\n'},
            {'born': 1.5},
            {'born': 2**63},
            {'born': -1},
            {'slots': 2**63},
            {'slots': 1e30},
            {'address': '10.0.0.1:0'},
            {'address': '10.0.0.1:70000'},
            {'address': '10.0.0.1:-80'},
            {'address': '10.0.0.1: 80'},
            {'address': 'localhost:80'},
            {'address': '10.0.0.1\r\n:80'},
        ],
    )
    def test_malformed_field_drops_the_entry(self, damage):
        """Guards against a crash caused by entries of other writers."""
        assert servers({**SERVER, **damage}) == []

    @pytest.mark.parametrize('name', ['i 1', 'i\r\nX-A: b', '\u0131', ''])
    def test_name_that_fits_no_header_drops_the_entry(self, name):
        """Guards against a name that breaks each request to the server."""
        entry = {'key': f'servers/{name}', 'value': SERVER}
        assert PlatformDecoder().servers([entry]) == []

    @pytest.mark.parametrize('entry', [None, 'text', [], 5, {}])
    def test_entry_of_another_type_is_dropped(self, entry):
        """Guards against a crash caused by an entry that is not a table."""
        assert servers(entry) == []


UNFIT = [-1, 600_001, 1e400, float('nan'), 'x', True, [], {}]


class TestColdTimes:
    def test_fields_are_decoded_in_their_units(self):
        """Guards against milliseconds read as seconds."""
        service = {**CONFIG['services'][0], 'coldS': 3, 'coldPerS': 11}
        found = decode({**CONFIG, 'services': [service]}).services[0]
        assert (found.cold_s, found.cold_per_s) == (3, 11)
        assert servers({**SERVER, 'coldLeftMs': 1500})[0].cold_left_s == 1.5

    def test_absent_fields_mean_none(self):
        found = decode(CONFIG).services[0]
        assert (found.cold_s, found.cold_per_s) == (0, 0)
        assert servers(SERVER)[0].cold_left_s == 0

    @pytest.mark.parametrize('value', UNFIT)
    def test_unfit_value_is_reported_once_and_keeps_the_server(self, value):
        """Guards against servers lost, or logs filled, by a bad field."""
        decoder = PlatformDecoder()
        rows = [
            {'key': 'servers/i-1', 'value': {**SERVER, 'coldLeftMs': value}}
        ]
        with structlog.testing.capture_logs() as logs:
            for _ in range(3):
                assert decoder.servers(rows)[0].cold_left_s == 0
        assert [row['event'] for row in logs] == ['unfit cold time']
        assert logs[0]['entry'] == 'servers/i-1'

    @pytest.mark.parametrize('name', ['coldS', 'coldPerS'])
    @pytest.mark.parametrize('value', UNFIT)
    def test_unfit_value_of_a_service_counts_as_absent(self, name, value):
        """Guards against a configuration rejected for a cold time."""
        service = {**CONFIG['services'][0], name: value}
        found = decode({**CONFIG, 'services': [service]}).services[0]
        assert (found.cold_s, found.cold_per_s) == (0, 0)
