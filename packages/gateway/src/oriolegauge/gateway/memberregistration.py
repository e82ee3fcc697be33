"""Registration of a daemon in the store, and the members listed there.

Matters at the start of a daemon, which then knows no peers, and for those that
run: all have to know the same members to have the same neighbours and leaders.
"""

import asyncio
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Protocol

import structlog

from oriolegauge.gateway.rankedmembers import FleetMember
from oriolegauge.objectstore import (
    KindStore,
    RestorableStore,
    StoreError,
    VersionConflictError,
)

REGISTRATION_RETRY_S = 0.6

log = structlog.get_logger()


class GatewayStore(KindStore, RestorableStore, Protocol):
    """Store that reads objects by kind and writes them by key."""


class MemberRegistration:
    """Register this daemon in the store."""

    def __init__(
        self, *, store: GatewayStore, kind: str, own: FleetMember
    ) -> None:
        """Register `own` under `kind`."""
        self._store = store
        self._kind = kind
        self._own = own

    async def run(self) -> None:
        """Register, and again after each restore."""
        while True:
            await self._register()
            era = self._store.era
            while self._store.era == era:
                await asyncio.sleep(REGISTRATION_RETRY_S)

    @staticmethod
    def listed(objects: Iterable[Mapping[str, Any]]) -> Iterator[FleetMember]:
        """Yield the daemons of registered entries; skip unreadable ones."""
        for entry in objects:
            try:
                yield FleetMember(
                    name=str(entry['value']['address']),
                    zone=str(entry['value']['zone']),
                    capacity_class=int(entry['value']['strength']),
                )
            except (KeyError, TypeError, ValueError) as error:
                log.warning(
                    'unfit member', entry=entry['key'], error=repr(error)
                )

    async def _register(self) -> None:
        key = f'{self._kind}/{self._own.name.replace(":", "-")}'
        value = {
            'address': self._own.name,
            'zone': self._own.zone,
            'strength': self._own.capacity_class,
        }
        while True:
            try:
                await self._store.put(key, value, 0)
            except VersionConflictError:
                # An earlier process at the same address registered the entry.
                return
            except StoreError as error:
                log.info('member registration failed', error=error.message)
                await asyncio.sleep(REGISTRATION_RETRY_S)
            else:
                return
