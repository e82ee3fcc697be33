"""Server that may take a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """Describe a server that may take the request."""

    name: str
    zone: str
    slots: int = 1
    service: str = ''
