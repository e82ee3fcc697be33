"""Callers of a daemon whose host reaches no server, beside one that does."""

import asyncio
import contextlib
import secrets
import signal

import pytest

from tests.ports import HOST

from .daemonwithoutservers import CUT_FILE
from .soakfleet import EVENTS, KEY, PROMPT_TOKENS, TOKENS_PER_EVENT, SoakFleet

KINDS = ('once', 'safe', 'stream')
BOUNDS = f'{PROMPT_TOKENS},{EVENTS * TOKENS_PER_EVENT}'


class CutFleet(SoakFleet):
    """Two daemons; the first one's links to servers can be cut."""

    def __init__(self, folder):
        super().__init__(folder, size=2, prepaid=1_000_000)
        self._cut = folder / CUT_FILE

    def _program(self, number):
        program = super()._program(number)
        if number:
            return program
        return program.parents[1] / 'tests/adapter/daemonwithoutservers.py'

    def cut(self):
        ports = [str(proxy.port) for proxy in self.proxies[1:]]
        self._cut.write_text(' '.join(ports))
        # Kept connections end with the cut.
        for proxy in self.proxies[1:]:
            proxy.reset()

    def heal(self):
        self._cut.unlink()

    def log(self, number):
        return self._log_path(number).read_text()


async def call(fleet, kind):
    """Return attempt id, status and whether the answer was whole."""
    attempt = secrets.token_hex(8)
    reader, writer = await asyncio.open_connection(HOST, fleet.ports[0][0])
    lines = [
        f'POST /{kind}/x HTTP/1.1',
        'Host: h.example',
        f'X-Oriolegauge-Attempt-Id: {attempt}',
        'X-Oriolegauge-Deadline-Ms: 3000',
        f'X-Api-Key: {KEY}',
        'Content-Length: 0',
        'Connection: close',
        *([f'X-Oriolegauge-Token-Usage: {BOUNDS}'] * (kind == 'stream')),
    ]
    writer.write('\r\n'.join((*lines, '', '')).encode())
    with contextlib.closing(writer):
        answer = await asyncio.wait_for(reader.read(), 5)
    status = int(answer.split(b' ', 2)[1])
    end = b'0\r\n\r\n' if kind == 'stream' else f'done {attempt}'.encode()
    return attempt, status, answer.endswith(end)


async def calls(fleet, count):
    """Return the results of calls of all kinds, a few at a time."""
    results = []
    for _ in range(count):
        results += await asyncio.gather(*(call(fleet, kind) for kind in KINDS))
    return results


@pytest.fixture
async def fleet(tmp_path):
    async with CutFleet(tmp_path) as running:
        for number in range(running.size):
            await running.wait_ready(number)
        # Daemons know each other's configuration from heartbeats.
        await asyncio.sleep(1)
        yield running


class TestRelay:
    async def test_callers_are_served_during_a_cut_and_after_it(self, fleet):
        """Guards against callers that are refused though a peer could serve."""
        await calls(fleet, 3)
        fleet.cut()
        await calls(fleet, 3)
        results = await calls(fleet, 20)
        assert [status for _, status, _ in results] == [200] * len(results)
        assert all(is_whole for _, _, is_whole in results)
        assert {fleet.run_counts[attempt] for attempt, *_ in results} == {1}
        assert '"is_relayed": true' in fleet.log(1)
        fleet.heal()
        await calls(fleet, 10)
        assert 'service in reach again' in fleet.log(0)
        relayed = fleet.log(1).count('"is_relayed": true')
        results = await calls(fleet, 5)
        assert all(is_whole for _, _, is_whole in results)
        assert fleet.log(1).count('"is_relayed": true') == relayed

    async def test_planned_stop_of_the_peer_cuts_off_nothing(self, fleet):
        """Guards against relayed requests that end with their peer."""
        fleet.cut()
        await calls(fleet, 3)
        calling = asyncio.create_task(calls(fleet, 40))
        await asyncio.sleep(0.5)
        fleet.signal(1, signal.SIGTERM)
        results = await calling
        assert {status for _, status, _ in results} == {200, 503}
        for attempt, status, is_whole in results:
            assert is_whole == (status == 200)
            assert fleet.run_counts[attempt] == (status == 200)
