"""Attribution of crashes to prompt parts and whole requests."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolegauge.routing.crashquarantine import CRASH_MEMORY_S
from oriolegauge.routing.crashsuspects import (
    HOLD_S,
    MAX_CRASHES,
    MAX_SUSPECTS,
    SAME_CAUSE_S,
    TURN_S,
    CrashSuspects,
    ServerCrash,
)


class Daemon:
    """One daemon with a clock that tests advance."""

    def __init__(self, rank=0, fleet=1):
        self.now = 100.0
        self.changes = 0
        self.suspects = CrashSuspects(
            clock=lambda: self.now,
            has_turn=lambda number: number % fleet == rank,
            on_change=self._count_change,
        )

    def _count_change(self):
        self.changes += 1

    def crash(self, server, *fingerprints, after=1.0):
        self.now += after
        self.suspects.note((server, 1), frozenset(fingerprints))

    def is_held(self, *fingerprints):
        return self.suspects.held(frozenset(fingerprints)) is not None

    def answered(self, *fingerprints):
        self.suspects.note_harmless(frozenset(fingerprints))


class TestCrashSuspects:
    def test_part_of_two_crashes_is_held(self):
        """Guards against requests that crash server after server."""
        daemon = Daemon()
        daemon.crash('s1', 'first', 'deadly', 'x')
        assert not daemon.is_held('first', 'deadly', 'y')
        daemon.answered('first', 'z')
        daemon.crash('s2', 'first', 'deadly', 'y')
        daemon.answered('first', 'z')
        assert daemon.is_held('first', 'deadly', 'w')
        assert not daemon.is_held('first', 'z')

    def test_requests_with_some_of_the_suspects_pass(self):
        """Guards against refusing sound requests that share a part."""
        daemon = Daemon()
        daemon.crash('s1', 'first', 'deadly', 'x')
        daemon.crash('s2', 'first', 'deadly', 'y')
        assert daemon.is_held('first', 'deadly', 'z')
        assert not daemon.is_held('first', 'z')

    def test_requests_that_move_together_are_held(self):
        """Guards against suspects that crash one server after the other.

        Found on kyklos-episkevi: four requests were sent to the same servers in
        turn, and none had the fingerprints of all.
        """
        daemon = Daemon()
        for server in ('s1', 's2'):
            daemon.crash(
                server, 'deadly', 'sound', 'request:a', 'request:b', 'request:c'
            )
        assert daemon.is_held('deadly', 'request:a')
        assert daemon.is_held('deadly', 'request:b')
        assert daemon.is_held('sound', 'request:c')
        assert not daemon.is_held('sound', 'request:d')

    def test_request_with_the_deadly_part_alone_tells_it_from_the_others(self):
        """Guards against a harmful part that hides among its companions."""
        daemon = Daemon()
        daemon.crash('s1', 'first', 'deadly')
        daemon.crash('s2', 'first', 'deadly')
        daemon.crash('s3', 'other', 'deadly')
        assert daemon.is_held('third', 'deadly')
        assert not daemon.is_held('first', 'x')

    def test_companion_of_an_explained_crash_is_no_suspect(self):
        """Guards against sound requests that ran beside harmful ones."""
        daemon = Daemon()
        for number in range(4):
            companion = 'unlucky' if number < 2 else f'c{number}'
            daemon.crash(f's{number}', 'deadly', companion)
        assert daemon.is_held('deadly')
        assert not daemon.is_held('unlucky')

    def test_servers_that_crash_at_once_share_another_cause(self):
        """Guards against blaming requests for the loss of a rack."""
        daemon = Daemon()
        for number in range(5):
            daemon.crash(f's{number}', 'popular', after=SAME_CAUSE_S / 10)
        assert not daemon.is_held('popular')

    def test_request_sent_again_counts_twice(self):
        """Guards against a repeated request that crashes two servers."""
        daemon = Daemon()
        daemon.crash('s1', 'request:1', 'deadly')
        daemon.crash('s2', 'request:1', 'deadly', after=SAME_CAUSE_S / 10)
        assert daemon.is_held('request:1', 'deadly')

    def test_reports_of_several_daemons_are_one_crash(self):
        """Guards against counting a crash once per daemon."""
        daemon = Daemon()
        for _ in range(4):
            daemon.crash('s1', 'popular')
        assert not daemon.is_held('popular')

    def test_part_is_tried_after_the_hold(self):
        """Guards against a sound part that is refused for good."""
        daemon = Daemon()
        daemon.crash('s1', 'part')
        daemon.crash('s2', 'part')
        assert daemon.is_held('part')
        daemon.now += HOLD_S[2]
        assert not daemon.is_held('part')
        assert daemon.is_held('part')
        daemon.now += TURN_S
        assert not daemon.is_held('part')
        daemon.answered('part')
        assert not daemon.is_held('part')

    def test_daemons_of_a_fleet_take_turns(self):
        """Guards against a trial of each daemon at the same time."""
        fleet = [Daemon(rank, fleet=100) for rank in range(100)]
        tried = []
        for daemon in fleet:
            daemon.crash('s1', 'deadly')
            daemon.crash('s2', 'deadly')
            daemon.now += HOLD_S[2]
            tried.append(not daemon.is_held('deadly'))
        assert sum(tried) == 1

    def test_five_crashes_at_few_moments_are_held_longest_before_a_trial(self):
        """Guards against trials soon after a storm of crashes."""
        daemon = Daemon()
        for number in range(3):
            daemon.crash(f's{number}', 'deadly', after=1)
            daemon.crash(f't{number}', 'deadly', after=SAME_CAUSE_S / 10)
        daemon.now += HOLD_S[4] - 0.1
        assert daemon.is_held('deadly')
        daemon.now += 0.2
        assert not daemon.is_held('deadly')

    def test_part_is_not_tried_after_five_crashes(self):
        """Guards against trials that crash servers without end."""
        daemon = Daemon()
        for number in range(5):
            daemon.crash(f's{number}', 'deadly')
        daemon.now += CRASH_MEMORY_S - 10
        assert daemon.is_held('deadly')
        daemon.now += 10
        assert not daemon.is_held('deadly')
        assert daemon.suspects.is_empty

    def test_hold_ends_with_an_answer_on_another_daemon(self):
        """Guards against a hold that one daemon keeps up by itself."""
        here, there = Daemon(), Daemon()
        for daemon in (here, there):
            daemon.crash('s1', 'part')
            daemon.crash('s2', 'part')
        there.answered('part')
        assert here.is_held('part')
        here.suspects.learn(there.suspects.all())
        assert not here.is_held('part')

    def test_new_daemon_learns_from_a_report(self):
        """Guards against a restarted daemon that sends the part again."""
        old, new = Daemon(), Daemon()
        old.crash('s1', 'deadly', 'x')
        old.crash('s2', 'deadly', 'y')
        new.suspects.learn(old.suspects.all())
        assert new.is_held('deadly')
        assert new.changes

    def test_known_report_changes_nothing(self):
        """Guards against heartbeats that answer each other without end."""
        one, other = Daemon(), Daemon()
        one.crash('s1', 'deadly', 'x')
        other.suspects.learn(one.suspects.all())
        changes = other.changes
        other.suspects.learn(one.suspects.all())
        one.suspects.learn(other.suspects.all())
        assert (one.changes, other.changes) == (1, changes)

    def test_reports_of_peers_are_bounded(self):
        """Guards against memory that grows with reports."""
        daemon = Daemon()
        daemon.suspects.learn(
            ServerCrash(
                f's{number}',
                number,
                number,
                frozenset(f'{number}/{fp}' for fp in range(600)),
            )
            for number in range(300)
        )
        crashes = daemon.suspects.all()
        assert len(crashes) <= MAX_CRASHES
        assert all(len(crash.suspects) <= MAX_SUSPECTS for crash in crashes)


CRASHES = st.lists(
    st.builds(
        ServerCrash,
        server=st.sampled_from(['s1', 's2', 's3', 's4']),
        started_ms=st.just(1),
        age_s=st.sampled_from([0.0, 0.1, 1.0, 5.0, 20.0]),
        suspects=st.frozensets(st.sampled_from('abcde'), min_size=1),
        cleared=st.frozensets(st.sampled_from('abcde'), max_size=2),
    ),
    max_size=8,
)


class TestReportOrder:
    @given(crashes=CRASHES, seed=st.integers(0, 1000))
    @settings(max_examples=60, deadline=None)
    def test_daemons_with_the_same_reports_agree(self, crashes, seed):
        """Guards against verdicts that depend on the order of the news."""
        one, other = Daemon(), Daemon()
        one.suspects.learn(crashes)
        shuffled = crashes * 2
        random.Random(seed).shuffle(shuffled)
        other.suspects.learn(shuffled)
        for fingerprint in 'abcde':
            assert one.is_held(*fingerprint) == other.is_held(*fingerprint)
        assert one.is_held(*'abcde') == other.is_held(*'abcde')
