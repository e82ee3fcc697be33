"""Completion request as it is sent to a model engine."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oriolegauge.core.priority import Priority


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRequest:
    """Hold the caller's body and the limits that the daemon adds.

    `max_tokens` limits the output. After a retry on another engine,
    `resume_tokens` is the number of tokens that the caller already has.
    """

    request_id: str
    path: str
    body: Mapping[str, Any]
    max_tokens: int
    priority: Priority = Priority.NORMAL
    resume_tokens: int = 0

    def payload(self) -> dict[str, Any]:
        """Return the JSON body for the engine."""
        payload = dict(self.body)
        payload['max_tokens'] = self.max_tokens
        payload.pop('max_completion_tokens', None)
        payload['priority'] = int(self.priority)
        if payload.get('stream'):
            payload['stream_options'] = {'include_usage': True}
        if self.resume_tokens:
            payload['resume_tokens'] = self.resume_tokens
        return payload
