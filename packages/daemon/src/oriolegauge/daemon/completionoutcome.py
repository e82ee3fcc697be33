"""Answer of an engine to one completion request."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from oriolegauge.backends import Usage


@dataclass(frozen=True, slots=True)
class CompletionOutcome:
    """Hold a complete answer, or the last events of a stream, and the usage."""

    usage: Usage
    answer: dict[str, Any] | None = None
    tail: Sequence[dict[str, Any]] = ()
