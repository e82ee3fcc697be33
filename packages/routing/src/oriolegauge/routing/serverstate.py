"""Load of a server as it is weighed in a placement."""

from dataclasses import dataclass


@dataclass(slots=True)
class ServerState:
    """Sum up the load of a server by all daemons.

    `unread_tokens` are those of the request that is placed, `pending_tokens`
    those of other prompts that wait there. `extra_s` is added to the cost, for
    failures and for another zone.
    """

    running: int
    pending_tokens: int
    held_tokens: int
    unread_tokens: int
    slowness: float
    extra_s: float
