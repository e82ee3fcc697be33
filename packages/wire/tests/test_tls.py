import ssl
from pathlib import Path

import pytest

from oriolegauge.testkit.authority import Authority
from oriolegauge.wire import PeerUnreachableError
from oriolegauge.wire.messages import ReserveAnswer

from .peers import Peer, open_link, reserve, running_server


class LinkAuthority(Authority):
    """Create the TLS contexts of both ends of a link."""

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
    async def test_members_can_call_each_other(self, authority):
        """Guards against links that only work without TLS."""
        peer = Peer()
        async with (
            running_server(
                peer.handle, ssl_context=authority.server('d2')
            ) as port,
            open_link(
                port,
                scheme='wss',
                ssl_context=authority.client(authority.member('d1')),
            ) as link,
        ):
            answer = await link.call(reserve(3), 5)
        assert answer == ReserveAnswer('x', 3, 'd1/1')

    async def expect_rejected(self, authority, context, *, server='d2'):
        peer = Peer()
        async with (
            running_server(
                peer.handle, ssl_context=authority.server(server)
            ) as port,
            open_link(
                port, scheme='wss', ssl_context=context, wait=False
            ) as link,
        ):
            # To a client without a certificate the link may seem open until
            # the server's alert arrives.
            with pytest.raises(PeerUnreachableError):
                await link.wait_connected(0.7)
                await link.call(reserve(), 0.5)
        assert not peer.received

    @pytest.mark.parametrize(
        'kind', ['none', 'other authority', 'other member']
    )
    async def test_client_without_its_own_certificate_is_rejected(
        self, authority, tmp_path, kind
    ):
        """Guards against a client whose certificate does not name it."""
        folder = tmp_path / 'other'
        folder.mkdir()
        certificate = {
            'none': lambda: None,
            'other authority': lambda: LinkAuthority(folder, 'x').member('d1'),
            'other member': lambda: authority.member('d3'),
        }[kind]()
        await self.expect_rejected(authority, authority.client(certificate))

    async def test_server_with_the_name_of_another_is_rejected(self, authority):
        """Guards against another process at the address of a member."""
        await self.expect_rejected(
            authority,
            authority.client(authority.member('d1')),
            server='d3',
        )
