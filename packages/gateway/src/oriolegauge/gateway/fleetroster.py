"""The daemons of a fleet, in the order in which they lead it.

Answers fleets of uneven hosts: aggregators of loads, homes of teams and
watchers of the store serve all other daemons, so they belong on the hosts with
the most processor time and the widest links.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from oriolegauge.core.rendezvous import rank

_LEADER_KEY = 'leaders'
# A leader of a large fleet answers some hundred calls a second of 0.5 ms on a
# full core, with a kilobyte each; hosts are compared by how often they hold
# this much. Twice as much is a class above.
REFERENCE_CORES = 0.5
REFERENCE_LINK_MBPS = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetMember:
    """Describe a daemon; its name is the address of its peer port."""

    name: str
    zone: str = ''
    capacity_class: int = 0


class FleetRoster:
    """Keep the daemons that were heard of, this one included."""

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
        """Return all daemons, those that lead the fleet first."""
        return self._ranked

    @property
    def zones(self) -> set[str]:
        """Return the availability zones of the fleet."""
        return set(self._in_zones)

    def names_in(self, zone: str) -> Collection[str]:
        """Return the names of the daemons in a zone."""
        return self._in_zones.get(zone, set())

    def add(self, member: FleetMember) -> bool:
        """Take note of a daemon; return whether that changes anything."""
        if member.name == self._own.name:
            return False
        if self._members.get(member.name) == member:
            return False
        self._members[member.name] = member
        self._rank()
        return True

    def remove(self, names: Iterable[str]) -> None:
        """Forget other daemons."""
        for name in set(names) - {self._own.name}:
            self._members.pop(name, None)
        self._rank()

    def _rank(self) -> None:
        places = {
            name: place
            for place, name in enumerate(rank(_LEADER_KEY, self._members))
        }
        self._ranked = sorted(
            self._members.values(),
            key=lambda member: (-member.capacity_class, places[member.name]),
        )
        self._in_zones = {}
        for member in self._ranked:
            self._in_zones.setdefault(member.zone, set()).add(member.name)


def capacity_class(*, cores: float, link_mbps: float) -> int:
    """Return the class of a host; the scarcer of its means decides."""
    means = min(cores / REFERENCE_CORES, link_mbps / REFERENCE_LINK_MBPS)
    return math.floor(math.log2(means))
