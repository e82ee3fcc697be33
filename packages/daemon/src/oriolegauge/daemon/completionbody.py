"""Checked limits of a completion body."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from oriolegauge.core.errors import InvalidRequestError

# Chat templates add a few tokens around each message; 16 covers all of them.
TOKENS_PER_MESSAGE = 16
PREFIX_KEY_CHARS = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class CompletionBody:
    """Hold what the daemon needs to know of a completion body, in tokens."""

    model: str
    stream: bool
    with_usage: bool
    input_bound: int
    wanted_output: int
    prefix_key: str

    @classmethod
    def parse(
        cls, body: Mapping[str, Any], *, default_max_tokens: int
    ) -> 'CompletionBody':
        """Check the body; raise InvalidRequestError."""
        model = body.get('model')
        if not isinstance(model, str):
            raise InvalidRequestError('model must be a string')
        if body.get('n', 1) != 1:
            raise InvalidRequestError('only n = 1 is supported')
        options = body.get('stream_options') or {}
        return cls(
            model=model,
            stream=bool(body.get('stream')),
            with_usage=bool(options.get('include_usage')),
            input_bound=_input_bound(body),
            wanted_output=_wanted_output(body, default_max_tokens),
            prefix_key=_prefix_key(body),
        )


def _input_bound(body: Mapping[str, Any]) -> int:
    # A token covers at least one byte, so bytes bound the input tokens.
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        return len(prompt.encode()) + TOKENS_PER_MESSAGE
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError('messages or prompt is missing')
    return sum(
        len(orjson.dumps(message)) + TOKENS_PER_MESSAGE for message in messages
    )


def _wanted_output(body: Mapping[str, Any], default_max_tokens: int) -> int:
    wanted = body.get('max_completion_tokens')
    if wanted is None:
        wanted = body.get('max_tokens')
    if wanted is None:
        return default_max_tokens
    if not isinstance(wanted, int) or wanted < 1:
        raise InvalidRequestError('max_tokens must be a positive integer')
    return wanted


def _prefix_key(body: Mapping[str, Any]) -> str:
    messages = body.get('messages')
    head = messages[0] if isinstance(messages, list) else body.get('prompt')
    return orjson.dumps(head).decode()[:PREFIX_KEY_CHARS]
