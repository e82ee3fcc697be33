"""Faulty servers that never stop sending must not fill or block a daemon."""

import asyncio
import contextlib
import gc
import resource
import sys
import time
from pathlib import Path

import pytest

from oriolegauge.forwarding import BackendServer
from oriolegauge.forwarding.eventsplitter import EventSplitter

from .hostileserver import ENDLESS_REPLIES
from .world import HOST, ScriptedServer, World

HOSTILE_SERVERS = 50
# The smallest hosts have 200 MB of memory, of which a daemon uses 60.
MAX_GROWTH_BYTES = 20 * 1024 * 1024
MAX_DELAY_S = 0.05
# Callers wait while the replies of 50 servers reach their limits at once.
ANSWERED_WITHIN_S = 2.0
ARRIVAL_GAP_S = 0.03
_STREAM_KINDS = {'event', 'comments'}


@contextlib.asynccontextmanager
async def hostile_servers(kind, count):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).with_name('hostileserver.py')),
        kind,
        str(count),
        stdout=asyncio.subprocess.PIPE,
    )
    line = await process.stdout.readline()
    try:
        yield [int(port) for port in line.split()]
    finally:
        process.kill()
        await process.wait()


def list_hostile_servers(world, ports):
    """List the hostile servers and a healthy one of another service."""
    servers = [
        BackendServer(
            instance=f'h{port}',
            service='svc',
            host=HOST,
            port=port,
            zone='z1',
            slots=1,
        )
        for port in ports
    ]
    healthy = BackendServer(
        instance='s0',
        service='healthy',
        host=HOST,
        port=world.servers[0].port,
        zone='z1',
        slots=8,
    )
    world.directory.replace([*servers, healthy], keep_missing_until=0)


def resident_bytes():
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize()


async def call_healthy_server(world, delays, is_over):
    # Ended by an event, because before Python 3.12 a cancelled `wait_for` may
    # continue.
    while not is_over.is_set():
        # CPU time of this process, so that the load of other processes doesn't
        # count as a delay.
        began = time.process_time()
        answer = await world.call('/healthy/x')
        delays.append(time.process_time() - began)
        assert ' 200 ' in answer.first_line
        await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def freeze_test_objects():
    """Exclude the objects of the test runner from garbage collections."""
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


async def watch_memory(peak, is_over):
    while not is_over.is_set():
        peak[0] = max(peak[0], resident_bytes())
        await asyncio.sleep(0.005)


async def call_hostile(world, path, number):
    # Fifty simultaneous calls would delay each other with any server.
    await asyncio.sleep(number * ARRIVAL_GAP_S)
    began = time.monotonic()
    try:
        answer = await world.call(path, request_id=f'r{number}', body=b'order')
    except (asyncio.IncompleteReadError, ValueError):
        status = 'broken off'
    else:
        status = answer.first_line.split()[1]
    return status, time.monotonic() - began


class TestEndlessReplies:
    @pytest.mark.parametrize('kind', ENDLESS_REPLIES)
    async def test_memory_and_other_callers_are_protected(self, kind):
        """Guards against a server that fills or blocks the daemon."""
        path = '/review/x' if kind in _STREAM_KINDS else '/once/x'
        async with (
            hostile_servers(kind, HOSTILE_SERVERS) as ports,
            World(ScriptedServer()) as world,
        ):
            list_hostile_servers(world, ports)
            await world.call('/healthy/x')
            delays, peak = [], [resident_bytes()]
            is_over = asyncio.Event()
            before = resident_bytes()
            watchers = [
                asyncio.create_task(
                    call_healthy_server(world, delays, is_over)
                ),
                asyncio.create_task(watch_memory(peak, is_over)),
            ]
            answers = await asyncio.gather(
                *(
                    call_hostile(world, path, number)
                    for number in range(HOSTILE_SERVERS)
                )
            )
            is_over.set()
            await asyncio.gather(*watchers)
            assert {status for status, _ in answers} <= {'502', 'broken off'}
            assert max(taken for _, taken in answers) < ANSWERED_WITHIN_S
            assert peak[0] - before < MAX_GROWTH_BYTES
            assert max(delays) < MAX_DELAY_S
            assert world.buffers.held == 0


class TestEventSplitter:
    def test_large_event_is_searched_once(self):
        """Guards against searching the whole event again for each part."""
        splitter = EventSplitter()
        parts = [b'data: '] + [b'x' * 100] * 50_000
        began = time.process_time()
        for part in parts:
            assert not splitter.feed(part)
        assert time.process_time() - began < 0.5
        (event,) = splitter.feed(b'\n\n')
        assert len(event.data) == sum(map(len, parts)) + 2

    def test_separator_divided_by_reads_is_found(self):
        """Guards against missing a separator that two reads divide."""
        for end in (b'\n\n', b'\r\r', b'\r\n\r\n'):
            splitter = EventSplitter()
            found = []
            whole = b'id: 1\ndata: a' + end + b'id: 2\ndata: b' + end
            for byte in whole:
                found += splitter.feed(bytes((byte,)))
            assert [event.event_id for event in found] == ['1', '2']
            assert b''.join(event.data for event in found) == whole
