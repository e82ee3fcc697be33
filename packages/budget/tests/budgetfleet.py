"""Several budget managers, and an oracle that checks the bills."""

import asyncio
import random
from contextlib import suppress

import looptime
from hypothesis.stateful import (
    RuleBasedStateMachine,
)

from oriolegauge.budget import (
    BudgetManager,
    shard_key,
)
from oriolegauge.budget.shard import unmerged
from oriolegauge.core.errors import OriolegaugeError
from oriolegauge.core.resultcode import ResultCode
from oriolegauge.objectstore import VersionConflictError
from oriolegauge.testkit import (
    MemoryNetwork,
    MemoryObjectStore,
    MemoryPeers,
    StoreClient,
    StoreFault,
)

SHARDS = 1
BUDGETS = ('a/x', 'b/y')
ZONES = ('z1', 'z2', 'z3')
NAMES = ('d0', 'd1', 'd2')


class Daemon:
    """One process: a manager with its own links, which can be suspended."""

    def __init__(self, machine, name, number) -> None:
        seed = random.Random(f'{name}{number}')
        self.name = name
        self.zone = ZONES[NAMES.index(name) % len(ZONES)]
        self.holder = f'{name}/{number}'
        self.peers = MemoryPeers(machine.network, name)
        self.client = StoreClient(machine.store, rng=seed, latency_s=0.002)
        self.manager = machine.manager_class(
            store=self.client,
            holder=self.holder,
            shard_count=SHARDS,
            clock=machine.loop.time,
            peers=self.peers,
            zone=self.zone,
            rng=seed,
        )
        self.open = []

    def suspend(self) -> None:
        self.client.running.clear()
        self.peers.running.clear()

    def continue_running(self) -> None:
        self.client.running.set()
        self.peers.running.set()


class BudgetFleet(RuleBasedStateMachine):
    """Daemons with their budgets, and the invariants of the bills."""

    manager_class = BudgetManager

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=0)
        self.store = MemoryObjectStore()
        self.network = MemoryNetwork(rng=random.Random(1), latency_s=0.001)
        self.daemons = {}
        self.suspended = {}
        self.killed = []
        self.spent = {name: {} for name in BUDGETS}
        self.delivered = {name: {} for name in BUDGETS}
        self.prepaid = dict.fromkeys(BUDGETS, 0)
        self.started = 0
        self.requests = 0
        self.unrecoverable = {}
        self.was_closed_alive = False
        self.errors = []
        self.loop.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )

    # Oracle

    def teardown(self):
        try:
            self.check()
            if self.daemons:
                self.converge()
        finally:
            self.stop_tasks()
            self.loop.close()

    def stop_tasks(self):
        """Cancel all tasks, also those that cancelled tasks start."""
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.wait(tasks))

    def check(self):
        """Compare the store with the prepaid and the spent tokens."""
        for budget in BUDGETS:
            record = self.record(budget)
            if record is None:
                continue
            granted = sum(record['grants'].values())
            assert record['prepaid'] == self.prepaid[budget]
            assert record['settled'] + granted <= record['prepaid']
            assert record['settled'] <= sum(self.spent[budget].values())
            if not (self.killed or self.was_closed_alive):
                assert not record.get('unbilled', 0)
                delivered = sum(self.delivered[budget].values())
                assert delivered <= record['prepaid']
        assert not self.errors, self.errors

    def converge(self):
        """Remove all faults; then each delivered answer must be billed once."""
        self.heal()
        while self.suspended:
            self.resume(is_closed=False)
        self.run(2)
        for daemon in self.daemons.values():
            for reservation in daemon.open:
                self.loop.call_soon(daemon.manager.release, reservation)
            daemon.open = []
        for _ in range(3):
            for killed in self.killed:
                for daemon in self.daemons.values():
                    self.spawn(
                        self.quietly(
                            daemon.manager.close_process_holders(killed.holder)
                        )
                    )
            self.run(2)
            for daemon in self.daemons.values():
                self.spawn(self.quietly(daemon.manager.flush()))
            self.run(2)
        self.run(2000)
        for _ in range(2):
            for daemon in self.daemons.values():
                self.spawn(self.quietly(daemon.manager.flush()))
            self.run(2)
        for daemon in self.daemons.values():
            self.loop.run_until_complete(daemon.manager.drain())
        self.check()
        accounted = sum(self.unrecoverable.values())
        for budget in BUDGETS:
            record = self.record(budget)
            accounted += record['settled'] + record.get('unbilled', 0)
        delivered = sum(sum(one.values()) for one in self.delivered.values())
        assert accounted >= delivered
        for budget in BUDGETS:
            assert not self.record(budget)['grants']

    def note_unrecoverable(self, killed):
        """Note unwritten entries of a killed daemon that no peer has copied."""
        others = (*self.daemons.values(), *self.suspended.values())
        copies = {
            (one.holder, one.settlement.position)
            for other in others
            for one in other.manager._journal.query(killed.holder).entries
        }
        for log in killed.manager._logs.opened:
            shard = self.store.objects[log.key].value
            for entry in unmerged(shard, log.holder, log.entries):
                if (log.holder, entry.position) not in copies:
                    self.unrecoverable[log.holder, entry.position] = (
                        entry.tokens
                    )
        deferred = {
            one.settle.reservation_id
            for other in others
            for one in other.manager._journal.query(killed.holder).deferred
        }
        for pending in killed.manager._outbox.settles:
            settle = pending.deferred.settle
            if settle.reservation_id not in deferred:
                self.unrecoverable[settle.reservation_id] = settle.tokens

    # Helpers

    def start(self, name):
        self.started += 1
        self.loop.run_until_complete(self.start_async(name))

    async def start_async(self, name):
        daemon = Daemon(self, name, self.started)
        self.network.join(name, daemon.zone, daemon.manager)
        self.daemons[name] = daemon

    def edit(self, budget, change):
        key = shard_key(budget, SHARDS)
        faults, self.store.next_faults = self.store.next_faults, []
        outage, self.store.fault = self.store.fault, StoreFault.NONE
        is_done = False
        while not is_done:
            with suppress(VersionConflictError):
                found = self.store.objects.get(key)
                version = found.version if found else 0
                value = change(found.value if found else {})
                self.loop.run_until_complete(
                    self.store.put(key, value, version)
                )
                is_done = True
        self.store.next_faults, self.store.fault = faults, outage

    def record(self, budget):
        found = self.store.objects.get(shard_key(budget, SHARDS))
        return found.value['budgets'].get(budget) if found else None

    def spawn(self, coroutine):
        self.loop.create_task(coroutine)

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        self.check()

    async def quietly(self, coroutine):
        try:
            await coroutine
        except OriolegaugeError as error:
            if error.code is ResultCode.INTERNAL:
                self.errors.append(error)
