"""Claims whose caller was cancelled before the outcome was known."""

import asyncio
import gc

from oriolegauge.ledger import IntentLog
from oriolegauge.testkit import MemoryObjectStore


class TestWithdrawnClaim:
    async def test_refusal_without_a_caller_is_not_a_loop_error(self):
        """Guards against 'exception was never retrieved' in the logs.

        A cancelled caller doesn't read the exception of its claim, so nobody
        retrieves it before the future is collected.
        """
        loop = asyncio.get_running_loop()
        reported = []
        loop.set_exception_handler(lambda _, context: reported.append(context))
        log = IntentLog(
            store=MemoryObjectStore(),
            holder='d/1',
            shard_count=1,
            clock=loop.time,
        )
        pending = log._pending('id', 'fingerprint')
        pending.future.set_exception(RuntimeError('refused'))
        await asyncio.sleep(0)
        del pending
        gc.collect()
        assert not reported
