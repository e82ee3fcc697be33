"""Selection of the headers to forward between callers and servers."""

from collections.abc import Iterable

from oriolegauge.forwarding.callerrequest import Headers

# Hop-by-hop headers (RFC 9110, section 7.6.1), and those that the forwarder
# sets itself.
_HOP_BY_HOP = frozenset(
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
    """Return the headers to forward.

    Headers that a `Connection` header lists are dropped too, but never those
    `kept`.
    """
    dropped_names = {name.lower().encode() for name in dropped} | _HOP_BY_HOP
    kept_names = {name.lower().encode() for name in kept} | {b'host'}
    for name, content in headers:
        if name.lower() == b'connection':
            listed = {token.strip().lower() for token in content.split(b',')}
            dropped_names |= listed - kept_names
    return [entry for entry in headers if entry[0].lower() not in dropped_names]


def answer_headers(
    headers: Headers, *, is_to_head: bool
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a server's reply to pass on to a caller.

    An answer to HEAD keeps the length of the body that GET would bring.
    """
    lengths = [
        entry for entry in headers if entry[0].lower() == b'content-length'
    ]
    return end_to_end(headers) + (lengths if is_to_head else [])
