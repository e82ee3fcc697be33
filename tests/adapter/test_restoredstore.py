"""A store that comes back from an older copy, with daemons as processes."""

import asyncio
import random

from . import soak
from .soakfleet import SoakFleet

# From its confirmation, a configuration is in force within this time.
APPLY_S = 2.0
OUTAGE_S = 0.5
FOLLOW_S = 3.0
# Store calls of one daemon per second that following needs at most.
CALLS_PER_S = 12


async def status_of(fleet, number, path):
    """Return the status of a call to a daemon."""
    host, port = soak.HOST, fleet.ports[number][0]
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(
        f'GET /{path}/x HTTP/1.1\r\nHost: h.example\r\n'
        f'X-Oriolegauge-Attempt-Id: {random.getrandbits(60):x}\r\n'
        f'X-Api-Key: {soak.KEY}\r\n\r\n'.encode()
    )
    head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return int(head.split()[1])


async def add_route(fleet, name):
    """Write the next configuration, which has the route too."""
    fleet.added.append(name)
    await fleet.write_config()


async def statuses(fleet, path):
    return [await status_of(fleet, n, path) for n in range(fleet.size)]


async def restore(fleet, kept):
    fleet.store.status = 503
    await asyncio.sleep(OUTAGE_S)
    await fleet.store.restore(kept)
    fleet.store.status = 200


class TestRestoredStore:
    async def test_confirmed_route_stays_and_a_new_one_is_served(
        self, tmp_path
    ):
        """Guards against changes that are reverted, or late, by a restore."""
        async with SoakFleet(tmp_path, size=4, prepaid=100_000) as fleet:
            for number in range(fleet.size):
                await fleet.wait_ready(number)
            kept = fleet.store.copy()
            await add_route(fleet, 'first')
            for number in range(20):
                await fleet.store.write('other', 'object', {'x': number})
            await asyncio.sleep(APPLY_S)
            assert await statuses(fleet, 'first') == [200] * fleet.size
            await restore(fleet, kept)
            calls = sum(fleet.store.calls.values())
            await asyncio.sleep(FOLLOW_S)
            calls = sum(fleet.store.calls.values()) - calls
            after = await statuses(fleet, 'first')
            await add_route(fleet, 'second')
            await asyncio.sleep(APPLY_S)
            second = await statuses(fleet, 'second')
        assert after == [200] * fleet.size
        assert second == [200] * fleet.size
        assert calls < CALLS_PER_S * FOLLOW_S * fleet.size

    async def test_daemon_that_starts_gets_the_confirmed_configuration(
        self, tmp_path
    ):
        """Guards against a new process that takes the older copy."""
        async with SoakFleet(tmp_path, size=4, prepaid=100_000) as fleet:
            for number in range(fleet.size):
                await fleet.wait_ready(number)
            kept = fleet.store.copy()
            await add_route(fleet, 'first')
            await asyncio.sleep(APPLY_S)
            await restore(fleet, kept)
            await asyncio.sleep(APPLY_S)
            await fleet.kill(0)
            await fleet.start(0)
            await fleet.wait_ready(0)
            await asyncio.sleep(APPLY_S)
            assert await statuses(fleet, 'first') == [200] * fleet.size

    async def test_server_that_was_draining_gets_no_more_requests(
        self, tmp_path
    ):
        """Guards against a leaving server that a copy lists as ready."""
        async with SoakFleet(tmp_path, size=4, prepaid=100_000) as fleet:
            for number in range(fleet.size):
                await fleet.wait_ready(number)
            entry = {
                'service': 'svc',
                'address': f'{soak.HOST}:{fleet.proxies[1].port}',
                'zone': 'z1',
                'slots': 20,
                'state': 'ready',
                'born': 1,
            }
            await fleet.store.write('servers', 'i-0', entry)
            kept = fleet.store.copy()
            await fleet.store.write(
                'servers', 'i-0', {**entry, 'state': 'draining'}
            )
            await asyncio.sleep(APPLY_S)
            await restore(fleet, kept)
            await asyncio.sleep(APPLY_S)
            arrived = len(fleet.backends[0].arrivals)
            for _ in range(8):
                assert await statuses(fleet, 'safe') == [200] * fleet.size
            assert len(fleet.backends[0].arrivals) == arrived
