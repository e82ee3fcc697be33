"""Versions of new streams, derived again from the history."""

from hypothesis import given
from hypothesis import strategies as st

from oriolegauge.routing.versionhistory import (
    MAX_NODES,
    MIN_REWEIGHT_S,
    RETENTION_S,
    VersionHistory,
)

MAX_AGE_S = 20.0
ATTEMPTS = [f'{number:016x}' for number in range(400)]


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def possible(history, attempt, max_age_s=MAX_AGE_S, since_number=10**9):
    return history.possible_versions(
        'svc', attempt, max_age_s=max_age_s, since_number=since_number
    )


def history_of(clock, *counts):
    history = VersionHistory(clock)
    for one in counts:
        history.adopt(history.proposal({'svc': one}))
    return history


class TestPlacement:
    def test_all_daemons_place_a_stream_at_the_same_version(self):
        clock = Clock()
        first = history_of(clock, {'v1': 3, 'v2': 3})
        second = history_of(clock, {'v2': 3, 'v1': 3})
        for attempt in ATTEMPTS:
            assert first.present.version_for(
                'svc', attempt
            ) == second.present.version_for('svc', attempt)

    def test_versions_get_streams_by_their_servers(self):
        """Guards against a lone new server that gets half of all streams."""
        history = history_of(Clock(), {'v1': 9, 'v2': 1})
        placed = [history.present.version_for('svc', one) for one in ATTEMPTS]
        assert 0.05 < placed.count('v2') / len(placed) < 0.16

    def test_large_services_need_few_hashes(self):
        history = history_of(Clock(), {'v1': 700, 'v2': 2})
        weights = history.present.weights['svc']
        assert weights['v2'] == 1
        assert sum(weights.values()) <= MAX_NODES + 1

    def test_added_version_takes_streams_from_others_only_for_itself(self):
        """Guards against streams that move between versions that stay."""
        history = history_of(
            Clock(), {'v1': 3, 'v2': 3}, {'v1': 3, 'v2': 3, 'v3': 3}
        )
        before, after = history.periods
        for attempt in ATTEMPTS:
            now = after.version_for('svc', attempt)
            assert now in {'v3', before.version_for('svc', attempt)}


class TestProposal:
    def test_nothing_is_proposed_while_the_versions_stay(self):
        """Guards against a write for each server that comes and goes."""
        clock = Clock()
        history = history_of(clock, {'v1': 6})
        for count in (5, 6, 3, 40):
            clock.now += 60
            assert history.proposal({'svc': {'v1': count}}) == history.periods

    def test_service_without_servers_keeps_its_versions(self):
        """Guards against streams that lose their version in an outage."""
        history = history_of(Clock(), {'v1': 3, 'v2': 3})
        assert history.proposal({'svc': {}}) == history.periods
        assert history.proposal({}) == history.periods

    def test_weights_follow_a_rolling_release_slowly(self):
        clock = Clock()
        history = history_of(clock, {'v1': 6}, {'v1': 5, 'v2': 1})
        clock.now += MIN_REWEIGHT_S / 2
        rolled = {'svc': {'v1': 2, 'v2': 4}}
        assert history.proposal(rolled) == history.periods
        clock.now += MIN_REWEIGHT_S
        assert history.adopt(history.proposal(rolled))
        assert history.present.weights['svc'] == {'v1': 2, 'v2': 4}
        clock.now += MIN_REWEIGHT_S * 2
        slightly = {'svc': {'v1': 2, 'v2': 3}}
        assert history.proposal(slightly) == history.periods


class TestPossibleVersions:
    def test_stream_of_a_long_period_is_certain(self):
        clock = Clock()
        history = history_of(clock, {'v1': 6}, {'v1': 3, 'v2': 3})
        clock.now += MAX_AGE_S + 1
        for attempt in ATTEMPTS:
            placed = history.present.version_for('svc', attempt)
            assert possible(history, attempt) == {placed}

    def test_change_of_versions_leaves_moved_streams_ambiguous(self):
        """Guards against a join of streams that began before a release."""
        clock = Clock()
        history = history_of(clock, {'v1': 6}, {'v2': 6})
        clock.now += MAX_AGE_S - 1
        assert possible(history, ATTEMPTS[0]) == {'v1', 'v2'}
        clock.now += 2
        assert possible(history, ATTEMPTS[0]) == {'v2'}

    def test_stream_of_an_unknown_attempt_may_have_any_version(self):
        clock = Clock()
        history = history_of(clock, {'v1': 3, 'v2': 3})
        clock.now += MAX_AGE_S * 2
        assert possible(history, None) == {'v1', 'v2'}

    def test_period_that_a_peer_still_uses_counts_whatever_its_age(self):
        """Guards against a daemon that was cut off during a release."""
        clock = Clock()
        history = history_of(clock, {'v1': 6}, {'v2': 6})
        clock.now += MAX_AGE_S * 10
        assert possible(history, ATTEMPTS[0], since_number=1) == {'v1', 'v2'}

    def test_old_periods_are_dropped(self):
        clock = Clock()
        history = history_of(clock, {'v1': 6}, {'v2': 6})
        clock.now += RETENTION_S + 1
        assert len(history.periods) == 1

    @given(
        st.lists(
            st.tuples(
                st.dictionaries(
                    st.sampled_from(['v1', 'v2', 'v3']),
                    st.integers(1, 6),
                    min_size=1,
                ),
                st.floats(0, 30),
                st.integers(0, 399),
            ),
            min_size=1,
            max_size=12,
        ),
        st.floats(0, MAX_AGE_S),
    )
    def test_version_that_began_a_stream_is_always_among_the_possible(
        self, steps, age_s
    ):
        """Guards against a wrong version over any sequence of changes."""
        clock = Clock()
        history = VersionHistory(clock)
        begun = []
        for counts, pause_s, number in steps:
            history.adopt(history.proposal({'svc': counts}))
            attempt = ATTEMPTS[number]
            placed = history.present.version_for('svc', attempt)
            begun.append((clock.now, attempt, placed))
            clock.now += pause_s
        clock.now += age_s
        for at, attempt, placed in begun:
            if clock.now - at <= MAX_AGE_S:
                assert placed in possible(history, attempt)


class TestAdopt:
    def test_newer_history_of_a_peer_replaces_the_own(self):
        clock = Clock()
        leader = history_of(clock, {'v1': 6}, {'v1': 3, 'v2': 3})
        follower = history_of(clock, {'v1': 6})
        assert follower.adopt(leader.periods)
        assert follower.periods == leader.periods
        assert not follower.adopt(leader.periods)
        assert not leader.adopt(follower.periods[:1])

    def test_period_that_the_newer_history_lacks_is_kept(self):
        """Guards against streams of a daemon that knew more than the store."""
        clock = Clock()
        history = history_of(clock, {'v1': 6}, {'v2': 6})
        restored = history_of(clock, {'v1': 6}, {'v3': 6}, {'v1': 6})
        assert history.adopt(restored.periods)
        assert possible(history, ATTEMPTS[0]) == {'v1', 'v2', 'v3'}

    def test_two_histories_of_one_length_lead_to_the_same(self):
        """Guards against daemons that differ after a restore of the store."""
        clock = Clock()
        one = history_of(clock, {'v1': 6}, {'v2': 6})
        other = history_of(clock, {'v1': 6}, {'v3': 6})
        mine, theirs = one.periods, other.periods
        one.adopt(theirs)
        other.adopt(mine)
        assert one.present == other.present
        assert possible(one, ATTEMPTS[0]) == {'v1', 'v2', 'v3'}
        assert possible(other, ATTEMPTS[0]) == {'v1', 'v2', 'v3'}
