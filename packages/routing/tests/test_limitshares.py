"""Shares in the limits of servers while they are lent."""

import math

from oriolegauge.routing.limitshares import LimitShares

LEASE_S = 1.5


def part(shares, now, members=4):
    return shares.part(members=members, lease_s=LEASE_S, now=now)


class TestLimitShares:
    def test_share_is_used_at_one_place_at_a_time(self):
        """Guards against a share that two daemons hand out."""
        shares = LimitShares(0)
        assert shares.lend('a', lease_s=LEASE_S, now=10)
        assert part(shares, 11) == 0
        assert not shares.lend('b', lease_s=LEASE_S, now=11)
        assert shares.lend('a', lease_s=LEASE_S, now=11)
        assert not shares.lend('b', lease_s=LEASE_S, now=12)
        assert shares.lend('b', lease_s=LEASE_S, now=12.6)

    def test_new_process_waits_for_the_lease_of_the_earlier_one(self):
        """Guards against a share that is lent again after a restart."""
        shares = LimitShares(100)
        assert part(shares, 101) == 0
        assert not shares.lend('a', lease_s=LEASE_S, now=101)
        assert math.isclose(part(shares, 101.5), 1 / 4)

    def test_share_is_free_at_once_when_its_holder_stops(self):
        """Guards against a pause at each planned stop."""
        shares = LimitShares(0)
        shares.lend('a', lease_s=LEASE_S, now=10)
        shares.take_back('b', 10.1)
        assert part(shares, 10.1) == 0
        shares.take_back('a', 10.1)
        assert shares.lend('b', lease_s=LEASE_S, now=10.1)

    def test_borrowed_shares_add_up_until_they_expire(self):
        """Guards against shares of daemons that are not heard of any more."""
        shares = LimitShares(0)
        shares.borrow('a', 12)
        shares.borrow('b', 14)
        assert math.isclose(part(shares, 11), 3 / 4)
        assert math.isclose(part(shares, 13), 2 / 4)
        assert math.isclose(part(shares, 15), 1 / 4)

    def test_unknown_daemons_that_lend_count_as_members(self):
        """Guards against more than the whole limit."""
        shares = LimitShares(0)
        for name in 'abcdef':
            shares.borrow(name, 12)
        assert part(shares, 11) == 1
