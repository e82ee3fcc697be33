"""Local state of one budget: this daemon's grant and its reservations."""

import asyncio
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.budget.demandrate import DemandRate
from oriolegauge.budget.fleetview import FleetView
from oriolegauge.budget.shard import Want, pool

TARGET_S = 600
"""Seconds of demand that a grant should cover while the pool is large."""

FIRST_TARGET_REQUESTS = 64
"""Requests that a first grant covers before a demand rate is known."""

SCARCE_REQUESTS = 8
"""Requests per live daemon below which only needed tokens are granted."""

SCARCE_S = 20.0
"""Seconds of the fleet's spending below which only the hub holds tokens; a
reservation lasts a few seconds, so few are left elsewhere at the end."""

BURN_HORIZON_S = 20.0
"""Time constant of the average of the fleet's spending."""

VIEW_AGE_MAX_S = 20.0
"""Longest time over which the spending of others is estimated."""

PLENTY_REQUESTS = 4
"""Requests that the pool must cover before daemons draw for themselves."""

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
    least: int
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
    viewed_at: float = 0
    burn: float = 0
    others: Mapping[str, int] = field(default_factory=dict)
    exists: bool | None = None
    is_exhausted: bool = False
    last_looks: int = 0
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

    def adopt(
        self, record: Mapping[str, Any] | None, holder: str, now: float
    ) -> None:
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
        self._note_left(record['prepaid'] - record['settled'], now)
        if self.pool >= PLENTY_REQUESTS * self.demand.largest:
            self.is_exhausted = False
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
            tokens = min(waiter.tokens, self.free)
            if not waiter.granted and tokens >= waiter.least:
                self.reserved += tokens
                waiter.granted = tokens
                waiter.served.set()

    def want(self, now: float, fleet: FleetView) -> Want | None:
        """Return the tokens to draw from the store, or None."""
        needs = self._needs()
        target = self._target(now)
        sharers = fleet.sharers()
        if self.is_scarce(now, sharers):
            is_hub = fleet.is_hub(self.name)
            target = self.free + self.pool if is_hub else 0
            sharers = 0
        elif self.free >= target / 2 and not needs:
            return None
        extra = max(0, round(target - self.free))
        if needs or (extra and self.pool > 0):
            return Want(tuple(needs), extra, sharers)
        return None

    def surplus(self, now: float, fleet: FleetView) -> int:
        """Return the free tokens that should go back to the store."""
        if self.free <= 0:
            return 0
        if self.recalled:
            return min(self.recalled, self.free)
        if self.waiters:
            return 0
        if self.is_scarce(now, fleet.sharers()):
            return 0 if fleet.is_hub(self.name) else self.free
        target = round(self._target(now))
        if self.free > 2 * target:
            return self.free - target
        return 0

    def is_scarce(self, now: float, sharers: int) -> bool:
        """Return whether the hub should hold what is left.

        What others spent since the last view is estimated.
        """
        threshold = SCARCE_REQUESTS * sharers * self.demand.largest
        age = min(VIEW_AGE_MAX_S, max(0, now - self.viewed_at))
        left = self.left - self.burn * age
        is_low = left < max(threshold, SCARCE_S * self.burn)
        return self.is_exhausted or (self.exists is not None and is_low)

    def is_cold(self, now: float) -> bool:
        """Return whether few requests used the budget in the last minute."""
        return self.demand.requests(now) < COLD_REQUESTS and not self.granted

    def recallable(self, tokens: int, now: float, sharers: int) -> int:
        """Return the free tokens that a peer in need of `tokens` may get."""
        free = max(0, self.free)
        if self.is_scarce(now, sharers):
            return free
        return max(free // 2, min(free, tokens))

    def _target(self, now: float) -> float:
        return max(
            TARGET_S * self.demand.per_second(now),
            FIRST_TARGET_REQUESTS * self.demand.largest,
        )

    def _note_left(self, left: int, now: float) -> None:
        """Follow how fast all daemons together spend the budget.

        Other daemons write their entries in batches, hence the long average.
        """
        if self.viewed_at:
            age = max(0, now - self.viewed_at)
            spent = max(0, self.left - left)
            self.burn *= math.exp(-age / BURN_HORIZON_S)
            self.burn += spent / BURN_HORIZON_S
        self.left = left
        self.viewed_at = now

    def _needs(self) -> list[tuple[int, int]]:
        available = max(0, self.free)
        needs = []
        for waiter in self.waiters:
            if waiter.granted:
                continue
            need = waiter.tokens - available
            least = waiter.least - available
            available = max(0, -need)
            if need > 0:
                needs.append((need, max(1, least)))
        return needs
