"""Record of limited servers in the store."""

import asyncio

import pytest

from oriolegauge.forwarding.leavinginstances import ServerInstance
from oriolegauge.forwarding.serverlimits import ServerLimits
from oriolegauge.gateway.limitrecord import LimitRecord
from oriolegauge.gateway.storerecord import PERIOD_S
from oriolegauge.objectstore import StoreUnavailableError
from oriolegauge.testkit import MemoryObjectStore

SERVER = ServerInstance('s0', 7)


class Daemon:
    def __init__(self, store, is_writer=True):
        clock = asyncio.get_running_loop().time
        self.limits = ServerLimits(clock, on_change=lambda _: None)
        record = LimitRecord(
            store=store,
            kind='limits',
            limits=self.limits,
            is_writer=lambda: is_writer,
        )
        self.task = asyncio.create_task(record.run())

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class DownStore:
    era = 0

    async def get(self, key):
        raise StoreUnavailableError('down')


@pytest.mark.looptime
class TestLimitRecord:
    async def test_next_process_knows_the_rate_before_the_first_reply(self):
        """Guards against a limit that is lost when all daemons stop."""
        store = MemoryObjectStore()
        first = Daemon(store)
        await asyncio.sleep(PERIOD_S)
        first.limits.note(SERVER, 2.5)
        await asyncio.sleep(2 * PERIOD_S)
        await first.stop()
        second = Daemon(store)
        await asyncio.sleep(PERIOD_S / 2)
        assert second.limits.per_s(SERVER) == 2.5
        mark = second.limits.mark(SERVER)
        second.limits.note_unlimited(SERVER, mark)
        await asyncio.sleep(2 * PERIOD_S)
        await second.stop()
        third = Daemon(store)
        await asyncio.sleep(PERIOD_S / 2)
        assert third.limits.per_s(SERVER) is None
        await third.stop()

    async def test_record_is_older_than_any_reply(self):
        """Guards against a limit of the past that replaces a newer one."""
        store = MemoryObjectStore()
        first = Daemon(store)
        first.limits.note(SERVER, 2.5)
        await asyncio.sleep(2 * PERIOD_S)
        await first.stop()
        second = Daemon(store)
        second.limits.note(SERVER, 4)
        await asyncio.sleep(PERIOD_S / 2)
        assert second.limits.per_s(SERVER) == 4
        await second.stop()

    async def test_record_that_a_restore_has_undone_is_written_again(self):
        """Guards against a rate that is known only until all daemons stop."""
        store = MemoryObjectStore()
        kept = store.copy()
        daemon = Daemon(store)
        daemon.limits.note(SERVER, 2.5)
        await asyncio.sleep(2 * PERIOD_S)
        store.restore(kept)
        assert await store.get('limits/named') is None
        await asyncio.sleep(2 * PERIOD_S)
        assert (await store.get('limits/named')).value['servers']
        await daemon.stop()

    async def test_only_one_daemon_writes(self):
        """Guards against a write of each daemon for each change."""
        store = MemoryObjectStore()
        other = Daemon(store, is_writer=False)
        other.limits.note(SERVER, 2.5)
        await asyncio.sleep(3 * PERIOD_S)
        assert await store.get('limits/named') is None
        await other.stop()

    @pytest.mark.parametrize(
        'value',
        [{}, {'servers': 3}, {'servers': [{'server': 's0'}]}],
    )
    async def test_damaged_record_stops_no_daemon(self, value):
        """Guards against a process that ends over a record it can't read."""
        store = MemoryObjectStore()
        await store.put('limits/named', value, 0)
        daemon = Daemon(store)
        daemon.limits.note(SERVER, 2.5)
        await asyncio.sleep(3 * PERIOD_S)
        await daemon.stop()
        assert (await store.get('limits/named')).value['servers']

    async def test_store_that_is_down_stops_no_daemon(self):
        daemon = Daemon(DownStore())
        await asyncio.sleep(3 * PERIOD_S)
        assert not daemon.task.done()
        await daemon.stop()
