"""Links between the daemons of a fleet, and the heartbeats on them."""

from oriolegauge.mesh.peermesh import PeerMesh, ReceivedHeartbeat

__all__ = ('PeerMesh', 'ReceivedHeartbeat')
