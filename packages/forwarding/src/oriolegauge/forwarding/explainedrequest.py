"""Request that an operator describes to learn where it would go."""

from collections.abc import Mapping

from oriolegauge.forwarding.callerrequest import CallerRequest
from oriolegauge.forwarding.headernames import HeaderNames


def explained_request(
    query: Mapping[str, str], key: str, *, names: HeaderNames, now: float
) -> CallerRequest:
    """Return the request that `query` describes, with the caller key.

    The query names `host`, `path`, `bounds` (tokens of the prompt and of the
    output), `parts` and `deadline_ms`; the request lacks those left out.
    """
    headers = {
        'Host': query.get('host', ''),
        names.caller_key: key,
        names.token_bounds: query.get('bounds', ''),
        names.prompt_parts: query.get('parts', ''),
        names.deadline_ms: query.get('deadline_ms', ''),
    }
    return CallerRequest(
        method=b'POST',
        target=query.get('path', '/').encode(),
        headers=[
            (name.encode(), text.encode('latin-1', 'replace'))
            for name, text in headers.items()
            if text
        ],
        body=b'',
        received_at=now,
    )
