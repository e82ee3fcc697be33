"""Links between all daemons of a fleet, with heartbeats."""

from oriolegauge.mesh.peermesh import HeardHeartbeat, PeerMesh

__all__ = ('HeardHeartbeat', 'PeerMesh')
