"""Free capacity of a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerSlots:
    """State the slots of a backend server that this daemon may use now."""

    name: str
    models: frozenset[str]
    free: int
    limit: int
