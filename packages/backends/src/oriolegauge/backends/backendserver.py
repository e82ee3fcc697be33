"""A backend server as the configuration describes it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Address a model engine or a plain service."""

    name: str
    url: str
    zone: str
    models: frozenset[str] = frozenset()
    leaving: bool = False
    obeys_fencing: bool = True
    can_resume: bool = True
