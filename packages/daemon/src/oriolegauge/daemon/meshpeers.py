"""Peer calls of the budgets and the configuration over the mesh."""

import asyncio
from collections.abc import Collection, Sequence
from typing import TypeVar

import orjson

from oriolegauge.budget import BudgetPeer, BudgetPeerError
from oriolegauge.budget.messages import (
    Ack,
    JournalAnswer,
    JournalAppend,
    JournalQuery,
    Recall,
    RecallAnswer,
    Release,
    Reserve,
    ReserveAnswer,
    Settle,
    SettleAnswer,
)
from oriolegauge.config import PeerConfig
from oriolegauge.mesh import PeerMesh, ReceivedHeartbeat
from oriolegauge.objectstore import StoredObject
from oriolegauge.wire.messages import (
    NEVER_MS,
    ConfigFetch,
    ConfigObjects,
    Message,
)

MS_PER_S = 1_000

Kind = TypeVar('Kind')


class MeshBudgetPeers:
    """Call the budget managers of other daemons."""

    def __init__(self, mesh: PeerMesh) -> None:
        """Call peers over the links of `mesh`."""
        self._mesh = mesh

    def members(self) -> Sequence[BudgetPeer]:
        """Return the live daemons other than this one."""
        return [BudgetPeer(peer.name, peer.zone) for peer in self._mesh.peers()]

    async def reserve(self, peer: str, message: Reserve) -> ReserveAnswer:
        """Ask the peer for a reservation."""
        return _expect(ReserveAnswer, await self._mesh.call(peer, message))

    async def settle(self, peer: str, message: Settle) -> SettleAnswer:
        """Settle a reservation at the peer."""
        return _expect(SettleAnswer, await self._mesh.call(peer, message))

    async def release(self, peer: str, message: Release) -> Ack:
        """Release a reservation at the peer."""
        return _expect(Ack, await self._mesh.call(peer, message))

    async def recall(self, peer: str, message: Recall) -> RecallAnswer:
        """Ask the peer to return free tokens."""
        return _expect(RecallAnswer, await self._mesh.call(peer, message))

    async def append_journal(self, peer: str, message: JournalAppend) -> Ack:
        """Copy settlements to the peer."""
        return _expect(Ack, await self._mesh.call(peer, message))

    async def query_journals(
        self, message: JournalQuery
    ) -> Sequence[JournalAnswer]:
        """Collect journal copies from the peers that answer.

        An unresponsive peer adds its copies later, when it reads the closed
        shard.
        """
        answers = await asyncio.gather(
            *(
                self._mesh.call(peer.name, message)
                for peer in self._mesh.peers()
            ),
            return_exceptions=True,
        )
        return [one for one in answers if isinstance(one, JournalAnswer)]


class MeshConfigPeers:
    """List the configuration versions of peers and fetch their objects."""

    def __init__(self, mesh: PeerMesh) -> None:
        """Read heartbeats and call peers over the links of `mesh`."""
        self._mesh = mesh

    def last_heartbeats(self) -> Collection[PeerConfig]:
        """Return the versions in the last heartbeat of each known peer."""
        return [_peer_config(found) for found in self._mesh.heartbeats.values()]

    async def fetch(self, peer: str, key: str) -> StoredObject | None:
        """Return the object that the peer applies, or None if it has none."""
        answer = _expect(
            ConfigObjects,
            await self._mesh.call(peer, ConfigFetch(keys=(key,))),
        )
        if not answer.objects:
            return None
        row = answer.objects[0]
        return StoredObject(row.key, row.version, orjson.loads(row.value))


def _peer_config(found: ReceivedHeartbeat) -> PeerConfig:
    beat = found.heartbeat
    age_ms = beat.store_reached_age_ms
    return PeerConfig(
        name=beat.member,
        zone=beat.zone,
        versions={row.key: row.version for row in beat.config_versions},
        received_at=found.received_at,
        store_age_s=None if age_ms == NEVER_MS else age_ms / MS_PER_S,
        watching=beat.watches_store,
    )


def _expect(kind: type[Kind], answer: Message) -> Kind:
    if not isinstance(answer, kind):
        raise BudgetPeerError(f'unexpected {type(answer).__name__}')
    return answer
