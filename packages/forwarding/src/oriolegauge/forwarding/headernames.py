"""Names of the headers that the forwarder reads and sets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Name each header; an adapter replaces the defaults.

    `request_id` identifies one attempt of a caller; servers return it.
    `deadline_ms` holds the milliseconds until the caller's timeout.
    `token_bounds` holds the prompt tokens and the maximum of output tokens.
    `prompt_parts` lists the parts of the prompt with their tokens, in order.
    `not_run` marks a reply of a server that did not run the request.
    `signature` marks a reply that a server itself has made.
    `leaving` is 1 in the replies of a leaving server.
    `rate_limit` holds the requests per second that a server in need takes.
    `brittle` holds the rejections a second that a server bears, which falls
    over if it has to reject more.
    `cold_ms` holds how much longer a server takes only a limited rate.
    `resumes` names, in a request for the rest of a stream, the attempt of the
    caller that brought the stream's first event.
    `callers_never_set` are removed from the requests of callers.
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
    rate_limit: str = 'X-Server-Rate-Limit'
    brittle: str = 'X-Server-Brittle'
    cold_ms: str = 'X-Cold-Ms'
    resumes: str = 'X-Resumes'
    callers_never_set: frozenset[str] = frozenset()
