"""Grammar of the requests that callers put on a connection, right and wrong."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from hypothesis import strategies as st

from .world import KEY

# How the forwarder has to treat a request. One that is denied has no route; one
# that is refused is malformed, and ends the connection.
Fate = Enum('Fate', ['SERVED', 'DENIED', 'REFUSED'])

_INNER = (
    b'POST /once/inner HTTP/1.1\r\nHost: host.example\r\n'
    b'X-Request-Id: never-sent\r\nX-Api-Key: %b\r\n'
    b'Content-Length: 2\r\n\r\n{}' % KEY.encode()
)
_OFFERS = (
    b'',
    b'Connection: Upgrade\r\nUpgrade: h2c\r\n',
    b'Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n',
)
_EXTRAS = (
    (b'', Fate.SERVED),
    (b'Expect: 100-continue\r\n', Fate.SERVED),
    (b'Trailer: X-Late\r\nTE: trailers\r\n', Fate.SERVED),
    (b'X-Folded: a\r\n b\r\n', Fate.REFUSED),
    (b'X-Space : a\r\n', Fate.REFUSED),
    (b'X-Bare: a\n', Fate.REFUSED),
    (b'Host: second.example\r\n', Fate.REFUSED),
)
_BAD_LENGTHS = (b'+3', b'0x3', b'3, 4', b'-1', b'3 3', b'')
_BAD_CODINGS = (b'gzip', b'chunked, identity', b'chunked, chunked', b'xchunked')
_METHODS = (b'GET', b'POST', b'PUT', b'DELETE', b'HEAD', b'OPTIONS')


@dataclass(frozen=True)
class Message:
    """Hold the bytes of a request, and what a server may get of it."""

    raw: bytes
    method: bytes
    path: bytes
    body: bytes
    fate: Fate
    form: str


def _chunks(body: bytes, sizes: Iterable[int], *, with_trailer: bool) -> bytes:
    coded, position = b'', 0
    for number, size in enumerate(sizes):
        part = body[position : position + size]
        position += size
        if part:
            extension = b';a="b"' if number % 2 else b''
            coded += b'%x%b\r\n%b\r\n' % (len(part), extension, part)
    rest = body[position:]
    if rest:
        coded += b'%X\r\n%b\r\n' % (len(rest), rest)
    trailer = b'X-Late: Content-Length: 9\r\n' if with_trailer else b''
    return coded + b'0\r\n' + trailer + b'\r\n'


@st.composite
def bodies(draw) -> bytes:
    """Draw a body, some of which read like a request."""
    return draw(
        st.one_of(
            st.just(_INNER),
            st.just(b'\r\n' + _INNER),
            st.just(b'0\r\n\r\n' + _INNER),
            st.binary(min_size=1, max_size=40),
        )
    )


@st.composite
def framings(draw) -> tuple[bytes, bytes, bytes, Fate, str]:
    """Draw header lines, coded body, plain body, fate and name of the form."""
    body = draw(bodies())
    length = b'Content-Length: %d\r\n' % len(body)
    chunked = b'Transfer-Encoding: chunked\r\n'
    coded = _chunks(
        body,
        draw(st.lists(st.integers(1, 9), max_size=4)),
        with_trailer=draw(st.booleans()),
    )
    match draw(st.integers(0, 9)):
        case 0:
            return b'', b'', b'', Fate.SERVED, 'no body'
        case 1 | 2 | 3:
            return length, body, body, Fate.SERVED, 'length'
        case 4 | 5 | 6:
            return chunked, coded, body, Fate.SERVED, 'chunks'
        case 7:
            lines = draw(st.permutations([length, chunked]))
            return b''.join(lines), coded, b'', Fate.REFUSED, 'both'
        case 8:
            text = draw(st.sampled_from(_BAD_LENGTHS))
            line = b'Content-Length: %b\r\n' % text
            return line, body, b'', Fate.REFUSED, 'bad length'
        case _:
            text = draw(st.sampled_from(_BAD_CODINGS))
            line = b'Transfer-Encoding: %b\r\n' % text
            return line, coded, b'', Fate.REFUSED, 'bad coding'


@st.composite
def messages(draw, number: int) -> Message:
    """Draw a request; its path names the number."""
    lines, coded, body, fate, form = draw(framings())
    offer = draw(st.sampled_from(_OFFERS))
    extra, extra_fate = draw(
        st.one_of(st.just(_EXTRAS[0]), st.sampled_from(_EXTRAS))
    )
    method = draw(st.sampled_from(_METHODS))
    is_tunnel = draw(st.integers(0, 14)) == 0
    has_route = draw(st.integers(0, 5)) > 0
    path = b'/%b/%d' % (b'safe' if has_route else b'nowhere', number)
    if is_tunnel:
        method, fate, form = b'CONNECT', Fate.REFUSED, 'connect'
    elif extra_fate is Fate.REFUSED and fate is Fate.SERVED:
        fate, form = Fate.REFUSED, 'bad header'
    elif fate is Fate.SERVED and not has_route:
        fate, form = Fate.DENIED, f'{form}, no route'
    own = [
        b'Host: host.example\r\n',
        b'X-Request-Id: r%d\r\n' % number,
        b'X-Api-Key: %b\r\n' % KEY.encode(),
    ]
    head = b''.join(draw(st.permutations([*own, lines, offer, extra])))
    raw = b'%b %b HTTP/1.1\r\n%b\r\n%b' % (method, path, head, coded)
    if offer and fate is not Fate.REFUSED:
        form += ', offer'
    return Message(raw, method, path, body, fate, form)


@st.composite
def connections(draw) -> tuple[list[Message], list[int]]:
    """Draw pipelined requests, and the sizes of the packets they come in."""
    count = draw(st.integers(1, 4))
    sent = [draw(messages(number)) for number in range(count)]
    sizes = draw(st.lists(st.integers(1, 200), min_size=1, max_size=6))
    return sent, sizes
