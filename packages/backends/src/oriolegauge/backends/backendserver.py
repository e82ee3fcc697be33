"""Backend server as described in the configuration."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe a model engine or a server of a plain service.

    A server with `leaving` gets no new requests. One with `obeys_fencing`
    rejects orders with an old fencing number. One with `can_resume` can
    continue a stream that another server began.
    """

    name: str
    url: str
    zone: str
    models: frozenset[str] = frozenset()
    leaving: bool = False
    obeys_fencing: bool = True
    can_resume: bool = True
