"""What this daemon knows of the peers that it links.

A peer counts by what was heard of it lately: an open link alone does not show
whether its daemon is frozen, reaches the store or is about to stop.
"""

import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from oriolegauge.mesh import PeerMesh
from oriolegauge.mesh.peermesh import ReceivedHeartbeat
from oriolegauge.wire import PeerLink, PeerUnreachableError
from oriolegauge.wire.messages import Heartbeat

# A peer that was unreachable for this time counts as replaced.
FORGET_PEER_S = 60.0
# A new link counts as usable for this time while it connects. A draw of tokens
# waits for it, since the alternative is a write to the store.
LINK_OPENING_S = 1.0
# A peer that timed out is no leader for this time. It may be frozen, which an
# open connection does not show.
UNRESPONSIVE_PAUSE_S = 1.0
# A peer that reported the store unreachable is no allocator for this time.
STORE_UNAVAILABLE_PAUSE_S = 1.0
# A peer that did not answer as the limiter is passed over for this time.
LIMITER_PAUSE_S = 3.0
SERVING_STATES = ('serving', 'starting')


@dataclass(slots=True)
class _LinkTimes:
    """Loop times of events of a link.

    `open_at` is when the link was last seen open, or added if never.
    `unresponsive_at` is the last timeout, and `store_unavailable_at` the last
    reply that reported the store unreachable. `limiter_failed_at` is the last
    call for permits without an answer.
    """

    added_at: float
    open_at: float
    unresponsive_at: float = -math.inf
    store_unavailable_at: float = -math.inf
    limiter_failed_at: float = -math.inf

    @property
    def was_open(self) -> bool:
        """State whether the link has ever been open."""
        return self.open_at > self.added_at


class PeerStates:
    """Tell what may be expected of each peer; call `attach` before use."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start without peers; `clock` is in seconds."""
        self._clock = clock
        self._mesh: PeerMesh | None = None
        self._times: dict[str, _LinkTimes] = {}

    @property
    def names(self) -> Collection[str]:
        """Return the names of the linked peers, with an open link or not."""
        return self._mesh.names if self._mesh else ()

    @property
    def is_attached(self) -> bool:
        """State whether there are links."""
        return self._mesh is not None

    @property
    def heartbeats(self) -> Mapping[str, ReceivedHeartbeat]:
        """Return the last heartbeat of each peer that has sent one."""
        return self._mesh.heartbeats if self._mesh else {}

    def attach(self, mesh: PeerMesh) -> None:
        """Use the links of the mesh."""
        self._mesh = mesh

    def link(self, name: str) -> PeerLink:
        """Return the link to a peer, or raise PeerUnreachableError."""
        if self._mesh is None:
            raise PeerUnreachableError('peer links are not open yet')
        return self._mesh.link(name)

    def keep(self, wanted: Collection[str], muted: Collection[str]) -> None:
        """Link exactly the wanted peers; send the muted ones no heartbeats."""
        mesh = self._mesh
        if mesh is None:
            return
        mesh.suppress_heartbeats(muted)
        for name in set(wanted) - set(mesh.names):
            now = self._clock()
            self._times[name] = _LinkTimes(added_at=now, open_at=now)
            mesh.add_peer(name, name)
        for name in set(mesh.names) - set(wanted):
            del self._times[name]
            mesh.remove_peer(name)

    def heard(self) -> set[str]:
        """Return the peers that are alive, over an open link."""
        if self._mesh is None:
            return set()
        return {peer.name for peer in self._mesh.peers()}

    def is_open(self, name: str) -> bool:
        """State whether there is an open link to the peer."""
        return name in self.names and self.link(name).connected

    def is_opening(self, name: str) -> bool:
        """State whether the link to the peer was added a moment ago."""
        return self._clock() - self._times[name].added_at < LINK_OPENING_S

    def fresh_heartbeats(self, max_age_s: float) -> dict[str, Heartbeat]:
        """Return the heartbeats that are no older than that, by name."""
        oldest = self._clock() - max_age_s
        return {
            name: received.heartbeat
            for name, received in self.heartbeats.items()
            if received.received_at > oldest
        }

    def is_serving(self, name: str) -> bool:
        """State whether the peer may serve; an unlinked one may."""
        if name not in self.names:
            return True
        if not self.link(name).connected:
            return self.is_opening(name)
        unresponsive_s = self._clock() - self._times[name].unresponsive_at
        if unresponsive_s < UNRESPONSIVE_PAUSE_S:
            return False
        return not self.has_announced_shutdown(name)

    def has_announced_shutdown(self, name: str) -> bool:
        """State whether the peer has said that it stops."""
        received = self.heartbeats.get(name)
        return (
            received is not None
            and received.heartbeat.state not in SERVING_STATES
        )

    def may_reach_store(self, name: str) -> bool:
        """State whether nothing says that the peer does not reach the store."""
        times = self._times.get(name)
        if times:
            lost_s = self._clock() - times.store_unavailable_at
            if lost_s < STORE_UNAVAILABLE_PAUSE_S:
                return False
        received = self.heartbeats.get(name)
        return received is None or received.heartbeat.watches_store

    def reaching_store(self) -> list[str]:
        """Return the peers that are heard and say that they reach the store."""
        return [
            name
            for name in self.heard()
            if name in self.heartbeats
            and self.heartbeats[name].heartbeat.watches_store
        ]

    def may_limit(self, name: str) -> bool:
        """State whether the peer may hand out permits."""
        if name not in self.names:
            return True
        link = self.link(name)
        if link.connected and not link.supports_permits:
            return False
        failed_at = self._times[name].limiter_failed_at
        return self._clock() - failed_at >= LIMITER_PAUSE_S

    def supports_streams(self, name: str) -> bool:
        """State whether the peer's build knows versions of streams."""
        return name in self.names and self.link(name).supports_stream_starts

    def note_unresponsive(self, name: str) -> None:
        """Note that a peer timed out; it may be frozen."""
        if name in self._times:
            self._times[name].unresponsive_at = self._clock()

    def note_store_unavailable(self, name: str) -> None:
        """Note that a peer reported the store unreachable."""
        if name in self._times:
            self._times[name].store_unavailable_at = self._clock()

    def note_limiter_failed(self, name: str) -> None:
        """Note that a peer did not answer a call for permits."""
        if name in self._times:
            self._times[name].limiter_failed_at = self._clock()

    def find_unreachable(self) -> set[str]:
        """Return the peers without an open link for FORGET_PEER_S."""
        now = self._clock()
        for name, times in self._times.items():
            if self.link(name).connected:
                times.open_at = now
        return {
            name
            for name, times in self._times.items()
            if now - times.open_at > FORGET_PEER_S
        }

    def was_open(self, name: str) -> bool:
        """State whether the link to the peer has ever been open."""
        return self._times[name].was_open
