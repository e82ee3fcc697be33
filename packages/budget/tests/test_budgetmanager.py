"""Reservations of a single budget manager on a simulated clock."""

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


class ManagerHarness:
    """A store with one budget and a manager without peers."""

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
        """Guards against one store write for each of many requests."""
        harness = await ManagerHarness(100_000).start()
        writes = harness.store.writes
        found = await asyncio.gather(
            *(harness.reserve(100, 100) for _ in range(50))
        )
        assert sum(one.tokens for one in found) == 5000
        assert harness.store.writes == writes + 1

    async def test_refusal_is_immediate_when_nothing_can_pay(self):
        """Guards against callers that wait although nothing can be returned."""
        harness = await ManagerHarness(50).start()
        started = harness.now()
        with pytest.raises(BudgetExhaustedError) as refused:
            await harness.reserve(100, 60)
        assert harness.now() - started < 0.05
        assert refused.value.run_state == 'not_run'
        assert refused.value.retry_after_s

    async def test_wait_for_returned_tokens_is_bounded(self):
        """Guards the limit of 250 ms when other requests hold all tokens."""
        harness = await ManagerHarness(100).start()
        await harness.reserve(100, 100)
        started = harness.now()
        with pytest.raises(BudgetExhaustedError):
            await harness.reserve(100, 60)
        assert 0.2 < harness.now() - started < 0.32

    async def test_waiting_request_gets_returned_tokens(self):
        """Guards against a refusal just before tokens are returned."""
        harness = await ManagerHarness(100).start()
        first = await harness.reserve(100, 100)
        asyncio.get_running_loop().call_later(
            0.1, harness.manager.release, first
        )
        assert (await harness.reserve(100, 60)).tokens == 100

    async def test_small_budget_caps_the_output(self):
        """Guards the use of budgets that are smaller than one request."""
        harness = await ManagerHarness(70).start()
        assert (await harness.reserve(1000, 60)).tokens == 70

    async def test_unknown_budget_is_reported(self):
        """Guards against reporting an unknown budget as exhausted."""
        harness = await ManagerHarness(70).start()
        with pytest.raises(BudgetUnknownError):
            await harness.reserve(10, 10, budget='team/other')

    async def test_second_settlement_bills_nothing(self):
        """Guards against a double bill when a settlement is retried."""
        harness = await ManagerHarness(1000).start()
        found = await harness.reserve(100, 100)
        first = await harness.manager.settle(found, 80, keyed=False)
        second = await harness.manager.settle(found, 80, keyed=False)
        harness.manager.release(found)
        await harness.manager.drain()
        record = harness.store.objects['budgets/0'].value['budgets'][BUDGET]
        assert (first.billed, second.billed) == (80, 0)
        assert (record['settled'], record['grants']) == (80, {})

    async def test_spending_stops_without_store_contact(self):
        """Guards against spending a grant that peers may have freed.

        Peers may close a holder after 900 s without a write to the store.
        """
        harness = await ManagerHarness(1000).start()
        await harness.reserve(10, 10)
        harness.store.fault = StoreFault.OUTAGE
        await asyncio.sleep(STOP_SPENDING_S - 1)
        await harness.reserve(10, 10)
        await asyncio.sleep(2)
        with pytest.raises(BudgetExhaustedError):
            await harness.reserve(10, 10)
        harness.store.fault = StoreFault.NONE
        await asyncio.sleep(1)
        await harness.reserve(10, 10)
