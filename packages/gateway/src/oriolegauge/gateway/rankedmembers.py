"""Known daemons of a fleet, ranked by the capacity of their hosts.

The first ones, the leaders, aggregate loads, allocate prepaid tokens and watch
the store for all daemons. In a fleet of unequal hosts these tasks belong on
those with the most processor time and bandwidth.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from oriolegauge.core.rendezvous import rank

_LEADER_KEY = 'leaders'
# Unit of capacity. A leader of a large fleet serves some hundred calls a
# second, each with 0.5 ms of a full core and a kilobyte. A host with twice the
# capacity is one class above.
REFERENCE_CORES = 0.5
REFERENCE_LINK_MBPS = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetMember:
    """Describe a daemon; its name is the address of its peer port."""

    name: str
    zone: str = ''
    capacity_class: int = 0


class RankedMembers:
    """Keep the known daemons, this one included, in order of rank."""

    def __init__(self, own: FleetMember) -> None:
        """Start with this daemon alone."""
        self._own = own
        self._members = {own.name: own}
        self._ranked = [own]
        self._in_zones = {own.zone: {own.name}}

    @property
    def size(self) -> int:
        """Return the number of daemons."""
        return len(self._members)

    @property
    def others(self) -> Collection[str]:
        """Return the names of the other daemons."""
        return self._members.keys() - {self._own.name}

    @property
    def ranked(self) -> Iterable[FleetMember]:
        """Return all daemons, those with the highest capacity class first."""
        return self._ranked

    @property
    def zones(self) -> set[str]:
        """Return the availability zones of the fleet."""
        return set(self._in_zones)

    def names_in(self, zone: str) -> Collection[str]:
        """Return the names of the daemons in a zone."""
        return self._in_zones.get(zone, set())

    def add(self, member: FleetMember) -> bool:
        """Add or update another daemon; return whether anything changed."""
        if member.name == self._own.name:
            return False
        if self._members.get(member.name) == member:
            return False
        self._members[member.name] = member
        self._rank()
        return True

    def remove(self, names: Iterable[str]) -> None:
        """Remove other daemons."""
        for name in set(names) - {self._own.name}:
            self._members.pop(name, None)
        self._rank()

    def _rank(self) -> None:
        positions = {
            name: position
            for position, name in enumerate(rank(_LEADER_KEY, self._members))
        }
        self._ranked = sorted(
            self._members.values(),
            key=lambda member: (-member.capacity_class, positions[member.name]),
        )
        self._in_zones = {}
        for member in self._ranked:
            self._in_zones.setdefault(member.zone, set()).add(member.name)


def capacity_class(*, cores: float, link_mbps: float) -> int:
    """Return the class of a host by the scarcer of its resources."""
    units = min(cores / REFERENCE_CORES, link_mbps / REFERENCE_LINK_MBPS)
    return math.floor(math.log2(units))
