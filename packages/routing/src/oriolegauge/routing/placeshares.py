"""Parts of each server's slots that the daemons of a fleet may use.

The parts of all daemons sum up to the slots. Daemons agree on them without
messages, since each derives all of them from the names of the daemons.
"""

from collections.abc import Callable, Collection

from oriolegauge.core.rendezvous import rank

# The list of daemons is read again after this time.
READ_PERIOD_S = 0.25
# A daemon that does not know the others yet sends one request at a time.
PART_OF_UNKNOWN = 1


class PlaceShares:
    """Compute this daemon's part of the slots of servers."""

    def __init__(
        self,
        own: str,
        holders: Callable[[], Collection[str]],
        clock: Callable[[], float],
    ) -> None:
        """Divide among the daemons that `holders` names, `own` included.

        It names none as long as the daemons are not known.
        """
        self._own = own
        self._holders = holders
        self._clock = clock
        self._read_at: float | None = None
        self._known: frozenset[str] = frozenset()
        self._parts: dict[tuple[str, int], int] = {}

    def part(self, server: str, slots: int) -> int:
        """Return the number of requests that may run at the server at once."""
        self._read_holders()
        if not self._known:
            return min(slots, PART_OF_UNKNOWN)
        part = self._parts.get((server, slots))
        if part is None:
            part = part_of(server, slots, self._own, self._known)
            self._parts[server, slots] = part
        return part

    def _read_holders(self) -> None:
        now = self._clock()
        if self._read_at is not None and now - self._read_at < READ_PERIOD_S:
            return
        self._read_at = now
        holders = frozenset(self._holders())
        if holders != self._known:
            self._known = holders
            self._parts.clear()


def part_of(
    server: str, slots: int, holder: str, holders: Collection[str]
) -> int:
    """Return the holder's part of a server's slots.

    Slots that can't be divided evenly go to the holders that the server's name
    ranks first, so that each holder gets some of a service with many servers.
    """
    part, rest = divmod(slots, len(holders))
    if not rest:
        return part
    return part + (holder in rank(server, holders)[:rest])
