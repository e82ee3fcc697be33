"""Rates that backend servers name, with daemons as processes."""

import asyncio
import random
import secrets
import signal
from bisect import bisect_left, bisect_right
from dataclasses import dataclass

import pytest

from tests.ports import HOST

from . import soak
from .soakfleet import SoakFleet

LIMIT_PER_S = 2.0
CALLS_PER_S = 50
# From this time after a server first named its limit, no window may have more
# requests than the tolerated multiple of the limit and the allowance.
LEARNING_S = 3.0
WINDOW_S = 4.0
TOLERATED = 1.5
ALLOWANCE = 5
# Several requests are sent before the first answer.
SLOW_ANSWER_S = 1.0
# Part of its limit that a server gets at least while callers want more.
USED_SHARE = 0.8
# A refusal that takes longer was held.
PROMPT_S = 0.5


def most_in_a_window(arrivals, since):
    """Return the largest number of arrivals in WINDOW_S."""
    ordered = sorted(at for at in arrivals if at >= since)
    return max(
        (
            bisect_right(ordered, at + WINDOW_S) - bisect_left(ordered, at)
            for at in ordered
        ),
        default=0,
    )


def allowed_in_a_window(per_s):
    return TOLERATED * per_s * WINDOW_S + ALLOWANCE


async def call_until(fleet, until, *, seed=1, per_s=CALLS_PER_S):
    """Send calls to random daemons; return what was observed."""
    rng = random.Random(seed)
    seen = soak.Observed()
    loop = asyncio.get_running_loop()
    calls = []
    while loop.time() < until:
        calls.append(asyncio.create_task(soak.call(fleet, rng, seen, 'safe')))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*calls)
    return seen


@dataclass(frozen=True)
class Outcome:
    """Hold what a caller got that returns once if it is refused."""

    first_status: int
    first_s: float
    retry_after_s: float
    last_status: int


async def call_and_return(fleet, number):
    loop = asyncio.get_running_loop()
    began = loop.time()
    status, retry_after_s = await call_once(fleet, number)
    first_s = loop.time() - began
    last_status = status
    if status == 503:
        await asyncio.sleep(retry_after_s)
        last_status, _ = await call_once(fleet, number)
    return Outcome(status, first_s, retry_after_s, last_status)


async def call_once(fleet, number):
    """Return the status and Retry-After of a call to a daemon."""
    reader, writer = await asyncio.open_connection(HOST, fleet.ports[number][0])
    attempt = secrets.token_hex(8)
    writer.write(
        f'GET /once/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: {soak.KEY}\r\n'
        f'X-Oriolegauge-Attempt-Id: {attempt}\r\n\r\n'.encode()
    )
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    writer.close()
    status = int(head.split()[1])
    assert (status == 200) == bool(fleet.run_counts[attempt])
    _, found, rest = head.partition('retry-after: ')
    return status, float(rest.split()[0]) if found else 0.0


async def disturb(fleet, rng, until):
    """Kill, stop and freeze daemons, one after the other."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        number = rng.randrange(fleet.size)
        match rng.choice(['kill', 'stop', 'freeze', 'store']):
            case 'kill':
                await fleet.kill(number)
                await fleet.start(number)
            case 'stop':
                await fleet.term(number)
                await fleet.start(number)
            case 'freeze':
                fleet.signal(number, signal.SIGSTOP)
                await asyncio.sleep(rng.uniform(0.5, 2))
                fleet.signal(number, signal.SIGCONT)
            case 'store':
                fleet.store.status = 503
                await asyncio.sleep(rng.uniform(0.5, 2))
                fleet.store.status = 200
        await asyncio.sleep(rng.uniform(0, 1))


@pytest.fixture
async def fleet(tmp_path):
    async with SoakFleet(tmp_path, size=4, prepaid=100_000) as started:
        for number in range(started.size):
            await started.wait_ready(number)
        yield started


class TestServerLimit:
    async def test_daemons_together_keep_to_the_rate_that_a_server_names(
        self, fleet
    ):
        """Guards against a limit that is ignored or applied by each daemon."""
        loop = asyncio.get_running_loop()
        limited = fleet.backends[0]
        limited.limit_per_s = LIMIT_PER_S
        began = loop.time()
        seen = await call_until(fleet, began + LEARNING_S + 2 * WINDOW_S)
        most = most_in_a_window(limited.arrivals, began + LEARNING_S)
        assert most <= allowed_in_a_window(LIMIT_PER_S), most
        assert seen.statuses.keys() == {200}
        sent = bisect_left(limited.arrivals, loop.time())
        sent -= bisect_left(limited.arrivals, began + LEARNING_S)
        assert sent >= USED_SHARE * LIMIT_PER_S * 2 * WINDOW_S

    async def test_server_that_names_no_rate_any_more_gets_its_full_share(
        self, fleet
    ):
        """Guards against a limit that outlasts the need of the server."""
        loop = asyncio.get_running_loop()
        limited = fleet.backends[0]
        limited.limit_per_s = LIMIT_PER_S
        await call_until(fleet, loop.time() + LEARNING_S)
        limited.limit_per_s = None
        lifted_at = loop.time()
        await call_until(fleet, lifted_at + LEARNING_S + WINDOW_S)
        since = lifted_at + LEARNING_S
        counts = [
            len(backend.arrivals) - bisect_left(backend.arrivals, since)
            for backend in fleet.backends
        ]
        assert counts[0] >= sum(counts) / len(counts) / 2, counts

    async def test_callers_are_refused_at_once_and_served_when_they_return(
        self, fleet
    ):
        """Guards against callers that are held, or told a false time."""
        for backend in fleet.backends:
            backend.limit_per_s = LIMIT_PER_S
        loop = asyncio.get_running_loop()
        await call_until(fleet, loop.time() + LEARNING_S)
        await asyncio.sleep(LEARNING_S)
        calls = [
            call_and_return(fleet, number % fleet.size) for number in range(32)
        ]
        outcomes = await asyncio.gather(*calls)
        refused = [one for one in outcomes if one.first_status == 503]
        assert len(refused) >= 16
        assert all(one.first_s < PROMPT_S for one in refused)
        assert all(one.retry_after_s for one in refused)
        served = sum(one.last_status == 200 for one in refused)
        assert served >= len(refused) - 1, outcomes

    async def test_rate_holds_after_a_restart_of_all_daemons(self, fleet):
        """Guards against a limit that is known only to running daemons."""
        loop = asyncio.get_running_loop()
        limited = fleet.backends[0]
        limited.limit_per_s = LIMIT_PER_S
        for backend in fleet.backends:
            backend.answer_s = SLOW_ANSWER_S
        began = loop.time()
        calls = asyncio.create_task(
            call_until(
                fleet, began + LEARNING_S + 3 * WINDOW_S, per_s=2 * CALLS_PER_S
            )
        )
        await asyncio.sleep(LEARNING_S + WINDOW_S)
        await asyncio.gather(*map(fleet.kill, range(fleet.size)))
        await asyncio.gather(*map(fleet.start, range(fleet.size)))
        await calls
        most = most_in_a_window(limited.arrivals, began + LEARNING_S)
        assert most <= allowed_in_a_window(LIMIT_PER_S), most

    @pytest.mark.parametrize('seed', [1])
    async def test_rate_holds_while_daemons_start_stop_and_freeze(
        self, fleet, seed
    ):
        """Guards against a limit that is lost with the state of a daemon."""
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        limited = fleet.backends[0]
        limited.limit_per_s = LIMIT_PER_S
        began = loop.time()
        until = began + LEARNING_S + 3 * WINDOW_S
        await asyncio.gather(
            call_until(fleet, until, seed=seed), disturb(fleet, rng, until)
        )
        most = most_in_a_window(limited.arrivals, began + LEARNING_S)
        assert most <= allowed_in_a_window(LIMIT_PER_S), most
