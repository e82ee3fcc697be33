"""Belief that a host reaches no server of a service."""

import pytest

from oriolegauge.routing.servicereach import (
    BELIEF_S,
    TEST_PERIOD_S,
    ServiceReach,
)


class Host:
    def __init__(self, servers):
        self.now = 100.0
        self.servers = servers
        self.changes = 0
        self.reach = ServiceReach(
            clock=lambda: self.now,
            servers_of=lambda service: self.servers if service == 'svc' else [],
            on_change=self.count_change,
        )

    def count_change(self):
        self.changes += 1

    def fail(self, *servers):
        for server in servers:
            self.reach.note_failed('svc', server)


class TestServiceReach:
    @pytest.mark.parametrize('known', [1, 2, 3, 40])
    def test_service_is_lost_once_enough_servers_failed(self, known):
        """Guards against requests that each search for a server again."""
        servers = [f's{number}' for number in range(known)]
        host = Host(servers)
        enough = min(3, known)
        host.fail(*servers[: enough - 1])
        assert not host.reach.is_lost('svc')
        host.fail(servers[enough - 1])
        assert host.reach.lost_services == ('svc',)
        assert host.changes == 1

    def test_one_silent_server_loses_no_service(self):
        """Guards against detours for a server that is silent for a second."""
        host = Host(['s0', 's1', 's2'])
        for _ in range(10):
            host.fail('s0')
        assert not host.reach.is_lost('svc')

    def test_answer_ends_the_belief(self):
        """Guards against detours after the end of a cut."""
        host = Host(['s0'])
        host.fail('s0')
        host.reach.note_reached('svc')
        assert not host.reach.is_lost('svc')
        assert host.changes == 2

    def test_belief_ends_without_further_failures(self):
        """Guards against a belief that no request renews or ends."""
        host = Host(['s0'])
        host.fail('s0')
        host.now += BELIEF_S + 0.1
        assert not host.reach.lost_services

    def test_failures_far_apart_do_not_add_up(self):
        """Guards against servers that were replaced one after the other."""
        host = Host(['s0', 's1', 's2'])
        for server in host.servers:
            host.fail(server)
            host.now += BELIEF_S + 0.1
        assert not host.reach.lost_services

    def test_servers_that_left_count_no_more(self):
        """Guards against a belief about servers that no request goes to."""
        host = Host(['s0', 's1'])
        host.fail('s0', 's1')
        host.servers = ['s2', 's3']
        assert not host.reach.is_lost('svc')

    def test_tests_are_rare(self):
        """Guards against a connection to a server for each request."""
        host = Host(['s0'])
        host.fail('s0')
        assert host.reach.take_test('svc')
        assert not host.reach.take_test('svc')
        host.now += TEST_PERIOD_S + 0.01
        assert host.reach.take_test('svc')
        assert not host.reach.take_test('other')
