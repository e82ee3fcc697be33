"""Links and heartbeats of a fleet by its size.

Answers the load of many daemons that know of each other: what one daemon
sends does not grow with the fleet.
"""

from collections.abc import Collection

# Fleets up to this size link all daemons.
FULL_MESH_MEMBERS = 16
# Loads of servers change within the objectives of 0.1 to 0.8 s.
FULL_MESH_BEAT_PERIOD_S = 0.2
# A daemon of a large fleet runs a few requests at a time, and its links tell of
# a few daemons only: faster heartbeats cost more than their loads are worth.
# Two of them fit into the time after which a silent peer is suspected.
RING_BEAT_PERIOD_S = 0.75


def heartbeat_period_s(members: int) -> float:
    """Return the seconds between heartbeats in a fleet of that size."""
    if members <= FULL_MESH_MEMBERS:
        return FULL_MESH_BEAT_PERIOD_S
    return RING_BEAT_PERIOD_S


def has_zone_aggregators(members: int) -> bool:
    """State whether each availability zone has its own load aggregator."""
    return members > FULL_MESH_MEMBERS


def ring_neighbours(name: str, known: Collection[str]) -> set[str]:
    """Return the peers to link: all, or those at powers of two on a ring.

    The relation is symmetric, and news reaches everyone in about half the
    logarithm of the number of daemons in steps.
    """
    if len(known) < FULL_MESH_MEMBERS:
        return set(known)
    ring = sorted({name, *known})
    place = ring.index(name)
    neighbours = set()
    distance = 1
    while distance < len(ring):
        neighbours.add(ring[(place + distance) % len(ring)])
        neighbours.add(ring[place - distance])
        distance *= 2
    return neighbours - {name}
