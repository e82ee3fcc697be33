"""Store calls over a peer that reaches the store."""

from oriolegauge.core import rank
from oriolegauge.core.runstate import RunState
from oriolegauge.mesh import PeerMesh
from oriolegauge.objectstore.storerelay import RelayAnswer, RelayCall
from oriolegauge.wire import PeerUnreachableError
from oriolegauge.wire.messages import NEVER_MS, StoreAnswer, StoreCall


class MeshRelay:
    """Choose the peer that heard from the store last."""

    def __init__(self, *, mesh: PeerMesh, name: str) -> None:
        """Relay for the member `name`."""
        self._mesh = mesh
        self._name = name

    async def relay(self, call: RelayCall) -> RelayAnswer:
        """Make the call through a peer; raise WireError without one."""
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
                f'unexpected {type(answer).__name__}',
                run_state=RunState.UNKNOWN,
            )
        return RelayAnswer(
            status=answer.status, version=answer.version, value=answer.value
        )

    def _best_peer(self) -> str | None:
        ages = {
            peer.name: self._mesh.heartbeats[peer.name].heartbeat
            for peer in self._mesh.peers()
            if peer.name in self._mesh.heartbeats
        }
        known = {
            name: beat.store_reached_age_ms
            for name, beat in ages.items()
            if beat.store_reached_age_ms != NEVER_MS
        }
        order = rank(self._name, known)
        # Watching peers hear from the store directly, others through them.
        direct = [name for name in order if ages[name].watches_store]
        return next(iter(direct or order), None)
