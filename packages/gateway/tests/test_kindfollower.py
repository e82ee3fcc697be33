"""Follower of the objects of one kind in the store."""

import asyncio
import random
from dataclasses import replace

import orjson
import pytest

from oriolegauge.gateway.kindfollower import (
    BATCH_CHANGES_S,
    LEADER_RETRY_MAX_S,
    LONG_POLL_S,
    READING_AGE_SPREAD,
    ROLE_CHECK_PERIOD_S,
    KindFollower,
)
from oriolegauge.gateway.shareddocuments import (
    Document,
    SharedDocuments,
)
from oriolegauge.objectstore import (
    Changes,
    HistoryLostError,
    Snapshot,
    StoredObject,
    StoreUnavailableError,
    store_version,
)

MAX_READING_AGE_S = 2.0


class ScriptedStore:
    """Store that returns or raises the steps of a script in order."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []
        self.waits = []

    async def snapshot(self, kind):
        return await self._next('snapshot')

    async def changes(self, kind, after, wait_s):
        self.waits.append(wait_s)
        return await self._next(after)

    async def _next(self, call):
        self.calls.append(call)
        if not self.script:
            await asyncio.Event().wait()
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


def entry(name, version):
    return StoredObject(f'servers/{name}', version, {'v': version})


def make_documents(on_change=lambda *_: None):
    return SharedDocuments(on_change, clock=asyncio.get_running_loop().time)


def make_follower(
    store,
    documents,
    *,
    is_watcher,
    is_leader,
    regained=None,
    asked=None,
):
    clock = asyncio.get_running_loop().time
    return KindFollower(
        store=store,
        kind='servers',
        documents=documents,
        max_reading_age_s=MAX_READING_AGE_S,
        clock=clock,
        is_watcher=is_watcher if callable(is_watcher) else lambda: is_watcher,
        is_leader=is_leader if callable(is_leader) else lambda: is_leader,
        on_store_regained=lambda: (
            None if regained is None else regained.append(1)
        ),
        on_first_attempt=lambda: None if asked is None else asked.append(1),
    )


async def follow(*script, is_watcher=True, is_leader=True):
    taken, regained = [], []
    documents = make_documents(lambda _, found: taken.append(found))
    store = ScriptedStore(*script)
    follower = make_follower(
        store,
        documents,
        is_watcher=is_watcher,
        is_leader=is_leader,
        regained=regained,
    )
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(3)
    task.cancel()
    assert len(regained) <= 1
    return taken, store, follower


@pytest.mark.looptime
class TestKindFollower:
    async def test_follows_changes_and_deletions(self):
        """Guards against deleted servers that are still used."""
        taken, _, _ = await follow(
            Snapshot([entry('a', 1), entry('b', 2)], 2),
            Changes([entry('b', 3)], ['servers/a'], 4),
        )
        assert [found.revision for found in taken] == [2, 4]
        assert b'"v":3' in taken[-1].payload
        assert b'servers/a' not in taken[-1].payload

    async def test_frequent_changes_are_read_in_batches(self):
        """Guards against a call of each watcher for each new server.

        At the start of a large fleet 8 watchers made 736 calls before the
        first request, a quarter of all calls.
        """
        registered = [
            Changes([entry(f's{number}', number)], [], number)
            for number in range(2, 100)
        ]
        _, store, _ = await follow(Snapshot([entry('a', 1)], 1), *registered)
        assert len(store.calls) <= 2 + 3 / BATCH_CHANGES_S

    async def test_documents_from_peers_are_not_read_again(self):
        """Guards against a configuration that each daemon reads twice.

        Daemons got 17 versions from peers, 16 KB each, and read them again
        from the store, 217 KB each, over links of 5 Mbit/s.
        """
        documents = make_documents()
        peer_document = Document(
            7, b'[{"key":"servers/b","value":{"v":7}}]', 'peer'
        )
        store = ScriptedStore(
            Snapshot([entry('a', 1)], 1),
            Changes([entry('c', 9)], [], 9),
        )
        follower = make_follower(
            store, documents, is_watcher=False, is_leader=False
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1)
        documents.offer('servers', peer_document)
        await asyncio.sleep(MAX_READING_AGE_S)
        task.cancel()
        assert store.calls[:2] == ['snapshot', 7]
        payload = documents.get('servers').payload
        assert b'servers/a' not in payload
        assert b'servers/b' in payload
        assert b'servers/c' in payload

    async def test_lost_history_causes_a_full_read(self):
        """Guards against changes missed while the history was lost."""
        taken, store, _ = await follow(
            Snapshot([entry('a', 1)], 1),
            HistoryLostError('gone'),
            Snapshot([entry('b', 7)], 9),
        )
        assert store.calls[:3] == ['snapshot', 1, 'snapshot']
        assert taken[-1].revision == 9

    async def test_non_watcher_that_hears_of_readings_makes_no_calls(self):
        """Guards against store calls that grow with the number of daemons."""
        documents = make_documents()
        readings = documents.readings
        store = ScriptedStore(Snapshot([entry('a', 5)], 5), Changes([], [], 5))
        follower = make_follower(
            store,
            documents,
            is_watcher=False,
            is_leader=False,
        )
        task = asyncio.create_task(follower.run())
        for _ in range(20):
            await asyncio.sleep(0.5)
            readings.note('servers', readings.now() - 0.6)
        task.cancel()
        assert store.calls == ['snapshot']

    async def test_answer_that_is_older_than_a_peer_causes_no_busy_loop(self):
        """Guards against a daemon that does nothing but call the store."""
        documents = make_documents()
        store = ScriptedStore(
            Snapshot([entry('a', 1)], 1), *[Changes([], [], 1)] * 1_000
        )
        follower = make_follower(
            store, documents, is_watcher=False, is_leader=False
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1)
        documents.offer('servers', Document(7, b'[]', 'peer'))
        await asyncio.sleep(10 * MAX_READING_AGE_S)
        task.cancel()
        assert len(store.calls) <= 2 + 10 / READING_AGE_SPREAD[0]

    async def test_non_watcher_that_hears_of_none_reads_the_store(self):
        """Guards against a host whose peers are behind or silent."""
        documents = make_documents()
        store = ScriptedStore(
            Snapshot([entry('a', 5)], 5),
            *[Changes([entry('a', one)], [], one) for one in range(6, 20)],
        )
        follower = make_follower(
            store, documents, is_watcher=False, is_leader=False
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(MAX_READING_AGE_S + ROLE_CHECK_PERIOD_S)
        assert documents.revisions['servers'] >= 6
        await asyncio.sleep(10 * MAX_READING_AGE_S)
        task.cancel()
        shortest_s = MAX_READING_AGE_S * READING_AGE_SPREAD[0]
        assert len(store.calls) <= 2 + 11 * MAX_READING_AGE_S / shortest_s

    @pytest.mark.parametrize(('is_leader', 'most'), [(True, 30), (False, 8)])
    async def test_only_leaders_retry_a_refusing_store_often(
        self, is_leader, most
    ):
        """Guards against the cost of refused calls, times the fleet.

        The store once refused calls of a third of 68 daemons for 9 s.
        """
        refusals = [StoreUnavailableError('refused')] * 100
        _, store, _ = await follow(
            *refusals, is_watcher=is_leader, is_leader=is_leader
        )
        assert 2 <= len(store.calls) <= most

    async def test_failed_calls_are_retried(self):
        """Guards against a follower that stops in an outage."""
        taken, _, follower = await follow(
            StoreUnavailableError('down'),
            StoreUnavailableError('down'),
            Snapshot([entry('a', 1)], 1),
        )
        assert len(taken) == 1
        assert follower.regained_at > follower.failed_at

    async def test_recovery_of_the_store_is_noticed_at_once(self):
        """Guards against a long poll as the first call after a failure.

        It would show the recovery of the store 2 s late, and until then
        daemons would draw no grants ahead of demand.
        """
        _, store, _ = await follow(
            Snapshot([entry('a', 1)], 1),
            StoreUnavailableError('cut'),
            StoreUnavailableError('cut'),
            Changes([], [], 1),
        )
        first, *failed, last = store.waits
        assert failed == [0, 0]
        assert 0 < first <= LONG_POLL_S
        assert 0 < last <= LONG_POLL_S

    async def test_recovered_store_is_watched_again_at_once(self):
        """Guards against changes that no daemon watches for after an outage.

        Daemons that had lost the store polled it once, by a read that may be
        stale, and then not again for 4 to 8 s.
        """
        documents = make_documents()
        store = ScriptedStore(
            Snapshot([entry('a', 1)], 1),
            StoreUnavailableError('cut'),
            Changes([], [], 1),
        )
        follower = make_follower(
            store,
            documents,
            is_watcher=lambda: not follower.is_store_unavailable,
            is_leader=True,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(2)
        task.cancel()
        assert store.calls == ['snapshot', 1, 1, 1]
        first, failed, last = store.waits
        assert failed == 0
        assert 0 < first <= LONG_POLL_S
        assert 0 < last <= LONG_POLL_S

    async def test_daemon_that_becomes_a_watcher_watches_at_once(self):
        """Guards against a configuration that no daemon reads for 8 s.

        A store that refused calls made all daemons leave it to their peers.
        """
        loop = asyncio.get_running_loop()
        store = ScriptedStore(
            Snapshot([entry('a', 1)], 1),
            Changes([], [], 1),
            Changes([], [], 1),
        )
        watches_from = loop.time() + 1
        follower = make_follower(
            store,
            make_documents(),
            is_watcher=lambda: loop.time() >= watches_from,
            is_leader=True,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1 + ROLE_CHECK_PERIOD_S)
        task.cancel()
        assert store.calls == ['snapshot', 1, 1, 1]
        assert follower.watches_store

    async def test_daemon_that_becomes_a_leader_retries_soon(self, monkeypatch):
        """Guards against a recovery of the store that is noticed 3 s late."""
        monkeypatch.setattr(random, 'uniform', lambda _, longest: longest)
        loop = asyncio.get_running_loop()
        store = ScriptedStore(*[StoreUnavailableError('down')] * 100)
        leads_from = loop.time() + 20
        follower = make_follower(
            store,
            make_documents(),
            is_watcher=False,
            is_leader=lambda: loop.time() >= leads_from,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(20)
        before = len(store.calls)
        await asyncio.sleep(LEADER_RETRY_MAX_S + ROLE_CHECK_PERIOD_S)
        task.cancel()
        assert len(store.calls) > before

    async def test_stale_reply_of_the_store_is_ignored(self):
        """Guards against a return to an older state."""
        taken, _, _ = await follow(
            Snapshot([entry('a', 5)], 5), Changes([entry('a', 3)], [], 3)
        )
        assert len(taken) == 1


class TestStartOfADaemon:
    @pytest.mark.parametrize(
        'first',
        [Snapshot([entry('a', 5)], 5), StoreUnavailableError('down')],
    )
    async def test_store_is_called_before_peer_documents_are_used(self, first):
        """Guards against reuse of a revoked key or a removed server.

        A peer without contact to the store may send an older state to a daemon
        that was just restarted.
        """
        asked = []
        store = ScriptedStore(first)
        follower = make_follower(
            store,
            make_documents(),
            is_watcher=True,
            is_leader=True,
            asked=asked,
        )
        assert not follower.has_tried_store
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.01)
        assert follower.has_tried_store
        assert asked == [1]
        task.cancel()


class TestRestoredStore:
    async def test_deleted_object_of_a_restored_copy_is_not_listed(self):
        """Guards against a server that has left and is used again."""

        def restored(name, revision):
            version = store_version(1, revision)
            return replace(entry(name, revision), version=version)

        taken, _, _ = await follow(
            Snapshot([entry('a', 5), entry('b', 6)], 6),
            Changes([], ['servers/a'], 7),
            HistoryLostError('restored'),
            Snapshot([restored('a', 5), restored('b', 6)], store_version(1, 6)),
            Changes([restored('a', 9)], [], store_version(1, 9)),
        )
        names = [
            [row['key'] for row in orjson.loads(document.payload)]
            for document in taken
        ]
        assert names == [
            ['servers/a', 'servers/b'],
            ['servers/b'],
            ['servers/a', 'servers/b'],
        ]
