"""One row of the platform's host list."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostStatus:
    """State what the platform last knew of a host."""

    name: str
    address: str
    zone: str
    state: str
