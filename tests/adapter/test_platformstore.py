"""The adapter's store client against a store that fails."""

import asyncio
import contextlib
import resource

import orjson
import pytest
from oriolegauge_adapter.platformstore import MAX_ANSWER_BYTES, PlatformStore

from oriolegauge.objectstore import (
    HistoryLostError,
    StoreAnswerLostError,
    StoreError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreUnreachableError,
    VersionConflictError,
    revision_of,
)


@pytest.fixture
async def client(stand_in):
    store = PlatformStore(f'127.0.0.1:{stand_in.port}')
    yield store
    await store.close()


class TestPlatformStore:
    async def test_put_creates_and_replaces(self, client):
        """Guards against misread names or revisions."""
        made = await client.put('grants/a', {'x': 1}, 0)
        changed = await client.put('grants/a', {'x': 2}, made.version)
        found = await client.get('grants/a')
        assert found == changed
        assert found.value == {'x': 2}
        assert await client.get('grants/b') is None

    async def test_conflict_carries_the_current_object(self, client):
        """Guards against a second call after each conflict."""
        await client.put('grants/a', {'x': 1}, 0)
        for expected in (0, 99):
            with pytest.raises(VersionConflictError) as conflict:
                await client.put('grants/a', {'x': 3}, expected)
            assert conflict.value.current.value == {'x': 1}

    @pytest.mark.parametrize(
        ('status', 'error'),
        [(429, StoreRateLimitError), (503, StoreUnavailableError)],
    )
    async def test_rejected_write_is_not_unknown(
        self, client, stand_in, status, error
    ):
        """Guards against treating a rejected write as a lost answer."""
        stand_in.status = status
        with pytest.raises(error):
            await client.put('grants/a', {}, 0)
        with pytest.raises(error):
            await client.get('grants/a')

    async def test_lost_answer_of_a_write_is_not_retried(
        self, client, stand_in
    ):
        """Guards against repeating a write that may have been applied."""
        stand_in.lose_writes = True
        with pytest.raises(StoreAnswerLostError):
            await client.put('grants/a', {}, 0)
        assert stand_in.calls['POST'] == 1
        assert ('grants', 'a') in stand_in.objects

    async def test_lost_answer_of_a_replacement_is_not_retried(
        self, client, stand_in
    ):
        """Guards against a conflict with the own write.

        The HTTP library repeats PUT requests, but not POST requests.
        """
        made = await client.put('grants/a', {'x': 1}, 0)
        stand_in.lose_writes = True
        with pytest.raises(StoreAnswerLostError):
            await client.put('grants/a', {'x': 2}, made.version)
        assert stand_in.calls['PUT'] == 1

    async def test_write_without_connection_is_not_unknown(
        self, client, stand_in
    ):
        """Guards against an unknown outcome when nothing can have been sent."""
        await stand_in.stop()
        with pytest.raises(StoreUnreachableError):
            await client.put('grants/a', {}, 0)

    async def test_unresponsive_store_times_out(self, client, stand_in):
        """Guards against a read that hangs."""
        stand_in.silent = True
        with pytest.raises(StoreUnreachableError):
            await client.get('grants/a')

    async def test_snapshot_reads_all_pages(self, client, stand_in):
        """Guards against missing servers when a list has several pages."""
        stand_in.page_size = 3
        for number in range(8):
            await stand_in.write('servers', f's{number}', {'n': number})
        found = await client.snapshot('servers')
        assert len(found.objects) == 8
        assert found.revision == stand_in.revision

    async def test_changes_contain_the_last_event_of_each_object(
        self, client, stand_in
    ):
        """Guards against an entry that reappears after its deletion."""
        start = await stand_in.write('servers', 'a', {'n': 0})
        await stand_in.write('servers', 'b', {'n': 1})
        await stand_in.write('servers', 'b', {'n': 2})
        await stand_in.delete('servers', 'a')
        found = await client.changes('servers', start, 1)
        assert [entry.value for entry in found.changed] == [{'n': 2}]
        assert found.deleted == ['servers/a']
        stand_in.forget_history()
        with pytest.raises(HistoryLostError):
            await client.changes('servers', start, 1)


class TestRestoredStore:
    async def test_versions_rise_over_a_restore(self, client, stand_in):
        """Guards against a revision that is given out again."""
        kept = stand_in.copy()
        old = await client.put('grants/a', {'x': 1}, 0)
        await stand_in.restore(kept)
        assert await client.get('grants/a') is None
        new = await client.put('grants/a', {'x': 2}, 0)
        assert revision_of(new.version) == revision_of(old.version)
        assert new.version > old.version
        assert client.era == 1

    async def test_write_at_a_version_of_an_earlier_era_is_refused(
        self, client, stand_in
    ):
        """Guards against overwriting another object at the same revision."""
        kept = stand_in.copy()
        old = await client.put('grants/a', {'x': 1}, 0)
        await stand_in.restore(kept)
        assert await client.get('grants/a') is None
        await client.put('grants/a', {'x': 2}, 0)
        with pytest.raises(VersionConflictError):
            await client.put('grants/a', {'x': 3}, old.version)
        assert (await client.get('grants/a')).value == {'x': 2}

    async def test_write_that_meets_a_restore_is_unknown(
        self, client, stand_in
    ):
        """Guards against tokens of a write that the restore has undone."""
        kept = stand_in.copy()
        await client.put('grants/a', {'x': 1}, 0)
        await stand_in.restore(kept)
        with pytest.raises(StoreAnswerLostError):
            await client.put('grants/a', {'x': 2}, 0)

    async def test_watch_from_an_earlier_era_has_lost_its_history(
        self, client, stand_in
    ):
        """Guards against changes of the new era that are taken for all."""
        await client.put('grants/a', {'x': 1}, 0)
        kept = stand_in.copy()
        old = await client.put('grants/b', {'x': 1}, 0)
        await stand_in.restore(kept)
        await stand_in.write('grants', 'c', {'x': 1})
        for _ in range(2):
            with pytest.raises(HistoryLostError):
                await client.changes('grants', old.version, 0)

    async def test_answer_of_an_earlier_era_is_no_answer(
        self, client, stand_in
    ):
        """Guards against a late answer that hides a restore."""
        stand_in.era = 2
        await client.put('grants/a', {'x': 1}, 0)
        stand_in.era = 1
        with pytest.raises(StoreUnavailableError):
            await client.get('grants/a')


class TestAnswersWithoutEra:
    async def test_refusal_without_an_era_is_no_answer_of_an_earlier_one(
        self, client, stand_in
    ):
        """Guards against a refused write that counts as lost."""
        stand_in.era = 3
        await client.get('grants/a')
        stand_in.names_era = False
        stand_in.status = 429
        with pytest.raises(StoreRateLimitError):
            await client.put('grants/a', {}, 0)
        assert client.era == 3


class FixedAnswerStore:
    """Answer every call with the same bytes."""

    def __init__(self, body, head=b'', endless=False):
        self._body = body
        self._head = head
        self._endless = endless

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._answer, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self._client = PlatformStore(f'127.0.0.1:{port}')
        return self._client

    async def __aexit__(self, *_):
        await self._client.close()
        self._server.close()

    async def _answer(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        with contextlib.suppress(ConnectionError):
            writer.write(b'HTTP/1.1 200 OK\r\n' + self._head)
            if not self._endless:
                writer.write(b'Content-Length: %d\r\n' % len(self._body))
                writer.write(b'\r\n' + self._body)
            while self._endless:
                writer.write(self._body)
                await writer.drain()
        writer.close()


def nested(depth):
    return b'{"a":' * depth + b'1' + b'}' * depth


class TestOddEntries:
    @pytest.mark.parametrize(
        'spec',
        [
            nested(300),
            nested(100_000),
            b'[' * 50_000 + b']' * 50_000,
            b'{"slots": 1e999}',
            b'{"slots": ' + b'9' * 5_000 + b'}',
            b'{"a": "' + b'[{' * 50_000 + b'", "slots": 1e999}',
            b'{"zone": "\xff\xfe"}',
            b'{"zone": "\\ud800"}',
            b'{"zone": "\x00\x01\xff"}',
            b'{"zone": "a\nb"}',
            b'{"slots": NaN}',
            b'{"slots": -Infinity}',
            b'{"zone": \x01}',
            b'{"zone": }',
            b'{"slots": 1, 2}',
        ],
    )
    async def test_entry_that_can_not_be_read_hides_no_other(self, spec):
        """Guards against a list that is not followed because of one entry."""
        rows = [
            b'{"metadata": {"name": "%b", "revision": %d}, "spec": %b}' % row
            for row in ((b'a', 1, b'{"x": 1}'), (b'b', 2, spec))
        ]
        rows.append(rows[0].replace(b'"a"', b'"c"'))
        items = b', '.join(rows)
        page = b'{"items": [%b], "hasMore": false, "asOf": 3}' % items
        async with FixedAnswerStore(page) as client:
            found = await client.snapshot('servers')
        assert [entry.key[-1] for entry in found.objects] == ['a', 'b', 'c']
        assert found.objects[0].value == found.objects[2].value == {'x': 1}
        orjson.dumps([entry.value for entry in found.objects])
        events = b', '.join(
            b'{"object": %b, "deleted": false}' % row for row in rows
        )
        page = b'{"events": [%b], "asOf": 3}' % events
        async with FixedAnswerStore(page) as client:
            changes = await client.changes('servers', 0, 0)
        assert len(changes.changed) == 3

    async def test_entry_without_a_readable_name_hides_no_other(self):
        """Guards against a list that is not followed because of one name."""
        row = b'{"metadata": {"name": "a", "revision": 1}, "spec": 1}'
        odd = b'{"metadata": {"name": \x01}, "spec": 2}'
        page = b'{"items": [%b, %b], "hasMore": false, "asOf": 3}' % (row, odd)
        async with FixedAnswerStore(page) as client:
            found = await client.snapshot('servers')
        assert [entry.key for entry in found.objects] == ['servers/a']
        page = b'{"events": [%b, %b], "asOf": 3}' % tuple(
            b'{"object": %b, "deleted": false}' % one for one in (row, odd)
        )
        async with FixedAnswerStore(page) as client:
            changes = await client.changes('servers', 0, 0)
        assert [entry.key for entry in changes.changed] == ['servers/a']


class TestMalformedAnswers:
    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'null',
            b'[]',
            b'{}',
            b'{"items": 3}',
            b'{"items": [{}], "hasMore": false, "asOf": 3}',
            b'{"items": [], "hasMore": true, "asOf": 3}',
            b'{"items": [{"metadata": {"name": "a", "revision": 1}}],'
            b' "hasMore": true, "asOf": 3}',
            b'{"events": [{"deleted": true}], "asOf": 3}',
            b'\xff\xfe',
            b'{"items"',
        ],
    )
    async def test_malformed_answer_raises_a_store_error(self, body):
        """Guards against a malformed answer that crashes the process."""
        async with FixedAnswerStore(body) as client:
            for call in (
                client.snapshot('servers'),
                client.changes('servers', 1, 0),
                client.get('grants/a'),
                client.put('grants/a', {}, 0),
            ):
                with pytest.raises(StoreError):
                    await call

    @pytest.mark.parametrize(
        ('head', 'body'),
        [
            (b'X-Long: ', b'x' * 16_384),
            (b'', b'X-A: b\r\n' * 1_000),
            (b'Connection: close\r\n\r\n', b' ' * 16_384),
            (
                b'Transfer-Encoding: chunked\r\n\r\n',
                b'4000\r\n' + b' ' * 16_384 + b'\r\n',
            ),
        ],
    )
    async def test_endless_answer_is_bounded(self, head, body):
        """Guards against an answer that fills the memory of the daemon."""
        async with FixedAnswerStore(body, head, endless=True) as client:
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            with pytest.raises(StoreError):
                await client.snapshot('servers')
            after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            assert (after - before) * 1024 < 4 * MAX_ANSWER_BYTES
