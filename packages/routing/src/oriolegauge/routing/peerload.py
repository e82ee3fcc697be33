"""Load of a backend server by other daemons."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Sum up the requests of other daemons on a server.

    `prompt_tokens` are those still to be read. `held_tokens` are the prompt and
    output tokens of the requests, 0 from daemons that don't count them.
    """

    requests: int = 0
    prompt_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other: 'PeerLoad') -> 'PeerLoad':
        """Return the sum of both loads."""
        return PeerLoad(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.held_tokens + other.held_tokens,
        )
