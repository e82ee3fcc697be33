"""Versions of streams while daemons and servers start and stop."""

import asyncio
import contextlib
import random
from collections import Counter

import pytest

from oriolegauge.core.errors import NoServerError
from oriolegauge.gateway.storerecord import PERIOD_S
from oriolegauge.gateway.versionexchange import (
    PLACEMENT_WAIT_S,
    QUERY_TIMEOUT_S,
    VersionExchange,
)
from oriolegauge.gateway.versionrecord import VersionRecord
from oriolegauge.objectstore import StoreUnavailableError
from oriolegauge.routing.versionhistory import VersionHistory
from oriolegauge.testkit import MemoryObjectStore
from oriolegauge.wire import PeerUnreachableError
from oriolegauge.wire.messages import Heartbeat

SERVICE = 'svc'
LONGEST_STREAM_S = 6.0
# Until streams of before a change are not taken up any more.
SETTLED_S = LONGEST_STREAM_S + 6
HEARTBEAT_S = 0.2
MESSAGE_S = 0.001


class FlakyStore:
    """Pass calls on to the store of the fleet unless it is cut off."""

    def __init__(self, store):
        self.store = store
        self.is_cut = False

    @property
    def era(self):
        return self.store.era

    async def get(self, key):
        self.check()
        return await self.store.get(key)

    async def put(self, key, value, version):
        self.check()
        return await self.store.put(key, value, version)

    def check(self):
        if self.is_cut:
            raise StoreUnavailableError('cut off')


class SimulatedDaemon:
    """One daemon; `side` tells which peers it reaches."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.side = 0
        self.is_old_build = False
        self.is_alive = True
        self.servers = dict(fleet.servers)
        self.store = FlakyStore(fleet.store)
        self.messages = 0
        # Of the last heartbeat of each peer.
        self.periods = {}
        clock = asyncio.get_running_loop().time
        self.versions = VersionExchange(
            links=self,
            in_service=lambda: {SERVICE: self.servers},
            longest_stream_s=lambda: LONGEST_STREAM_S,
            is_first_start=fleet.is_first_start,
            on_change=lambda: self.record.announce_change(),
            clock=clock,
        )
        self.record = VersionRecord(
            store=self.store,
            kind='streams',
            versions=self.versions,
            is_writer=lambda: self.leaders()[0] is self,
            clock=clock,
            wall_clock=lambda: clock() + fleet.wall_offset_s,
        )
        self.tasks = [
            asyncio.create_task(job())
            for job in (self.record.run, self.versions.run, self.beat)
        ]

    def reached(self):
        return [
            other
            for other in self.fleet.daemons.values()
            if other.is_alive and other.side == self.side
        ]

    def leaders(self):
        reaching = [one for one in self.reached() if not one.store.is_cut]
        return reaching or [self]

    def stream_keepers(self):
        return [one.name for one in self.leaders()[:3] if one is not self]

    def peer_periods(self):
        return {name: number for name, number in self.periods.items() if number}

    def has_peer_behind(self, number):
        return any(
            self.periods.get(one.name, 0) < number
            for one in self.reached()
            if one is not self
        )

    def has_peer_without_periods(self):
        return any(one.is_old_build for one in self.reached())

    def hears_of_changes(self):
        reached = self.reached()
        if len(reached) == 1 < len(self.fleet.daemons):
            return False
        is_whole = len(reached) == len(self.fleet.daemons)
        return is_whole or any(not one.store.is_cut for one in reached)

    def announce_change(self):
        self.fleet.spawn(self.send_heartbeat())

    def send_one_way(self, peer, message):
        self.messages += 1
        self.fleet.spawn(self.call(peer, message, 1))

    async def call(self, peer, message, timeout_s):
        other = self.fleet.daemons[peer]
        await asyncio.sleep(MESSAGE_S)
        if other not in self.reached() or not self.is_alive:
            raise PeerUnreachableError('no link')
        return other.versions.answer(message)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.send_heartbeat()

    async def send_heartbeat(self):
        heartbeat = Heartbeat(
            member=self.name,
            incarnation='i',
            zone='z',
            state='serving',
            version_period=self.versions.history.number,
            version_shares=self.versions.shares(),
        )
        await asyncio.sleep(MESSAGE_S)
        for other in self.reached():
            if other is not self:
                other.periods[self.name] = heartbeat.version_period
                other.versions.learn(heartbeat, self.name)

    async def begin(self):
        """Begin a stream; return its attempt and its version."""
        attempt = self.fleet.new_attempt()
        version = await self.versions.place(SERVICE, attempt)
        self.versions.note_begun(SERVICE, attempt, version)
        return attempt, version

    def kill(self):
        self.is_alive = False
        for task in self.tasks:
            task.cancel()


class SimulatedFleet:
    """Daemons, their store, and the servers of each version that serve."""

    def __init__(self, size=5, **servers):
        self.rng = random.Random(1)
        self.is_first_start = True
        self.wall_offset_s = 1e9
        self.store = MemoryObjectStore()
        self.servers = servers
        self.daemons = {}
        self.tasks = set()
        for number in range(size):
            self.start(f'd{number}')

    def start(self, name):
        self.daemons[name] = SimulatedDaemon(self, name)
        return self.daemons[name]

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task):
        self.tasks.discard(task)
        if not task.cancelled():
            # Calls to daemons out of reach fail.
            task.exception()

    def new_attempt(self):
        return f'{self.rng.getrandbits(64):016x}'

    def release(self, **servers):
        """Replace the servers; daemons that are cut off keep their list."""
        self.servers = servers
        for daemon in self.daemons.values():
            if not daemon.store.is_cut or daemon.side == 0:
                daemon.servers = dict(servers)
                daemon.versions.servers_changed()

    async def begin(self, count=40, names=None):
        names = names or list(self.daemons)
        return [
            await self.daemons[self.rng.choice(names)].begin()
            for _ in range(count)
        ]

    async def take_up(self, streams, names=None):
        """Count how the streams go on: at their version, another or not."""
        names = names or [n for n, one in self.daemons.items() if one.is_alive]
        found = Counter()
        for attempt, version in streams:
            daemon = self.daemons[self.rng.choice(names)]
            try:
                origin = await daemon.versions.origin(SERVICE, attempt)
            except NoServerError:
                found['refused'] += 1
            else:
                found['joined' if origin != version else 'goes on'] += 1
        return found

    async def restart_all(self, down_s=1.0):
        self.is_first_start = False
        names = list(self.daemons)
        for name in names:
            self.daemons[name].kill()
        await asyncio.sleep(down_s)
        for name in names:
            self.start(name)
        await asyncio.sleep(HEARTBEAT_S * 2)

    def stop(self):
        for daemon in self.daemons.values():
            daemon.kill()


@contextlib.asynccontextmanager
async def settled_fleet():
    """Return a fleet in which two versions have served for long."""
    fleet = SimulatedFleet(v1=3)
    await asyncio.sleep(SETTLED_S)
    fleet.release(v1=3, v2=3)
    await asyncio.sleep(SETTLED_S)
    try:
        yield fleet
    finally:
        fleet.stop()


@pytest.mark.looptime
class TestOneVersion:
    async def test_one_version_costs_no_message_and_no_write(self):
        """Guards against a price that fleets without releases pay."""
        fleet = SimulatedFleet(v1=6)
        await asyncio.sleep(SETTLED_S)
        stored = await fleet.store.get('streams/versions')
        streams = await fleet.begin(200)
        await asyncio.sleep(SETTLED_S)
        assert await fleet.take_up(streams) == {'goes on': 200}
        assert not any(one.messages for one in fleet.daemons.values())
        later = await fleet.store.get('streams/versions')
        assert later.version == stored.version
        assert not any(one.versions.shares() for one in fleet.daemons.values())
        fleet.stop()


@pytest.mark.looptime
class TestTwoVersions:
    async def test_streams_go_on_at_their_version_after_a_death_of_all(self):
        """Guards against streams that only dead daemons knew."""
        async with settled_fleet() as settled:
            streams = await settled.begin(100)
            assert len(Counter(version for _, version in streams)) == 2
            await settled.restart_all()
            assert await settled.take_up(streams) == {'goes on': 100}

    async def test_long_service_of_two_versions_costs_no_message(self):
        async with settled_fleet() as settled:
            before = [one.messages for one in settled.daemons.values()]
            stored = await settled.store.get('streams/versions')
            await settled.begin(100)
            await asyncio.sleep(3 * PERIOD_S)
            assert before == [one.messages for one in settled.daemons.values()]
            later = await settled.store.get('streams/versions')
            assert later.version == stored.version

    async def test_take_up_of_a_take_up_is_no_other_stream(self):
        """Guards against a version that changes with the second retry."""
        async with settled_fleet() as settled:
            streams = await settled.begin()
            for _ in range(3):
                assert await settled.take_up(streams) == {'goes on': 40}


@pytest.mark.looptime
class TestRelease:
    @pytest.mark.parametrize('after_s', [0.0, 0.05, 0.3, 1.5, 4.0])
    async def test_streams_of_before_and_after_are_never_joined(self, after_s):
        """Guards against the version of the moment of the take-up."""
        async with settled_fleet() as settled:
            before = await settled.begin()
            settled.release(v2=6)
            await asyncio.sleep(after_s)
            after = await settled.begin()
            await asyncio.sleep(0.3)
            found = await settled.take_up(before + after)
            assert found['joined'] == 0
            assert found['goes on'] >= 70

    @pytest.mark.parametrize('after_s', [0.0, 0.3, 1.5, 4.0])
    async def test_death_of_all_after_a_release_joins_nothing(self, after_s):
        """Guards against a guess from the list that the fleet comes back to."""
        async with settled_fleet() as settled:
            before = await settled.begin()
            settled.release(v2=6)
            await asyncio.sleep(after_s)
            after = await settled.begin()
            await asyncio.sleep(1.5 * PERIOD_S)
            await settled.restart_all()
            found = await settled.take_up(before + after)
            assert found['joined'] == 0
            assert found['goes on'] >= 40

    async def test_release_while_all_are_dead_joins_nothing(self):
        async with settled_fleet() as settled:
            streams = await settled.begin(100)
            for daemon in settled.daemons.values():
                daemon.kill()
            settled.servers = {'v2': 2, 'v3': 4}
            await settled.restart_all()
            await asyncio.sleep(1)
            assert (await settled.take_up(streams))['joined'] == 0

    async def test_new_streams_wait_shortly_for_a_confirmed_change(self):
        """Guards against refusals during each release."""
        async with settled_fleet() as settled:
            loop = asyncio.get_running_loop()
            settled.release(v2=6)
            began_at = loop.time()
            streams = await settled.begin(20)
            assert loop.time() - began_at < PLACEMENT_WAIT_S
            assert {version for _, version in streams} == {'v2'}

    async def test_new_streams_are_served_if_the_store_confirms_nothing(self):
        """Guards against an outage of the store that stops all streams."""
        async with settled_fleet() as settled:
            for daemon in settled.daemons.values():
                daemon.store.is_cut = True
            settled.release(v2=6)
            streams = await settled.begin(100)
            assert {version for _, version in streams} == {'v2'}
            await asyncio.sleep(0.3)
            assert (await settled.take_up(streams))['joined'] == 0

    async def test_version_of_before_that_returns_is_not_taken_for_the_new(
        self,
    ):
        """Guards against a rollback that brings the first version back."""
        async with settled_fleet() as settled:
            first = await settled.begin()
            settled.release(v2=6)
            await asyncio.sleep(1)
            second = await settled.begin()
            settled.release(v1=6)
            await asyncio.sleep(1)
            third = await settled.begin()
            await asyncio.sleep(1.5 * PERIOD_S)
            await settled.restart_all()
            found = await settled.take_up(first + second + third)
            assert found['joined'] == 0


@pytest.mark.looptime
class TestLostDaemons:
    async def test_daemon_cut_off_during_a_release_joins_nothing(self):
        """Guards against streams that begin by a list of before the release."""
        async with settled_fleet() as settled:
            cut = settled.daemons['d4']
            cut.side = 1
            cut.store.is_cut = True
            settled.release(v2=6)
            await asyncio.sleep(SETTLED_S)
            streams = await settled.begin(60, ['d4'])
            assert {version for _, version in streams} == {'v1', 'v2'}
            cut.kill()
            found = await settled.take_up(streams)
            assert found['joined'] == 0

    async def test_streams_of_a_daemon_that_was_cut_off_are_not_derived(self):
        """Guards against the end of a period at the other daemons."""
        async with settled_fleet() as settled:
            cut = settled.daemons['d4']
            cut.side = 1
            cut.store.is_cut = True
            settled.release(v2=6)
            await asyncio.sleep(SETTLED_S)
            streams = await settled.begin(60, ['d4'])
            cut.side = 0
            cut.store.is_cut = False
            cut.servers = dict(settled.servers)
            cut.versions.servers_changed()
            await asyncio.sleep(3 * HEARTBEAT_S)
            assert cut.versions.history.number == 3
            found = await settled.take_up(streams)
            assert found['joined'] == 0
            assert found['goes on'] == 60

    async def test_streams_of_one_dead_daemon_go_on(self):
        async with settled_fleet() as settled:
            settled.release(v1=2, v2=4)
            await asyncio.sleep(1)
            streams = await settled.begin(60, ['d4'])
            await asyncio.sleep(0.3)
            settled.daemons['d4'].kill()
            found = await settled.take_up(streams)
            assert found['joined'] == 0
            assert found['goes on'] == 60

    async def test_cut_off_side_asks_in_vain_and_soon_refuses(self):
        """Guards against callers that wait for daemons out of reach."""
        async with settled_fleet() as settled:
            settled.release(v1=3, v3=3)
            await asyncio.sleep(1)
            streams = await settled.begin(60, ['d0', 'd1', 'd2'])
            for name in ('d3', 'd4'):
                settled.daemons[name].side = 1
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            found = await settled.take_up(streams, ['d3', 'd4'])
            assert found['joined'] == 0
            assert loop.time() - began_at < len(streams) * QUERY_TIMEOUT_S


@pytest.mark.looptime
class TestMixedBuilds:
    async def test_streams_of_builds_without_periods_are_never_joined(self):
        """Guards against an upgrade with daemons that ignore versions."""
        async with settled_fleet() as settled:
            settled.daemons['d0'].is_old_build = True
            streams = [
                (settled.new_attempt(), settled.rng.choice(['v1', 'v2']))
                for _ in range(60)
            ]
            found = await settled.take_up(streams, ['d1', 'd2', 'd3', 'd4'])
            assert found == {'refused': 60}


@pytest.mark.looptime
class TestVersionRecord:
    async def test_store_restored_from_a_copy_has_the_history_again(self):
        """Guards against a history that a restore has shortened."""
        async with settled_fleet() as settled:
            copy = settled.store.copy()
            settled.release(v2=6)
            await asyncio.sleep(1)
            before = await settled.begin()
            settled.store.restore(copy)
            await asyncio.sleep(2 * PERIOD_S)
            await settled.restart_all()
            found = await settled.take_up(before)
            assert found['joined'] == 0
            assert found['goes on'] == 40

    @pytest.mark.parametrize(
        'value',
        [{}, {'periods': 3}, {'periods': [{'number': 'x'}], 'streams': {}}],
    )
    async def test_damaged_record_stops_no_daemon(self, value):
        fleet = SimulatedFleet(0, v1=3)
        await fleet.store.put('streams/versions', value, 0)
        fleet.start('d0')
        await asyncio.sleep(3 * PERIOD_S)
        stored = await fleet.store.get('streams/versions')
        assert stored.value['periods'][0]['weights'] == {SERVICE: {'v1': 3}}
        fleet.stop()


@pytest.mark.looptime
class TestWhatDaemonsCanNotKnow:
    @pytest.mark.parametrize('heals', [False, True])
    @pytest.mark.parametrize('after_s', [1.0, 2.0, 8.0])
    async def test_daemon_that_missed_a_release_derives_nothing(
        self, heals, after_s
    ):
        """Guards against a take-up at a daemon with an older history."""
        async with settled_fleet() as settled:
            cut = settled.daemons['d4']
            cut.side = 1
            cut.store.is_cut = True
            settled.release(v1=3, v2=3, v3=6)
            await asyncio.sleep(after_s)
            streams = await settled.begin(60, ['d0', 'd1', 'd2'])
            if heals:
                cut.side = 0
                cut.store.is_cut = False
            found = await settled.take_up(streams, ['d4'])
            assert found['joined'] == 0

    async def test_streams_of_an_old_build_that_ended_are_not_derived(self):
        """Guards against the end of the last daemon that ignores versions."""
        async with settled_fleet() as settled:
            settled.daemons['d0'].is_old_build = True
            await asyncio.sleep(1)
            streams = [
                (settled.new_attempt(), settled.rng.choice(['v1', 'v2']))
                for _ in range(100)
            ]
            settled.daemons['d0'].kill()
            found = await settled.take_up(streams)
            assert found == {'refused': 100}

    async def test_streams_of_before_the_first_period_are_not_derived(self):
        """Guards against a lost record, and an upgrade of all at once."""
        fleet = SimulatedFleet(0, v1=3, v2=3)
        fleet.is_first_start = False
        streams = [
            (fleet.new_attempt(), fleet.rng.choice(['v1', 'v2']))
            for _ in range(100)
        ]
        for number in range(5):
            fleet.start(f'd{number}')
        await asyncio.sleep(1.5)
        assert await fleet.take_up(streams) == {'refused': 100}
        await asyncio.sleep(SETTLED_S)
        later = await fleet.begin(100)
        assert await fleet.take_up(later) == {'goes on': 100}
        fleet.stop()

    async def test_unconfirmed_list_that_peers_have_not_heard_of(self):
        """Guards against streams placed by a list that died with a daemon."""
        async with settled_fleet() as settled:
            for daemon in settled.daemons.values():
                daemon.store.is_cut = True
            first = settled.daemons['d0']
            first.side = 1
            first.servers = {'v2': 6}
            first.versions.servers_changed()
            streams = await settled.begin(60, ['d0'])
            first.kill()
            found = await settled.take_up(streams, ['d1', 'd2'])
            assert found['joined'] == 0

    async def test_lost_record_makes_streams_of_before_ambiguous(self):
        """Guards against a store restored from before the first period."""
        async with settled_fleet() as settled:
            streams = await settled.begin(100)
            settled.release(v2=6)
            await asyncio.sleep(2)
            settled.store = MemoryObjectStore()
            await settled.restart_all()
            await asyncio.sleep(2)
            found = await settled.take_up(streams)
            assert found['joined'] == 0

    async def test_nothing_is_derived_before_the_record_is_read(self):
        """Guards against a guess from the list while the store is away."""
        async with settled_fleet() as settled:
            streams = await settled.begin(100)
            settled.release(v2=6)
            await asyncio.sleep(2)
            for daemon in settled.daemons.values():
                daemon.kill()
            settled.is_first_start = False
            for name in list(settled.daemons):
                settled.start(name).store.is_cut = True
            await asyncio.sleep(0.5)
            assert await settled.take_up(streams) == {'refused': 100}


@pytest.mark.looptime
class TestSequencesThatStillJoin:
    async def test_restarted_daemon_does_not_know_a_cut_off_one(self):
        """Guards against a period that a daemon out of reach still uses."""
        async with settled_fleet() as settled:
            cut = settled.daemons['d4']
            cut.side = 1
            cut.store.is_cut = True
            settled.release(v1=1, v2=6)
            await asyncio.sleep(SETTLED_S)
            settled.daemons['d1'].kill()
            await asyncio.sleep(0.5)
            settled.start('d1')
            await asyncio.sleep(1.5)
            streams = await settled.begin(60, ['d4'])
            cut.kill()
            found = await settled.take_up(streams, ['d1'])
            assert found['joined'] == 0

    async def test_wall_clocks_that_differ_over_a_death_of_all(self):
        """Guards against periods that seem to have ended long ago."""
        async with settled_fleet() as settled:
            streams = await settled.begin(100)
            settled.release(v2=6)
            await asyncio.sleep(0.3)
            settled.wall_offset_s += 30
            await settled.restart_all()
            found = await settled.take_up(streams)
            assert found['joined'] == 0


class TestUnevenVersions:
    def test_one_server_beside_many_gets_no_new_period(self):
        """Guards against a write every few seconds in a large fleet."""
        now = [0.0]
        history = VersionHistory(lambda: now[0])
        counts = {SERVICE: {'v1': 64, 'v2': 1}}
        history.adopt(history.proposal(counts))
        now[0] = 60.0
        assert history.proposal(counts) == history.periods
