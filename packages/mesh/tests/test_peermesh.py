"""Heartbeats to peers that were restarted, and to the others."""

import asyncio
from dataclasses import dataclass

import pytest

from oriolegauge.mesh import PeerMesh
from oriolegauge.mesh.peermesh import HEARTBEAT_PERIOD_S
from oriolegauge.wire import PeerTimeoutError
from oriolegauge.wire.messages import Heartbeat

RESTARTED = [f'd{number}' for number in range(6)]


@dataclass
class Settings:
    name: str = 'own'
    zone: str = 'z'
    address: str = '127.0.0.1'
    peer_port: int = 0
    peers: tuple = ()
    peer_timeout_s: float = 0.6
    max_peer_message_bytes: int = 1024


class SilentLink:
    """Accept frames and answer no call."""

    connected = True

    def __init__(self, peer):
        self.peer = peer
        self.sent_at = []
        self.calls = 0

    def send_frame(self, frame):
        self.sent_at.append(asyncio.get_running_loop().time())

    async def call(self, message, timeout_s):
        self.calls += 1
        await asyncio.sleep(timeout_s)
        raise PeerTimeoutError('no answer')


def heartbeat(member, incarnation='1'):
    return Heartbeat(
        member=member, incarnation=incarnation, zone='z', state='serving'
    )


@pytest.mark.looptime
class TestHeartbeats:
    async def test_restarted_peers_that_do_not_answer_delay_no_others(self):
        """Guards against a daemon that seems silent to all its neighbours.

        Each restarted peer was called in turn, for up to 0.5 s.
        """
        clock = asyncio.get_running_loop().time
        mesh = PeerMesh(
            settings=Settings(),
            incarnation='1',
            session=None,
            handler=None,
            clock=clock,
        )
        mesh._links = {name: SilentLink(name) for name in [*RESTARTED, 'd9']}
        for name in RESTARTED:
            for incarnation in ('1', '2'):
                mesh.table.observe(heartbeat(name, incarnation), clock())
        task = asyncio.create_task(
            mesh._send_heartbeats(lambda: heartbeat('own'), lambda: None)
        )
        await asyncio.sleep(4.2 * HEARTBEAT_PERIOD_S)
        task.cancel()
        assert len(mesh.link('d9').sent_at) == 5
        assert all(1 <= mesh.link(name).calls <= 5 for name in RESTARTED)
