"""Index of the shared prompt parts that each server holds in memory."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

# Parts indexed per server: at some 4,000 tokens each, more than an engine
# holds.
MAX_PARTS_PER_SERVER = 512


@dataclass(frozen=True, slots=True)
class PartHeld:
    """State that a server has read a part of a prompt."""

    part: str
    server: str


class PartIndex:
    """Index the parts last sent to each server."""

    def __init__(self) -> None:
        """Start empty."""
        self._parts: dict[str, OrderedDict[str, None]] = {}

    @property
    def is_empty(self) -> bool:
        """State whether no part is indexed."""
        return not self._parts

    def note(self, held: PartHeld) -> bool:
        """Add a part; return whether it is new for the server."""
        parts = self._parts.setdefault(held.server, OrderedDict())
        is_new = held.part not in parts
        parts[held.part] = None
        parts.move_to_end(held.part)
        if len(parts) > MAX_PARTS_PER_SERVER:
            parts.popitem(last=False)
        return is_new

    def note_all(self, read: Iterable[PartHeld]) -> None:
        """Add parts that other daemons reported."""
        for held in read:
            self.note(held)

    def holds(self, server: str, part: str) -> bool:
        """State whether the server has read the part."""
        return part in self._parts.get(server, ())

    def holders(self, part: str) -> frozenset[str]:
        """Return the servers that hold the part."""
        return frozenset(
            server for server, held in self._parts.items() if part in held
        )

    def holders_of(self, parts: Iterable[str]) -> tuple[PartHeld, ...]:
        """Return the servers that hold these parts, one entry each."""
        return tuple(
            PartHeld(part, server)
            for part in parts
            for server, held in self._parts.items()
            if part in held
        )

    def all(self) -> tuple[PartHeld, ...]:
        """Return all indexed parts."""
        return tuple(
            PartHeld(part, server)
            for server, held in self._parts.items()
            for part in held
        )

    def forget_server(self, server: str) -> None:
        """Drop the parts of a server that was restarted or unreachable."""
        self._parts.pop(server, None)

    def keep_only(self, servers: Collection[str]) -> None:
        """Drop servers that no longer exist."""
        for server in self._parts.keys() - set(servers):
            del self._parts[server]
