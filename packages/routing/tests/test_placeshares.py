"""Parts of servers' slots that daemons may use without asking each other."""

import pytest

from oriolegauge.routing.placeshares import (
    MIN_PART,
    PART_OF_UNKNOWN,
    READ_PERIOD_S,
    PlaceShares,
    parts_of,
)


def names(count):
    return [f'10.0.0.{number}:7000' for number in range(count)]


class TestParts:
    @pytest.mark.parametrize(
        ('daemons', 'slots'),
        [(1, 5), (4, 6), (8, 6), (6, 128), (64, 24), (65, 6), (700, 1)],
    )
    def test_parts_sum_up_to_the_slots(self, daemons, slots):
        """Guards against rejections by daemons that each keep to their part."""
        holders = names(daemons)
        for server in ('a', 'b'):
            parts = parts_of(server, slots, holders)
            assert sum(parts.values()) == slots
            assert set(parts) <= set(holders)
            assert max(parts.values()) - min(parts.values()) <= 1
            assert min(parts.values()) >= min(slots, MIN_PART) or daemons > 2

    def test_parts_are_equal_on_all_daemons(self):
        """Guards against parts that depend on the order of a set."""
        holders = names(64)
        assert parts_of('a', 24, holders) == parts_of('a', 24, holders[::-1])

    def test_daemons_have_parts_of_different_servers(self):
        """Guards against daemons without a place at any of many servers."""
        parts = [parts_of(f's{n}', 24, names(64)) for n in range(90)]
        sums = [
            sum(one.get(holder, 0) for one in parts) for holder in names(64)
        ]
        # The mean is 33.75.
        assert min(sums) >= 9

    def test_another_daemon_moves_few_places(self):
        """Guards against a change of the fleet that moves all places."""
        before = parts_of('a', 24, names(64))
        after = parts_of('a', 24, names(65))
        moved = sum(abs(after.get(one, 0) - before[one]) for one in before)
        assert moved <= MIN_PART


class TestKnownDaemons:
    def test_daemon_that_knows_no_other_sends_one_at_a_time(self):
        """Guards against all slots taken by each of many started daemons."""
        shares = PlaceShares('a', lambda: (), lambda: 0.0)
        assert shares.part('s', 24) == PART_OF_UNKNOWN

    def test_parts_follow_the_list(self):
        """Guards against parts of daemons that are gone, or have come."""
        holders, now = ['a'], 0.0
        shares = PlaceShares('a', lambda: holders, lambda: now)
        assert shares.part('s', 24) == 24
        holders = ['a', 'b']
        now += READ_PERIOD_S
        assert shares.part('s', 24) == 12
