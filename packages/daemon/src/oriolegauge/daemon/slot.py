"""A slot on one backend server, held by one attempt of a request."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from oriolegauge.admission import Job
from oriolegauge.backends import BackendServer
from oriolegauge.core.priority import Priority

# Reporting every token would cost as much as relaying it; a step of a few
# tokens still detects a slow server early.
PROGRESS_STEP_TOKENS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequest:
    """Describe a request that needs a slot.

    `max_tokens` are output tokens; `deadline` is event loop time in seconds.
    """

    request_id: str
    team: str
    priority: Priority
    model: str
    max_tokens: int
    deadline: float
    allowed_servers: tuple[str, ...]
    prefix_key: str
    fingerprint: str


class PausedError(Exception):
    """Signal that the queue paused the stream of this slot.

    The queue pauses stragglers for short jobs, and streams on ejected servers.
    """

    def __init__(self, job: Job) -> None:
        """Name the paused job, which is back in the queue."""
        super().__init__(job.request_id)
        self.job = job


@dataclass(slots=True)
class Slot:
    """Hold a slot on one backend server; event loop times in seconds.

    A stream that was paused goes on at one of the `resuming_servers`.
    """

    server: BackendServer
    job: Job
    started_at: float
    on_progress: Callable[['Slot'], None]
    resuming_servers: frozenset[str] = frozenset()
    first_token_at: float | None = None
    reported_at: float = 0
    reported_tokens: int = 0
    tokens: int = 0
    ok: bool = False
    cancel_sent: bool = False
    is_paused: bool = False
    _close_stream: Callable[[], None] | None = None
    _next_report_tokens: int = 1

    @property
    def can_pause(self) -> bool:
        """Return whether the stream can be stopped here and resumed later."""
        return self._close_stream is not None and not self.is_paused

    def allow_pause(self, close_stream: Callable[[], None]) -> None:
        """Let the queue pause the stream with `close_stream`."""
        if self.server.can_resume:
            self._close_stream = close_stream

    def pause(self) -> None:
        """Close the stream; the attempt then ends with PausedError.

        The job waits for a server that can resume the stream. Others would
        begin the answer again.
        """
        self.is_paused = True
        self.job = replace(self.job, allowed_servers=self.resuming_servers)
        if self._close_stream is not None:
            self._close_stream()

    def progress(self, tokens: int) -> None:
        """Record that `tokens` were generated so far."""
        if tokens < self._next_report_tokens:
            return
        self.tokens = tokens
        self._next_report_tokens = tokens + PROGRESS_STEP_TOKENS
        self.on_progress(self)

    def succeed(self, tokens: int) -> None:
        """Record a complete answer of `tokens`."""
        self.tokens = tokens
        self.ok = True
