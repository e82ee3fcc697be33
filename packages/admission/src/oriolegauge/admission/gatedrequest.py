"""One request as the admission gate sees it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class GatedRequest:
    """Describe a request before it is sent; times are loop seconds.

    `number` is unique in the daemon. `kind` names its route, whose streams may
    pause for `longest_pause_s` (0: no stream). Priority 0 is the most urgent.
    """

    number: int
    kind: str
    priority: int
    workspace: str
    objective_s: float
    arrived_at: float
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    body_bytes: int = 0
    longest_pause_s: float = 0
