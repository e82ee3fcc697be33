import asyncio
import contextlib

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oriolegauge.core import RunState
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.objectstore import (
    HostStatus,
    RelayAnswer,
    RelayCall,
    RelayedStore,
    StoreAnswerLostError,
    StoreError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreUnreachableError,
    VersionConflictError,
    answer_relay_call,
)
from oriolegauge.objectstore.httpobjectstore import HttpObjectStore
from oriolegauge.testkit import MemoryObjectStore, StoreFault
from oriolegauge.testkit.fuzzing import Budget


class CutStore:
    """Way to the store that can be cut, with an error or silently."""

    def __init__(self, store: MemoryObjectStore) -> None:
        self.store = store
        self.cut = False
        self.tries = 0
        self.delay_s = 0.0

    async def reach(self) -> None:
        self.tries += 1
        if self.cut:
            await asyncio.sleep(self.delay_s)
            raise StoreUnreachableError('cut')

    async def get(self, key):
        await self.reach()
        return await self.store.get(key)

    async def put(self, key, value, expected_version):
        await self.reach()
        return await self.store.put(key, value, expected_version)

    async def list_objects(self, prefix):
        await self.reach()
        return await self.store.list_objects(prefix)

    async def hosts(self):
        await self.reach()
        return await self.store.hosts()

    async def watch(self, prefix, after):
        await self.reach()
        async for stored in self.store.watch(prefix, after):
            while self.cut and self.delay_s:
                await asyncio.sleep(1)
            await self.reach()
            yield stored


class Relay:
    """Peer that makes calls; `before` and `after` fail around the call."""

    def __init__(self, store: MemoryObjectStore) -> None:
        self.store = store
        self.calls = 0
        self.before: RunState | None = None
        self.after: RunState | None = None

    async def relay(self, call: RelayCall) -> RelayAnswer:
        self.calls += 1
        if self.before:
            raise OriolegaugeError('no peer', run_state=self.before)
        answer = await answer_relay_call(self.store, call)
        if self.after:
            raise OriolegaugeError('peer lost', run_state=self.after)
        return answer


class Setup:
    def __init__(self, kind: type[RelayedStore] = RelayedStore) -> None:
        self.memory = MemoryObjectStore()
        self.direct = CutStore(self.memory)
        self.relay = Relay(self.memory)
        self.now = 0.0
        self.store = kind(
            direct=self.direct, relay=self.relay, clock=lambda: self.now
        )

    def on_loop(self) -> 'Setup':
        loop = asyncio.get_running_loop()
        self.store._clock = loop.time
        return self


class TestCalls:
    async def test_all_calls_over_the_relay(self):
        """Guards against a daemon that is lost with its way to the store."""
        it = Setup()
        it.memory.host_list = [HostStatus('h1', '127.0.0.1', 'z', 'live')]
        it.direct.cut = True
        stored = await it.store.put('k/1', {'n': 1}, 0)
        assert await it.store.get('k/1') == stored
        assert await it.store.get('k/2') is None
        assert await it.store.list_objects('k/') == [stored]
        assert await it.store.hosts() == it.memory.host_list
        with pytest.raises(VersionConflictError):
            await it.store.put('k/1', {'n': 2}, 0)

    async def test_large_list(self):
        """Guards against a list that does not fit into one message."""
        it = Setup()
        it.direct.cut = True
        for number in range(7):
            await it.store.put(f'k/{number}', {'text': 'x' * 200_000}, 0)
        calls = it.relay.calls
        assert len(await it.store.list_objects('k/')) == 7
        assert it.relay.calls == calls + 4

    @pytest.mark.parametrize(
        ('fault', 'error'),
        [
            (StoreFault.OUTAGE, StoreUnavailableError),
            (StoreFault.RATE_LIMIT, StoreRateLimitError),
            (StoreFault.LOSE_AFTER, StoreAnswerLostError),
        ],
    )
    async def test_refusals_are_not_relayed(self, fault, error):
        """Guards against peers that repeat calls which the store refused."""
        it = Setup()
        it.memory.fault = fault
        with pytest.raises(error):
            await it.store.put('k', {}, 0)
        assert it.relay.calls == 0
        it.direct.cut = True
        with pytest.raises(error):
            await it.store.put('k2', {}, 0)
        assert it.relay.calls == 1

    async def test_remembers_which_way_works(self):
        """Guards against a timeout of the cut way in each call."""
        it = Setup()
        it.direct.cut = True
        for now in (0, 0.5, 1, 1.5, 1.9):
            it.now = now
            await it.store.get('k')
        assert (it.direct.tries, it.relay.calls) == (1, 5)
        it.now = 2.1
        await it.store.get('k')
        assert it.direct.tries == 2
        it.now, it.direct.cut = 4.2, False
        await it.store.get('k')
        assert not it.store.is_relaying
        assert (it.direct.tries, it.relay.calls) == (3, 6)

    @pytest.mark.looptime
    async def test_one_call_tries_the_cut_way(self):
        """Guards against all calls waiting for the timeout at once."""
        it = Setup().on_loop()
        it.direct.cut, it.direct.delay_s = True, 1.0
        await it.store.get('k')
        await asyncio.sleep(2.5)
        loop = asyncio.get_running_loop()
        began = loop.time()
        probe = asyncio.create_task(it.store.get('k'))
        await asyncio.sleep(0)
        for _ in range(5):
            await it.store.get('k')
        assert loop.time() == began
        await probe
        assert it.direct.tries == 2

    async def test_unknown_outcome_of_a_relayed_put(self):
        """Guards against calling a put not applied when it may be."""
        it = Setup()
        it.direct.cut = True
        it.relay.after = RunState.UNKNOWN
        with pytest.raises(StoreAnswerLostError):
            await it.store.put('k', {}, 0)
        with pytest.raises(StoreUnreachableError):
            await it.store.get('k')
        it.relay.after, it.relay.before = None, RunState.NOT_RUN
        with pytest.raises(StoreUnreachableError):
            await it.store.put('k2', {}, 0)
        assert not it.store.is_relaying

    async def test_status_of_a_newer_peer(self):
        """Guards against calling an unknown status not applied."""
        it = Setup()
        it.direct.cut = True

        async def relay(call):
            return RelayAnswer(status='postponed')

        it.relay.relay = relay
        with pytest.raises(StoreAnswerLostError):
            await it.store.put('k', {}, 0)
        with pytest.raises(StoreUnavailableError):
            await it.store.get('k')


class RepeatingStore(RelayedStore):
    """Broken: tries the other way when an answer was lost."""

    async def _call(self, direct, relayed):
        try:
            return await super()._call(direct, relayed)
        except StoreAnswerLostError:
            return await relayed()


step = st.tuples(
    st.booleans(),
    st.sampled_from([None, *RunState]),
    st.sampled_from([None, RunState.UNKNOWN]),
    st.sampled_from(list(StoreFault)),
    st.sampled_from([0, 1, 3]),
)


async def play(steps: list[tuple], kind: type[RelayedStore]) -> None:
    """Count up one object; compare each result with the store."""
    it = Setup(kind)
    for cut, before, after, fault, seconds in steps:
        it.now += seconds
        it.direct.cut = cut
        it.relay.before, it.relay.after = before, after
        found = it.memory.objects.get('k')
        version = found.version if found else 0
        writes = it.memory.writes
        it.memory.next_faults = [fault]
        outcome: type[StoreError] | None = None
        try:
            await it.store.put('k', {'n': version}, version)
        except StoreError as error:
            outcome = type(error)
        now = it.memory.objects.get('k')
        applied = (now.version if now else 0) > version
        assert it.memory.writes <= writes + 1, 'a put was sent twice'
        if outcome is None:
            assert applied
        elif outcome is not StoreAnswerLostError:
            assert not applied, f'applied, but {outcome.__name__}'


@pytest.mark.fuzz
class TestMeaningOfErrors:
    def test_each_put_is_sent_once_and_reported_truly(self):
        """Guards against a false report of what a put did."""

        @given(st.lists(step, max_size=12))
        def check(steps):
            asyncio.run(play(steps, RelayedStore))

        Budget(200).run_property(check)

    def test_broken_variant_is_caught(self):
        """Guards against a check too weak to see a repeated put."""

        @given(st.lists(step, max_size=12))
        def check(steps):
            asyncio.run(play(steps, RepeatingStore))

        with pytest.raises(AssertionError):
            Budget(200).run_property(check)


@pytest.mark.looptime
class TestWatch:
    @pytest.mark.parametrize('delay_s', [0.0, 1.0])
    async def test_watch_goes_on_over_the_relay(self, delay_s):
        """Guards against missed or repeated changes around a cut.

        With a delay the cut is silent: only other calls notice it.
        """
        it = Setup().on_loop()
        seen: list[tuple[str, int]] = []

        async def follow() -> None:
            async for stored in it.store.watch('k/', 0):
                seen.append((stored.key, stored.value['n']))

        async def change(number: int) -> None:
            key = f'k/{number % 3}'
            found = it.memory.objects.get(key)
            await it.memory.put(
                key, {'n': number}, found.version if found else 0
            )

        async def other_calls() -> None:
            while True:
                with contextlib.suppress(StoreError):
                    await it.store.get('other')
                await asyncio.sleep(0.5)

        tasks = [asyncio.create_task(it_) for it_ in (follow(), other_calls())]
        expected = []
        it.direct.delay_s = delay_s
        for number in range(12):
            it.direct.cut = 4 <= number < 8
            await change(number)
            expected.append((f'k/{number % 3}', number))
            await asyncio.sleep(5)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert seen == expected

    async def test_watch_that_the_store_ends(self):
        """Guards against an ended watch that fails its reader."""

        class EndingStore(MemoryObjectStore):
            async def watch(self, prefix, after):
                for stored in await self.list_objects(prefix):
                    yield stored

        direct = EndingStore()
        await direct.put('k/1', {'n': 1}, 0)
        store = RelayedStore(
            direct=direct,
            relay=None,
            clock=asyncio.get_running_loop().time,
        )
        changes = aiter(store.watch('k/', 0))
        assert (await anext(changes)).key == 'k/1'
        await direct.put('k/2', {'n': 2}, 0)
        assert (await anext(changes)).key == 'k/2'

    async def test_both_ways_cut(self):
        """Guards against a watch that hides that nothing reaches it."""
        it = Setup().on_loop()
        it.direct.cut = True
        it.relay.before = RunState.NOT_RUN
        with pytest.raises(StoreUnreachableError):
            await anext(it.store.watch('k/', 0))


class TestHttpObjectStore:
    async def test_no_connection_is_unreachable(self, unused_tcp_port):
        """Guards against calling a put lost that was never sent."""
        async with aiohttp.ClientSession() as session:
            store = HttpObjectStore(
                url=f'http://127.0.0.1:{unused_tcp_port}', session=session
            )
            with pytest.raises(StoreUnreachableError):
                await store.put('k', {}, 0)
            with pytest.raises(StoreUnreachableError):
                await anext(store.watch('k', 0))
