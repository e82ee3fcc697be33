"""Build this daemon's heartbeats and apply those of its peers.

Heartbeats carry requests in flight, configuration versions and the host list,
so that daemons account for each other's load without a central service.
"""

from collections import Counter
from collections.abc import Callable

from oriolegauge.config import ConfigFollower, ConfigTree
from oriolegauge.core.priority import Priority
from oriolegauge.daemon.serverwatch import ServerWatch
from oriolegauge.daemon.slotqueue import SlotQueue
from oriolegauge.mesh import PeerMesh
from oriolegauge.mesh.lifecycle import Lifecycle
from oriolegauge.wire.messages import (
    NEVER_MS,
    ConfigVersion,
    Heard,
    Heartbeat,
    HostSign,
    ServerInFlight,
)

MS_PER_S = 1_000


class Heartbeats:
    """Build this daemon's heartbeat and apply what peers report."""

    def __init__(
        self,
        *,
        member: str,
        incarnation: str,
        zone: str,
        lifecycle: Lifecycle,
        tree: ConfigTree,
        follower: ConfigFollower,
        queue: SlotQueue,
        server_watch: ServerWatch,
        mesh: PeerMesh,
        clock: Callable[[], float],
    ) -> None:
        """Report the state of the given parts; `clock` is in seconds."""
        self._member = member
        self._incarnation = incarnation
        self._zone = zone
        self._lifecycle = lifecycle
        self._tree = tree
        self._follower = follower
        self._queue = queue
        self._server_watch = server_watch
        self._mesh = mesh
        self._clock = clock

    def build(self) -> Heartbeat:
        """Return the heartbeat to send now."""
        now = self._clock()
        age_s = self._follower.store_age_s(now)
        waiting = self._queue.waiting
        return Heartbeat(
            member=self._member,
            incarnation=self._incarnation,
            zone=self._zone,
            state=self._lifecycle.state,
            config_versions=tuple(
                ConfigVersion(key, version)
                for key, version in self._tree.versions.items()
            ),
            in_flight=tuple(
                ServerInFlight(name, requests, tokens)
                for name, requests, tokens in self._queue.in_flight
            ),
            queue_lengths=tuple(
                waiting[priority.name.lower()] for priority in Priority
            ),
            heard=tuple(
                Heard(row.member, row.incarnation, row.age_ms)
                for row in self._mesh.table.heard(now)
            ),
            store_reached_age_ms=(
                NEVER_MS if age_s is None else int(age_s * MS_PER_S)
            ),
            watches_store=self._follower.watching,
            host_signs=tuple(
                HostSign(name, leaving)
                for name, leaving in self._server_watch.leaving_by_host.items()
                if self._follower.watching
            ),
        )

    def apply_peer_reports(self) -> None:
        """Apply the host lists and requests in flight that peers report."""
        requests: Counter[str] = Counter()
        tokens: Counter[str] = Counter()
        members = self._mesh.view().members
        for name, found in self._mesh.heartbeats.items():
            if name not in members:
                continue
            self._server_watch.record_host_states(
                {row.server: row.leaving for row in found.heartbeat.host_signs}
            )
            for row in found.heartbeat.in_flight:
                requests[row.server] += row.requests
                tokens[row.server] += row.tokens
        self._queue.update_peer_load(requests, tokens, len(members))
