"""A place on one backend server, held by one attempt."""

from collections.abc import Callable
from dataclasses import dataclass

from oriolegauge.admission import Job
from oriolegauge.backends import BackendServer
from oriolegauge.core.priority import Priority

# A slow server is found within a few tokens, but reporting each one would cost
# as much as relaying it.
PROGRESS_STEP_TOKENS = 2


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


class PausedError(Exception):
    """Tell the holder of a slot that its stream gave way to short work."""

    def __init__(self, job: Job) -> None:
        """Name the job, which waits in the queue again."""
        super().__init__(job.request_id)
        self.job = job


@dataclass(slots=True)
class Slot:
    """Hold a place on one backend server; times in seconds of the loop."""

    server: BackendServer
    job: Job
    started_at: float
    on_progress: Callable[['Slot'], None]
    first_token_at: float | None = None
    reported_at: float = 0
    reported_tokens: int = 0
    tokens: int = 0
    ok: bool = False
    cancel_sent: bool = False
    paused: bool = False
    _close: Callable[[], None] | None = None
    _next_report: int = 1

    @property
    def can_pause(self) -> bool:
        """Tell whether the work can stop here and go on later."""
        return self._close is not None and not self.paused

    def allow_pause(self, close: Callable[[], None]) -> None:
        """Let the queue stop the work by `close`, which ends its stream."""
        if self.server.can_resume:
            self._close = close

    def pause(self) -> None:
        """Stop the work; its holder leaves the slot with PausedError."""
        self.paused = True
        if self._close is not None:
            self._close()

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
