"""Registration of a daemon in the store, and discovery of the others.

Matters at the start of a daemon, which then knows no peers.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import structlog

from oriolegauge.gateway.rankedmembers import FleetMember
from oriolegauge.objectstore import (
    KindStore,
    RestorableStore,
    StoredObject,
    StoreError,
    VersionConflictError,
)

# Hosts of a fleet start within 0.3 s of each other, so a daemon may list the
# members before all have registered. A second listing finds those.
REGISTRATION_RETRY_S = 0.6
MEMBER_LISTINGS = 2

log = structlog.get_logger()


class GatewayStore(KindStore, RestorableStore, Protocol):
    """Store that reads objects by kind and writes them by key."""


class MemberRegistration:
    """Register this daemon in the store and list the other daemons."""

    def __init__(
        self,
        *,
        store: GatewayStore,
        kind: str,
        own: FleetMember,
        on_member: Callable[[FleetMember], None],
        on_listed: Callable[[], None],
    ) -> None:
        """Register `own`.

        Call `on_member` for each listed daemon, `on_listed` after each listing.
        """
        self._store = store
        self._kind = kind
        self._own = own
        self._on_member = on_member
        self._on_listed = on_listed

    async def run(self) -> None:
        """Register and list the members twice, again after each restore."""
        while True:
            await self._enroll()
            era = self._store.era
            while self._store.era == era:
                await asyncio.sleep(REGISTRATION_RETRY_S)

    async def _enroll(self) -> None:
        key = f'{self._kind}/{self._own.name.replace(":", "-")}'
        value = {
            'address': self._own.name,
            'zone': self._own.zone,
            'strength': self._own.capacity_class,
        }
        completed_listings = 0
        while completed_listings < MEMBER_LISTINGS:
            try:
                if not completed_listings:
                    await self._register(key, value)
                found = await self._store.snapshot(self._kind)
            except StoreError as error:
                log.info('member registration failed', error=error.message)
            else:
                completed_listings += 1
                for entry in found.objects:
                    self._report_entry(entry)
                self._on_listed()
            await asyncio.sleep(REGISTRATION_RETRY_S)

    def _report_entry(self, entry: StoredObject) -> None:
        try:
            member = FleetMember(
                name=str(entry.value['address']),
                zone=str(entry.value['zone']),
                capacity_class=int(entry.value['strength']),
            )
        except (KeyError, TypeError, ValueError) as error:
            log.warning('unfit member', entry=entry.key, error=repr(error))
            return
        self._on_member(member)

    async def _register(self, key: str, value: Mapping[str, Any]) -> None:
        try:
            await self._store.put(key, value, 0)
        except VersionConflictError:
            # An earlier process at the same address registered the entry.
            return
