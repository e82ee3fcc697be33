"""Bytes of callers and servers that are counted on the host's link."""

from oriolegauge.core.errors import NoServerError

from .world import (
    ScriptedServer,
    World,
    chunk,
    event,
    stream_head,
)

EVENTS = 40


async def long_stream(seen, writer):
    writer.write(stream_head(seen))
    for number in range(EVENTS):
        writer.write(chunk(event(number)))
    writer.write(b'0\r\n\r\n')


class CountedTraffic:
    """Record the bytes that a link is told of."""

    def __init__(self, link):
        self.counts = {'received': 0, 'received_answer': 0, 'sent': 0}
        for name in self.counts:
            self._wrap(link, name)

    def _wrap(self, link, name):
        count = getattr(link, name)

        def counted(size):
            self.counts[name] += size
            count(size)

        setattr(link, name, counted)


class TestLinkTraffic:
    async def test_answers_count_in_both_directions(self):
        """Guards against a link that streams fill unseen."""
        async with World(ScriptedServer(long_stream)) as world:
            traffic = CountedTraffic(world.link)
            await world.call('/review/x', body=b'p' * 1000)
        assert traffic.counts['received'] > 1000
        least = EVENTS * len(event(1))
        assert traffic.counts['received_answer'] > least
        assert traffic.counts['sent'] > 1000 + least

    async def test_body_that_is_not_sent_does_not_count_as_sent(self):
        """Guards against refusals for bytes that never leave the host.

        Requests without tokens were counted, so others were refused for them.
        """
        async with World(ScriptedServer()) as world:
            world.budget.error = NoServerError('no tokens', retry_after_s=0.1)
            traffic = CountedTraffic(world.link)
            for number in range(5):
                await world.call(
                    '/chat/x', request_id=f'r{number}', body=b'p' * 9000
                )
        assert traffic.counts['received'] > 5 * 9000
        assert traffic.counts['sent'] < 9000
