"""Choice of the peers that a daemon links."""

import math
from collections.abc import Callable, Collection, Iterable
from itertools import islice

from oriolegauge.gateway.fleetlayout import MAX_LEADERS, ring_neighbours
from oriolegauge.gateway.fleetmembers import FleetMembers

# A new member changes half of the neighbours on the ring, and hosts of a fleet
# register within a second of each other.
NEIGHBOURS_PAUSE_S = 1.0


class LinkSelection:
    """Select neighbours on the ring, and peers that are linked besides."""

    def __init__(
        self, members: FleetMembers, clock: Callable[[], float]
    ) -> None:
        """Start without links; `clock` is in seconds."""
        self._members = members
        self._clock = clock
        self._neighbours: set[str] = set()
        self._chosen_at = -math.inf
        # Peers that are linked for calls although they are no neighbours.
        self._called: set[str] = set()
        # Peers that send heartbeats although they are neither. They are linked
        # meanwhile, since only linked peers can be asked.
        self._senders: set[str] = set()

    @property
    def wanted(self) -> set[str]:
        """Return the peers to link."""
        return self._neighbours | self._called | self._senders

    @property
    def muted(self) -> set[str]:
        """Return the linked peers that get no heartbeats.

        Leaders send each other heartbeats, wherever they are on the ring.
        """
        first = set(islice(self._members.by_rank, MAX_LEADERS))
        fellows = first if self._members.own.name in first else set()
        return self.wanted - self._neighbours - fellows

    def due_in_s(self) -> float:
        """Return the seconds until neighbours may be chosen again.

        In a large fleet they are chosen once for members that come together.
        """
        if not self._members.is_large:
            return 0
        return max(0, self._chosen_at + NEIGHBOURS_PAUSE_S - self._clock())

    def choose_neighbours(self) -> None:
        """Choose the neighbours among the present members."""
        self._chosen_at = self._clock()
        self._neighbours = ring_neighbours(
            self._members.own.name, self._members.others
        )

    def add_called(self, name: str) -> None:
        """Link a peer for calls."""
        self._called.add(name)

    def forget(self, names: Iterable[str]) -> None:
        """Link these peers for calls no more."""
        self._called -= set(names)

    def set_senders(self, names: Collection[str]) -> bool:
        """Link the peers that are heard; return whether links change.

        Daemons that know other members have other neighbours, and leaders send
        heartbeats to all leaders that they have a link to.
        """
        senders = set(names) - self._neighbours - self._called
        is_changed = senders != self._senders
        self._senders = senders
        return is_changed
