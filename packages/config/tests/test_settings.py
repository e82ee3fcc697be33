"""Validation of settings files, configuration subtrees and TLS files."""

import datetime
import importlib.util
import ipaddress
import json
import ssl
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from oriolegauge.config import (
    ConfigInvalidError,
    ConfigTree,
    PeerTlsSettings,
    Role,
    SettingsInvalidError,
    load_settings,
    parse_subtree,
)
from oriolegauge.config.settingsfile import parse_settings
from oriolegauge.config.tlscontexts import (
    peer_client_context,
    peer_server_context,
)
from oriolegauge.objectstore import StoredObject

DOCS = Path(__file__).parents[3] / 'docs'
VALID_SETTINGS = {
    'name': 'd1',
    'zone': 'a',
    'address': '127.0.0.1',
    'caller_port': 1001,
    'admin_port': 1002,
    'peer_port': 1003,
    'store_url': 'http://127.0.0.1:7000',
}
PEER = {'name': 'd2', 'zone': 'a', 'address': '127.0.0.1:1004'}
HASH = '0' * 64
ENGINE = {'url': 'http://127.0.0.1', 'zone': 'a', 'models': []}
SERVICE = {'urls': {'s1': 'http://127.0.0.1'}}
TOKEN = {'token_hash': HASH}
TLS = {'certificate_path': 'c', 'key_path': 'k'}


class TestSettingsFile:
    """Guard against unsafe settings, and errors that name a wrong line."""

    def test_example_file_is_valid(self):
        loaded = load_settings(DOCS / 'example-settings.json5')
        assert loaded.peer_tls is not None
        assert len(loaded.peers) == 3

    @pytest.mark.parametrize(
        ('change', 'place', 'message'),
        [
            ({'colour': 1}, 'colour', 'unknown setting'),
            ({'flush_period_ms': 5}, 'flush_period_ms', 'use flush_period_s'),
            ({'max_body_mb': 5}, 'max_body_mb', 'use max_body_bytes'),
            ({'flush_period_s': '2s'}, 'flush_period_s', 'in seconds'),
            ({'flush_period_s': 2_000}, 'flush_period_s', 'less than'),
            ({'caller_port': '80'}, 'caller_port', 'valid integer'),
            ({'caller_port': True}, 'caller_port', 'valid integer'),
            ({'caller_port': 1.5}, 'caller_port', 'valid integer'),
            ({'max_connections': 0}, 'max_connections', 'greater than'),
            ({'address': 'localhost'}, 'address', 'not a host name'),
            ({'address': '0.0.0.0'}, 'address', 'one host'),
            ({'store_url': 'http://store:1'}, 'store_url', 'not a host name'),
            ({'store_url': 'ftp://127.0.0.1'}, 'store_url', 'http'),
            ({'store_url': 'http://u:p@127.0.0.1'}, 'store_url', 'password'),
            ({'admin_port': 1001}, 'admin_port', 'must differ'),
            ({'peers': [{**PEER, 'name': 'd1'}]}, 'peers.0.name', 'in use'),
            ({'peers': [PEER, {**PEER, 'name': 'd3'}]}, 'peers.1', 'in use'),
            ({'peers': [{**PEER, 'address': 'h'}]}, 'peers.0', 'IP:PORT'),
            ({'peers': [{**PEER, 'address': '10.0.0.1:5'}]}, 'peers', 'tls'),
            ({'address': '10.0.0.1'}, 'address', 'admin_tls'),
            ({'address': '10.0.0.1'}, 'address', 'ended_by_balancer'),
            ({'caller_tls': {'key_path': 'k'}}, 'caller_tls', 'required'),
            ({'flush_period_s': None}, 'flush_period_s', 'valid number'),
        ],
    )
    def test_invalid_settings_are_refused(self, change, place, message):
        tree = {**VALID_SETTINGS, **change}
        text = json.dumps(tree, indent=1)
        with pytest.raises(SettingsInvalidError) as failure:
            parse_settings(text, source_name='f')
        rows = failure.value.message.split('\n')
        assert any(place in row and message in row for row in rows), rows
        key = next(iter(change))
        line = 2 + list(tree).index(key)
        assert any(int(row.split(':')[1]) >= line for row in rows)

    def test_errors_name_lines_despite_comments_and_nesting(self):
        text = """// peers: [1, {
{ name: 'd1', zone: "a", /* peer_port: 1,
  address: */ address: '127.0.0.1',
  caller_port: 1001, 'admin_port': 1002, peer_port: 1003,
  store_url: 'http://127.0.0.1:7000', // {
  peers: [
    {name: 'd2', zone: 'a', address: '127.0.0.1:1'},
    {name: 'd:{3', zone: 'a',
     address: '127.0.0.1'},
  ],
}"""
        with pytest.raises(SettingsInvalidError) as failure:
            parse_settings(text, source_name='f')
        places = [
            row.split(' ')[0:2] for row in failure.value.message.split('\n')
        ]
        assert places == [
            ['f:8:', 'peers.1.name:'],
            ['f:9:', 'peers.1.address:'],
        ]

    def test_setting_given_twice_is_refused(self):
        with pytest.raises(SettingsInvalidError, match='f'):
            parse_settings('{zone: "a", zone: "b"}', source_name='f')

    def test_remote_daemon_with_tls_is_accepted(self):
        tree = {
            **VALID_SETTINGS,
            'address': '10.0.0.1',
            'admin_tls': TLS,
            'caller_tls_ended_by_balancer': True,
            'peer_tls': {**TLS, 'ca_path': 'a'},
            'peers': [{**PEER, 'address': '10.0.0.2:5'}],
        }
        assert parse_settings(json.dumps(tree), source_name='f').peers


class TestSubtrees:
    """Guard against invalid, outdated or excessive configuration.

    A subtree with one invalid field is refused whole, and a lower version, as
    from a late answer of a peer, must not revert a higher one.
    """

    @pytest.mark.parametrize(
        ('key', 'tree'),
        [
            ('teams/x', {'priority': 'high'}),
            ('teams/x', {'keys': {'abc': {'budget': 'b'}}}),
            ('teams/x', {'keys': {HASH: {'budget': 'b', 'x': 1}}}),
            ('teams/x', {'deleted': True, 'keys': {HASH: {'budget': 'b'}}}),
            ('teams/x', {'models': 'toaster-7b'}),
            ('servers', {'engines': {'e': {**ENGINE, 'url': 'http://e'}}}),
            ('servers', {'engines': {'e': {**ENGINE, 'slots': 1}}}),
            ('services', {'services': {'s': {'urls': {}}}}),
            ('services', {'services': {'s': {**SERVICE, 'timeout_s': 0}}}),
            ('limits', {'queue_lengths': {'urgent': 0}}),
            ('limits', {'retry_share': 1}),
            ('operators', {'operators': {'o': {**TOKEN, 'role': 'root'}}}),
            ('colours', {}),
            ('teams/', {}),
            ('teams/a/b', {}),
        ],
    )
    def test_invalid_subtrees_are_refused(self, key, tree):
        tree_in_force = ConfigTree()
        with pytest.raises(ConfigInvalidError, match=key):
            tree_in_force.apply(StoredObject(f'config/{key}', 1, tree))
        assert not tree_in_force.versions

    def test_deleted_team_is_unknown_and_stays_deleted(self):
        tree = ConfigTree()
        tree.apply(StoredObject('config/teams/x', 5, {}))
        assert tree.team('x') is not None
        tree.apply(StoredObject('config/teams/x', 8, {'deleted': True}))
        assert not tree.apply(StoredObject('config/teams/x', 7, {}))
        assert tree.team('x') is None
        assert tree.teams == {}

    def test_caller_keys_expire(self):
        entry = {'budget': 'b', 'expires_unix_s': 100}
        team = parse_subtree('config/teams/x', {'keys': {'0' * 64: entry}})
        assert not team.keys['0' * 64].expired(99)
        assert team.keys['0' * 64].expired(100)

    def test_operators_change_only_their_subtrees(self):
        entry = {
            'token_hash': '1' * 64,
            'role': 'operate',
            'subtrees': ['config/teams/cafes'],
            'expires_unix_s': 100,
        }
        tree = {'operators': {'ana': entry}}
        operators = parse_subtree('config/operators', tree)

        def permits(key=None, role=Role.OPERATE, token='1', unix_s=0):
            return operators.permits(
                token * 64, role=role, unix_s=unix_s, key=key
            )

        assert permits()
        assert permits('config/teams/cafes')
        assert not permits('config/teams/cafes2')
        assert not permits('config/servers')
        assert not permits(role=Role.ADMIN)
        assert not permits(token='2')
        assert not permits(unix_s=100)

    def test_lower_of_host_and_shared_limits_applies(self):
        settings = parse_settings(
            json.dumps({**VALID_SETTINGS, 'max_body_bytes': 5_000}),
            source_name='f',
        )
        tree = ConfigTree()
        assert tree.limits_for(settings).max_body_bytes == 5_000
        shared = {'max_body_bytes': 9_000, 'max_request_s': 9}
        tree.apply(StoredObject('config/limits', 1, shared))
        assert tree.limits_for(settings).max_body_bytes == 5_000
        assert tree.limits_for(settings).max_request_s == 9


class TestReferencePages:
    """Guard against reference pages that differ from the code."""

    def test_pages_equal_the_generated_text(self):
        spec = importlib.util.spec_from_file_location(
            'generate', DOCS / 'generate.py'
        )
        generate = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(generate)
        for path, text in generate.pages().items():
            assert path.read_text() == text, f'run {spec.origin}'


def make_certificate(folder, name, ip, issuer=None):
    """Write a key and certificate; return key and name to sign others."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    issuer_key, issuer_name = issuer or (key, subject)
    day = datetime.timedelta(days=1)
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address(ip))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer_name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - day)
        .not_valid_after(now + day)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .add_extension(x509.BasicConstraints(issuer is None, None), True)
        .sign(issuer_key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / f'{name}.pem').write_bytes(certificate.public_bytes(pem))
    (folder / f'{name}.key').write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return key, subject


def peer_tls(folder, name, ca='ca'):
    return PeerTlsSettings(
        certificate_path=str(folder / f'{name}.pem'),
        key_path=str(folder / f'{name}.key'),
        ca_path=str(folder / f'{ca}.pem'),
    )


def handshake(client_tls, server_tls, ip):
    """Run a TLS handshake in memory; raise SSLError if one side refuses."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = peer_client_context(client_tls).wrap_bio(
        to_client, to_server, server_hostname=ip
    )
    server = peer_server_context(server_tls).wrap_bio(
        to_server, to_client, server_side=True
    )
    for _ in range(4):
        for side in (client, server):
            try:
                side.do_handshake()
            except ssl.SSLWantReadError:
                continue
    client.do_handshake()
    server.do_handshake()


class TestTlsContexts:
    """Guard against connections to peers without a valid certificate."""

    @pytest.fixture()
    def folder(self, tmp_path):
        authority = make_certificate(tmp_path, 'ca', '127.0.0.9')
        untrusted = make_certificate(tmp_path, 'other-ca', '127.0.0.9')
        make_certificate(tmp_path, 'd1', '127.0.0.1', authority)
        make_certificate(tmp_path, 'd2', '127.0.0.2', authority)
        make_certificate(tmp_path, 'untrusted', '127.0.0.1', untrusted)
        return tmp_path

    def test_peers_of_one_authority_connect(self, folder):
        handshake(peer_tls(folder, 'd1'), peer_tls(folder, 'd2'), '127.0.0.2')

    def test_wrong_address_and_other_authority_are_refused(self, folder):
        trusted, other = peer_tls(folder, 'd1'), peer_tls(folder, 'd2')
        untrusted = peer_tls(folder, 'untrusted')
        with pytest.raises(ssl.SSLError):
            handshake(trusted, other, '127.0.0.3')
        with pytest.raises(ssl.SSLError):
            handshake(trusted, untrusted, '127.0.0.1')
        with pytest.raises(ssl.SSLError):
            handshake(untrusted, other, '127.0.0.2')

    def test_unreadable_file_is_named(self, folder):
        with pytest.raises(SettingsInvalidError, match='gone'):
            peer_server_context(peer_tls(folder, 'd1', ca='gone'))
