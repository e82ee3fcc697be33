"""In-memory object store with faults that tests switch on and off."""

import asyncio
import copy
from collections.abc import AsyncIterator, Mapping
from dataclasses import replace
from enum import StrEnum
from typing import Any

from oriolegauge.objectstore import (
    HostStatus,
    StoreAnswerLostError,
    StoredObject,
    StoreRateLimitError,
    StoreUnavailableError,
    VersionConflictError,
    revision_of,
    store_version,
)


class StoreFault(StrEnum):
    """Fault that the store simulates until it is cleared."""

    NONE = 'none'
    OUTAGE = 'outage'
    RATE_LIMIT = 'rate_limit'
    LOSE_BEFORE = 'lose_before'
    LOSE_AFTER = 'lose_after'


class MemoryObjectStore:
    """Keep objects in memory and count the calls by kind.

    `fault` applies to each call, but each put first consumes an entry of
    `next_faults` if there is one. `LOSE_BEFORE` raises StoreAnswerLostError
    before the change is applied, `LOSE_AFTER` after it.
    """

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.host_list: list[HostStatus] = []
        self.fault = StoreFault.NONE
        self.next_faults: list[StoreFault] = []
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self.era = 0
        self._revision = 0
        self._changed = asyncio.Condition()

    def copy(self) -> tuple[dict[str, StoredObject], int]:
        """Return a copy to pass to `restore`."""
        return copy.deepcopy(self.objects), self._revision

    def restore(self, kept: tuple[dict[str, StoredObject], int]) -> None:
        """Come back from a copy; later changes and revisions are lost."""
        self.era += 1
        objects, self._revision = copy.deepcopy(kept)
        self.objects = {
            key: replace(
                found,
                version=store_version(self.era, revision_of(found.version)),
            )
            for key, found in objects.items()
        }

    async def get(self, key: str) -> StoredObject | None:
        self.reads += 1
        self._fail_read()
        await asyncio.sleep(0)
        return copy.deepcopy(self.objects.get(key))

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        self.reads += 1
        self._fail_read()
        return [
            copy.deepcopy(found)
            for key, found in sorted(self.objects.items())
            if key.startswith(prefix)
        ]

    async def hosts(self) -> list[HostStatus]:
        self.reads += 1
        self._fail_read()
        return list(self.host_list)

    async def put(
        self,
        key: str,
        value: Mapping[str, Any],
        expected_version: int,
    ) -> StoredObject:
        self.writes += 1
        fault = self.next_faults.pop(0) if self.next_faults else self.fault
        match fault:
            case StoreFault.OUTAGE:
                raise StoreUnavailableError('store outage')
            case StoreFault.RATE_LIMIT:
                raise StoreRateLimitError('rate limit', retry_after_s=1)
            case StoreFault.LOSE_BEFORE:
                raise StoreAnswerLostError('answer lost')
            case _:
                stored = await self._apply(key, value, expected_version)
        if fault is StoreFault.LOSE_AFTER:
            raise StoreAnswerLostError('answer lost')
        await asyncio.sleep(0)
        return stored

    async def watch(
        self, prefix: str, after: int
    ) -> AsyncIterator[StoredObject]:
        self.watches += 1
        seen = after
        while True:
            self._fail_read()
            news = sorted(
                (
                    found
                    for key, found in self.objects.items()
                    if key.startswith(prefix) and found.version > seen
                ),
                key=lambda found: found.version,
            )
            for found in news:
                seen = found.version
                yield copy.deepcopy(found)
            async with self._changed:
                if self._revision <= seen or not news:
                    await self._changed.wait()

    def _fail_read(self) -> None:
        if self.fault is StoreFault.OUTAGE:
            raise StoreUnavailableError('store outage')
        if self.fault is StoreFault.RATE_LIMIT:
            raise StoreRateLimitError('rate limit', retry_after_s=1)

    async def _apply(
        self, key: str, value: Mapping[str, Any], expected_version: int
    ) -> StoredObject:
        found = self.objects.get(key)
        current = found.version if found else 0
        if current != expected_version:
            raise VersionConflictError(
                f'{key}: version {current}, expected {expected_version}'
            )
        self._revision += 1
        stored = StoredObject(
            key,
            store_version(self.era, self._revision),
            copy.deepcopy(dict(value)),
        )
        self.objects[key] = stored
        async with self._changed:
            self._changed.notify_all()
        return stored
