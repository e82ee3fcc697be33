"""Parts of each server's slots that the daemons of a fleet may use.

The parts of all daemons sum up to the slots. Daemons agree on them without
messages, since each derives all of them from the names of the daemons.
"""

from collections.abc import Callable, Collection, Mapping

from oriolegauge.core.rendezvous import rank

# The list of daemons is read again after this time.
READ_PERIOD_S = 0.25
# A daemon that does not know the others yet sends one request at a time.
PART_OF_UNKNOWN = 1
# Requests that arrive at random meet a free place more often where several
# places are together, but larger parts of many servers add up less evenly.
MIN_PART = 2


class PlaceShares:
    """Compute the daemons' parts of the slots of servers."""

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
        self._parts: dict[tuple[str, int], Mapping[str, int]] = {}

    def part(self, server: str, slots: int) -> int:
        """Return how many requests this daemon may run at the server."""
        self._read_holders()
        if not self._known:
            return min(slots, PART_OF_UNKNOWN)
        return self._parts_of(server, slots).get(self._own, 0)

    def holders(self, server: str, slots: int) -> Collection[str]:
        """Return the daemons that may run requests at the server."""
        self._read_holders()
        return self._parts_of(server, slots).keys()

    def _parts_of(self, server: str, slots: int) -> Mapping[str, int]:
        parts = self._parts.get((server, slots))
        if parts is None:
            parts = parts_of(server, slots, self._known)
            self._parts[server, slots] = parts
        return parts

    def _read_holders(self) -> None:
        now = self._clock()
        if self._read_at is not None and now - self._read_at < READ_PERIOD_S:
            return
        self._read_at = now
        holders = frozenset(self._holders())
        if holders != self._known:
            self._known = holders
            self._parts.clear()


def parts_of(
    server: str, slots: int, holders: Collection[str]
) -> Mapping[str, int]:
    """Return the parts of a server's slots by holder, without empty ones.

    If there are few slots, only the holders that the server's name ranks first
    have a part. Those hold the slots too that can't be divided evenly.
    """
    ranked = rank(server, holders)[: max(1, slots // MIN_PART)]
    if not ranked:
        return {}
    part, rest = divmod(slots, len(ranked))
    return {
        holder: part + (position < rest)
        for position, holder in enumerate(ranked)
        if part or position < rest
    }
