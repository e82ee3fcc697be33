"""Validate the body of a completion request and bound its tokens."""

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
    """Hold the fields of a completion body that the daemon uses.

    `prefix_key` is the start of the prompt; requests with the same one are
    routed to the same server for its prefix cache.
    """

    model: str
    stream: bool
    with_usage: bool
    max_input_tokens: int
    requested_output_tokens: int
    prefix_key: str

    @classmethod
    def parse(
        cls, body: Mapping[str, Any], *, default_max_tokens: int
    ) -> 'CompletionBody':
        """Validate the body; raise InvalidRequestError."""
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
            max_input_tokens=_max_input_tokens(body),
            requested_output_tokens=_requested_output_tokens(
                body, default_max_tokens
            ),
            prefix_key=_prefix_key(body),
        )


def _max_input_tokens(body: Mapping[str, Any]) -> int:
    # A token covers at least one byte, so there are no more tokens than bytes.
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        return len(prompt.encode()) + TOKENS_PER_MESSAGE
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError('messages or prompt is missing')
    return sum(
        len(orjson.dumps(message)) + TOKENS_PER_MESSAGE for message in messages
    )


def _requested_output_tokens(
    body: Mapping[str, Any], default_max_tokens: int
) -> int:
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
