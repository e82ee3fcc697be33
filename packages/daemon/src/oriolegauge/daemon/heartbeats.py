"""What this daemon tells its peers and takes over from them."""

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
    """Build the own heartbeat and hand on what peers report."""

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
        """Describe the given parts of the daemon."""
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

    def own(self) -> Heartbeat:
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
                for name, leaving in self._server_watch.host_signs.items()
                if self._follower.watching
            ),
        )

    def take_over(self) -> None:
        """Hand on what peers report of servers and requests in flight."""
        requests: Counter[str] = Counter()
        tokens: Counter[str] = Counter()
        members = self._mesh.view().members
        for name, found in self._mesh.heartbeats.items():
            if name not in members:
                continue
            self._server_watch.note_hosts(
                {row.server: row.leaving for row in found.heartbeat.host_signs}
            )
            for row in found.heartbeat.in_flight:
                requests[row.server] += row.requests
                tokens[row.server] += row.tokens
        self._queue.observe_peers(requests, tokens, len(members))
