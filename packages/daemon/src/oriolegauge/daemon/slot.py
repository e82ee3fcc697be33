"""A place on one backend server, held by one attempt."""

from collections.abc import Callable
from dataclasses import dataclass, field

from oriolegauge.backends import BackendServer
from oriolegauge.core.priority import Priority

# Reporting each token would cost more than relaying it.
PROGRESS_STEP_TOKENS = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequest:
    """Describe the work that needs a slot; tokens and loop time."""

    request_id: str
    team: str
    priority: Priority
    model: str
    max_tokens: int
    deadline: float
    allowed: tuple[str, ...]
    prefix_key: str
    fingerprint: str


@dataclass(slots=True)
class Slot:
    """Hold a place on one backend server; times in seconds of the loop."""

    server: BackendServer
    started_at: float
    on_progress: Callable[['Slot'], None]
    first_token_at: float | None = None
    tokens: int = 0
    ok: bool = False
    cancelled: set[str] = field(default_factory=set)
    _next_report: int = 1

    def progress(self, tokens: int) -> None:
        """Note that `tokens` were generated so far."""
        if tokens < self._next_report:
            return
        self.tokens = tokens
        self._next_report = tokens + PROGRESS_STEP_TOKENS
        self.on_progress(self)

    def succeed(self, tokens: int) -> None:
        """Note a whole answer of `tokens`."""
        self.tokens = tokens
        self.ok = True
