"""A holder's numbered log in one shard and its writes to the store.

Handles version conflicts with other holders and lost answers of the store, so
that each entry is applied exactly once.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from tenacity import (
    AsyncRetrying,
    RetryCallState,
    retry_if_exception_type,
    stop_after_attempt,
)

from oriolegauge.budget.budgetaccount import BudgetAccount
from oriolegauge.budget.errors import BudgetUnknownError
from oriolegauge.budget.fleetview import FleetView
from oriolegauge.budget.shard import Flush, Settlement, apply_flush, is_closed
from oriolegauge.budget.writeplanner import WritePlan, WritePlanner
from oriolegauge.objectstore import (
    ObjectStore,
    StoreAnswerLostError,
    StoredObject,
    StoreError,
    VersionConflictError,
)

ATTEMPTS_MAX = 10
"""Attempts of one write; with 6 writers a write rarely needs more than 3."""

RETRY_FIRST_S = 0.004
RETRY_MAX_S = 0.1

FLUSH_AGE_S = 10.0
"""Age at which entries that two peers have copied are written.

At 50 requests a second per daemon this is 4 store calls for 1,000 requests.
"""

FLUSH_ENTRIES = 500
"""Entries that are written regardless of their age, about 60 kB."""

RENEWAL_PERIOD_S = 300.0
"""Longest time without a write while a grant is held.

The write renews the spending lease of the holder.
"""

SPENDING_LEASE_S = 900.0
"""Time after the last confirmed write during which a holder may spend."""

CACHE_AGE_MAX_S = 30.0
"""Age up to which a shard value is reused if no other holder writes to it."""


@dataclass(slots=True)
class _UnconfirmedFlush:
    """A flush with unknown outcome; it is only resent unchanged."""

    flush: Flush
    version: int
    sent_at: float


class ShardLog:
    """Write entries, grant changes and closures of holders to one shard.

    A write whose answer was lost is unconfirmed until a read shows either its
    position (it was applied) or a newer version without it (it can no longer
    be applied).
    """

    def __init__(
        self,
        *,
        key: str,
        holder: str,
        store: ObjectStore,
        clock: Callable[[], float],
        rng: random.Random,
        new_holder: Callable[[], str],
        fleet: FleetView,
        on_read: Callable[[str, Mapping[str, Any]], None],
    ) -> None:
        """Write to the object `key` as `holder`.

        `new_holder` names the next holder after a closure. `on_read` is
        called with each accepted shard value.
        """
        self.key = key
        self.holder = holder
        self.entries: list[Settlement] = []
        self.accounts: dict[str, BudgetAccount] = {}
        self.confirmed = 0
        self.unbilled = 0
        self.confirmed_at = clock()
        self.read_at = float('-inf')
        self.failed_at = float('-inf')
        self.pending_closures: dict[str, dict[int, Settlement]] = {}
        self.closing_processes: set[str] = set()
        self.stored: StoredObject | None = None
        self._store = store
        self._clock = clock
        self._rng = rng
        self._new_holder = new_holder
        self._fleet = fleet
        self._planner = WritePlanner(
            accounts=self.accounts,
            pending_closures=self.pending_closures,
            closing_processes=self.closing_processes,
            fleet=fleet,
            clock=clock,
        )
        self._on_read = on_read
        self._position = 0
        self._oldest_at = clock()
        self._unconfirmed: _UnconfirmedFlush | None = None
        self._is_sole_writer = False
        self._is_finishing = False
        self._lock = asyncio.Lock()
        self._next: asyncio.Task[None] | None = None

    @property
    def may_spend(self) -> bool:
        """Return whether the spending lease is valid."""
        return self._clock() - self.confirmed_at < SPENDING_LEASE_S

    @property
    def is_dirty(self) -> bool:
        """Return whether there is anything to write."""
        has_work = self.entries or self._unconfirmed or self._planner.surplus()
        return bool(
            has_work
            or self.pending_closures
            or self.closing_processes
            or self._is_renewal_due()
        )

    @property
    def is_due(self) -> bool:
        """Return whether a write is due even if peers copied the entries."""
        now = self._clock()
        has_work = (
            self._unconfirmed
            or self._planner.surplus()
            or self.pending_closures
        )
        is_urgent = (
            self._is_renewal_due() or self._planner.has_large_grant_request()
        )
        if has_work or self.closing_processes or is_urgent:
            return True
        if not self.entries:
            return False
        is_old = now - self._oldest_at >= FLUSH_AGE_S
        return is_old or len(self.entries) >= FLUSH_ENTRIES or self._is_scarce()

    def account(self, budget: str) -> BudgetAccount:
        """Return the account of a budget in this shard."""
        if budget not in self.accounts:
            self.accounts[budget] = BudgetAccount(budget)
        return self.accounts[budget]

    def append(
        self,
        *,
        budget: str,
        request_id: str,
        tokens: int,
        keyed: bool,
        pooled: bool = False,
    ) -> Settlement:
        """Append a settlement at the next position."""
        self._position += 1
        settlement = Settlement(
            self._position, budget, request_id, tokens, keyed, pooled
        )
        if not self.entries:
            self._oldest_at = self._clock()
        self.entries.append(settlement)
        if not pooled:
            self.account(budget).unflushed += tokens
        return settlement

    def close(self, holder: str, entries: Iterable[Settlement]) -> None:
        """Close `holder` with the next write and merge the given entries."""
        merged = self.pending_closures.setdefault(holder, {})
        merged.update({entry.position: entry for entry in entries})

    def close_process(self, process: str) -> None:
        """Close all holders of a process with the next write."""
        self.closing_processes.add(process)

    async def write(self) -> None:
        """Write all pending changes; concurrent callers share one write.

        Cancelling a caller does not cancel the write. Raise StoreError if the
        store fails, BudgetUnknownError if the shard does not exist.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._run())
            self._next.add_done_callback(_consume_exception)
        await asyncio.shield(self._next)

    async def finish(self) -> None:
        """Write all entries, close the own holder and free its grants."""
        self._is_finishing = True
        await self.write()

    async def read_shard(self) -> Mapping[str, Any]:
        """Return the stored shard; raise as `write` does."""
        async with self._lock:
            return (await self._read()).value

    async def _run(self) -> None:
        async with self._lock:
            self._next = None
            retrying = AsyncRetrying(
                retry=retry_if_exception_type(
                    (VersionConflictError, StoreAnswerLostError)
                ),
                wait=self._retry_wait,
                stop=stop_after_attempt(ATTEMPTS_MAX),
                sleep=asyncio.sleep,
                reraise=True,
            )
            try:
                await retrying(self._commit)
            except StoreError:
                self.failed_at = self._clock()
                raise

    def _retry_wait(self, state: RetryCallState) -> float:
        longest = min(RETRY_MAX_S, RETRY_FIRST_S * 2**state.attempt_number)
        return self._rng.uniform(0, longest)

    async def _commit(self) -> None:
        stored = self._cached()
        if stored is not None:
            plan = self._plan(stored.value)
            if plan.meets_needs and plan.flush is not None:
                await self._put(stored, plan)
                return
        stored = await self._read()
        if self._unconfirmed is not None:
            stored = await self._resolve(stored, self._unconfirmed)
        self._update_views(stored)
        plan = self._plan(stored.value)
        if plan.value is stored.value:
            self._accept_stored(stored, plan)
        else:
            await self._put(stored, plan)

    def _cached(self) -> StoredObject | None:
        if self._unconfirmed is not None or not self._is_sole_writer:
            return None
        return (
            self.stored
            if self._clock() - self.read_at < CACHE_AGE_MAX_S
            else None
        )

    async def _read(self) -> StoredObject:
        stored = await self._store.get(self.key)
        if stored is None:
            for account in self.accounts.values():
                account.update_from_record(None, self.holder, self._clock())
            raise BudgetUnknownError(f'no shard {self.key}')
        known = self.stored.version if self.stored else 0
        self._is_sole_writer = stored.version == known
        if is_closed(stored.value, self.holder, self.confirmed):
            self._switch_holder()
        return stored

    def _switch_holder(self) -> None:
        """Continue as a new holder; the old one's entries become late."""
        self.close(self.holder, self.entries)
        self.holder = self._new_holder()
        self.entries = []
        self.confirmed = 0
        self._position = 0
        self._unconfirmed = None
        for account in self.accounts.values():
            account.clear_grant()

    async def _resolve(
        self, stored: StoredObject, unconfirmed: _UnconfirmedFlush
    ) -> StoredObject:
        """Find out whether the flush was applied; if undecided, resend it."""
        position = stored.value['positions'].get(self.holder, 0)
        if position >= unconfirmed.flush.last_position:
            self._clear_unconfirmed()
            self._confirm(stored, unconfirmed.flush, unconfirmed.sent_at)
            return stored
        if stored.version != unconfirmed.version:
            self._clear_unconfirmed()
            return stored
        again = WritePlan(
            apply_flush(stored.value, unconfirmed.flush), unconfirmed.flush, {}
        )
        written = await self._store.put(
            self.key, again.value, unconfirmed.version
        )
        self._clear_unconfirmed()
        stored = StoredObject(self.key, written.version, again.value)
        self._confirm(stored, unconfirmed.flush, unconfirmed.sent_at)
        return stored

    def _plan(self, stored: Mapping[str, Any]) -> WritePlan:
        plan = self._planner.plan(
            stored,
            Flush(
                holder=self.holder,
                last_position=self._position + 1,
                settlements=tuple(self.entries),
                confirmed=self.confirmed,
            ),
            is_finishing=self._is_finishing,
            is_renewal_due=self._is_renewal_due(),
        )
        if plan.flush is not None:
            self._position += 1
        return plan

    def _is_scarce(self) -> bool:
        now = self._clock()
        daemon_count = self._fleet.daemon_count()
        return any(
            account.unflushed and account.is_scarce(now, daemon_count)
            for account in self.accounts.values()
        )

    def _is_renewal_due(self) -> bool:
        return self._clock() - self.confirmed_at >= RENEWAL_PERIOD_S and any(
            account.granted for account in self.accounts.values()
        )

    async def _put(self, stored: StoredObject, plan: WritePlan) -> None:
        sent_at = self._clock()
        if plan.flush is not None:
            self._set_unconfirmed(
                _UnconfirmedFlush(plan.flush, stored.version, sent_at)
            )
        try:
            written = await self._store.put(
                self.key, plan.value, stored.version
            )
        except StoreAnswerLostError:
            self._is_sole_writer = False
            raise
        except StoreError:
            self._is_sole_writer = False
            self._clear_unconfirmed()
            raise
        self._clear_unconfirmed()
        stored = StoredObject(self.key, written.version, plan.value)
        if plan.flush is not None:
            self._confirm(stored, plan.flush, sent_at)
        self._accept_stored(stored, plan)

    def _set_unconfirmed(self, unconfirmed: _UnconfirmedFlush) -> None:
        self._unconfirmed = unconfirmed
        for budget, tokens in unconfirmed.flush.returned.items():
            self.accounts[budget].returning = tokens
            self.accounts[budget].recalled = 0

    def _clear_unconfirmed(self) -> None:
        self._unconfirmed = None
        for account in self.accounts.values():
            account.returning = 0

    def _confirm(
        self, stored: StoredObject, flush: Flush, sent_at: float
    ) -> None:
        """Drop the entries of an applied flush and update the grants."""
        position = flush.last_position
        self.confirmed = position
        self.confirmed_at = max(self.confirmed_at, sent_at)
        for budget, tokens in flush.returned.items():
            self.account(budget).returned += tokens
        for entry in self.entries:
            if entry.position <= position and not entry.pooled:
                self.account(entry.budget).unflushed -= entry.tokens
        self.entries = [one for one in self.entries if one.position > position]
        self._oldest_at = self._clock()
        self._update_views(stored)

    def _accept_stored(self, stored: StoredObject, plan: WritePlan) -> None:
        self._update_views(stored)
        if is_closed(stored.value, self.holder, self.confirmed):
            self._switch_holder()
        for holder, positions in plan.closed.items():
            self._note_closed(stored.value, holder, positions)
        self.closing_processes.difference_update(plan.processes)
        for account in self.accounts.values():
            account.serve_waiters()
        self._on_read(self.key, stored.value)

    def _update_views(self, stored: StoredObject) -> None:
        self.stored = stored
        self.read_at = self._clock()
        for name, account in self.accounts.items():
            account.update_from_record(
                stored.value['budgets'].get(name), self.holder, self.read_at
            )

    def _note_closed(
        self, shard: Mapping[str, Any], holder: str, positions: frozenset[int]
    ) -> None:
        entries = self.pending_closures.get(holder, {})
        for position in positions:
            entry = entries.pop(position)
            if holder not in shard['closed']:
                self.unbilled += entry.tokens
        if not entries:
            self.pending_closures.pop(holder, None)


def _consume_exception(task: asyncio.Task[None]) -> None:
    """Mark the exception as retrieved, as all callers may be cancelled."""
    if not task.cancelled():
        task.exception()
