"""Enrolment of a daemon in the store, where daemons find each other."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import structlog

from oriolegauge.gateway.fleetroster import FleetMember
from oriolegauge.objectstore import (
    KindStore,
    ObjectStore,
    StoredObject,
    StoreError,
    VersionConflictError,
)

# Hosts of a fleet start within 0.3 s of each other, and members that start
# together may list each other before all have enrolled.
ENROL_RETRY_S = 0.6
ENROL_LISTINGS = 2

log = structlog.get_logger()


class GatewayStore(KindStore, ObjectStore, Protocol):
    """Store that serves both kinds of calls."""


class Enrolment:
    """Tell the fleet of this daemon and find the others."""

    def __init__(
        self,
        *,
        store: GatewayStore,
        kind: str,
        own: FleetMember,
        meet: Callable[[FleetMember], None],
        on_listed: Callable[[], None],
    ) -> None:
        """Enter this daemon, and `meet` others; tell when all were met."""
        self._store = store
        self._kind = kind
        self._own = own
        self._meet = meet
        self._on_listed = on_listed

    async def run(self) -> None:
        """Enrol, list the others a few times, then wait to be cancelled."""
        key = f'{self._kind}/{self._own.name.replace(":", "-")}'
        value = {
            'address': self._own.name,
            'zone': self._own.zone,
            'strength': self._own.capacity_class,
        }
        listings = 0
        while listings < ENROL_LISTINGS:
            try:
                if not listings:
                    await self._enter(key, value)
                found = await self._store.snapshot(self._kind)
            except StoreError as error:
                log.info('not enrolled yet', error=error.message)
            else:
                listings += 1
                for entry in found.objects:
                    self._meet_entry(entry)
                self._on_listed()
            await asyncio.sleep(ENROL_RETRY_S)
        # The task stays, like those of the other parts.
        await asyncio.Event().wait()

    def _meet_entry(self, entry: StoredObject) -> None:
        try:
            member = FleetMember(
                name=str(entry.value['address']),
                zone=str(entry.value['zone']),
                capacity_class=int(entry.value['strength']),
            )
        except (KeyError, TypeError, ValueError) as error:
            log.warning('unfit member', entry=entry.key, error=repr(error))
            return
        self._meet(member)

    async def _enter(self, key: str, value: Mapping[str, Any]) -> None:
        try:
            await self._store.put(key, value, 0)
        except VersionConflictError:
            # An earlier process at the same address has entered it.
            return
