import datetime
import ipaddress
import ssl
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from oriolegauge.wire import PeerUnreachableError
from oriolegauge.wire.messages import ReserveAnswer

from .peers import Peer, linked, reserve, serving


class Authority:
    """Sign certificates that name members."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.file = self.save(
            f'{name}.pem', self.build(self.name, self.key, is_authority=True)
        )

    def build(self, subject, key, *, is_authority=False, member='ca'):
        now = datetime.datetime.now(datetime.UTC)
        names = [
            x509.DNSName(member),
            x509.IPAddress(ipaddress.ip_address('127.0.0.1')),
        ]
        identifier = x509.SubjectKeyIdentifier.from_public_key
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .add_extension(identifier(key.public_key()), False)
            .sign(self.key, hashes.SHA256())
        )

    def save(self, name: str, certificate, key=None) -> Path:
        path = self.folder / name
        pem = certificate.public_bytes(serialization.Encoding.PEM)
        if key:
            pem += key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        path.write_bytes(pem)
        return path

    def member(self, member: str) -> Path:
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, member)])
        certificate = self.build(subject, key, member=member)
        return self.save(f'{self.folder.name}-{member}.pem', certificate, key)

    def server(self, member: str) -> ssl.SSLContext:
        context = ssl.create_default_context(
            ssl.Purpose.CLIENT_AUTH, cafile=self.file
        )
        context.load_cert_chain(self.member(member))
        context.verify_mode = ssl.CERT_REQUIRED
        return context

    def client(self, certificate: Path | None) -> ssl.SSLContext:
        context = ssl.create_default_context(cafile=self.file)
        if certificate:
            context.load_cert_chain(certificate)
        return context


@pytest.fixture
def authority(tmp_path: Path) -> Authority:
    return Authority(tmp_path, 'fleet')


class TestMutualTls:
    async def test_members_talk(self, authority):
        """Guards against links that only work without TLS."""
        peer = Peer()
        async with (
            serving(peer.handle, ssl_context=authority.server('d2')) as port,
            linked(
                port,
                scheme='wss',
                ssl_context=authority.client(authority.member('d1')),
            ) as link,
        ):
            answer = await link.call(reserve(3), 5)
        assert answer == ReserveAnswer('x', 3, 'd1/1')

    async def turned_away(self, authority, context, *, server='d2'):
        peer = Peer()
        async with (
            serving(peer.handle, ssl_context=authority.server(server)) as port,
            linked(port, scheme='wss', ssl_context=context, wait=False) as link,
        ):
            # A client without a certificate may see the link open for the
            # moment until the server's alert arrives.
            with pytest.raises(PeerUnreachableError):
                await link.wait_connected(0.7)
                await link.call(reserve(), 0.5)
        assert not peer.seen

    @pytest.mark.parametrize('kind', ['none', 'own making', 'other member'])
    async def test_stranger(self, authority, tmp_path, kind):
        """Guards against a client without a certificate that names it."""
        folder = tmp_path / 'other'
        folder.mkdir()
        certificate = {
            'none': lambda: None,
            'own making': lambda: Authority(folder, 'x').member('d1'),
            'other member': lambda: authority.member('d3'),
        }[kind]()
        await self.turned_away(authority, authority.client(certificate))

    async def test_server_with_the_wrong_name(self, authority):
        """Guards against a process at a member's address that is not it."""
        await self.turned_away(
            authority,
            authority.client(authority.member('d1')),
            server='d3',
        )
