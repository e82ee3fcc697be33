"""A holder's numbered log in one shard and its writes to the store."""

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
"""Age at which entries are written that two peers have copied; at 50 requests
a second and daemon this is 4 store calls for 1,000 requests."""

FLUSH_ENTRIES = 500
"""Entries that are written without waiting, about 60 kB."""

SIGN_PERIOD_S = 300.0
"""Longest time without a write while a grant is held, in seconds."""

SPEND_LIMIT_S = 900.0
"""Time after the last confirmed write when a holder stops spending."""

CACHE_S = 30.0
"""Longest use of a cached shard value when no other holder writes to it."""


@dataclass(slots=True)
class _SealedFlush:
    """A flush whose outcome is open; it is only ever sent again unchanged."""

    flush: Flush
    version: int
    sent_at: float


class ShardLog:
    """Write entries, grant adjustments and closures of one shard.

    A put whose answer was lost stays sealed until a read shows its position
    (applied) or a newer version without it (can never be applied any more).
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
        """Write to the object `key` as `holder`, after a closure as another.

        `on_read` is called with each value seen.
        """
        self.key = key
        self.holder = holder
        self.entries: list[Settlement] = []
        self.accounts: dict[str, BudgetAccount] = {}
        self.confirmed = 0
        self.unbilled = 0
        self.sign_at = clock()
        self.read_at = float('-inf')
        self.failed_at = float('-inf')
        self.closures: dict[str, dict[int, Settlement]] = {}
        self.closing: set[str] = set()
        self.stored: StoredObject | None = None
        self._store = store
        self._clock = clock
        self._rng = rng
        self._new_holder = new_holder
        self._fleet = fleet
        self._planner = WritePlanner(
            accounts=self.accounts,
            closures=self.closures,
            closing=self.closing,
            fleet=fleet,
            clock=clock,
        )
        self._on_read = on_read
        self._position = 0
        self._oldest_at = clock()
        self._sealed: _SealedFlush | None = None
        self._stable = False
        self._is_finishing = False
        self._lock = asyncio.Lock()
        self._next: asyncio.Task[None] | None = None

    @property
    def may_spend(self) -> bool:
        """Return whether the last confirmed write is recent enough."""
        return self._clock() - self.sign_at < SPEND_LIMIT_S

    @property
    def is_dirty(self) -> bool:
        """Return whether a write is due."""
        has_work = self.entries or self._sealed or self._planner.surplus()
        return bool(
            has_work or self.closures or self.closing or self._is_sign_due()
        )

    @property
    def is_due(self) -> bool:
        """Return whether a write is due although the entries have copies."""
        now = self._clock()
        has_work = self._sealed or self._planner.surplus() or self.closures
        is_urgent = self._is_sign_due() or self._planner.has_large_want()
        if has_work or self.closing or is_urgent:
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
        """Add a settlement under the next entry number."""
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
        """Close `holder` with the next write and merge its entries."""
        merged = self.closures.setdefault(holder, {})
        merged.update({entry.position: entry for entry in entries})

    def close_process(self, process: str) -> None:
        """Close all holders of a process with the next write."""
        self.closing.add(process)

    async def write(self) -> None:
        """Write everything due; concurrent callers share one write.

        Raise StoreError when the store does not answer, BudgetUnknownError
        when the shard does not exist. A caller that is cancelled leaves the
        write running.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._run())
            self._next.add_done_callback(_retrieve)
        await asyncio.shield(self._next)

    async def finish(self) -> None:
        """Write everything, close the own holder and free its grants."""
        self._is_finishing = True
        await self.write()

    async def look(self) -> Mapping[str, Any]:
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
            if plan.is_satisfying and plan.flush is not None:
                await self._put(stored, plan)
                return
        stored = await self._read()
        if self._sealed is not None:
            stored = await self._resolve(stored, self._sealed)
        self._view(stored)
        plan = self._plan(stored.value)
        if plan.value is stored.value:
            self._adopt(stored, plan)
        else:
            await self._put(stored, plan)

    def _cached(self) -> StoredObject | None:
        if self._sealed is not None or not self._stable:
            return None
        return self.stored if self._clock() - self.read_at < CACHE_S else None

    async def _read(self) -> StoredObject:
        stored = await self._store.get(self.key)
        if stored is None:
            for account in self.accounts.values():
                account.adopt(None, self.holder, self._clock())
            raise BudgetUnknownError(f'no shard {self.key}')
        known = self.stored.version if self.stored else 0
        self._stable = stored.version == known
        if is_closed(stored.value, self.holder, self.confirmed):
            self._retire()
        return stored

    def _retire(self) -> None:
        """Go on as a new holder; the entries of the old one become late."""
        self.close(self.holder, self.entries)
        self.holder = self._new_holder()
        self.entries = []
        self.confirmed = 0
        self._position = 0
        self._sealed = None
        for account in self.accounts.values():
            account.forget_grant()

    async def _resolve(
        self, stored: StoredObject, sealed: _SealedFlush
    ) -> StoredObject:
        """Find out whether the sealed flush was applied, or send it again."""
        position = stored.value['positions'].get(self.holder, 0)
        if position >= sealed.flush.last_position:
            self._clear_unconfirmed()
            self._confirm(stored, sealed.flush, sealed.sent_at)
            return stored
        if stored.version != sealed.version:
            self._clear_unconfirmed()
            return stored
        again = WritePlan(
            apply_flush(stored.value, sealed.flush), sealed.flush, {}
        )
        written = await self._store.put(self.key, again.value, sealed.version)
        self._clear_unconfirmed()
        stored = StoredObject(self.key, written.version, again.value)
        self._confirm(stored, sealed.flush, sealed.sent_at)
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
            is_sign_due=self._is_sign_due(),
        )
        if plan.flush is not None:
            self._position += 1
        return plan

    def _is_scarce(self) -> bool:
        now = self._clock()
        sharers = self._fleet.sharers()
        return any(
            account.unflushed and account.is_scarce(now, sharers)
            for account in self.accounts.values()
        )

    def _is_sign_due(self) -> bool:
        return self._clock() - self.sign_at >= SIGN_PERIOD_S and any(
            account.granted for account in self.accounts.values()
        )

    async def _put(self, stored: StoredObject, plan: WritePlan) -> None:
        sent_at = self._clock()
        if plan.flush is not None:
            self._seal(_SealedFlush(plan.flush, stored.version, sent_at))
        try:
            written = await self._store.put(
                self.key, plan.value, stored.version
            )
        except StoreAnswerLostError:
            self._stable = False
            raise
        except StoreError:
            self._stable = False
            self._clear_unconfirmed()
            raise
        self._clear_unconfirmed()
        stored = StoredObject(self.key, written.version, plan.value)
        if plan.flush is not None:
            self._confirm(stored, plan.flush, sent_at)
        self._adopt(stored, plan)

    def _seal(self, sealed: _SealedFlush) -> None:
        self._sealed = sealed
        for budget, tokens in sealed.flush.returned.items():
            self.accounts[budget].returning = tokens
            self.accounts[budget].recalled = 0

    def _clear_unconfirmed(self) -> None:
        self._sealed = None
        for account in self.accounts.values():
            account.returning = 0

    def _confirm(
        self, stored: StoredObject, flush: Flush, sent_at: float
    ) -> None:
        """Take over the position of a flush that was applied."""
        position = flush.last_position
        self.confirmed = position
        self.sign_at = max(self.sign_at, sent_at)
        for budget, tokens in flush.returned.items():
            self.account(budget).returned += tokens
        for entry in self.entries:
            if entry.position <= position and not entry.pooled:
                self.account(entry.budget).unflushed -= entry.tokens
        self.entries = [one for one in self.entries if one.position > position]
        self._oldest_at = self._clock()
        self._view(stored)

    def _adopt(self, stored: StoredObject, plan: WritePlan) -> None:
        self._view(stored)
        if is_closed(stored.value, self.holder, self.confirmed):
            self._retire()
        for holder, positions in plan.closed.items():
            self._note_closed(stored.value, holder, positions)
        self.closing.difference_update(plan.processes)
        for account in self.accounts.values():
            account.serve_waiters()
        self._on_read(self.key, stored.value)

    def _view(self, stored: StoredObject) -> None:
        self.stored = stored
        self.read_at = self._clock()
        for name, account in self.accounts.items():
            account.adopt(
                stored.value['budgets'].get(name), self.holder, self.read_at
            )

    def _note_closed(
        self, shard: Mapping[str, Any], holder: str, positions: frozenset[int]
    ) -> None:
        entries = self.closures.get(holder, {})
        for position in positions:
            entry = entries.pop(position)
            if holder not in shard['closed']:
                self.unbilled += entry.tokens
        if not entries:
            self.closures.pop(holder, None)


def _retrieve(task: asyncio.Task[None]) -> None:
    """Mark the exception as seen when no caller waits any more."""
    if not task.cancelled():
        task.exception()
