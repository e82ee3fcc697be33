"""Record of explained crashes in the store."""

import asyncio

import pytest

from oriolegauge.gateway.crashrecord import CrashRecord
from oriolegauge.gateway.storerecord import PERIOD_S
from oriolegauge.routing.crashquarantine import CRASH_MEMORY_S
from oriolegauge.routing.crashsuspects import CrashSuspects
from oriolegauge.testkit import MemoryObjectStore

DEADLY = frozenset(('part:deadly',))


class Daemon:
    def __init__(self, store, is_writer=True):
        clock = asyncio.get_running_loop().time
        self.suspects = CrashSuspects(
            clock=clock, has_turn=lambda _: True, on_change=lambda: None
        )
        record = CrashRecord(
            store=store,
            kind='crashes',
            suspects=self.suspects,
            is_writer=lambda: is_writer,
            wall_clock=lambda: 1_000_000 + clock(),
        )
        self.task = asyncio.create_task(record.run())

    async def crash(self, *servers):
        for server in servers:
            self.suspects.note((server, 1), DEADLY)
            await asyncio.sleep(0.5)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@pytest.mark.looptime
class TestCrashRecord:
    async def test_next_process_holds_the_part_before_a_further_crash(self):
        """Guards against crashes that are forgotten when all daemons stop."""
        store = MemoryObjectStore()
        first = Daemon(store)
        await first.crash('s1', 's2')
        await asyncio.sleep(2 * PERIOD_S)
        await first.stop()
        second = Daemon(store)
        await asyncio.sleep(PERIOD_S / 2)
        assert second.suspects.held(DEADLY)
        await second.stop()

    async def test_record_is_forgotten_like_the_crashes(self):
        """Guards against a part that is held for good after a restart."""
        store = MemoryObjectStore()
        first = Daemon(store)
        await first.crash('s1', 's2', 's3', 's4', 's5')
        await asyncio.sleep(2 * PERIOD_S)
        await first.stop()
        await asyncio.sleep(CRASH_MEMORY_S)
        second = Daemon(store)
        await asyncio.sleep(PERIOD_S / 2)
        assert second.suspects.held(DEADLY) is None
        await second.stop()

    async def test_record_is_written_once(self):
        """Guards against a store call per heartbeat."""
        store = MemoryObjectStore()
        daemon = Daemon(store)
        await daemon.crash('s1', 's2')
        await asyncio.sleep(2 * PERIOD_S)
        version = (await store.get('crashes/explained')).version
        await asyncio.sleep(10 * PERIOD_S)
        assert (await store.get('crashes/explained')).version == version
        await daemon.stop()

    @pytest.mark.parametrize(
        'value', [{}, {'crashes': 3}, {'crashes': [{'server': 's1'}]}]
    )
    async def test_damaged_record_stops_no_daemon(self, value):
        """Guards against a process that ends over a record it can't read."""
        store = MemoryObjectStore()
        await store.put('crashes/explained', value, 0)
        daemon = Daemon(store)
        await daemon.crash('s1', 's2')
        await asyncio.sleep(2 * PERIOD_S)
        await daemon.stop()
        assert (await store.get('crashes/explained')).value['crashes']
