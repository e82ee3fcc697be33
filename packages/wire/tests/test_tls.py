import ssl
from pathlib import Path

import pytest

from oriolegauge.testkit.authority import Authority
from oriolegauge.wire import PeerUnreachableError
from oriolegauge.wire.messages import ReserveAnswer

from .peers import Peer, linked, reserve, serving


class LinkAuthority(Authority):
    """Make the contexts of both ends of a link."""

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
    return LinkAuthority(tmp_path, 'fleet')


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
            'own making': lambda: LinkAuthority(folder, 'x').member('d1'),
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
