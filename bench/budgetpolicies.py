"""Our budgets, a static split per daemon, and an update per request."""

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
    World,
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


class _Clients:
    """Hold one store client per daemon."""

    def __init__(self) -> None:
        self.clients: dict[str, StoreClient] = {}

    @property
    def store_calls(self) -> int:
        """Return the calls of all daemons."""
        return sum(client.calls for client in self.clients.values())

    def _connect(self, world: World) -> None:
        self.clients = {
            name: StoreClient(
                world.store,
                rng=random.Random(f'{name}s'),
                latency_s=STORE_LATENCY_S,
            )
            for name in DAEMONS
        }
        for client in self.clients.values():
            client.loss = world.workload.loss


class Grants(_Clients):
    """Use the budget manager of the product."""

    def start(self, world: World) -> None:
        self._connect(world)
        self._world = world
        network = MemoryNetwork(rng=random.Random(7), latency_s=LINK_LATENCY_S)
        self._network = network
        self._peers = {name: MemoryPeers(network, name) for name in DAEMONS}
        self.managers = {
            name: BudgetManager(
                store=self.clients[name],
                holder=f'{name}/1',
                shard_count=1,
                clock=world.loop.time,
                peers=self._peers[name],
                zone=ZONES[number % len(ZONES)],
            )
            for number, name in enumerate(DAEMONS)
        }
        for number, name in enumerate(DAEMONS):
            zone = ZONES[number % len(ZONES)]
            network.join(name, zone, self.managers[name])

    async def reserve(
        self, daemon: str, budget: str, request_id: str, tokens: int, least: int
    ) -> tuple[int, Any] | None:
        try:
            found = await self.managers[daemon].reserve(
                budget=budget,
                request_id=request_id,
                tokens=tokens,
                minimum=least,
                deadline=self._world.loop.time() + DEADLINE_S,
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
        dead = self.managers.pop(daemon)
        await asyncio.sleep(FAILURE_PROOF_S)
        for manager in list(self.managers.values()):
            await manager.close_process_holders(dead.state()['holder'])

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


class StaticSplit(_Clients):
    """Give each daemon an equal part at the start and nothing later."""

    def start(self, world: World) -> None:
        self._connect(world)
        part = world.workload.prepaid // len(DAEMONS)
        self._reserved = {budget: {} for budget in world.budgets}
        self._free = {
            (name, budget): part for name in DAEMONS for budget in world.budgets
        }

    async def reserve(
        self, daemon: str, budget: str, request_id: str, tokens: int, least: int
    ) -> tuple[int, Any] | None:
        taken = min(tokens, self._free[daemon, budget])
        if taken < least:
            return None
        self._free[daemon, budget] -= taken
        self._reserved[budget][request_id] = taken
        return taken, _Charge(budget, request_id, taken)

    async def settle(self, daemon: str, handle: Any, tokens: int) -> None:
        self._free[daemon, handle.budget] += handle.tokens - tokens
        self._reserved[handle.budget].pop(handle.request_id)

    async def flush(self, daemon: str) -> None:
        """Write the spend, as the product does."""
        try:
            await self.clients[daemon].get(SHARD)
        except StoreError:
            return

    async def kill(self, daemon: str) -> None:
        """Leave the part of the daemon where it is."""

    async def drain(self) -> None:
        """Keep the parts."""

    def reserved(self, budget: str) -> dict[str, int]:
        return self._reserved[budget]


class UpdatePerRequest(_Clients):
    """Charge the reservation and refund the rest by conditional updates."""

    def start(self, world: World) -> None:
        self._connect(world)
        self._rng = random.Random(3)
        self._reserved = {budget: {} for budget in world.budgets}

    async def reserve(
        self, daemon: str, budget: str, request_id: str, tokens: int, least: int
    ) -> tuple[int, Any] | None:
        taken = await self._change(daemon, budget, tokens, least)
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
        """Write nothing; all is written with the requests."""

    async def kill(self, daemon: str) -> None:
        """Leave the reservations of the daemon charged."""

    async def drain(self) -> None:
        """Hold nothing."""

    def reserved(self, budget: str) -> dict[str, int]:
        return self._reserved[budget]

    async def _change(
        self, daemon: str, budget: str, tokens: int, least: int
    ) -> int:
        client = self.clients[daemon]
        for attempt in range(UPDATE_ATTEMPTS):
            try:
                stored = await client.get(SHARD)
                value = copy.deepcopy(dict(stored.value))
                record = value['budgets'][budget]
                taken = min(tokens, record['prepaid'] - record['settled'])
                if taken < least:
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
