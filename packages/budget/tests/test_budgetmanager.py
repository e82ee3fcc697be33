"""Reservations of a single budget manager on a paused clock."""

import asyncio

import pytest

from oriolegauge.budget import (
    BudgetExhaustedError,
    BudgetManager,
    BudgetUnknownError,
    create_budget,
)
from oriolegauge.testkit import MemoryObjectStore, StoreFault

BUDGET = 'team/main'
STOP_SPENDING_S = 900


class Bench:
    """A store with one budget and a manager that runs alone."""

    def __init__(self, prepaid) -> None:
        self.prepaid = prepaid
        self.store = MemoryObjectStore()
        self.now = asyncio.get_running_loop().time
        self.manager = BudgetManager(
            store=self.store, holder='d1/a', shard_count=1, clock=self.now
        )

    async def start(self):
        shard = create_budget({}, BUDGET, self.prepaid)
        await self.store.put('budgets/0', shard, 0)
        return self

    async def reserve(self, tokens, minimum, budget=BUDGET):
        return await self.manager.reserve(
            budget=budget,
            request_id='r',
            tokens=tokens,
            minimum=minimum,
            deadline=self.now() + 5,
        )


@pytest.mark.looptime
class TestBudgetManager:
    async def test_concurrent_reservations_share_one_write(self):
        """Guards the store's write rate when many requests start at once."""
        bench = await Bench(100_000).start()
        writes = bench.store.writes
        found = await asyncio.gather(
            *(bench.reserve(100, 100) for _ in range(50))
        )
        assert sum(one.tokens for one in found) == 5000
        assert bench.store.writes == writes + 1

    async def test_refusal_is_immediate_when_nothing_can_pay(self):
        """Guards against callers that wait for a refusal."""
        bench = await Bench(50).start()
        started = bench.now()
        with pytest.raises(BudgetExhaustedError) as refused:
            await bench.reserve(100, 60)
        assert bench.now() - started < 0.05
        assert refused.value.run_state == 'not_run'
        assert refused.value.retry_after_s

    async def test_wait_for_returned_tokens_is_bounded(self):
        """Guards the 250 ms limit while other requests hold the tokens."""
        bench = await Bench(100).start()
        await bench.reserve(100, 100)
        started = bench.now()
        with pytest.raises(BudgetExhaustedError):
            await bench.reserve(100, 60)
        assert 0.2 < bench.now() - started < 0.32

    async def test_waiting_request_gets_returned_tokens(self):
        """Guards against refusals while a reservation is being returned."""
        bench = await Bench(100).start()
        first = await bench.reserve(100, 100)
        asyncio.get_running_loop().call_later(0.1, bench.manager.release, first)
        assert (await bench.reserve(100, 60)).tokens == 100

    async def test_small_budget_caps_the_output(self):
        """Guards budgets that are smaller than one request."""
        bench = await Bench(70).start()
        assert (await bench.reserve(1000, 60)).tokens == 70

    async def test_unknown_budget_is_reported(self):
        """Guards against unknown budgets that look exhausted."""
        bench = await Bench(70).start()
        with pytest.raises(BudgetUnknownError):
            await bench.reserve(10, 10, budget='team/other')

    async def test_second_settlement_bills_nothing(self):
        """Guards P2 when a request is settled twice."""
        bench = await Bench(1000).start()
        found = await bench.reserve(100, 100)
        first = await bench.manager.settle(found, 80, keyed=False)
        second = await bench.manager.settle(found, 80, keyed=False)
        bench.manager.release(found)
        await bench.manager.drain()
        record = bench.store.objects['budgets/0'].value['budgets'][BUDGET]
        assert (first.billed, second.billed) == (80, 0)
        assert (record['settled'], record['grants']) == (80, {})

    async def test_spending_stops_without_store_contact(self):
        """Guards the grant of a holder that others may close after 900 s."""
        bench = await Bench(1000).start()
        await bench.reserve(10, 10)
        bench.store.fault = StoreFault.OUTAGE
        await asyncio.sleep(STOP_SPENDING_S - 1)
        await bench.reserve(10, 10)
        await asyncio.sleep(2)
        with pytest.raises(BudgetExhaustedError):
            await bench.reserve(10, 10)
        bench.store.fault = StoreFault.NONE
        await asyncio.sleep(1)
        await bench.reserve(10, 10)
