"""Configuration and reported load of a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerView:
    """Describe a backend server; the reported load is in tokens.

    `reported_at` is the event loop time of the load report, which is seconds
    old on arrival; None without a report.
    """

    name: str
    zone: str
    models: frozenset[str] = frozenset()
    leaving: bool = False
    can_resume: bool = False
    reported_load: float = 0
    reported_at: float | None = None
