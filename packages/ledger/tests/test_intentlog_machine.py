"""Several daemons claim the same keys over a store that fails."""

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
    """One process and its way to the store, with late writes and freezes."""

    def __init__(self, machine, holder):
        self.machine = machine
        self.holder = holder
        self.frozen_until = 0.0
        self.is_dead = False
        self.ledger = RequestLedger()
        self.log = machine.log_class(
            store=self,
            holder=holder,
            shard_count=1,
            clock=lambda: EPOCH_S + machine.loop.time(),
        )

    async def gate(self):
        while (left_s := self.frozen_until - self.machine.loop.time()) > 0:
            # The paused clock rounds a tiny sleep down to no time at all.
            await asyncio.sleep(max(left_s, 0.001))
        if self.is_dead:
            await asyncio.sleep(FOREVER_S)

    async def start_call(self):
        await self.gate()
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
        if await self.start_call() == 'late':
            await asyncio.sleep(3)
        found = await self.machine.store.get(key)
        await self.gate()
        return found

    async def put(self, key, value, expected_version):
        fault = await self.start_call()
        if fault == 'lost':
            raise StoreAnswerLostError('lost')
        if fault == 'late':
            # The store applies the write after the daemon has given up.
            self.machine.spawn(self.put_late(key, value, expected_version))
            await asyncio.sleep(FOREVER_S)
        stored = await self.machine.store.put(key, value, expected_version)
        if fault == 'applied':
            raise StoreAnswerLostError('lost')
        await self.gate()
        return stored

    async def put_late(self, key, value, expected_version):
        await asyncio.sleep(self.machine.late_s)
        with suppress(StoreError):
            await self.machine.store.put(key, value, expected_version)


class Machine(RuleBasedStateMachine):
    """Oracle: a key runs once; an attempt told `not_run` has no run."""

    log_class = IntentLog
    totals = Counter()

    def __init__(self):
        super().__init__()
        self.loop = looptime.new_event_loop()
        self.store = MemoryObjectStore()
        self.faults, self.steady_fault, self.late_s = [], 'ok', 2.0
        self.failures = []
        self.runs = Counter()
        self.lost_keys = set()
        self.refused = set()
        self.starts = 0
        self.daemons = [self.start() for _ in range(3)]

    def start(self):
        self.starts += 1
        return Daemon(self, f'd/{self.starts}')

    def spawn(self, coroutine):
        self.loop.create_task(coroutine).add_done_callback(self.reap)

    def reap(self, task):
        if not task.cancelled() and task.exception():
            self.failures.append(task.exception())

    def advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for failure in self.failures:
            raise failure

    async def serve(self, daemon, key, effect, pause_s, patience_s):
        opened = daemon.ledger.open(key, 'f', self.loop.time())
        if not isinstance(opened, Opened):
            return
        told = await self.run_once(daemon, key, effect, pause_s, patience_s)
        self.totals[told] += 1
        error = OutcomeUnknownError('ended', run_state=told)
        opened.record.fail(error, self.loop.time(), allows_rerun=True)

    async def run_once(self, daemon, key, effect, pause_s, patience_s):
        try:
            async with asyncio.timeout(patience_s):
                outcome = await daemon.log.claim(key, 'f')
        except (ClaimRefusedError, TimeoutError):
            self.refused.add((key, daemon.holder))
            return RunState.NOT_RUN
        if isinstance(outcome, AlreadyClaimed):
            self.judge(key, outcome)
            return outcome.state
        await asyncio.sleep(pause_s)
        await daemon.gate()
        if effect == 'refused':
            await daemon.log.record(key, NotRun())
            return RunState.NOT_RUN
        if effect != 'lost':
            self.runs[key] += 1
            assert self.runs[key] == 1, 'a key ran twice'
        if effect == 'ran':
            await daemon.log.record(key, Ran(200))
            return RunState.RAN
        self.lost_keys.add(key)
        await daemon.log.record(key, Unresolved())
        return RunState.UNKNOWN

    def judge(self, key, outcome):
        if outcome.state is RunState.RAN:
            assert self.runs[key] == 1, 'told ran, but it did not'
        elif not self.runs[key] and (key, outcome.holder) in self.refused:
            self.totals['unknown after a refusal'] += 1
        elif not self.runs[key]:
            self.totals['unknown while claimed'] += 1

    @rule(
        number=DAEMONS,
        key=KEYS,
        effect=st.sampled_from(EFFECTS),
        pause_s=st.sampled_from([0, 0, 0.5, 5, 90]),
        patience_s=st.sampled_from([9, 9, 0.05, 0.5]),
        copies=st.integers(1, 3),
    )
    def request(self, number, key, effect, pause_s, patience_s, copies):
        for offset in range(copies):
            daemon = self.daemons[(number + offset) % 3]
            if daemon.frozen_until <= self.loop.time():
                self.spawn(self.serve(daemon, key, effect, pause_s, patience_s))
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
        self.daemons[number].is_dead = True
        self.daemons[number] = self.start()

    @rule(number=DAEMONS, seconds=st.sampled_from([0.5, 2, 40]))
    def freeze(self, number, seconds):
        self.daemons[number].frozen_until = self.loop.time() + seconds

    @rule(number=DAEMONS, key=KEYS)
    def look_up(self, number, key):
        with suppress(StoreError, TimeoutError):
            self.loop.run_until_complete(self.check_status(number, key))

    async def check_status(self, number, key):
        async with asyncio.timeout(1):
            status = await self.daemons[number].log.lookup(key)
        if status is None:
            assert not self.runs[key], 'forgot a run'
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
        """Heal all; only lost outcomes and dead holders stay unknown."""
        self.faults, self.steady_fault = [], 'ok'
        self.advance(300)
        alive = {daemon.holder for daemon in self.daemons}
        for key in ('t/a', 't/b', 't/c'):
            self.loop.run_until_complete(self.check_status(0, key))
            status = self.loop.run_until_complete(
                self.daemons[0].log.lookup(key)
            )
            if status and status.state is RunState.UNKNOWN:
                assert key in self.lost_keys or status.holder not in alive


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


class ClaimsBeforeDurable(IntentLog):
    async def claim(self, request_id, fingerprint):
        claiming = asyncio.ensure_future(super().claim(request_id, fingerprint))
        await asyncio.wait({claiming}, timeout=0.2)
        if claiming.done():
            return claiming.result()
        claiming.add_done_callback(lambda task: task.exception())
        self._held[request_id] = 0
        return Claimed(request_id, FOREVER_S)


def take_over_unknown(entries, *batch):
    """Treat a claim of 30 s without an outcome as not run."""
    now = batch[-1]
    stale = {
        key: [*entry[:2], 'not_run', *entry[3:]]
        if entry[2] == 'claimed' and now - entry[4] > 30
        else entry
        for key, entry in entries.items()
    }
    return apply_batch(stale, *batch)


def match_holder_only(entries, version, resolutions, claims, now):
    """Take any claim of the own holder for the present one."""
    renumbered = dict(entries)
    for claim in claims:
        entry = entries.get(claim.request_id)
        if entry and entry[0] == claim.holder:
            renumbered[claim.request_id] = [entry[0], claim.number, *entry[2:]]
    return apply_batch(renumbered, version, resolutions, claims, now)


def ignore_fence(entries, version, resolutions, claims, now):
    """Trust one read that a lost write was not applied."""
    return apply_batch(entries, -version, resolutions, claims, now)


def forget_lost(self, pending):
    """Refuse a claim without resolving its lost write."""


@pytest.mark.fuzz
class TestIntentLogMachine:
    def test_each_key_runs_at_most_once(self):
        """Guards against second dispatches and untrue answers."""
        Machine.totals.clear()
        run(Machine, examples=100)
        print(dict(Machine.totals))
        assert Machine.totals[RunState.RAN]

    @pytest.mark.parametrize(
        ('name', 'substitute'),
        [
            ('apply_batch', take_over_unknown),
            ('apply_batch', match_holder_only),
            ('IntentWriter._withdraw', forget_lost),
        ],
    )
    def test_finds_faults_of_the_writer(self, monkeypatch, name, substitute):
        """Guards against a machine that is blind to these faults."""
        owner, _, attribute = name.rpartition('.')
        target = getattr(intentwriter, owner) if owner else intentwriter
        monkeypatch.setattr(target, attribute, substitute)
        Budget(600, STEPS).expect_caught(
            Machine, (AssertionError, ExceptionGroup)
        )

    def test_finds_dispatch_before_the_claim_is_durable(self):
        """Guards against a machine that is blind to early dispatches."""

        class Broken(Machine):
            log_class = ClaimsBeforeDurable

        Budget(600, STEPS).expect_caught(
            Broken, (AssertionError, ExceptionGroup)
        )
