"""Job slots of a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerSlots:
    """Describe the slots of a server that this daemon may use now."""

    name: str
    models: frozenset[str]
    free: int
    limit: int
