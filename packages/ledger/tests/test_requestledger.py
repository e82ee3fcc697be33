import asyncio

import pytest

from oriolegauge.core import RunState
from oriolegauge.core.errors import AnswerIncompleteError, DrainingError
from oriolegauge.ledger import (
    AnswerExpiredError,
    Joined,
    KeyReusedError,
    Opened,
    Replayed,
    RequestLedger,
)
from oriolegauge.ledger.requestledger import REPLAY_WINDOW_S


def run_whole(ledger, request_id, size=10, now=0.0):
    record = ledger.open(request_id, 'f', now).record
    record.start(200, {'a': 'b'})
    record.append(bytes(size))
    record.finish(7, now)
    return record


async def read(record):
    return [part async for part in record.chunks()]


class TestRequestLedger:
    async def test_retries_read_all_bytes_in_order(self):
        """Guards against a retry that misses or repeats bytes of a stream."""
        ledger = RequestLedger()
        record = ledger.open('t/1', 'f', 0).record
        parts = [bytes([number]) * number for number in range(1, 30)]
        readers = []
        for part in parts:
            joined = ledger.open('t/1', 'f', 1)
            assert isinstance(joined, Joined)
            readers.append(asyncio.create_task(read(joined.record)))
            record.append(part)
            await asyncio.sleep(0)
        started = asyncio.create_task(record.started())
        record.start(200, {})
        record.finish(7, 2)
        replayed = ledger.open('t/1', 'f', 3)
        assert isinstance(replayed, Replayed)
        assert replayed.record.bill == 7
        assert await started == 200
        assert [await reader for reader in readers] == [parts] * len(parts)
        assert await read(replayed.record) == parts

    def test_key_with_another_body_is_refused_in_every_state(self):
        """Guards against answering with the answer of another request."""
        ledger = RequestLedger()
        ledger.open('running', 'f', 0)
        run_whole(ledger, 'ended')
        for request_id, now in (('running', 0), ('ended', 0), ('ended', 900)):
            with pytest.raises(KeyReusedError):
                ledger.open(request_id, 'g', now)

    def test_answer_expires_after_the_replay_window(self):
        """Guards against running and billing a request again later."""
        ledger = RequestLedger()
        run_whole(ledger, 'a')
        assert isinstance(ledger.open('a', 'f', REPLAY_WINDOW_S - 1), Replayed)
        with pytest.raises(AnswerExpiredError) as caught:
            ledger.open('a', 'f', REPLAY_WINDOW_S)
        assert caught.value.run_state is RunState.RAN
        assert ledger.answer_bytes == 0

    async def test_only_safe_failures_allow_another_run(self):
        """Guards against a second run, and keys that always get a refusal."""
        ledger = RequestLedger()
        refused = ledger.open('a', 'f', 0).record
        refused.fail(DrainingError('draining'), 0)
        assert isinstance(ledger.open('a', 'f', 1), Opened)
        cut = ledger.open('b', 'f', 0).record
        cut.append(b'x')
        cut.fail(AnswerIncompleteError('cut'), 0)
        replayed = ledger.open('b', 'f', 1)
        assert isinstance(replayed, Replayed)
        with pytest.raises(AnswerIncompleteError):
            await read(replayed.record)
        again = ledger.open('c', 'f', 0).record
        again.fail(AnswerIncompleteError('cut'), 0, allows_rerun=True)
        assert isinstance(ledger.open('c', 'f', 1), Opened)

    def test_limits_drop_the_oldest_answers_but_no_running_record(self):
        """Guards against unbounded memory and loss of a running record."""
        ledger = RequestLedger(
            answer_bytes_max=50_000, records_max=20, tombstones_max=30
        )
        running = ledger.open('running', 'f', 0).record
        running.append(bytes(20_000))
        for number in range(100):
            run_whole(ledger, f'k{number}', size=100 * number)
            assert ledger.record_count <= 20
            assert ledger.answer_bytes <= 50_000
        assert isinstance(ledger.open('running', 'f', 0), Joined)
        assert isinstance(ledger.open('k99', 'f', 0), Replayed)
        with pytest.raises(AnswerExpiredError):
            ledger.open('k90', 'f', 0)
        assert isinstance(ledger.open('k0', 'f', 0), Opened)
