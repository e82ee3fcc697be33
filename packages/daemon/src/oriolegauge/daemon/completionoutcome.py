"""What an engine answered to one completion."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from oriolegauge.backends import Usage


@dataclass(frozen=True, slots=True)
class CompletionOutcome:
    """Hold a whole answer, or the end of a stream, with its usage."""

    usage: Usage
    answer: dict[str, Any] | None = None
    tail: Sequence[dict[str, Any]] = ()
