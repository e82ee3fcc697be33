"""Store calls of a daemon that has lost its direct path to the store.

Guards against calls that fail or run twice, and against errors that misstate
whether a write was applied.
"""

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


class UnreliableStore:
    """Direct path to a store that can fail, at once or after a delay."""

    def __init__(self, store: MemoryObjectStore) -> None:
        self.store = store
        self.is_down = False
        self.attempts = 0
        self.delay_s = 0.0

    async def connect(self) -> None:
        self.attempts += 1
        if self.is_down:
            await asyncio.sleep(self.delay_s)
            raise StoreUnreachableError('cut')

    async def get(self, key):
        await self.connect()
        return await self.store.get(key)

    async def put(self, key, value, expected_version):
        await self.connect()
        return await self.store.put(key, value, expected_version)

    async def list_objects(self, prefix):
        await self.connect()
        return await self.store.list_objects(prefix)

    async def hosts(self):
        await self.connect()
        return await self.store.hosts()

    async def watch(self, prefix, after):
        await self.connect()
        async for stored in self.store.watch(prefix, after):
            while self.is_down and self.delay_s:
                await asyncio.sleep(1)
            await self.connect()
            yield stored


class Relay:
    """Peer that makes calls; `before` and `after` fail around the call.

    Each holds the `run_state` of the error that is raised.
    """

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
    def __init__(self, store_class: type[RelayedStore] = RelayedStore) -> None:
        self.memory = MemoryObjectStore()
        self.direct = UnreliableStore(self.memory)
        self.relay = Relay(self.memory)
        self.now = 0.0
        self.store = store_class(
            direct=self.direct, relay=self.relay, clock=lambda: self.now
        )

    def on_loop(self) -> 'Setup':
        loop = asyncio.get_running_loop()
        self.store._clock = loop.time
        return self


class TestCalls:
    async def test_all_calls_work_through_the_relay(self):
        """Guards against a daemon that fails with its path to the store."""
        setup = Setup()
        setup.memory.host_list = [HostStatus('h1', '127.0.0.1', 'z', 'live')]
        setup.direct.is_down = True
        stored = await setup.store.put('k/1', {'n': 1}, 0)
        assert await setup.store.get('k/1') == stored
        assert await setup.store.get('k/2') is None
        assert await setup.store.list_objects('k/') == [stored]
        assert await setup.store.hosts() == setup.memory.host_list
        with pytest.raises(VersionConflictError):
            await setup.store.put('k/1', {'n': 2}, 0)

    async def test_large_list_is_read_in_pages(self):
        """Guards against a list that does not fit into one message."""
        setup = Setup()
        setup.direct.is_down = True
        for number in range(7):
            await setup.store.put(f'k/{number}', {'text': 'x' * 200_000}, 0)
        calls = setup.relay.calls
        assert len(await setup.store.list_objects('k/')) == 7
        assert setup.relay.calls == calls + 4

    @pytest.mark.parametrize(
        ('fault', 'error'),
        [
            (StoreFault.OUTAGE, StoreUnavailableError),
            (StoreFault.RATE_LIMIT, StoreRateLimitError),
            (StoreFault.LOSE_AFTER, StoreAnswerLostError),
        ],
    )
    async def test_failures_of_the_store_are_not_relayed(self, fault, error):
        """Guards against peers that repeat calls which the store failed."""
        setup = Setup()
        setup.memory.fault = fault
        with pytest.raises(error):
            await setup.store.put('k', {}, 0)
        assert setup.relay.calls == 0
        setup.direct.is_down = True
        with pytest.raises(error):
            await setup.store.put('k2', {}, 0)
        assert setup.relay.calls == 1

    async def test_direct_path_is_retried_only_now_and_then(self):
        """Guards against a timeout of the direct path in each call."""
        setup = Setup()
        setup.direct.is_down = True
        for now in (0, 0.5, 1, 1.5, 1.9):
            setup.now = now
            await setup.store.get('k')
        assert (setup.direct.attempts, setup.relay.calls) == (1, 5)
        setup.now = 2.1
        await setup.store.get('k')
        assert setup.direct.attempts == 2
        setup.now, setup.direct.is_down = 4.2, False
        await setup.store.get('k')
        assert not setup.store.is_relaying
        assert (setup.direct.attempts, setup.relay.calls) == (3, 6)

    @pytest.mark.looptime
    async def test_only_one_call_tries_the_direct_path(self):
        """Guards against all calls waiting for the timeout at once."""
        setup = Setup().on_loop()
        setup.direct.is_down, setup.direct.delay_s = True, 1.0
        await setup.store.get('k')
        await asyncio.sleep(2.5)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        probe = asyncio.create_task(setup.store.get('k'))
        await asyncio.sleep(0)
        for _ in range(5):
            await setup.store.get('k')
        assert loop.time() == started_at
        await probe
        assert setup.direct.attempts == 2

    async def test_put_with_lost_relay_reply_is_reported_as_unknown(self):
        """Guards against reporting as not applied what may be applied."""
        setup = Setup()
        setup.direct.is_down = True
        setup.relay.after = RunState.UNKNOWN
        with pytest.raises(StoreAnswerLostError):
            await setup.store.put('k', {}, 0)
        with pytest.raises(StoreUnreachableError):
            await setup.store.get('k')
        setup.relay.after, setup.relay.before = None, RunState.NOT_RUN
        with pytest.raises(StoreUnreachableError):
            await setup.store.put('k2', {}, 0)
        assert not setup.store.is_relaying

    async def test_unknown_status_of_a_newer_peer_is_no_rejection(self):
        """Guards against reporting an unknown status as not applied."""
        setup = Setup()
        setup.direct.is_down = True

        async def relay(call):
            return RelayAnswer(status='postponed')

        setup.relay.relay = relay
        with pytest.raises(StoreAnswerLostError):
            await setup.store.put('k', {}, 0)
        with pytest.raises(StoreUnavailableError):
            await setup.store.get('k')


class StoreRepeatingLostCalls(RelayedStore):
    """Broken: repeats a call through the peer after a lost reply."""

    async def _call(self, direct, relayed):
        try:
            return await super()._call(direct, relayed)
        except StoreAnswerLostError:
            return await relayed()


put_step = st.tuples(
    st.booleans(),
    st.sampled_from([None, *RunState]),
    st.sampled_from([None, RunState.UNKNOWN]),
    st.sampled_from(list(StoreFault)),
    st.sampled_from([0, 1, 3]),
)


async def check_puts(
    put_steps: list[tuple], store_class: type[RelayedStore]
) -> None:
    """Update one object repeatedly; compare each result with the store."""
    setup = Setup(store_class)
    for is_down, before, after, fault, seconds in put_steps:
        setup.now += seconds
        setup.direct.is_down = is_down
        setup.relay.before, setup.relay.after = before, after
        found = setup.memory.objects.get('k')
        version = found.version if found else 0
        writes = setup.memory.writes
        setup.memory.next_faults = [fault]
        outcome: type[StoreError] | None = None
        try:
            await setup.store.put('k', {'n': version}, version)
        except StoreError as error:
            outcome = type(error)
        now = setup.memory.objects.get('k')
        applied = (now.version if now else 0) > version
        assert setup.memory.writes <= writes + 1, 'a put was sent twice'
        if outcome is None:
            assert applied
        elif outcome is not StoreAnswerLostError:
            assert not applied, f'applied, but {outcome.__name__}'


@pytest.mark.fuzz
class TestErrorsOfPut:
    def test_each_put_is_sent_once_and_reported_correctly(self):
        """Guards against an error that misstates whether a put applied."""

        @given(st.lists(put_step, max_size=12))
        def check(put_steps):
            asyncio.run(check_puts(put_steps, RelayedStore))

        Budget(200).run_property(check)

    def test_property_detects_repeated_put(self):
        """Guards against a property too weak to detect a repeated put."""

        @given(st.lists(put_step, max_size=12))
        def check(put_steps):
            asyncio.run(check_puts(put_steps, StoreRepeatingLostCalls))

        with pytest.raises(AssertionError):
            Budget(200).run_property(check)


@pytest.mark.looptime
class TestWatch:
    @pytest.mark.parametrize('delay_s', [0.0, 1.0])
    async def test_watch_continues_through_the_relay(self, delay_s):
        """Guards against missed or repeated changes around an outage.

        With a delay the watch does not notice it; only other calls do.
        """
        setup = Setup().on_loop()
        seen: list[tuple[str, int]] = []

        async def follow() -> None:
            async for stored in setup.store.watch('k/', 0):
                seen.append((stored.key, stored.value['n']))

        async def change(number: int) -> None:
            key = f'k/{number % 3}'
            found = setup.memory.objects.get(key)
            await setup.memory.put(
                key, {'n': number}, found.version if found else 0
            )

        async def other_calls() -> None:
            while True:
                with contextlib.suppress(StoreError):
                    await setup.store.get('other')
                await asyncio.sleep(0.5)

        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (follow(), other_calls())
        ]
        expected = []
        setup.direct.delay_s = delay_s
        for number in range(12):
            setup.direct.is_down = 4 <= number < 8
            await change(number)
            expected.append((f'k/{number % 3}', number))
            await asyncio.sleep(5)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert seen == expected

    async def test_watch_continues_after_the_store_ends_it(self):
        """Guards against a watch that fails when the store ends it."""

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

    async def test_watch_fails_without_any_path_to_the_store(self):
        """Guards against a watch that hides that both paths have failed."""
        setup = Setup().on_loop()
        setup.direct.is_down = True
        setup.relay.before = RunState.NOT_RUN
        with pytest.raises(StoreUnreachableError):
            await anext(setup.store.watch('k/', 0))


class TestHttpObjectStore:
    async def test_no_connection_is_unreachable(self, unused_tcp_port):
        """Guards against an unknown outcome for a put that was never sent."""
        async with aiohttp.ClientSession() as session:
            store = HttpObjectStore(
                url=f'http://127.0.0.1:{unused_tcp_port}', session=session
            )
            with pytest.raises(StoreUnreachableError):
                await store.put('k', {}, 0)
            with pytest.raises(StoreUnreachableError):
                await anext(store.watch('k', 0))
