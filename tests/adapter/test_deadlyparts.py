"""Prompt parts that crash each backend server, with daemons as processes."""

import asyncio
import itertools
import random
import secrets
from dataclasses import dataclass, field

from tests.ports import HOST

from . import soak
from .registeredserver import (
    RegisteredServer,
    begin_stream,
    end_stream,
    send_event,
)
from .soakfleet import EVENTS, PROMPT_TOKENS, TOKENS_PER_EVENT, SoakFleet

# From this time after the fifth crash, few requests with the part may reach
# servers.
CONTACT_S = 3.0
TOLERATED_CRASHES = 5
TOLERATED_REQUESTS = 3
# Share of the usual answers that sound requests get meanwhile at least.
SERVED_SHARE = 0.5
SOUND_PER_S = 20
DEADLY_PER_S = 2
DOWN_S = 1.0
READING_S = 0.05
PRELUDE_S = 3
INCIDENT_S = 12
RESTARTED_S = 4


@dataclass
class Arrivals:
    """Hold the loop times of crashes and of requests with the deadly part."""

    crashes: list[float] = field(default_factory=list)
    deadly: list[float] = field(default_factory=list)

    def too_late(self):
        """Return the deadly requests that came after the tolerated time."""
        since = sorted(self.crashes)[:TOLERATED_CRASHES][-1] + CONTACT_S
        return [at for at in self.deadly if at > since]


class FragileBackend(RegisteredServer):
    """Stream answers; crash and come back if a prompt has the part `deadly`."""

    def __init__(self, number, store, arrivals):
        super().__init__(f'fragile-{number}', store)
        self.arrivals = arrivals
        self._restart = None

    async def stop(self):
        if self._restart:
            self._restart.cancel()
        await super().stop()

    async def _answer(self, fields, writer):
        is_deadly = 'deadly' in fields.get('x-oriolegauge-prompt-prefix', '')
        loop = asyncio.get_running_loop()
        if is_deadly:
            self.arrivals.deadly.append(loop.time())
        await asyncio.sleep(READING_S)
        if is_deadly and self.is_serving:
            self._crash()
        attempt = fields['x-oriolegauge-attempt-id']
        begin_stream(writer, attempt)
        for number in range(1, EVENTS + 1):
            await send_event(writer, number, attempt)
            await asyncio.sleep(0.02)
        end_stream(writer)

    def _crash(self):
        self.arrivals.crashes.append(asyncio.get_running_loop().time())
        self.abort()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(DOWN_S)
        await self.start()


async def replace_backends(fleet, arrivals):
    """Serve the fleet by backends that daemons reach without a proxy."""
    backends = [FragileBackend(n, fleet.store, arrivals) for n in range(4)]
    for backend in backends:
        await backend.start()
    for number in range(len(fleet.backends)):
        await fleet.store.delete('servers', f'i-{number}')
    # Servers that are missing from the list stay in use for a while.
    await asyncio.sleep(3)
    return backends


async def ask(fleet, rng, parts):
    """Return the status of a request, 0 if its answer was cut."""
    front = fleet.ports[rng.choice(sorted(fleet.processes))][0]
    most = EVENTS * TOKENS_PER_EVENT
    lines = [
        'POST /stream/x HTTP/1.1',
        'Host: h.example',
        f'X-Oriolegauge-Attempt-Id: {secrets.token_hex(8)}',
        'X-Oriolegauge-Deadline-Ms: 3000',
        f'X-Api-Key: {soak.KEY}',
        f'X-Oriolegauge-Token-Usage: {PROMPT_TOKENS},{most}',
        f'X-Oriolegauge-Prompt-Prefix: {parts}',
        'Content-Length: 2',
    ]
    try:
        async with asyncio.timeout(soak.CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(HOST, front)
            writer.write('\r\n'.join([*lines, '', 'ok']).encode())
            head = await reader.readuntil(b'\r\n\r\n')
            await soak._body(reader, head, soak.Observed())
            writer.close()
    except (OSError, EOFError, TimeoutError, ValueError):
        return 0
    return int(head.split()[1])


async def ask_until(fleet, until, rng, per_s, parts):
    """Send requests at random times; return the times and the statuses."""
    loop = asyncio.get_running_loop()
    sent_at = []
    calls = []
    while loop.time() < until:
        sent_at.append(loop.time())
        calls.append(asyncio.create_task(ask(fleet, rng, next(parts))))
        await asyncio.sleep(rng.expovariate(per_s))
    return list(zip(sent_at, await asyncio.gather(*calls), strict=True))


def sound_parts(rng):
    while True:
        yield f'first:40,topic{rng.randrange(6)}:30,{rng.getrandbits(40):x}:30'


def deadly_parts():
    for number in itertools.count():
        yield f'first:20,topic{number % 6}:20,deadly:30,{number:x}:30'


def share_served(asked):
    return sum(status == 200 for _, status in asked) / len(asked)


async def wait_all_ready(fleet):
    for number in range(fleet.size):
        await fleet.wait_ready(number)


class TestDeadlyParts:
    async def test_part_that_crashes_servers_stops_reaching_them(
        self, tmp_path
    ):
        """Guards against a prompt part that crashes server after server."""
        rng = random.Random(1)
        arrivals = Arrivals()
        deadly = deadly_parts()
        async with SoakFleet(tmp_path, size=4, prepaid=10_000_000) as fleet:
            await wait_all_ready(fleet)
            backends = await replace_backends(fleet, arrivals)
            loop = asyncio.get_running_loop()
            before = await ask_until(
                fleet,
                loop.time() + PRELUDE_S,
                rng,
                SOUND_PER_S,
                sound_parts(rng),
            )
            until = loop.time() + INCIDENT_S
            _, sound = await asyncio.gather(
                ask_until(fleet, until, rng, DEADLY_PER_S, deadly),
                ask_until(fleet, until, rng, SOUND_PER_S, sound_parts(rng)),
            )
            for number in range(fleet.size):
                await fleet.kill(number)
            for number in range(fleet.size):
                await fleet.start(number)
            await wait_all_ready(fleet)
            await ask_until(
                fleet, loop.time() + RESTARTED_S, rng, DEADLY_PER_S, deadly
            )
            for backend in backends:
                await backend.stop()
        assert len(arrivals.crashes) >= 2
        assert len(arrivals.too_late()) <= TOLERATED_REQUESTS
        second_at = sorted(arrivals.crashes)[1]
        settled = [one for one in sound if one[0] > second_at + 2 * CONTACT_S]
        assert share_served(settled) >= SERVED_SHARE * share_served(before)
