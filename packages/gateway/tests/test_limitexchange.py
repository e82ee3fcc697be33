"""Permits for limited servers while daemons stop, freeze or lose each other."""

import asyncio
import random
from itertools import pairwise

import pytest

from oriolegauge.gateway import limitexchange
from oriolegauge.gateway.fleetlayout import FULL_MESH_LEASE_S, RING_LEASE_S
from oriolegauge.routing.limitshares import LimitShares
from oriolegauge.wire.messages import PermitRequest

from .limitfleet import (
    ALLOWANCE,
    SERVER,
    TOLERATED,
    WINDOW_S,
    SimulatedFleet,
    inject_faults,
)

# Time for a fleet to agree on who hands out permits.
SETTLE_S = RING_LEASE_S + 1


async def run_with_faults(seed, per_s, size=8, seconds=40):
    fleet = SimulatedFleet(size, per_s)
    fleet.demand(fleet.daemons, 0.4 * per_s)
    await inject_faults(fleet, random.Random(seed), seconds)
    await fleet.stop()
    return fleet


@pytest.mark.looptime
class TestLimit:
    @pytest.mark.parametrize('seed', range(1, 7))
    @pytest.mark.parametrize('per_s', [1.0, 20.0])
    async def test_holds_while_daemons_stop_freeze_and_lose_each_other(
        self, seed, per_s
    ):
        """Guards against permits for more than the limit under faults."""
        fleet = await run_with_faults(seed, per_s=per_s)
        allowed = TOLERATED * per_s * WINDOW_S + ALLOWANCE
        assert fleet.most_in_a_window() <= allowed

    @pytest.mark.parametrize('size', [1, 8, 195])
    @pytest.mark.parametrize('per_s', [1.0, 30.0])
    async def test_is_used_up(self, size, per_s):
        """Guards against a limited server that gets too little work."""
        fleet = SimulatedFleet(size, per_s)
        fleet.demand(fleet.daemons, max(0.5, 60 / size))
        await asyncio.sleep(SETTLE_S + 30)
        await fleet.stop()
        assert fleet.rate(SETTLE_S, SETTLE_S + 30) >= 0.9 * per_s

    @pytest.mark.parametrize('per_s', [2.0, 30.0])
    async def test_is_used_up_by_one_busy_daemon(self, per_s):
        """Guards against fixed parts when callers are at one daemon only."""
        fleet = SimulatedFleet(8, per_s)
        fleet.demand(['d005'], 100)
        await asyncio.sleep(SETTLE_S + 20)
        await fleet.stop()
        assert fleet.rate(SETTLE_S, SETTLE_S + 20) >= 0.9 * per_s

    async def test_is_used_up_after_the_daemon_that_gave_permits_has_died(self):
        """Guards against a server without work while a host is down."""
        fleet = SimulatedFleet(8, 8.0)
        fleet.demand(fleet.daemons, 4)
        await asyncio.sleep(SETTLE_S)
        fleet.daemons['d000'].state = 'dead'
        died_at = fleet.daemons['d000'].clock()
        await asyncio.sleep(FULL_MESH_LEASE_S + 10)
        await fleet.stop()
        since = died_at + FULL_MESH_LEASE_S + 0.5
        # The lost daemon may be alive behind a partition and use its part.
        assert fleet.rate(since, since + 9) >= 0.9 * 8 * 7 / 8

    async def test_is_used_up_while_the_daemon_that_gave_permits_is_stopped(
        self,
    ):
        """Guards against a pause in each planned stop."""
        fleet = SimulatedFleet(8, 8.0)
        fleet.demand(fleet.daemons, 4)
        await asyncio.sleep(SETTLE_S)
        first = fleet.daemons['d000']
        first.state = 'draining'
        since = first.clock()
        await asyncio.sleep(5)
        await fleet.stop()
        assert fleet.rate(since + 1, since + 5) >= 0.9 * 8

    async def test_holds_in_two_halves_that_lose_each_other(self):
        """Guards against a full limit on each side of a partition."""
        fleet = SimulatedFleet(8, 10.0)
        fleet.demand(fleet.daemons, 4)
        await asyncio.sleep(SETTLE_S)
        for number, daemon in enumerate(fleet.daemons.values()):
            daemon.side = number % 2
        split_at = daemon.clock()
        await asyncio.sleep(30)
        await fleet.stop()
        assert fleet.rate(split_at, split_at + 30) <= 10 * 1.1
        assert fleet.rate(split_at + 5, split_at + 30) >= 10 * 0.9

    async def test_server_that_takes_nothing_gets_single_trials(self):
        """Guards against a server that never gets work again."""
        fleet = SimulatedFleet(8, 0)
        fleet.demand(fleet.daemons, 4)
        await asyncio.sleep(60)
        await fleet.stop()
        assert 3 <= len(fleet.sent) <= 8
        assert min(after - at for at, after in pairwise(fleet.sent)) > 3

    async def test_server_without_limit_needs_no_permit(self):
        """Guards against a wait for requests to servers that are well."""
        fleet = SimulatedFleet(2, None)
        assert await fleet.daemons['d001'].exchange.acquire(SERVER) == 0
        await fleet.stop()


class ReachableParts(LimitShares):
    """Broken: daemons that can't be reached count as gone."""

    def part(self, *, members, lease_s, now):
        return super().part(members=1, lease_s=lease_s, now=now)


class EqualParts(LimitShares):
    """Broken: each daemon hands out the whole limit."""

    def part(self, **_):
        return 1.0


@pytest.mark.looptime
class TestBrokenVariants:
    @pytest.mark.parametrize('broken', [ReachableParts, EqualParts])
    async def test_is_caught(self, broken, monkeypatch):
        """Guards against a check that no fault can fail."""
        monkeypatch.setattr(limitexchange, 'LimitShares', broken)
        per_s = 20
        most = [
            (await run_with_faults(seed, per_s)).most_in_a_window()
            for seed in range(1, 5)
        ]
        assert max(most) > TOLERATED * per_s * WINDOW_S + ALLOWANCE


@pytest.mark.looptime
class TestDamagedMessages:
    @pytest.mark.parametrize('number', [float('nan'), float('inf'), -1.0])
    async def test_are_answered_without_harm(self, number):
        """Guards against a daemon that stops on a damaged message."""
        fleet = SimulatedFleet(2, 2.0)
        exchange = fleet.daemons['d000'].exchange
        message = PermitRequest(
            server='s0',
            started_ms=1,
            per_s=number,
            wanted=1,
            stamp_s=number,
            lease_s=number,
        )
        assert exchange.answer('d001', message).count <= 1
        await fleet.stop()
