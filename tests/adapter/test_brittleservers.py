"""Servers that fall over if too much is rejected, daemons as processes."""

import asyncio
import random

import pytest

from . import soak
from .brittleservers import ANSWER_S, SLOTS, BrittleServer
from .soakfleet import SoakFleet

SERVERS = 4
DAEMONS = 4
BEARS = 3
# From this time on the servers let no request wait.
CONTACT_S = 3.0
CALLS_PER_S = 120
BRITTLE_S = 12.0
WARM_UP_S = 2.0
CAPACITY_PER_S = SERVERS * SLOTS / ANSWER_S
USED_SHARE = 0.6


@pytest.fixture
async def fleet(tmp_path):
    async with SoakFleet(tmp_path, size=DAEMONS, prepaid=100_000) as started:
        for number in range(started.size):
            await started.wait_ready(number)
        yield started


@pytest.fixture
async def servers(fleet):
    """Serve the fleet by brittle servers instead of its own."""
    servers = [BrittleServer(n, fleet.store) for n in range(SERVERS)]
    for server in servers:
        await server.start()
    for number in range(len(fleet.backends)):
        await fleet.store.delete('servers', f'i-{number}')
    # Servers that are missing from the list stay in use for a while.
    await asyncio.sleep(3)
    yield servers
    for server in servers:
        await server.stop()


async def call_until(fleet, until):
    """Send calls at random times to random daemons; return the statuses."""
    rng = random.Random(1)
    seen = soak.Observed()
    loop = asyncio.get_running_loop()
    calls = []
    while loop.time() < until:
        calls.append(asyncio.create_task(soak.call(fleet, rng, seen, 'safe')))
        await asyncio.sleep(rng.expovariate(CALLS_PER_S))
    await asyncio.gather(*calls)
    return seen.statuses


class TestBrittleServers:
    async def test_overload_does_not_make_servers_fall_over(
        self, fleet, servers
    ):
        """Guards against more rejections than a server says that it bears."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        calls = asyncio.create_task(
            call_until(fleet, began + WARM_UP_S + BRITTLE_S)
        )
        await asyncio.sleep(WARM_UP_S)
        for server in servers:
            server.become_brittle(BEARS, CONTACT_S)
        statuses = await calls
        falls = sum(len(server.fell_at) for server in servers)
        settled_at = began + WARM_UP_S + CONTACT_S
        served = sum(
            at > settled_at for server in servers for at in server.served_at
        )
        print(
            [[round(at - began, 1) for at in s.fell_at] for s in servers],
            [s._restart for s in servers],
        )
        assert falls <= 2 + SERVERS / 10
        wanted = CAPACITY_PER_S * (BRITTLE_S - CONTACT_S) * USED_SHARE
        assert served >= wanted, statuses
