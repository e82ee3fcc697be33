"""Registration of daemons in the store."""

import asyncio

import pytest

from oriolegauge.gateway.memberregistration import (
    REGISTRATION_RETRY_S,
    MemberRegistration,
)
from oriolegauge.gateway.rankedmembers import FleetMember
from oriolegauge.objectstore import Snapshot
from oriolegauge.testkit import MemoryObjectStore


class ListingStore(MemoryObjectStore):
    """Also list the objects of a kind."""

    async def snapshot(self, kind):
        return Snapshot(await self.list_objects(kind), 0)


@pytest.mark.looptime
class TestMemberRegistration:
    async def test_member_that_a_restore_has_undone_registers_again(self):
        """Guards against a daemon that new ones can't find."""
        store = ListingStore()
        kept = store.copy()
        listed = []
        registration = MemberRegistration(
            store=store,
            kind='members',
            own=FleetMember(name='10.0.0.1:7000', zone='z', capacity_class=1),
            on_member=lambda _: None,
            on_listed=lambda: listed.append(1),
        )
        task = asyncio.create_task(registration.run())
        await asyncio.sleep(4 * REGISTRATION_RETRY_S)
        store.restore(kept)
        assert not store.objects
        await asyncio.sleep(4 * REGISTRATION_RETRY_S)
        assert list(store.objects) == ['members/10.0.0.1-7000']
        task.cancel()
