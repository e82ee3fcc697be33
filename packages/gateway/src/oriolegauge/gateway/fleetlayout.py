"""Topology of links between daemons, and the periods of their messages.

Both depend on the size of the fleet. Daemons of a large fleet link only some
peers, so that the messages of one daemon don't grow with the fleet.
"""

from collections.abc import Collection

# In fleets up to this size each daemon links all others.
FULL_MESH_MEMBERS = 16
# Latency objectives are 0.1 to 0.8 s; loads of servers change within that time.
FULL_MESH_BEAT_PERIOD_S = 0.2
# A daemon of a large fleet runs only a few requests at a time and is linked to
# only a few daemons, so the loads in faster heartbeats are not worth their
# cost. Two heartbeats fit into the time after which a silent peer becomes
# suspect.
RING_BEAT_PERIOD_S = 0.75
# Number of leaders. They watch the store, and the others get changes from them.
# They also hold reserves of prepaid tokens, so they have to notice a recovery
# of the store soon.
MAX_LEADERS = 8
# Time for which a daemon lends its share in the limits of servers. No permits
# are handed out for so long after the loss of the daemon that does it; in a
# large fleet it gets a renewal from each daemon.
FULL_MESH_LEASE_S = 1.5
RING_LEASE_S = 4.5


# A daemon counts as a watcher of the store for this many periods after it was
# known to be one. A sign takes a period for each hop, and one may be lost.
WATCH_SIGN_PERIODS = 5
# Hosts whose processor is busy send heartbeats late by a second.
MIN_WATCH_SIGN_S = 1.5


def watch_sign_age_s(members: int) -> float:
    """Return for how many seconds a sign that a daemon watches counts."""
    return max(
        MIN_WATCH_SIGN_S, WATCH_SIGN_PERIODS * heartbeat_period_s(members)
    )


def lease_s(members: int) -> float:
    """Return for how many seconds a share of the limits is lent."""
    return FULL_MESH_LEASE_S if members <= FULL_MESH_MEMBERS else RING_LEASE_S


def heartbeat_period_s(members: int) -> float:
    """Return the seconds between heartbeats in a fleet of `members`."""
    if members <= FULL_MESH_MEMBERS:
        return FULL_MESH_BEAT_PERIOD_S
    return RING_BEAT_PERIOD_S


def has_zone_aggregators(members: int) -> bool:
    """State whether each availability zone has its own load aggregator."""
    return members > FULL_MESH_MEMBERS


def ring_neighbours(name: str, known: Collection[str]) -> set[str]:
    """Return the peers to link: all, or those at powers of two on a ring.

    The relation is symmetric. An update reaches all daemons in a number of hops
    that is about half the binary logarithm of their number.
    """
    if len(known) < FULL_MESH_MEMBERS:
        return set(known)
    ring = sorted({name, *known})
    position = ring.index(name)
    neighbours = set()
    distance = 1
    while distance < len(ring):
        neighbours.add(ring[(position + distance) % len(ring)])
        neighbours.add(ring[position - distance])
        distance *= 2
    return neighbours - {name}
