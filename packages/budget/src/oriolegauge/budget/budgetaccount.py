"""Local state of one budget: this daemon's grant and its reservations."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.budget.demandrate import DemandRate
from oriolegauge.budget.shard import Want, pool

TARGET_S = 600
"""Seconds of demand that a grant should cover while the pool is large."""

FIRST_TARGET_REQUESTS = 8
"""Requests that a first grant covers before a demand rate is known."""

SCARCE_REQUESTS = 8
"""Requests per live daemon below which only needed tokens are granted."""

COLD_REQUESTS = 3
"""Requests per minute below which the budget's hub daemon holds the grant."""

WAITERS_MAX = 1_000
"""Requests of one budget that may wait for tokens at the same time."""


@dataclass(frozen=True, slots=True)
class Recalled:
    """Sum up the answers to a recall, in tokens."""

    returned: int = 0
    reserved: int = 0


@dataclass(slots=True)
class Waiter:
    """Wait for tokens; `granted` is set when they have been reserved."""

    tokens: int
    granted: int = 0
    served: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class BudgetAccount:
    """Account for one budget in tokens; all fields but views are exact.

    `granted` is the grant in the store as of the last confirmed write.
    `unflushed` is spent and not yet in the store, `returning` is in a write
    whose outcome is open, `recalled` is asked back by a peer and `returned`
    counts what went back to the store. The views `pool`, `left` and `others`
    are as old as the last read.
    """

    name: str
    granted: int = 0
    reserved: int = 0
    unflushed: int = 0
    returning: int = 0
    pool: int = 0
    left: int = 0
    others: Mapping[str, int] = field(default_factory=dict)
    exists: bool | None = None
    recalled: int = 0
    returned: int = 0
    recalled_at: float = float('-inf')
    recall: asyncio.Task[Recalled] | None = None
    demand: DemandRate = field(default_factory=DemandRate)
    waiters: list[Waiter] = field(default_factory=list)

    @property
    def free(self) -> int:
        """Return the tokens that can be reserved here."""
        return self.granted - self.reserved - self.unflushed - self.returning

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is lost when the account is dropped."""
        return not (
            self.granted or self.reserved or self.unflushed or self.waiters
        )

    def take(self, tokens: int) -> bool:
        """Reserve `tokens` if they are free."""
        if tokens > self.free:
            return False
        self.reserved += tokens
        return True

    def give_back(self, waiter: Waiter) -> None:
        """Free what was reserved for a waiter that has gone."""
        self.reserved -= waiter.granted
        waiter.granted = 0

    def adopt(self, record: Mapping[str, Any] | None, holder: str) -> None:
        """Take over the grant and the views from a stored record."""
        self.exists = record is not None
        if record is None:
            self.granted = 0
            self.pool = 0
            self.left = 0
            self.others = {}
            return
        self.granted = record['grants'].get(holder, 0)
        self.pool = pool(record)
        self.left = record['prepaid'] - record['settled']
        self.others = {
            other: tokens
            for other, tokens in record['grants'].items()
            if other != holder
        }

    def forget_grant(self) -> None:
        """Drop the grant and reservations of a holder that was closed."""
        self.granted = 0
        self.reserved = 0
        self.unflushed = 0
        self.returning = 0
        for waiter in self.waiters:
            waiter.granted = 0

    def serve_waiters(self) -> None:
        """Reserve tokens for waiting requests, first come first served."""
        for waiter in self.waiters:
            if not waiter.granted and self.take(waiter.tokens):
                waiter.granted = waiter.tokens
                waiter.served.set()

    def want(self, now: float, sharers: int) -> Want | None:
        """Return the tokens to draw from the store, or None."""
        needs = self._needs()
        target = self._target(now)
        if self._is_scarce(sharers):
            target = 0
        elif self.free >= target / 2 and not needs:
            return None
        extra = max(0, round(target - self.free))
        if needs or (extra and self.pool > 0):
            return Want(tuple(needs), extra, sharers)
        return None

    def surplus(self, now: float, sharers: int) -> int:
        """Return the free tokens that should go back to the store."""
        if self.free <= 0:
            return 0
        if self.recalled:
            return min(self.recalled, self.free)
        if self.waiters:
            return 0
        if self._is_scarce(sharers):
            return self.free
        target = round(self._target(now))
        if self.free > 2 * target:
            return self.free - target
        return 0

    def is_cold(self, now: float) -> bool:
        """Return whether few requests used the budget in the last minute."""
        return self.demand.requests(now) < COLD_REQUESTS and not self.granted

    def recallable(self, tokens: int, sharers: int) -> int:
        """Return the free tokens that a peer in need of `tokens` may get."""
        free = max(0, self.free)
        if self._is_scarce(sharers):
            return free
        return max(free // 2, min(free, tokens))

    def _target(self, now: float) -> float:
        return max(
            TARGET_S * self.demand.per_second(now),
            FIRST_TARGET_REQUESTS * self.demand.largest,
        )

    def _is_scarce(self, sharers: int) -> bool:
        return self.left < SCARCE_REQUESTS * sharers * self.demand.largest

    def _needs(self) -> list[int]:
        available = max(0, self.free)
        needs = []
        for waiter in self.waiters:
            if waiter.granted:
                continue
            need = waiter.tokens - available
            available = max(0, -need)
            if need > 0:
                needs.append(need)
        return needs
