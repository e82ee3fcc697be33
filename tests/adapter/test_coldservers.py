"""Cold servers, with daemons as processes and a stand-in store."""

import asyncio
import json
import time
from bisect import bisect_right

import pytest

from .soakfleet import SoakFleet
from .test_serverlimit import call_until

COLD_S = 4.0
COLD_PER_S = 2.0
# The promise for any one second.
MOST = 1.5 * COLD_PER_S + 5
# Time until the daemons may use their shares.
LEASE_S = 2.0
SERVER = 'i-0'


async def list_server(fleet, **changes):
    """Write the entry of the first server."""
    entry = fleet.store.objects['servers', SERVER]['spec']
    await fleet.store.write('servers', SERVER, {**entry, **changes})


def most_in_a_second(arrivals):
    return max(
        (
            bisect_right(arrivals, at + 1) - number
            for number, at in enumerate(arrivals)
        ),
        default=0,
    )


def events(fleet, name):
    """Return the log lines of all daemons with the event."""
    rows = []
    for path in fleet.folder.glob('daemon-*.log'):
        for line in path.read_text().splitlines():
            if f'"event": "{name}"' in line:
                rows.append(json.loads(line))
    return rows


@pytest.fixture
async def fleet(tmp_path):
    started = SoakFleet(tmp_path, size=3, prepaid=100_000)
    started.service_fields = {'coldS': COLD_S, 'coldPerS': COLD_PER_S}
    async with started:
        born = int((time.time() - 3600) * 1000)
        for number in range(len(started.backends)):
            entry = started.store.objects['servers', f'i-{number}']['spec']
            await started.store.write(
                'servers', f'i-{number}', {**entry, 'born': born}
            )
        for number in range(started.size):
            await started.wait_ready(number)
        await asyncio.sleep(COLD_S + LEASE_S)
        yield started


class TestColdServer:
    async def test_started_server_gets_no_more_than_its_rate(self, fleet):
        """Guards against a burst that crashes a server after its start."""
        loop = asyncio.get_running_loop()
        cold = fleet.backends[0]
        await call_until(fleet, loop.time() + 1)
        assert not events(fleet, 'permit') + events(fleet, 'no permit')
        await list_server(fleet, born=int(time.time() * 1000))
        await asyncio.sleep(0.5)
        began = loop.time()
        cold.arrivals.clear()
        await call_until(fleet, began + 3)
        arrivals = list(cold.arrivals)
        assert len(arrivals) >= 2
        assert most_in_a_second(arrivals) <= MOST
        await asyncio.sleep(1.5)
        cold.arrivals.clear()
        await call_until(fleet, loop.time() + 2)
        assert len(cold.arrivals) > 2 * MOST
        assert len(events(fleet, 'server warm')) >= fleet.size
