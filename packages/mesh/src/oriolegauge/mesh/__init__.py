"""Links between all daemons of a fleet, with heartbeats."""

from oriolegauge.mesh.peermesh import PeerMesh, ReceivedHeartbeat

__all__ = ('PeerMesh', 'ReceivedHeartbeat')
