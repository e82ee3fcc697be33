"""Headers that are passed on between callers and servers."""

from collections.abc import Iterable

from oriolegauge.forwarding.callerrequest import Headers

# Concern one connection only (RFC 9110, section 7.6.1), or are set anew.
_OF_ONE_CONNECTION = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def end_to_end(
    headers: Headers, dropped: Iterable[str] = (), kept: Iterable[str] = ()
) -> list[tuple[bytes, bytes]]:
    """Return the headers to pass on.

    A `Connection` header names further ones to drop, but never those `kept`.
    """
    out = {name.lower().encode() for name in dropped} | _OF_ONE_CONNECTION
    never = {name.lower().encode() for name in kept} | {b'host'}
    for name, content in headers:
        if name.lower() == b'connection':
            listed = {token.strip().lower() for token in content.split(b',')}
            out |= listed - never
    return [entry for entry in headers if entry[0].lower() not in out]
