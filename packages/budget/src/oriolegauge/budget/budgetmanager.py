"""Reserve and settle tokens against grants from the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from oriolegauge.budget.errors import (
    BudgetExhaustedError,
    BudgetUnknownError,
    HolderClosedError,
)
from oriolegauge.budget.reservation import Reservation, Settled
from oriolegauge.budget.shard import (
    Flush,
    Settlement,
    apply_flush,
    pool,
    shard_key,
)
from oriolegauge.platform import (
    ObjectStore,
    StoreAnswerLostError,
    VersionConflictError,
)

GRANT_TOKENS = 500
MAX_ATTEMPTS = 8


@dataclass
class _Grant:
    granted: int = 0
    reserved: int = 0
    spent: int = 0
    pool: int = 0

    @property
    def free(self) -> int:
        return self.granted - self.reserved - self.spent


@dataclass
class _ShardLog:
    position: int = 0
    settlements: list[Settlement] = field(default_factory=list)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class BudgetManager:
    """Hold this daemon's grants and write its log to the store."""

    def __init__(
        self,
        *,
        store: ObjectStore,
        holder: str,
        shard_count: int,
        clock: Callable[[], float],
    ) -> None:
        """Act as `holder` in `shard_count` shards; `clock` is in seconds."""
        self._store = store
        self._holder = holder
        self._shard_count = shard_count
        self._clock = clock
        self._grants: dict[str, _Grant] = {}
        self._logs: dict[str, _ShardLog] = {}

    async def reserve(
        self,
        *,
        budget: str,
        request_id: str,
        tokens: int,
        minimum: int,
        deadline: float,
    ) -> Reservation:
        """Reserve up to `tokens`, at least `minimum`, before `deadline`."""
        grant = self._grants.setdefault(budget, _Grant())
        if grant.free < tokens:
            await self._write(
                shard_key(budget, self._shard_count),
                {budget: max(GRANT_TOKENS, tokens - grant.free)},
            )
        amount = min(tokens, grant.free)
        if amount < minimum:
            raise BudgetExhaustedError(
                f'budget {budget} has {grant.free} tokens left here'
            )
        grant.reserved += amount
        return Reservation(budget, request_id, amount, self._holder)

    async def settle(
        self, reservation: Reservation, tokens: int, *, keyed: bool
    ) -> Settled:
        """Bill `tokens`, at most the reservation, and free the rest."""
        grant = self._grants[reservation.budget]
        billed = min(tokens, reservation.tokens)
        grant.reserved -= reservation.tokens
        grant.spent += billed
        log = self._log(shard_key(reservation.budget, self._shard_count))
        log.position += 1
        log.settlements.append(
            Settlement(
                log.position,
                reservation.budget,
                reservation.request_id,
                billed,
                keyed,
            )
        )
        return Settled(billed, grant.free + grant.pool)

    def release(self, reservation: Reservation) -> None:
        """Free a reservation that is not billed."""
        self._grants[reservation.budget].reserved -= reservation.tokens

    async def flush(self) -> None:
        """Write all log entries that are not yet in the store."""
        for key, log in list(self._logs.items()):
            if log.settlements:
                await self._write(key, {})

    def _log(self, key: str) -> _ShardLog:
        return self._logs.setdefault(key, _ShardLog())

    async def _write(self, key: str, wanted: dict[str, int]) -> None:
        log = self._log(key)
        async with log.lock:
            log.position += 1
            sent = tuple(log.settlements)
            flush = Flush(
                self._holder, log.position, settlements=sent, wanted=wanted
            )
            for _ in range(MAX_ATTEMPTS):
                if await self._try_write(key, flush):
                    del log.settlements[: len(sent)]
                    return

    async def _try_write(self, key: str, flush: Flush) -> bool:
        stored = await self._store.get(key)
        if stored is None:
            raise BudgetUnknownError('no such budget')
        positions = stored.value['positions']
        if positions.get(self._holder, 0) >= flush.last_position:
            self._adopt(stored.value, flush.settlements)
            return True
        updated = apply_flush(stored.value, flush)
        try:
            await self._store.put(key, updated, stored.version)
        except (VersionConflictError, StoreAnswerLostError):
            return False
        except HolderClosedError:
            raise
        self._adopt(updated, flush.settlements)
        return True

    def _adopt(self, shard, settlements=()) -> None:
        for settlement in settlements:
            self._grants[settlement.budget].spent -= settlement.tokens
        for budget, record in shard['budgets'].items():
            grant = self._grants.setdefault(budget, _Grant())
            grant.granted = record['grants'].get(self._holder, 0)
            grant.pool = pool(record)
