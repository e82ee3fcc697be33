"""Relay store calls over a peer.

This keeps a daemon working that cannot reach the store while peers can.
"""

from oriolegauge.core import rank
from oriolegauge.core.runstate import RunState
from oriolegauge.mesh import PeerMesh
from oriolegauge.objectstore.storerelay import RelayAnswer, RelayCall
from oriolegauge.wire import PeerUnreachableError
from oriolegauge.wire.messages import NEVER_MS, StoreAnswer, StoreCall


class MeshRelay:
    """Relay store calls over the peer that reached the store last."""

    def __init__(self, *, mesh: PeerMesh, name: str) -> None:
        """Relay calls of the member `name`."""
        self._mesh = mesh
        self._name = name

    async def relay(self, call: RelayCall) -> RelayAnswer:
        """Make the call through a peer; raise WireError if none can."""
        peer = self._best_peer()
        if peer is None:
            raise PeerUnreachableError(
                'no peer reaches the store', run_state=RunState.NOT_RUN
            )
        answer = await self._mesh.call(
            peer,
            StoreCall(
                operation=call.operation,
                key=call.key,
                value=call.value,
                expected_version=call.expected_version,
            ),
        )
        if not isinstance(answer, StoreAnswer):
            raise PeerUnreachableError(
                f'unexpected answer {type(answer).__name__}',
                run_state=RunState.UNKNOWN,
            )
        return RelayAnswer(
            status=answer.status, version=answer.version, value=answer.value
        )

    def _best_peer(self) -> str | None:
        heartbeats = {
            peer.name: self._mesh.heartbeats[peer.name].heartbeat
            for peer in self._mesh.peers()
            if peer.name in self._mesh.heartbeats
        }
        known = {
            name: beat.store_reached_age_ms
            for name, beat in heartbeats.items()
            if beat.store_reached_age_ms != NEVER_MS
        }
        order = rank(self._name, known)
        # Watching peers reach the store directly, others through them.
        direct = [name for name in order if heartbeats[name].watches_store]
        return next(iter(direct or order), None)
