"""Servers that fall over if too much is rejected, daemons as processes."""

import asyncio
import random
from contextlib import asynccontextmanager

from . import soak
from .brittleservers import ANSWER_S, SLOTS, BrittleServer
from .soakfleet import SoakFleet

SERVERS = 4
BEARS = 3
# From this time on the servers let no request wait.
CONTACT_S = 3.0
CALLS_PER_S = 120
BRITTLE_S = 12.0
WARM_UP_S = 2.0
CAPACITY_PER_S = SERVERS * SLOTS / ANSWER_S
USED_SHARE = 0.6
FEW_CALLS_S = 12.0
SERVED_SHARE = 0.7


@asynccontextmanager
async def brittle_fleet(folder, *, daemons, servers, slots):
    """Run daemons that are served by brittle servers alone."""
    async with SoakFleet(folder, size=daemons, prepaid=100_000) as fleet:
        for number in range(daemons):
            await fleet.wait_ready(number)
        started = [BrittleServer(n, fleet.store, slots) for n in range(servers)]
        for server in started:
            await server.start()
        for number in range(len(fleet.backends)):
            await fleet.store.delete('servers', f'i-{number}')
        # Servers that are missing from the list stay in use for a while.
        await asyncio.sleep(3)
        yield fleet, started
        for server in started:
            await server.stop()


async def call_until(fleet, until, per_s):
    """Send calls at random times to random daemons; return the statuses."""
    rng = random.Random(1)
    seen = soak.Observed()
    loop = asyncio.get_running_loop()
    calls = []
    while loop.time() < until:
        calls.append(asyncio.create_task(soak.call(fleet, rng, seen, 'safe')))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*calls)
    return seen.statuses


class TestBrittleServers:
    async def test_overload_does_not_make_servers_fall_over(self, tmp_path):
        """Guards against more rejections than a server says that it bears."""
        loop = asyncio.get_running_loop()
        async with brittle_fleet(
            tmp_path, daemons=4, servers=SERVERS, slots=SLOTS
        ) as (fleet, servers):
            began = loop.time()
            calls = asyncio.create_task(
                call_until(fleet, began + WARM_UP_S + BRITTLE_S, CALLS_PER_S)
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
        assert falls <= 2 + SERVERS / 10
        wanted = CAPACITY_PER_S * (BRITTLE_S - CONTACT_S) * USED_SHARE
        assert served >= wanted, statuses

    async def test_callers_of_daemons_without_a_place_are_served(
        self, tmp_path
    ):
        """Guards against slots that only the callers of some daemons get."""
        loop = asyncio.get_running_loop()
        async with brittle_fleet(tmp_path, daemons=6, servers=2, slots=2) as (
            fleet,
            servers,
        ):
            for server in servers:
                server.become_brittle(BEARS, 0)
            # A fifth of what the servers can run.
            statuses = await call_until(
                fleet, loop.time() + FEW_CALLS_S, 0.8 / ANSWER_S
            )
        assert not any(server.fell_at for server in servers)
        assert statuses[200] >= SERVED_SHARE * statuses.total(), statuses
