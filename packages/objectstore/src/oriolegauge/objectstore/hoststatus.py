"""One row of the platform's host list."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Describe a host as the platform last saw it."""

    name: str
    address: str
    zone: str
    state: str
