"""What a daemon knows about a backend server from elsewhere."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerView:
    """Describe a backend server; the load is in tokens and arrives late.

    `reported_at` is the time of the load report, in seconds of the event
    loop, and None without a report.
    """

    name: str
    zone: str
    models: frozenset[str] = frozenset()
    leaving: bool = False
    can_resume: bool = False
    reported_load: float = 0
    reported_at: float | None = None
