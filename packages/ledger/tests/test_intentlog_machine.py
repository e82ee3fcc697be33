"""Random test of daemons that claim the same keys in a failing store.

Store calls fail, lose their answer or are applied late, and daemons pause or
crash at any moment. A key must not run twice, and no answer may be untrue.
"""

import asyncio
import os
from collections import Counter
from contextlib import suppress

import looptime
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

import oriolegauge.ledger.intentwriter as intentwriter
from oriolegauge.core import RunState
from oriolegauge.core.errors import OutcomeUnknownError
from oriolegauge.ledger import (
    AlreadyClaimed,
    Claimed,
    ClaimRefusedError,
    IntentLog,
    NotRun,
    Opened,
    Ran,
    RequestLedger,
    Unresolved,
)
from oriolegauge.ledger.intents import apply_batch
from oriolegauge.objectstore import (
    StoreAnswerLostError,
    StoreError,
    StoreRateLimitError,
    StoreUnavailableError,
)
from oriolegauge.testkit import MemoryObjectStore
from oriolegauge.testkit.fuzzing import Budget, seeded

STEPS = 40

EPOCH_S = 1_800_000_000
FOREVER_S = 10**7
DAEMONS = st.integers(0, 2)
KEYS = st.sampled_from(['t/a', 't/b', 't/c'])
FAULTS = ['ok', 'ok', 'down', 'limit', 'lost', 'applied', 'late', 'slow']
EFFECTS = ['ran', 'ran', 'refused', 'lost', 'lost_ran']


class Daemon:
    """One process and its store link, with late writes and pauses."""

    def __init__(self, machine, holder):
        self.machine = machine
        self.holder = holder
        self.paused_until = 0.0
        self.is_crashed = False
        self.ledger = RequestLedger()
        self.log = machine.log_class(
            store=self,
            holder=holder,
            shard_count=1,
            clock=lambda: EPOCH_S + machine.loop.time(),
        )

    async def wait_while_paused(self):
        while (left_s := self.paused_until - self.machine.loop.time()) > 0:
            # The simulated clock rounds a tiny sleep down to 0.
            await asyncio.sleep(max(left_s, 0.001))
        if self.is_crashed:
            await asyncio.sleep(FOREVER_S)

    async def begin_store_call(self):
        await self.wait_while_paused()
        faults = self.machine.faults
        fault = faults.pop(0) if faults else self.machine.steady_fault
        if fault == 'down':
            raise StoreUnavailableError('down')
        if fault == 'limit':
            raise StoreRateLimitError('limit', retry_after_s=2)
        if fault == 'slow':
            await asyncio.sleep(0.3)
        return fault

    async def get(self, key):
        if await self.begin_store_call() == 'late':
            await asyncio.sleep(3)
        found = await self.machine.store.get(key)
        await self.wait_while_paused()
        return found

    async def put(self, key, value, expected_version):
        fault = await self.begin_store_call()
        if fault == 'lost':
            raise StoreAnswerLostError('lost')
        if fault == 'late':
            # The store applies the write after the call timed out.
            self.machine.spawn(self.put_late(key, value, expected_version))
            await asyncio.sleep(FOREVER_S)
        stored = await self.machine.store.put(key, value, expected_version)
        if fault == 'applied':
            raise StoreAnswerLostError('lost')
        await self.wait_while_paused()
        return stored

    async def put_late(self, key, value, expected_version):
        await asyncio.sleep(self.machine.late_s)
        with suppress(StoreError):
            await self.machine.store.put(key, value, expected_version)


class Machine(RuleBasedStateMachine):
    """Check that a key runs once, and never after an answer `not_run`."""

    log_class = IntentLog
    totals = Counter()

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.store = MemoryObjectStore()
        self.faults, self.steady_fault, self.late_s = [], 'ok', 2.0
        self.failures = []
        self.runs = Counter()
        self.unresolved_keys = set()
        self.refused_claims = set()
        self.starts = 0
        self.daemons = [self.start() for _ in range(3)]

    def start(self):
        self.starts += 1
        return Daemon(self, f'd/{self.starts}')

    def spawn(self, coroutine):
        self.loop.create_task(coroutine).add_done_callback(self.collect_failure)

    def collect_failure(self, task):
        if not task.cancelled() and task.exception():
            self.failures.append(task.exception())

    def advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for failure in self.failures:
            raise failure

    async def serve(self, daemon, key, effect, pause_s, outer_timeout_s):
        opened = daemon.ledger.open(key, 'f', self.loop.time())
        if not isinstance(opened, Opened):
            return
        reported_state = await self.run_once(
            daemon, key, effect, pause_s, outer_timeout_s
        )
        self.totals[reported_state] += 1
        error = OutcomeUnknownError('ended', run_state=reported_state)
        opened.record.fail(error, self.loop.time(), allows_rerun=True)

    async def run_once(self, daemon, key, effect, pause_s, outer_timeout_s):
        try:
            async with asyncio.timeout(outer_timeout_s):
                outcome = await daemon.log.claim(key, 'f')
        except (ClaimRefusedError, TimeoutError):
            self.refused_claims.add((key, daemon.holder))
            return RunState.NOT_RUN
        if isinstance(outcome, AlreadyClaimed):
            self.check_earlier_claim(key, outcome)
            return outcome.state
        await asyncio.sleep(pause_s)
        await daemon.wait_while_paused()
        if effect == 'refused':
            await daemon.log.record(key, NotRun())
            return RunState.NOT_RUN
        if effect != 'lost':
            self.runs[key] += 1
            assert self.runs[key] == 1, 'the work of a key ran twice'
        if effect == 'ran':
            await daemon.log.record(key, Ran(200))
            return RunState.RAN
        self.unresolved_keys.add(key)
        await daemon.log.record(key, Unresolved())
        return RunState.UNKNOWN

    def check_earlier_claim(self, key, outcome):
        if outcome.state is RunState.RAN:
            assert self.runs[key] == 1, 'answered `ran` without a run'
        elif (
            not self.runs[key] and (key, outcome.holder) in self.refused_claims
        ):
            self.totals['unknown after a refusal'] += 1
        elif not self.runs[key]:
            self.totals['unknown while claimed'] += 1

    @rule(
        number=DAEMONS,
        key=KEYS,
        effect=st.sampled_from(EFFECTS),
        pause_s=st.sampled_from([0, 0, 0.5, 5, 90]),
        outer_timeout_s=st.sampled_from([9, 9, 0.05, 0.5]),
        copies=st.integers(1, 3),
    )
    def request(self, number, key, effect, pause_s, outer_timeout_s, copies):
        for offset in range(copies):
            daemon = self.daemons[(number + offset) % 3]
            if daemon.paused_until <= self.loop.time():
                self.spawn(
                    self.serve(daemon, key, effect, pause_s, outer_timeout_s)
                )
        self.advance(0.001)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.6, 1.5, 4, 60]))
    def wait(self, seconds):
        self.advance(seconds)

    @rule(
        faults=st.lists(st.sampled_from(FAULTS), max_size=6),
        steady=st.sampled_from(['ok', 'ok', 'ok', 'down', 'applied', 'late']),
        late_s=st.sampled_from([0.85, 1.1, 2.0, 6.0, 30.0]),
    )
    def break_store(self, faults, steady, late_s):
        self.faults, self.steady_fault, self.late_s = faults, steady, late_s

    @rule(number=DAEMONS)
    def kill(self, number):
        self.daemons[number].is_crashed = True
        self.daemons[number] = self.start()

    @rule(number=DAEMONS, seconds=st.sampled_from([0.5, 2, 40]))
    def freeze(self, number, seconds):
        self.daemons[number].paused_until = self.loop.time() + seconds

    @rule(number=DAEMONS, key=KEYS)
    def look_up(self, number, key):
        with suppress(StoreError, TimeoutError):
            self.loop.run_until_complete(self.check_status(number, key))

    async def check_status(self, number, key):
        async with asyncio.timeout(1):
            status = await self.daemons[number].log.lookup(key)
        if status is None:
            assert not self.runs[key], 'the entry of a key that ran is missing'
        elif status.state is not RunState.UNKNOWN:
            assert self.runs[key] == (status.state is RunState.RAN)

    def teardown(self):
        try:
            self.settle()
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()

    def settle(self):
        """Expect `unknown` only for lost outcomes and crashed holders."""
        self.faults, self.steady_fault = [], 'ok'
        self.advance(300)
        running_holders = {daemon.holder for daemon in self.daemons}
        for key in ('t/a', 't/b', 't/c'):
            self.loop.run_until_complete(self.check_status(0, key))
            status = self.loop.run_until_complete(
                self.daemons[0].log.lookup(key)
            )
            if status and status.state is RunState.UNKNOWN:
                assert (
                    key in self.unresolved_keys
                    or status.holder not in running_holders
                )


def run(machine, examples):
    fuzz_seed = os.environ.get('FUZZ_SEED')
    if fuzz_seed:
        machine = seeded(machine, fuzz_seed)
    budget = settings(
        max_examples=int(os.environ.get('FUZZ_STEPS', examples)),
        stateful_step_count=STEPS,
        derandomize=not fuzz_seed,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=budget)


class EarlyClaimLog(IntentLog):
    async def claim(self, request_id, fingerprint):
        claiming = asyncio.ensure_future(super().claim(request_id, fingerprint))
        await asyncio.wait({claiming}, timeout=0.2)
        if claiming.done():
            return claiming.result()
        claiming.add_done_callback(lambda task: task.exception())
        self._claim_numbers[request_id] = 0
        return Claimed(request_id, FOREVER_S)


def treat_stale_as_not_run(entries, *batch):
    """Treat a claim without an outcome as not run after 30 s."""
    now = batch[-1]
    stale = {
        key: [*entry[:2], 'not_run', *entry[3:]]
        if entry[2] == 'claimed' and now - entry[4] > 30
        else entry
        for key, entry in entries.items()
    }
    return apply_batch(stale, *batch)


def match_holder_only(entries, version, resolutions, claims, now):
    """Treat any claim of the same holder as the present one."""
    renumbered_entries = dict(entries)
    for claim in claims:
        entry = entries.get(claim.request_id)
        if entry and entry[0] == claim.holder:
            renumbered_entries[claim.request_id] = [
                entry[0],
                claim.number,
                *entry[2:],
            ]
    return apply_batch(renumbered_entries, version, resolutions, claims, now)


def ignore_fence(entries, version, resolutions, claims, now):
    """Treat a write with a lost answer as not applied after one read."""
    return apply_batch(entries, -version, resolutions, claims, now)


def skip_resolution(self, pending):
    """Refuse a claim without resolving its sent write."""


@pytest.mark.fuzz
class TestIntentLogMachine:
    def test_each_key_runs_at_most_once(self):
        """Guards against second dispatches and wrong statuses."""
        Machine.totals.clear()
        run(Machine, examples=100)
        print(dict(Machine.totals))
        assert Machine.totals[RunState.RAN]

    @pytest.mark.parametrize(
        ('name', 'replacement'),
        [
            ('apply_batch', treat_stale_as_not_run),
            ('apply_batch', match_holder_only),
            ('IntentWriter._cancel_sent_write', skip_resolution),
        ],
    )
    def test_detects_faults_of_the_writer(self, monkeypatch, name, replacement):
        """Guards against a random test that misses these faults."""
        owner, _, attribute = name.rpartition('.')
        target = getattr(intentwriter, owner) if owner else intentwriter
        monkeypatch.setattr(target, attribute, replacement)
        Budget(600, STEPS).expect_caught(
            Machine, (AssertionError, ExceptionGroup)
        )

    def test_detects_dispatch_before_the_claim_is_stored(self):
        """Guards against a random test that misses early dispatches."""

        class Broken(Machine):
            log_class = EarlyClaimLog

        Budget(600, STEPS).expect_caught(
            Broken, (AssertionError, ExceptionGroup)
        )
