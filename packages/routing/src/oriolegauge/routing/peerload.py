"""Load of a backend server by other daemons."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Sum up the requests of other daemons on a server.

    `prompt_tokens` are those still to be read. `held_tokens` are the prompt and
    output tokens of the requests. `slowness_sum` adds up the factors by which
    `samples` recent answers took longer than expected; samples lose weight with
    time. These three are 0 from daemons that don't report them.
    """

    requests: int = 0
    prompt_tokens: int = 0
    held_tokens: int = 0
    slowness_sum: float = 0
    samples: float = 0

    def plus(self, other: 'PeerLoad') -> 'PeerLoad':
        """Return the sum of both loads."""
        return PeerLoad(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.held_tokens + other.held_tokens,
            self.slowness_sum + other.slowness_sum,
            self.samples + other.samples,
        )
