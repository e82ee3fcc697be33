"""Registration of daemons in the store, and the entries of others."""

import asyncio

import pytest

from oriolegauge.gateway.memberregistration import (
    REGISTRATION_RETRY_S,
    MemberRegistration,
)
from oriolegauge.gateway.rankedmembers import FleetMember
from oriolegauge.testkit import MemoryObjectStore

OWN = FleetMember(name='10.0.0.1:7000', zone='z', capacity_class=1)


@pytest.mark.looptime
class TestMemberRegistration:
    async def test_member_that_a_restore_has_undone_registers_again(self):
        """Guards against a daemon that new ones can't find."""
        store = MemoryObjectStore()
        kept = store.copy()
        registration = MemberRegistration(store=store, kind='members', own=OWN)
        task = asyncio.create_task(registration.run())
        await asyncio.sleep(4 * REGISTRATION_RETRY_S)
        assert list(store.objects) == ['members/10.0.0.1-7000']
        store.restore(kept)
        assert not store.objects
        await asyncio.sleep(4 * REGISTRATION_RETRY_S)
        assert list(store.objects) == ['members/10.0.0.1-7000']
        task.cancel()


class TestListedMembers:
    def test_unreadable_entry_hides_no_other(self):
        """Guards against a daemon that finds no peers for one bad entry."""
        entries = [
            {'key': 'members/a', 'value': None},
            {'key': 'members/b', 'value': {'address': 'b:1', 'zone': 'z'}},
            {
                'key': 'members/c',
                'value': {'address': 'c:1', 'zone': 'z', 'strength': 2},
            },
        ]
        assert list(MemberRegistration.listed(entries)) == [
            FleetMember(name='c:1', zone='z', capacity_class=2)
        ]
