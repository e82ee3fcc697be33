"""Route of requests from a host and path prefix to services."""

from dataclasses import dataclass
from enum import StrEnum


class RequestKind(StrEnum):
    """Classify requests by how they may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Name a service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Describe how requests of a host and path prefix are served.

    `timeout_s` bounds the whole request. An answer is on time if it is complete
    (a stream: if its first event is sent) within `objective_s`, and if no pause
    between events is longer than `longest_pause_s`.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int = 0
    is_public: bool = False
    is_resumable: bool = False
    has_prompt: bool = False
    longest_pause_s: float = 0

    @property
    def is_repeatable(self) -> bool:
        """State whether a request may run on more than one server."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable
