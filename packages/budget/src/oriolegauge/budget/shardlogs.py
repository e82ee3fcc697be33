"""Shard logs and budget accounts of this daemon, created on first use.

Their number is limited, as an outage of the store or requests for many budgets
would fill the memory.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from oriolegauge.budget.budgetaccount import BudgetAccount
from oriolegauge.budget.fleetview import FleetView
from oriolegauge.budget.messages import JournalFloor
from oriolegauge.budget.shard import shard_key
from oriolegauge.budget.shardlog import ShardLog
from oriolegauge.objectstore import ObjectStore

ACCOUNTS_MAX = 50_000
"""Budgets with local state, 30 MB; beyond it reservations are refused."""

UNUSED_REQUESTS_PER_MINUTE = 0.05
"""Average requests a minute below which an idle account is dropped.

This is the case 3 minutes after a single request.
"""

ENTRIES_MAX = 200_000
"""Unflushed log entries, about 40 MB; beyond it reservations are refused.

In an outage of the store this is 900 s at 220 requests a second.
"""


class ShardLogs:
    """Create a log per shard on first use and find the accounts in them."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        process: str,
        shard_count: int,
        clock: Callable[[], float],
        rng: random.Random,
        fleet: FleetView,
        on_read: Callable[[str, Mapping[str, Any]], None],
    ) -> None:
        """Write to `shard_count` shards on behalf of `process`."""
        self._store = store
        self._process = process
        self._shard_count = shard_count
        self._clock = clock
        self._rng = rng
        self._fleet = fleet
        self._on_read = on_read
        self._logs: dict[str, ShardLog] = {}
        self._closures = 0
        self._has_room = True

    @property
    def opened(self) -> list[ShardLog]:
        """Return the logs that are in use."""
        return list(self._logs.values())

    @property
    def keys(self) -> list[str]:
        """Return the store keys of all shards."""
        return [f'budgets/{number}' for number in range(self._shard_count)]

    @property
    def has_room(self) -> bool:
        """Return whether entries and accounts were below the limits."""
        return self._has_room

    def state(self) -> list[dict[str, Any]]:
        """Return logs and accounts for diagnosis; amounts are in tokens."""
        return [_state(log) for log in self._logs.values()]

    def of_budget(self, budget: str) -> ShardLog:
        """Return the log of the shard that holds the budget."""
        return self.of_key(shard_key(budget, self._shard_count))

    def of_key(self, key: str) -> ShardLog:
        """Return the log of a shard."""
        log = self._logs.get(key)
        if log is None:
            log = ShardLog(
                key=key,
                holder=self._process,
                store=self._store,
                clock=self._clock,
                rng=self._rng,
                new_holder=self._new_holder,
                fleet=self._fleet,
                on_read=self._on_read,
            )
            self._logs[key] = log
        return log

    def account(self, budget: str) -> BudgetAccount:
        """Return the account of the budget."""
        return self.of_budget(budget).account(budget)

    def floors(self, holders: Iterable[str]) -> tuple[JournalFloor, ...]:
        """Return the stored positions of the given holders."""
        wanted = set(holders)
        return tuple(
            JournalFloor(log.holder, log.key, log.confirmed)
            for log in self._logs.values()
            if log.holder in wanted and log.confirmed
        )

    def drop_idle_accounts(self) -> None:
        """Drop idle accounts and compare what remains with the limits."""
        now = self._clock()
        for log in self._logs.values():
            idle = [
                name
                for name, account in log.accounts.items()
                if account.is_idle
                and account.demand.requests(now) < UNUSED_REQUESTS_PER_MINUTE
            ]
            for name in idle:
                log.accounts.pop(name)
        logs = self._logs.values()
        self._has_room = (
            sum(len(log.entries) for log in logs) < ENTRIES_MAX
            and sum(len(log.accounts) for log in logs) < ACCOUNTS_MAX
        )

    def _new_holder(self) -> str:
        """Return the next holder name of this process after a closure."""
        self._closures += 1
        return f'{self._process}.{self._closures}'


def _state(log: ShardLog) -> dict[str, Any]:
    return {
        'shard': log.key,
        'holder': log.holder,
        'confirmed': log.confirmed,
        'unflushed_entries': len(log.entries),
        'unbilled_tokens': log.unbilled,
        'budgets': {
            name: {
                'granted': account.granted,
                'reserved': account.reserved,
                'unflushed': account.unflushed,
                'free': account.free,
            }
            for name, account in log.accounts.items()
        },
    }
