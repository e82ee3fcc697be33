import asyncio

import orjson
import pytest

import oriolegauge.ledger.intentwriter as intentwriter
from oriolegauge.core import RunState
from oriolegauge.ledger import (
    AlreadyClaimed,
    Claimed,
    ClaimRefusedError,
    IntentLog,
    IntentLogFullError,
    KeyReusedError,
    Ran,
)
from oriolegauge.ledger.intents import (
    ENTRY_RETENTION_S,
    OBJECT_MAX_BYTES,
    Claim,
    apply_batch,
)
from oriolegauge.objectstore import StoreError
from oriolegauge.testkit import MemoryObjectStore, StoreFault

EPOCH_S = 1_800_000_000


class LateStore(MemoryObjectStore):
    """Apply the first write after 6 s; others fail until the test resets it."""

    def __init__(self):
        super().__init__()
        self.late_write = None

    async def put(self, key, value, expected_version):
        if self.late_write is None:
            self.late_write = asyncio.create_task(
                self.put_late(key, value, expected_version)
            )
            self.fault = StoreFault.OUTAGE
            await asyncio.sleep(60)
        return await super().put(key, value, expected_version)

    async def put_late(self, *arguments):
        await asyncio.sleep(6)
        await super().put(*arguments)


def make_log(store, holder='d/1', age_s=0):
    return IntentLog(
        store=store,
        holder=holder,
        shard_count=1,
        clock=lambda: EPOCH_S + age_s + asyncio.get_running_loop().time(),
    )


async def refuse_and_retry(store):
    """Return the claim of a retry after a refusal with a late write.

    The write of the refused claim must fail, as the object moved on.
    """
    log = make_log(store)
    with pytest.raises(ClaimRefusedError) as caught:
        await log.claim('t/a', 'f')
    assert caught.value.run_state is RunState.NOT_RUN
    await asyncio.sleep(2)
    store.fault = StoreFault.NONE
    await log.flush()
    with pytest.raises(StoreError):
        await store.late_write
    return await make_log(store, 'd/2').claim('t/a', 'f')


@pytest.mark.looptime
class TestIntentLog:
    async def test_late_write_of_a_refused_claim_is_rejected(self, monkeypatch):
        """Guards against a claim that is stored after it was refused.

        If the store applied the late write, the key would stay `unknown` though
        nothing was dispatched. The second half checks that this test fails
        without the fence.
        """
        assert isinstance(await refuse_and_retry(LateStore()), Claimed)

        def ignore_fence(entries, version, *batch):
            return apply_batch(entries, version + 10**9, *batch)

        monkeypatch.setattr(intentwriter, 'apply_batch', ignore_fence)
        with pytest.raises(pytest.fail.Exception):
            await refuse_and_retry(LateStore())

    async def test_many_claims_share_one_write(self):
        """Guards against one store write per request."""
        store = MemoryObjectStore()
        log = make_log(store)
        names = [f't/{number}' for number in range(200)]
        claims = await asyncio.gather(*(log.claim(name, 'f') for name in names))
        assert all(isinstance(claim, Claimed) for claim in claims)
        for name in names:
            await log.record(name, Ran(200))
        assert (await log.lookup('t/7')).state is RunState.RAN
        await log.flush()
        assert (store.reads, store.writes) == (2, 2)
        retry = await make_log(store, 'd/2').claim('t/7', 'f')
        assert retry == AlreadyClaimed(RunState.RAN, 'd/1', 200)
        with pytest.raises(KeyReusedError):
            await log.claim('t/7', 'g')

    @pytest.mark.parametrize('fault', list(StoreFault)[1:])
    async def test_refuses_within_1_s_while_the_store_fails(self, fault):
        """Guards against callers that wait until a store outage ends."""
        store = MemoryObjectStore()
        log = make_log(store)
        store.fault = fault
        loop = asyncio.get_running_loop()
        for _ in range(3):
            started = loop.time()
            try:
                await log.claim('t/a', 'f')
            except ClaimRefusedError as error:
                assert error.retry_after_s
            assert loop.time() - started <= 1

    async def test_entries_are_dropped_after_24_h(self):
        """Guards against unbounded objects and entries dropped too early."""
        store = MemoryObjectStore()
        await make_log(store).claim('t/a', 'f')
        early = make_log(store, 'd/2', age_s=ENTRY_RETENTION_S - 2)
        assert isinstance(await early.claim('t/a', 'f'), AlreadyClaimed)
        late = make_log(store, 'd/3', age_s=ENTRY_RETENTION_S)
        assert isinstance(await late.claim('t/a', 'f'), Claimed)

    def test_full_object_refuses_claims_and_drops_no_entry(self):
        """Guards against a second run of a key whose entry was dropped."""
        entries, number, results = {}, 0, [None]
        while not isinstance(results[-1], IntentLogFullError):
            claims = [
                Claim(
                    f'team-{name:06}/{"k" * 36}', 'host-01/42', name, 'f' * 16
                )
                for name in range(number, number + 256)
            ]
            number += 256
            applied = apply_batch(entries, 1, [], claims, EPOCH_S)
            entries, results = applied.entries, applied.results
        accepted = number - sum(
            isinstance(result, IntentLogFullError) for result in results
        )
        print(accepted, 'entries,', accepted / ENTRY_RETENTION_S, 'a second')
        assert len(entries) == accepted
        assert 0.9 * OBJECT_MAX_BYTES < len(orjson.dumps(entries)) < 1_000_000
