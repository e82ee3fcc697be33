"""Request rates that servers name in their replies, and reports of peers."""

import math

import pytest

from oriolegauge.forwarding.leavinginstances import (
    UNLISTED_RETENTION_S,
    ServerInstance,
)
from oriolegauge.forwarding.serverlimits import (
    ReportedLimit,
    ServerLimits,
    parse_rate,
)
from oriolegauge.routing.coldservers import (
    ColdServers,
    ColdTerms,
    ServerEntry,
)

from .world import ScriptedServer, World, reply

SERVER = ServerInstance('s0', 1)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


class Daemon:
    """The limits that one daemon knows, and the changes of them."""

    def __init__(self, clock):
        self.changed = []
        self.limits = ServerLimits(clock, self.changed.append)

    def hear_from(self, other):
        self.limits.learn(other.limits.all(), 'peer')


class TestParseRate:
    @pytest.mark.parametrize(
        ('text', 'per_s'),
        [('1', 1), ('0.25', 0.25), ('12.50', 12.5), ('0', 0)],
    )
    def test_decimal_numbers_are_rates(self, text, per_s):
        assert math.isclose(parse_rate(text), per_s)

    @pytest.mark.parametrize('text', ['', 'x', '-1', 'nan', 'inf', '1,5', '1;'])
    def test_other_texts_are_ignored(self, text):
        """Guards against a limit that is no number."""
        assert parse_rate(text) is None


class TestServerLimits:
    def test_reply_to_an_earlier_request_does_not_end_a_limit(self):
        """Guards against a burst when answers cross."""
        daemon = Daemon(Clock())
        sent_before = daemon.limits.mark(SERVER)
        daemon.limits.note(SERVER, 2)
        sent_after = daemon.limits.mark(SERVER)
        daemon.limits.note_unlimited(SERVER, sent_before)
        assert daemon.limits.per_s(SERVER) == 2
        daemon.limits.note_unlimited(SERVER, sent_after)
        assert daemon.limits.per_s(SERVER) is None
        assert daemon.changed == ['s0', 's0']

    def test_latest_reply_counts_in_the_whole_fleet(self):
        """Guards against a limit that only one daemon knows or has ended."""
        clock = Clock()
        first, second = Daemon(clock), Daemon(clock)
        first.limits.note(SERVER, 2)
        second.hear_from(first)
        assert second.limits.per_s(SERVER) == 2
        clock.now += 1
        second.limits.note_unlimited(SERVER, second.limits.mark(SERVER))
        second.hear_from(first)
        first.hear_from(second)
        assert first.limits.per_s(SERVER) is None
        assert second.limits.per_s(SERVER) is None

    def test_own_news_that_peers_repeat_does_not_keep_a_limit(self):
        """Guards against a limit that heartbeats renew for ever."""
        clock = Clock()
        daemon = Daemon(clock)
        daemon.limits.note(SERVER, 2)
        mark = daemon.limits.mark(SERVER)
        clock.now += 1
        daemon.limits.learn([ReportedLimit(SERVER, 2, 0.99)], 'peer')
        daemon.limits.note_unlimited(SERVER, mark)
        assert daemon.limits.per_s(SERVER) is None

    def test_restarted_server_has_no_limit(self):
        daemon = Daemon(Clock())
        daemon.limits.note(SERVER, 2)
        assert daemon.limits.per_s(ServerInstance('s0', 2)) is None

    def test_servers_that_are_gone_are_forgotten(self):
        """Guards against memory that grows with the servers that have left."""
        clock = Clock()
        daemon = Daemon(clock)
        daemon.limits.note(SERVER, 2)
        clock.now += UNLISTED_RETENTION_S
        daemon.limits.keep({SERVER})
        assert daemon.limits.is_any_limited
        daemon.limits.keep(())
        assert not daemon.limits.is_any_limited


async def limited(seen, writer):
    writer.write(reply(seen, X_Server_Rate_Limit='1.5'))


def cold(text):
    async def script(seen, writer):
        writer.write(reply(seen, X_Cold_Ms=text))

    return script


async def malformed(seen, writer):
    writer.write(reply(seen, X_Server_Rate_Limit='some'))


class TestReplies:
    async def test_any_reply_can_name_a_limit(self):
        async with World(ScriptedServer(limited)) as world:
            answer = await world.call('/safe/x')
            assert answer.first_line.split()[1] == '200'
            server = world.directory.of_service('svc')[0]
            named = world.limits_named.per_s(server.server_instance)
            assert math.isclose(named, 1.5)

    async def test_malformed_limit_fails_no_request(self):
        async with World(ScriptedServer(malformed)) as world:
            answer = await world.call('/safe/x')
            assert answer.first_line.split()[1] == '200'
            assert not world.limits_named.is_any_limited

    @pytest.mark.parametrize(
        ('text', 'is_cold'),
        [
            ('5000', True),
            ('0', False),
            ('-1', False),
            ('x', False),
            ('nan', False),
            ('600001', False),
        ],
    )
    async def test_any_reply_can_tell_a_cold_time(self, text, is_cold):
        """Guards against a cold time that only the list of servers tells."""
        known = ColdServers(lambda _: None)
        async with World(
            ScriptedServer(cold(text)), cold_servers=known
        ) as world:
            server = world.directory.of_service('svc')[0].server_instance
            known.set_terms({'svc': ColdTerms(3, 11)}, 0)
            entry = ServerEntry(
                server=server, service='svc', left_s=0, age_s=1e6
            )
            known.note_entries([entry], world.now())
            answer = await world.call('/safe/x')
            assert answer.first_line.split()[1] == '200'
            assert world.limits_named.is_cold(server) == is_cold
