"""Budget policies: grants, a static split, and an update per request."""

import asyncio
import copy
import random
from dataclasses import dataclass
from typing import Any

from bench.budgetworkload import (
    DAEMONS,
    DEADLINE_S,
    FAILURE_PROOF_S,
    SHARD,
    ZONES,
    Simulation,
)
from oriolegauge.budget import (
    BudgetExhaustedError,
    BudgetManager,
    Reservation,
)
from oriolegauge.objectstore import StoreError, VersionConflictError
from oriolegauge.testkit import MemoryNetwork, MemoryPeers, StoreClient

STORE_LATENCY_S = 0.004
LINK_LATENCY_S = 0.0013
UPDATE_ATTEMPTS = 10


class _StoreClients:
    """Base of the policies; holds one store client per daemon."""

    def __init__(self) -> None:
        self.clients: dict[str, StoreClient] = {}

    @property
    def store_calls(self) -> int:
        """Return the number of store calls of all daemons."""
        return sum(client.calls for client in self.clients.values())

    def _connect(self, simulation: Simulation) -> None:
        self.clients = {
            name: StoreClient(
                simulation.store,
                rng=random.Random(f'{name}s'),
                latency_s=STORE_LATENCY_S,
            )
            for name in DAEMONS
        }
        for client in self.clients.values():
            client.loss = simulation.workload.lost_answer_share


class Grants(_StoreClients):
    """Use the budget manager of the product."""

    def start(self, simulation: Simulation) -> None:
        self._connect(simulation)
        self._simulation = simulation
        network = MemoryNetwork(rng=random.Random(7), latency_s=LINK_LATENCY_S)
        self._network = network
        self._peers = {name: MemoryPeers(network, name) for name in DAEMONS}
        self.managers = {
            name: BudgetManager(
                store=self.clients[name],
                holder=f'{name}/1',
                shard_count=1,
                clock=simulation.loop.time,
                peers=self._peers[name],
                zone=ZONES[number % len(ZONES)],
            )
            for number, name in enumerate(DAEMONS)
        }
        for number, name in enumerate(DAEMONS):
            zone = ZONES[number % len(ZONES)]
            network.join(name, zone, self.managers[name])

    async def reserve(
        self,
        daemon: str,
        budget: str,
        request_id: str,
        tokens: int,
        minimum: int,
    ) -> tuple[int, Any] | None:
        try:
            found = await self.managers[daemon].reserve(
                budget=budget,
                request_id=request_id,
                tokens=tokens,
                minimum=minimum,
                deadline=self._simulation.loop.time() + DEADLINE_S,
            )
        except BudgetExhaustedError:
            return None
        return found.tokens, found

    async def settle(
        self, daemon: str, handle: Reservation, tokens: int
    ) -> None:
        await self.managers[daemon].settle(handle, tokens, keyed=False)

    async def flush(self, daemon: str) -> None:
        try:
            await self.managers[daemon].flush(due_only=True)
        except StoreError:
            return

    async def kill(self, daemon: str) -> None:
        self.clients[daemon].running.clear()
        self._peers[daemon].running.clear()
        self._network.leave(daemon)
        crashed = self.managers.pop(daemon)
        await asyncio.sleep(FAILURE_PROOF_S)
        for manager in list(self.managers.values()):
            await manager.close_process_holders(crashed.state()['holder'])

    def reserved(self, budget: str) -> dict[str, int]:
        return {
            reservation.request_id: reservation.tokens
            for manager in self.managers.values()
            for reservation in manager._settler._open.values()
            if reservation.budget == budget
        }

    async def drain(self) -> None:
        for name in list(self.managers):
            await self.flush(name)
        for manager in self.managers.values():
            await manager.drain()


@dataclass(slots=True)
class _Charge:
    budget: str
    request_id: str
    tokens: int


class StaticSplit(_StoreClients):
    """Split the tokens evenly at the start and never move them."""

    def start(self, simulation: Simulation) -> None:
        self._connect(simulation)
        share = simulation.workload.prepaid // len(DAEMONS)
        self._reserved = {budget: {} for budget in simulation.budgets}
        self._free = {
            (name, budget): share
            for name in DAEMONS
            for budget in simulation.budgets
        }

    async def reserve(
        self,
        daemon: str,
        budget: str,
        request_id: str,
        tokens: int,
        minimum: int,
    ) -> tuple[int, Any] | None:
        taken = min(tokens, self._free[daemon, budget])
        if taken < minimum:
            return None
        self._free[daemon, budget] -= taken
        self._reserved[budget][request_id] = taken
        return taken, _Charge(budget, request_id, taken)

    async def settle(self, daemon: str, handle: Any, tokens: int) -> None:
        self._free[daemon, handle.budget] += handle.tokens - tokens
        self._reserved[handle.budget].pop(handle.request_id)

    async def flush(self, daemon: str) -> None:
        """Make one store call, as for a write of the spent tokens."""
        try:
            await self.clients[daemon].get(SHARD)
        except StoreError:
            return

    async def kill(self, daemon: str) -> None:
        """Leave the share of the daemon unused."""

    async def drain(self) -> None:
        """Return nothing; the split is fixed."""

    def reserved(self, budget: str) -> dict[str, int]:
        return self._reserved[budget]


class UpdatePerRequest(_StoreClients):
    """Charge the reservation and refund the rest by conditional updates."""

    def start(self, simulation: Simulation) -> None:
        self._connect(simulation)
        self._rng = random.Random(3)
        self._reserved = {budget: {} for budget in simulation.budgets}

    async def reserve(
        self,
        daemon: str,
        budget: str,
        request_id: str,
        tokens: int,
        minimum: int,
    ) -> tuple[int, Any] | None:
        taken = await self._change(daemon, budget, tokens, minimum)
        if not taken:
            return None
        self._reserved[budget][request_id] = taken
        return taken, _Charge(budget, request_id, taken)

    async def settle(self, daemon: str, handle: _Charge, tokens: int) -> None:
        self._reserved[handle.budget].pop(handle.request_id)
        refund = tokens - handle.tokens
        while refund:
            if await self._change(daemon, handle.budget, refund, refund):
                return
            await asyncio.sleep(0.1)

    async def flush(self, daemon: str) -> None:
        """Write nothing; each request is written at once."""

    async def kill(self, daemon: str) -> None:
        """Leave the reservations of the daemon charged."""

    async def drain(self) -> None:
        """Return nothing; daemons hold no tokens."""

    def reserved(self, budget: str) -> dict[str, int]:
        return self._reserved[budget]

    async def _change(
        self, daemon: str, budget: str, tokens: int, minimum: int
    ) -> int:
        client = self.clients[daemon]
        for attempt in range(UPDATE_ATTEMPTS):
            try:
                stored = await client.get(SHARD)
                value = copy.deepcopy(dict(stored.value))
                record = value['budgets'][budget]
                taken = min(tokens, record['prepaid'] - record['settled'])
                if taken < minimum:
                    return 0
                record['settled'] += taken
                await client.put(SHARD, value, stored.version)
            except VersionConflictError:
                await asyncio.sleep(self._rng.uniform(0, 0.004 * 2**attempt))
            except StoreError:
                return 0
            else:
                return taken
        return 0
