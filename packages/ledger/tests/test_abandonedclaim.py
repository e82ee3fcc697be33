"""Claims whose caller left before the outcome was known."""

import asyncio
import gc

from oriolegauge.ledger import IntentLog
from oriolegauge.testkit import MemoryObjectStore


class TestAbandonedClaim:
    async def test_refusal_of_an_abandoned_claim_is_no_loop_error(self):
        """Guards against 'exception was never retrieved' in the logs."""
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
