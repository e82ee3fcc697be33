"""Permits for cold servers in a fleet whose daemons lose each other."""

import asyncio
import math
import random
from bisect import bisect_right

import pytest

from oriolegauge.gateway import limitexchange
from oriolegauge.gateway.fleetlayout import FULL_MESH_LEASE_S
from oriolegauge.gateway.limitexchange import (
    COLD_BURST_S,
    SMALL_PART_SAVED_S,
    SMALL_PART_USE,
)
from oriolegauge.routing.ratepermits import RatePermits

from .limitfleet import (
    ALLOWANCE,
    SERVER,
    TOLERATED,
    SimulatedFleet,
    inject_faults,
)

COLD_PER_S = 3.0
COLD_S = 60
SIZE = 16
MOST = TOLERATED * COLD_PER_S + ALLOWANCE
SETTLE_S = FULL_MESH_LEASE_S + 1


async def fleet_with_cold_server():
    fleet = SimulatedFleet(SIZE, COLD_PER_S, cold_s=COLD_S)
    await asyncio.sleep(SETTLE_S)
    fleet.start_server()
    return fleet


def surge(fleet):
    fleet.demand(fleet.daemons, 8)


async def surge_at_separated_daemons():
    """Have all daemons send after a quiet time without links."""
    fleet = await fleet_with_cold_server()
    for number, daemon in enumerate(fleet.daemons.values()):
        daemon.side = number
        await daemon.send()
    await asyncio.sleep(15)
    surge(fleet)
    await asyncio.sleep(6)
    await fleet.stop()
    return fleet.most_in_a_window(window_s=1)


@pytest.mark.looptime
class TestColdServer:
    async def test_bound_holds_with_lost_and_restarted_daemons(self):
        """Guards against more load than a cold server survives."""
        fleet = await fleet_with_cold_server()
        surge(fleet)
        await asyncio.sleep(3)
        for name in ('d003', 'd004', 'd005', 'd006'):
            fleet.daemons[name].side = int(name[1:])
        for name in ('d007', 'd008', 'd009'):
            fleet.add(name)
        await asyncio.sleep(5)
        fleet.daemons['d003'].side = 0
        fleet.daemons['d000'].state = 'dead'
        await asyncio.sleep(8)
        await fleet.stop()
        assert 0 < fleet.most_in_a_window(window_s=1) <= MOST
        assert fleet.rate(SETTLE_S + 1, SETTLE_S + 3) > COLD_PER_S / 2

    async def test_bound_holds_when_all_daemons_have_restarted(self):
        """Guards against a burst after a loss of power."""
        fleet = await fleet_with_cold_server()
        surge(fleet)
        await asyncio.sleep(2)
        for name in list(fleet.daemons):
            fleet.add(name)
        restarted_at = fleet.daemons['d000'].clock()
        await asyncio.sleep(6)
        await fleet.stop()
        assert 0 < fleet.most_in_a_window(restarted_at, 1) <= MOST
        assert fleet.rate(restarted_at, restarted_at + FULL_MESH_LEASE_S) == 0

    @pytest.mark.parametrize('seed', range(1, 9))
    async def test_bound_holds_under_random_faults(self, seed):
        """Guards against shares that two daemons use at the same time."""
        per_s = 11.0
        fleet = SimulatedFleet(10, per_s, cold_s=100)
        await asyncio.sleep(SETTLE_S)
        fleet.start_server()
        fleet.demand(fleet.daemons, 0.4 * per_s)
        await inject_faults(fleet, random.Random(seed), 30)
        await fleet.stop()
        most = fleet.most_in_a_window(window_s=1)
        assert 0 < most <= TOLERATED * per_s + ALLOWANCE

    async def test_separated_daemons_use_no_permits_saved_up(self):
        """Guards against one request of each daemon at the same time."""
        assert await surge_at_separated_daemons() <= MOST

    async def test_saved_permits_would_break_the_bound(self, monkeypatch):
        """Guards against a surge that no fault can fail."""
        monkeypatch.setattr(limitexchange, 'SMALL_PART_SAVED_S', float('inf'))
        assert await surge_at_separated_daemons() > MOST

    async def test_daemon_that_knows_no_members_hands_out_nothing(self):
        """Guards against the whole rate at a daemon that seems to be alone."""
        fleet = SimulatedFleet(1, COLD_PER_S, cold_s=COLD_S)
        fleet.daemons['d000'].is_listed = False
        await asyncio.sleep(SETTLE_S)
        fleet.start_server()
        assert await fleet.daemons['d000'].send() > 0
        fleet.daemons['d000'].is_listed = True
        await asyncio.sleep(1)
        await asyncio.sleep(await fleet.daemons['d000'].send())
        assert await fleet.daemons['d000'].send() == 0
        await fleet.stop()

    async def test_rate_that_the_server_names_does_not_end_the_time(self):
        """Guards against full load after a reply that names no rate."""
        fleet = await fleet_with_cold_server()
        limits = fleet.daemons['d000'].limits
        limits.note(SERVER, 1)
        assert limits.per_s(SERVER) == 1
        limits.note_unlimited(SERVER, limits.mark(SERVER))
        assert limits.per_s(SERVER) == COLD_PER_S
        assert not limits.all()[0].per_s
        await fleet.stop()

    async def test_warm_fleet_sends_no_message_for_it(self):
        """Guards against messages and waits in a fleet of warm servers."""
        fleet = SimulatedFleet(4, COLD_PER_S, cold_s=COLD_S)
        for daemon in fleet.daemons.values():
            daemon.list_server(age_s=10 * COLD_S)
        for _ in range(20):
            for daemon in fleet.daemons.values():
                assert await daemon.send() == 0
            await asyncio.sleep(0.5)
        assert sum(one.messages for one in fleet.daemons.values()) == 0
        await fleet.stop()


def most_of_separated_daemons(seed, *, use, saved_s, daemons=68, per_s=11):
    """Model daemons without links that are busy, rest and are busy again."""
    rng = random.Random(seed)
    sent = []
    for number in range(daemons):
        permits = RatePermits(random.Random(f'{seed} {number}'))
        for begin, end in ((0, 20), (40, 60)):
            now = begin + rng.uniform(0, 0.05)
            while now < end:
                taken = permits.take(
                    's',
                    per_s=per_s / daemons * use,
                    wanted=1,
                    now=now,
                    burst_s=COLD_BURST_S,
                    saved_s=saved_s,
                )
                sent += [now] * taken.count
                now += taken.wait_s + rng.expovariate(20)
    sent.sort()
    return max(
        bisect_right(sent, at + 1) - number for number, at in enumerate(sent)
    )


class TestSeparatedDaemons:
    """The figures that SMALL_PART_USE and SMALL_PART_SAVED_S come from."""

    allowed = TOLERATED * 11 + ALLOWANCE

    def test_small_parts_keep_to_the_bound(self):
        """Guards against turns of many daemons that coincide."""
        most = [
            most_of_separated_daemons(
                seed, use=SMALL_PART_USE, saved_s=SMALL_PART_SAVED_S
            )
            for seed in range(50)
        ]
        assert max(most) <= self.allowed

    @pytest.mark.parametrize(
        ('use', 'saved_s'),
        [(1, math.inf), (SMALL_PART_USE, math.inf), (1, SMALL_PART_SAVED_S)],
    )
    def test_one_measure_alone_does_not(self, use, saved_s):
        """Guards against a model that no fault can fail."""
        most = [
            most_of_separated_daemons(seed, use=use, saved_s=saved_s)
            for seed in range(50)
        ]
        assert max(most) > self.allowed
