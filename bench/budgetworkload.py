"""Simulate prepaid requests and count what was spent and refused."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import looptime

from oriolegauge.budget import create_budget
from oriolegauge.testkit import MemoryObjectStore, StoreFault

DAEMONS = tuple(f'd{number}' for number in range(6))
ZONES = ('z1', 'z2', 'z3')
SHARD = 'budgets/0'
DEADLINE_S = 5.0
FLUSH_PERIOD_S = 2.0
FINAL_WAIT_S = 20.0
FAILURE_PROOF_S = 1.0

Weights = Callable[[float], list[float]]


@dataclass(frozen=True, slots=True)
class Workload:
    """Describe the requests and the injected failures; times in seconds."""

    name: str
    prepaid: int
    requests: int
    rate: float
    weights: Weights = lambda _: [1.0] * len(DAEMONS)
    budgets: int = 1
    outage: tuple[float, float] = (0, 0)
    crash_at_s: float = 0
    lost_answer_share: float = 0


@dataclass(slots=True)
class Tally:
    """Count spent tokens per budget, requests and refusals."""

    prepaid: int
    spent: dict[str, int] = field(default_factory=dict)
    requests: int = 0
    refusals: int = 0
    false_refusals: int = 0

    @property
    def overspend(self) -> int:
        """Return the tokens spent beyond what was prepaid."""
        return sum(max(0, one - self.prepaid) for one in self.spent.values())

    @property
    def false_refusals_per_10k(self) -> float:
        """Return the false refusals per 10,000 requests."""
        return 1e4 * self.false_refusals / self.requests


class Policy(Protocol):
    """Reserve and settle tokens of budgets on all daemons."""

    def start(self, simulation: 'Simulation') -> None:
        """Prepare the daemons."""

    async def reserve(
        self,
        daemon: str,
        budget: str,
        request_id: str,
        tokens: int,
        minimum: int,
    ) -> tuple[int, Any] | None:
        """Return the reserved tokens and a handle, or None."""

    async def settle(self, daemon: str, handle: Any, tokens: int) -> None:
        """Bill the tokens."""

    async def flush(self, daemon: str) -> None:
        """Run the periodic work of a daemon, every 2 seconds."""

    async def kill(self, daemon: str) -> None:
        """Crash a daemon; the others have proof of it 1 second later."""

    async def drain(self) -> None:
        """Return all grants."""

    def reserved(self, budget: str) -> dict[str, int]:
        """Return the tokens set aside at any daemon, by request id."""


class Simulation:
    """Run one workload with one policy and count the outcome."""

    def __init__(self, workload: Workload, seed: int) -> None:
        self.workload = workload
        self.rng = random.Random(seed)
        self.loop = looptime.new_event_loop(noop_cycles=0)
        self.store = MemoryObjectStore()
        self.budgets = [f'team/b{one}' for one in range(workload.budgets)]
        self.tally = Tally(workload.prepaid)
        self.live = list(DAEMONS)
        self._ended: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def run(self, policy: Policy) -> Tally:
        """Return the tally after all requests have ended."""
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._run(policy))
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        if pending:
            self.loop.run_until_complete(asyncio.wait(pending))
        self.loop.close()
        return self.tally

    @property
    def billed(self) -> int:
        """Return the tokens settled in the store."""
        records = self.store.objects[SHARD].value['budgets'].values()
        return sum(record['settled'] for record in records)

    def unreserved_tokens(self, policy: Policy, budget: str) -> int:
        """Return the tokens neither spent nor reserved by a running request."""
        reserved = sum(
            tokens
            for request_id, tokens in policy.reserved(budget).items()
            if request_id not in self._ended
        )
        spent = self.tally.spent.get(budget, 0)
        return self.workload.prepaid - spent - reserved

    async def _run(self, policy: Policy) -> None:
        shard: dict[str, Any] = {}
        for budget in self.budgets:
            shard = create_budget(shard, budget, self.workload.prepaid)
        await self.store.put(SHARD, shard, 0)
        policy.start(self)
        for name in DAEMONS:
            self._spawn(self._flush(policy, name))
        self._spawn(self._simulate_outage())
        if self.workload.crash_at_s:
            self._spawn(self._crash_daemon(policy))
        for number in range(self.workload.requests):
            await asyncio.sleep(self.rng.expovariate(self.workload.rate))
            weights = self.workload.weights(self.loop.time())
            name = self.rng.choices(DAEMONS, weights)[0]
            if name not in self.live:
                name = self.rng.choice(self.live)
            self._spawn(self._request(policy, name, number))
        await asyncio.sleep(FINAL_WAIT_S)
        await policy.drain()

    async def _request(self, policy: Policy, name: str, number: int) -> None:
        budget = self.rng.choice(self.budgets)
        wanted = self.rng.randint(300, 1500)
        minimum = wanted // 3
        used_share = self.rng.uniform(0.3, 1)
        duration = self.rng.uniform(0.1, 3)
        tally = self.tally
        tally.requests += 1
        request_id = f'r{number}'
        found = await policy.reserve(name, budget, request_id, wanted, minimum)
        if found is None:
            self._ended.add(request_id)
            tally.refusals += 1
            tally.false_refusals += (
                self.unreserved_tokens(policy, budget) >= minimum
            )
            return
        tokens, handle = found
        await asyncio.sleep(duration)
        self._ended.add(request_id)
        if name not in self.live:
            return
        used = int(tokens * used_share)
        tally.spent[budget] = tally.spent.get(budget, 0) + used
        await policy.settle(name, handle, used)

    async def _flush(self, policy: Policy, name: str) -> None:
        await asyncio.sleep(FLUSH_PERIOD_S * self.rng.random())
        while name in self.live:
            await policy.flush(name)
            await asyncio.sleep(FLUSH_PERIOD_S)

    async def _simulate_outage(self) -> None:
        begin, end = self.workload.outage
        await asyncio.sleep(begin)
        if end:
            self.store.fault = StoreFault.OUTAGE
        await asyncio.sleep(end - begin)
        self.store.fault = StoreFault.NONE

    async def _crash_daemon(self, policy: Policy) -> None:
        await asyncio.sleep(self.workload.crash_at_s)
        await policy.kill(self.live.pop(0))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
