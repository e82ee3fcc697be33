"""One request as the admission queue sees it."""

from dataclasses import dataclass

from oriolegauge.core import Priority


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """Describe a waiting request; times are seconds of the event loop.

    `deadline` is the latest useful end of the whole answer; None is no limit.
    `allowed_servers` of None allows every backend server with the model.
    """

    request_id: str
    team: str
    priority: Priority
    predicted_tokens: int
    enqueued_at: float
    model: str
    deadline: float | None = None
    allowed_servers: frozenset[str] | None = None
    prefix_key: str | None = None
