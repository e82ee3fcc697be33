"""Configurations that reach each host of a simulated fleet in time."""

import asyncio
import contextlib
import math

import pytest

from oriolegauge.gateway.fleetlayout import MAX_LEADERS, RING_BEAT_PERIOD_S
from oriolegauge.gateway.gateway import MEMBERS_POLL_S
from oriolegauge.gateway.kindfollower import LONG_POLL_S
from oriolegauge.wire import LinkLimits

from .documentfleet import DocumentFleet

# The shortest time after its confirmation in which a configuration has to be
# in force on a host of a large fleet.
IN_FORCE_WITHIN_S = 3.0
# A disturbance of a host's links excuses lateness for this time after it.
CONTACT_S = 4.0
STARTED_S = 6.0
SIZE = 85


@contextlib.asynccontextmanager
async def started_fleet(size, seed):
    fleet = DocumentFleet(size, seed)
    fleet.start()
    try:
        await asyncio.sleep(STARTED_S)
        yield fleet
    finally:
        await fleet.stop()


@pytest.mark.looptime
class TestMembersOfAFleet:
    @pytest.mark.parametrize('seed', range(2))
    async def test_hosts_that_start_later_are_known_to_all(self, seed):
        """Guards against fast hosts that list the members before the others.

        Six of 85 knew 17 to 40 members for good, and led the fleet.
        """
        async with started_fleet(SIZE, seed) as fleet:
            known = {host.links.members for host in fleet.hosts.values()}
            assert known == {SIZE}

    async def test_restarted_host_that_the_store_refuses_knows_them(self):
        """Guards against a daemon that knows its neighbours only."""
        async with started_fleet(SIZE, 0) as fleet:
            restarted = fleet.sample(0.1)
            fleet.store.refused = set(restarted)
            fleet.restart(restarted)
            await asyncio.sleep(IN_FORCE_WITHIN_S)
            for name in restarted:
                assert fleet.hosts[name].links.members == SIZE
                assert fleet.hosts[name].version == 1


@pytest.mark.looptime
class TestConfigurationsOfAFleet:
    @pytest.mark.parametrize('seed', range(4))
    async def test_hosts_that_the_store_refuses_get_them_from_peers(self, seed):
        """Guards against a refused host that asks one peer without a link."""
        async with started_fleet(SIZE, seed) as fleet:
            fleet.store.refused = set(fleet.sample(0.5))
            for _ in range(3):
                changed_at = fleet.clock()
                version = fleet.store.change()
                await asyncio.sleep(IN_FORCE_WITHIN_S)
                assert not fleet.late(version, IN_FORCE_WITHIN_S, changed_at)

    async def test_no_hop_waits_for_a_period_of_heartbeats(self):
        """Guards against changes that take a second to reach all hosts."""
        async with started_fleet(SIZE, 0) as fleet:
            for _ in range(4):
                changed_at = fleet.clock()
                version = fleet.store.change()
                await asyncio.sleep(IN_FORCE_WITHIN_S)
                assert not fleet.late(version, RING_BEAT_PERIOD_S, changed_at)

    @pytest.mark.parametrize('seed', range(2))
    async def test_links_that_fall_silent_are_replaced_in_time(self, seed):
        """Guards against a host whose fetches hang on silent links."""
        noticed_after_s = (
            RING_BEAT_PERIOD_S + LinkLimits().unacked_timeout_ms / 1_000
        )
        async with started_fleet(SIZE, seed) as fleet:
            silent_at = fleet.clock()
            fleet.silence_links(0.7, noticed_after_s)
            changes = []
            for _ in range(8):
                await asyncio.sleep(0.45)
                changes.append((fleet.store.change(), fleet.clock()))
            await asyncio.sleep(IN_FORCE_WITHIN_S)
            for version, changed_at in changes:
                # Hosts count as disturbed until CONTACT_S after the fault.
                within_s = max(
                    IN_FORCE_WITHIN_S, silent_at + CONTACT_S - changed_at
                )
                assert not fleet.late(version, within_s, changed_at)

    @pytest.mark.parametrize('seed', range(2))
    @pytest.mark.parametrize('share', [0.3, 0.9])
    async def test_links_that_stay_silent_delay_no_host_for_long(
        self, share, seed
    ):
        """Guards against a host whose remaining peers are behind."""
        async with started_fleet(SIZE, seed) as fleet:
            fleet.silence_links(share, noticed_after_s=math.inf)
            for _ in range(4):
                changed_at = fleet.clock()
                version = fleet.store.change()
                await asyncio.sleep(IN_FORCE_WITHIN_S)
                assert not fleet.late(version, IN_FORCE_WITHIN_S, changed_at)

    @pytest.mark.parametrize('seed', range(2))
    async def test_lost_watchers_are_replaced_by_few_daemons(self, seed):
        """Guards against a fleet of which all daemons watch for seconds."""
        async with started_fleet(SIZE, seed) as fleet:
            fleet.lose(fleet.watchers())
            calls = fleet.store.calls
            for _ in range(4):
                changed_at = fleet.clock()
                version = fleet.store.change()
                await asyncio.sleep(2)
                assert not fleet.late(version, IN_FORCE_WITHIN_S, changed_at)
            assert fleet.store.calls - calls <= 3 * len(fleet.hosts)
            assert len(fleet.watchers()) <= 2 * MAX_LEADERS

    async def test_few_daemons_of_a_quiet_fleet_call_the_store(self):
        """Guards against calls that grow with the number of daemons."""
        async with started_fleet(SIZE, 0) as fleet:
            calls = fleet.store.calls
            await asyncio.sleep(20)
            assert len(fleet.watchers()) == MAX_LEADERS
            # A tenth more than the long polls of the watchers.
            most = 1.1 * MAX_LEADERS * (20 / LONG_POLL_S + 20 / MEMBERS_POLL_S)
            assert fleet.store.calls - calls <= most
