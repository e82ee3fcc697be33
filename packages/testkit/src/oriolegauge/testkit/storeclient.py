"""Connection of a daemon to the in-memory store, with its own faults."""

import asyncio
import random
from collections.abc import AsyncIterator, Mapping
from typing import Any

from oriolegauge.objectstore import (
    HostStatus,
    ObjectStore,
    StoreAnswerLostError,
    StoredObject,
    StoreError,
    StoreUnavailableError,
)


class StoreClient:
    """Forward calls to the store with latency, losses, cuts and pauses.

    `loss` is the share of puts whose answer is lost. Of these, a third is
    applied at once, a third within `late_s` seconds and a third never. A call
    of a paused client continues when `running` is set again.
    """

    def __init__(
        self,
        store: ObjectStore,
        *,
        rng: random.Random,
        latency_s: float = 0,
        late_s: float = 0.05,
    ) -> None:
        self.is_cut = False
        self.loss = 0.0
        self.running = asyncio.Event()
        self.running.set()
        self.calls = 0
        self._store = store
        self._rng = rng
        self._latency_s = latency_s
        self._late_s = late_s
        self._late: set[asyncio.Task[None]] = set()

    async def get(self, key: str) -> StoredObject | None:
        await self._apply_latency()
        found = await self._store.get(key)
        await self._apply_latency()
        return found

    async def put(
        self, key: str, value: Mapping[str, Any], expected_version: int
    ) -> StoredObject:
        await self._apply_latency()
        if self._rng.random() < self.loss:
            await self._lose_answer(key, value, expected_version)
        stored = await self._store.put(key, value, expected_version)
        await self._apply_latency(is_applied=True)
        return stored

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        await self._apply_latency()
        return await self._store.list_objects(prefix)

    def watch(self, prefix: str, after: int) -> AsyncIterator[StoredObject]:
        return self._store.watch(prefix, after)

    async def hosts(self) -> list[HostStatus]:
        await self._apply_latency()
        return await self._store.hosts()

    async def _apply_latency(self, *, is_applied: bool = False) -> None:
        if self._latency_s:
            await asyncio.sleep(self._latency_s * self._rng.uniform(0.5, 1))
        await self.running.wait()
        if self.is_cut and is_applied:
            raise StoreAnswerLostError('store connection cut after the change')
        if self.is_cut:
            raise StoreUnavailableError('store connection cut')
        if not is_applied:
            self.calls += 1

    async def _lose_answer(
        self, key: str, value: Mapping[str, Any], expected_version: int
    ) -> None:
        match self._rng.randrange(3):
            case 0:
                await self._store.put(key, value, expected_version)
            case 1:
                late = asyncio.create_task(
                    self._put_late(key, value, expected_version)
                )
                self._late.add(late)
                late.add_done_callback(self._late.discard)
        raise StoreAnswerLostError('answer lost')

    async def _put_late(
        self, key: str, value: Mapping[str, Any], expected_version: int
    ) -> None:
        await asyncio.sleep(self._late_s * self._rng.random())
        try:
            await self._store.put(key, value, expected_version)
        except StoreError:
            return
