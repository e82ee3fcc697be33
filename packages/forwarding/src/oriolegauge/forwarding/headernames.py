"""Names of the headers that the forwarder reads and sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Name each header; an adapter replaces the defaults.

    `request_id` names one attempt of a caller and is echoed by servers.
    `deadline_ms` holds the milliseconds that the caller still waits.
    `token_bounds` holds the prompt tokens and the most output tokens.
    `prompt_parts` lists the parts of the prompt with their tokens, in order.
    `not_run` marks an answer of a server that did not run the request.
    `signature` marks an answer that a server made.
    `leaving` is 1 in the answers of a server that leaves.
    `callers_never_set` are dropped from what callers send.
    """

    request_id: str = 'X-Request-Id'
    deadline_ms: str = 'X-Deadline-Ms'
    caller_key: str = 'X-Api-Key'
    workspace: str = 'X-Team'
    target_instance: str = 'X-Target-Instance'
    server_priority: str = 'X-Server-Priority'
    token_bounds: str = 'X-Token-Bounds'
    prompt_parts: str = 'X-Prompt-Parts'
    not_run: str = 'X-Not-Run'
    signature: str = 'X-Server-Signature'
    leaving: str = 'X-Server-Leaving'
    callers_never_set: frozenset[str] = frozenset()
