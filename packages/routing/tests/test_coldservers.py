"""Cold times of servers, as one daemon derives them."""

import pytest
import structlog

from oriolegauge.routing.coldservers import (
    CLOCK_MARGIN_S,
    UNLISTED_RETENTION_S,
    ColdServers,
    ColdTerms,
    ServerEntry,
)
from oriolegauge.routing.ratepermits import TRIAL_PER_S

TERMS = {'svc': ColdTerms(cold_s=3, per_s=11)}
OLD_S = 3 + CLOCK_MARGIN_S + 1


def cold_servers(terms=TERMS):
    servers = ColdServers(lambda _: None)
    servers.set_terms(terms, 0)
    return servers


def entry(server='s0', left_s=0, age_s=0.0):
    return ServerEntry(server=server, service='svc', left_s=left_s, age_s=age_s)


class TestColdTime:
    def test_started_server_is_cold_for_the_time_of_its_service(self):
        """Guards against full load on a server that has just started."""
        servers = cold_servers()
        servers.note_entries([entry()], 100)
        assert servers.per_s('s0', 102.9) == 11
        assert servers.per_s('s0', 103) is None

    def test_longest_of_entry_and_reply_counts(self):
        """Guards against a stale entry that shortens a cold time."""
        servers = cold_servers()
        servers.note_entries([entry(left_s=6)], 100)
        servers.note_reply('s0', 8, 101)
        servers.note_reply('s0', 0, 102)
        servers.note_entries([entry(left_s=0)], 103)
        assert servers.per_s('s0', 108.9) == 11
        assert servers.per_s('s0', 109) is None

    def test_cold_time_that_rises_again_counts(self):
        """Guards against full load on a server that became cold later."""
        servers = cold_servers()
        servers.note_entries([entry(age_s=OLD_S)], 100)
        assert servers.per_s('s0', 100) is None
        servers.note_entries([entry(left_s=2)], 200)
        assert servers.per_s('s0', 201.9) == 11

    def test_unchanged_entry_does_not_extend_the_time(self):
        """Guards against a server that stays cold while the list changes."""
        servers = cold_servers()
        for now in range(100, 120):
            servers.note_entries([entry(left_s=4)], now)
        assert servers.per_s('s0', 119) is None

    @pytest.mark.parametrize(
        ('age_s', 'is_cold'),
        [(OLD_S, False), (3 + CLOCK_MARGIN_S / 2, True), (-60, True)],
    )
    def test_restarted_daemon_takes_the_start_from_the_entry(
        self, age_s, is_cold
    ):
        """Guards against a whole fleet that is cold after a daemon's start."""
        servers = cold_servers()
        servers.note_entries([entry(age_s=age_s)], 100)
        assert (servers.per_s('s0', 101) is not None) == is_cold

    def test_server_with_an_unknown_start_is_cold(self):
        """Guards against full load where the entry names no start."""
        servers = cold_servers()
        servers.note_entries([entry(age_s=None)], 100)
        assert servers.per_s('s0', 101) == 11

    def test_another_process_under_the_name_is_cold(self):
        servers = cold_servers()
        servers.note_entries([entry(('s0', 1))], 100)
        servers.note_entries([entry(('s0', 2))], 200)
        assert servers.per_s(('s0', 1), 201) is None
        assert servers.per_s(('s0', 2), 201) == 11

    def test_servers_of_a_returned_zone_are_cold(self):
        """Guards against full load at the end of an evacuation."""
        servers = cold_servers()
        servers.note_entries([entry(age_s=OLD_S)], 100)
        servers.note_returned(['s0', 'unknown'], 200)
        assert servers.per_s('s0', 202.9) == 11
        assert servers.per_s('s0', 203) is None

    def test_runs_on_without_the_store(self):
        """Guards against a cold time that ends in an outage of the store."""
        servers = cold_servers()
        servers.note_entries([entry(left_s=100)], 0)
        assert servers.per_s('s0', UNLISTED_RETENTION_S + 9) == 11

    def test_config_that_comes_after_the_servers_counts(self):
        """Guards against the order of the first documents."""
        servers = cold_servers({})
        servers.note_entries([entry()], 100)
        assert servers.per_s('s0', 100) is None
        servers.set_terms(TERMS, 101)
        assert servers.per_s('s0', 101) == 11

    def test_servers_long_gone_are_forgotten(self):
        servers = cold_servers()
        servers.note_entries([entry(left_s=600)], 0)
        servers.note_entries([], UNLISTED_RETENTION_S + 1)
        assert not servers.cold(UNLISTED_RETENTION_S + 1)


class TestRate:
    def test_service_without_terms_has_no_cold_servers(self):
        """Guards against new behaviour in earlier deployments."""
        servers = cold_servers({'svc': ColdTerms(0, 0)})
        servers.note_entries([entry(left_s=5)], 0)
        servers.note_reply('s0', 5, 0)
        assert not servers.cold(1)

    def test_smallest_known_rate_stands_for_a_missing_one(self):
        """Guards against an unlimited rate where the named one is invalid."""
        terms = {
            'svc': ColdTerms(3, 0),
            'a': ColdTerms(3, 7),
            'b': ColdTerms(3, 5),
        }
        servers = cold_servers(terms)
        servers.note_entries([entry()], 0)
        assert servers.per_s('s0', 1) == 5
        servers.set_terms({'svc': ColdTerms(3, 0)}, 1)
        assert servers.per_s('s0', 1) == TRIAL_PER_S


class TestReports:
    def test_each_change_is_reported_once(self):
        changed = []
        servers = ColdServers(changed.append)
        servers.set_terms(TERMS, 0)
        with structlog.testing.capture_logs() as logs:
            servers.note_entries([entry()], 0)
            servers.note_entries([entry()], 1)
            servers.expire(2)
            servers.expire(3)
            servers.expire(4)
        assert [row['event'] for row in logs] == ['server cold', 'server warm']
        assert logs[0]['source'] == 'first seen'
        assert changed == ['s0', 's0']
