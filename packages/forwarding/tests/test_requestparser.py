"""Where requests of callers end, whatever their headers offer."""

import pytest

from oriolegauge.core.bytebudget import ByteBudget
from oriolegauge.forwarding.callerrequest import CallerRequest
from oriolegauge.forwarding.errors import CallerError
from oriolegauge.forwarding.forwardingconfig import CallerLimits
from oriolegauge.forwarding.requestparser import RequestParser

INNER = b'POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}'
NEXT = b'GET /next HTTP/1.1\r\nHost: a\r\n\r\n'
OFFERS = [
    b'Connection: Upgrade\r\nUpgrade: h2c\r\n',
    b'connection: keep-alive, upgrade\r\nupgrade: websocket\r\n',
    b'Upgrade: h2c\r\nConnection: HTTP2-Settings\r\nConnection: upgrade\r\n',
]


class Reader:
    """Collects the requests of a connection."""

    def __init__(self):
        self.requests: list[CallerRequest] = []
        self.parser = RequestParser(
            limits=CallerLimits,
            clock=lambda: 1.0,
            on_request=self.requests.append,
            buffers=ByteBudget(1_000_000),
        )

    def read(self, data, step):
        for start in range(0, len(data), step):
            self.parser.feed(data[start : start + step])
        return [(one.method, one.target, one.body) for one in self.requests]


def framed(body, *, is_chunked):
    if is_chunked:
        return b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n' % (
            len(body),
            body,
        )
    return b'Content-Length: %d\r\n\r\n%b' % (len(body), body)


@pytest.mark.parametrize('step', [1, 7, 60, 10_000])
class TestUpgradeOffers:
    @pytest.mark.parametrize('offer', OFFERS)
    @pytest.mark.parametrize('is_chunked', [False, True])
    def test_body_is_read_by_its_framing(self, offer, is_chunked, step):
        """Guards against a body that is lost, or runs as another request."""
        head = b'POST /x HTTP/1.1\r\nHost: a\r\n' + offer
        data = head + framed(INNER, is_chunked=is_chunked) + NEXT
        assert Reader().read(data, step) == [
            (b'POST', b'/x', INNER),
            (b'GET', b'/next', b''),
        ]

    @pytest.mark.parametrize('offer', OFFERS)
    def test_request_without_a_body_is_whole(self, offer, step):
        """Guards against a request that waits for bytes that never come."""
        reader = Reader()
        head = b'GET /x HTTP/1.1\r\nHost: a\r\n' + offer + b'\r\n'
        assert reader.read(head + NEXT, step) == [
            (b'GET', b'/x', b''),
            (b'GET', b'/next', b''),
        ]
        names = [name.lower() for name, _ in reader.requests[0].headers]
        assert names.count(b'host') == 1
        assert not reader.requests[0].wants_close

    def test_requests_of_one_connection_may_offer_again(self, step):
        """Guards against a parser that is replaced only once."""
        head = b'POST /x HTTP/1.1\r\nHost: a\r\n' + OFFERS[0]
        data = (head + framed(INNER, is_chunked=False)) * 3
        assert Reader().read(data, step) == [(b'POST', b'/x', INNER)] * 3

    def test_close_is_kept(self, step):
        """Guards against a connection that stays open against the request."""
        reader = Reader()
        head = b'GET /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade, close\r\n'
        reader.read(head + b'Upgrade: h2c\r\n\r\n', step)
        assert reader.requests[0].wants_close

    @pytest.mark.parametrize(
        'data',
        [
            b'CONNECT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}',
            b'CONNECT a:443 HTTP/1.1\r\nHost: a\r\n\r\n' + INNER,
            b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        ],
    )
    def test_other_protocols_are_refused(self, data, step):
        """Guards against bytes of a tunnel that run as requests."""
        reader = Reader()
        with pytest.raises(CallerError):
            reader.read(data, step)
        assert not reader.requests
