"""Work of a request that is placed on a backend server."""

from dataclasses import dataclass

# An engine reads a prompt of this many tokens in some 30 to 70 ms, several
# times the interval between two tokens of the streams that it delays.
LONG_PROMPT_TOKENS = 3_000


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt and its tokens."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """Describe a request to place; calls of services have no prompt.

    `objective_s` and `longest_pause_s` are those of its route, 0 if unknown.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    body_bytes: int = 0
    shared_parts: tuple[PromptPart, ...] = ()
    objective_s: float = 0
    longest_pause_s: float = 0

    @property
    def is_prompt(self) -> bool:
        """State whether an engine generates the answer."""
        return self.prompt_tokens > 0

    @property
    def is_long(self) -> bool:
        """State whether reading the prompt delays other streams much."""
        return self.prompt_tokens >= LONG_PROMPT_TOKENS

    @property
    def tokens(self) -> int:
        """Return the most tokens that an engine holds for the request."""
        return self.prompt_tokens + self.output_tokens
