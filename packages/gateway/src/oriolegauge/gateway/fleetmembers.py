"""Members of the fleet as this daemon knows them.

Members come from the list in the store and from heartbeats. Those that could
not be reached for long are forgotten, although their entries stay listed.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable, Collection, Iterable

import structlog

from oriolegauge.gateway.fleetlayout import FULL_MESH_MEMBERS
from oriolegauge.gateway.rankedmembers import FleetMember, RankedMembers

# A lost daemon may serve others behind a partition, and still owns its share of
# the limits of servers for this time.
SHARE_RETENTION_S = 300.0
# A daemon that can't list the members within this time starts without peers.
LISTING_TIMEOUT_S = 1.0

log = structlog.get_logger()


class FleetMembers:
    """Keep the known daemons, this one included, and those that are lost."""

    def __init__(self, own: FleetMember, clock: Callable[[], float]) -> None:
        """Start with this daemon alone; `clock` is in seconds."""
        self._own = own
        self._clock = clock
        self._ranked = RankedMembers(own)
        self._forgotten: set[str] = set()
        self._known_since: dict[str, float] = {}
        # Times at which daemons were forgotten that own a share.
        self._lost_at: dict[str, float] = {}
        self._is_listed = asyncio.Event()
        self._listing_deadline = (
            asyncio.get_running_loop().time() + LISTING_TIMEOUT_S
        )

    @property
    def own(self) -> FleetMember:
        """Return this daemon."""
        return self._own

    @property
    def size(self) -> int:
        """Return the number of daemons, this one included."""
        return self._ranked.size

    @property
    def is_large(self) -> bool:
        """State whether daemons link only some of the others."""
        return self.size > FULL_MESH_MEMBERS

    @property
    def others(self) -> Collection[str]:
        """Return the names of the other daemons."""
        return self._ranked.others

    @property
    def zones(self) -> set[str]:
        """Return the availability zones of the daemons."""
        return self._ranked.zones

    @property
    def by_rank(self) -> Iterable[str]:
        """Return the names of all daemons in the order of rank."""
        return (member.name for member in self._ranked.ranked)

    @property
    def is_listed(self) -> bool:
        """State whether the members in the store have been listed."""
        return self._is_listed.is_set()

    @property
    def are_known(self) -> bool:
        """State whether the members were listed, or can't be at the start.

        A daemon that knows no members yet would take itself for a leader.
        """
        return self.is_listed or self._clock() >= self._listing_deadline

    def names_in(self, zone: str) -> Collection[str]:
        """Return the names of the daemons in a zone."""
        return self._ranked.names_in(zone)

    def known_s(self, name: str) -> float:
        """Return for how many seconds the daemon has been known."""
        return self._clock() - self._known_since.get(name, -math.inf)

    def note_listed(self) -> None:
        """Note that the members in the store have been listed."""
        self._is_listed.set()

    async def wait_until_listed(self) -> None:
        """Wait until the members were listed, at most LISTING_TIMEOUT_S."""
        if self.is_listed:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._listing_deadline):
                await self._is_listed.wait()

    def add_listed(self, members: Iterable[FleetMember]) -> bool:
        """Add the daemons that the store lists; return whether any changed.

        A list that was read before this daemon was registered may lack others
        that start at the same time.
        """
        listed = list(members)
        if any(member.name == self._own.name for member in listed):
            self.note_listed()
        return self._add(
            member for member in listed if member.name not in self._forgotten
        )

    def add_sender(self, member: FleetMember) -> bool:
        """Add a daemon that has sent a heartbeat; return whether it changed."""
        self._forgotten.discard(member.name)
        return self._add([member])

    def forget(self, names: Collection[str], lost: Iterable[str]) -> None:
        """Remove daemons; those that are lost still own their shares."""
        log.info('peers forgotten', peers=sorted(names))
        self._lost_at.update(dict.fromkeys(lost, self._clock()))
        self._ranked.remove(names)
        self._forgotten |= set(names)
        for name in names:
            self._known_since.pop(name, None)

    def other_owners(self) -> set[str]:
        """Return the other daemons that may own a share of each limit."""
        oldest = self._clock() - SHARE_RETENTION_S
        lost = {name for name, at in self._lost_at.items() if at > oldest}
        return lost | set(self.others)

    def has_turn(self, number: int) -> bool:
        """State whether the turn of that number is this daemon's."""
        names = sorted((self._own.name, *self.others))
        return names[number % len(names)] == self._own.name

    def _add(self, members: Iterable[FleetMember]) -> bool:
        is_changed = False
        for member in members:
            if not member.name or not self._ranked.add(member):
                continue
            is_changed = True
            self._known_since.setdefault(member.name, self._clock())
            log.info(
                'peer found',
                peer=member.name,
                zone=member.zone,
                strength=member.capacity_class,
            )
        return is_changed
