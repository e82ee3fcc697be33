"""Local state of one budget: this daemon's grant and its reservations.

Decides how much of the budget the daemon draws from the store, keeps or gives
back. When the budget gets scarce, one daemon (its hub) holds the rest.
"""

import asyncio
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.budget.demandrate import DemandRate
from oriolegauge.budget.fleetview import FleetView
from oriolegauge.budget.shard import GrantRequest, pool

TARGET_S = 600
"""Demand that a grant should cover while the pool is large, in seconds."""

FIRST_TARGET_REQUESTS = 64
"""Requests that the first grant covers, before a demand rate is known."""

SCARCE_REQUESTS = 8
"""Remaining requests per live daemon below which a budget is scarce.

Daemons other than the hub then draw only what waiting requests need.
"""

SCARCE_S = 20.0
"""Seconds until the fleet has spent the rest, below which it is scarce.

A reservation lasts a few seconds, so few tokens remain at other daemons than
the hub when the budget is spent.
"""

SPEND_RATE_HORIZON_S = 20.0
"""Time constant of the average spending rate of the fleet."""

VIEW_AGE_MAX_S = 20.0
"""Longest time since the last read for which spending is extrapolated."""

POOL_RECOVERED_REQUESTS = 4
"""Requests that a refilled pool must cover to end the exhausted state."""

COLD_REQUESTS = 3
"""Requests per minute below which a budget is cold: its hub serves it."""

WAITERS_MAX = 1_000
"""Requests of one budget that may wait for tokens at the same time."""


@dataclass(frozen=True, slots=True)
class Recalled:
    """Sum of the answers to a recall, in tokens.

    `returned` went back to the store, `reserved` is still in use at peers.
    """

    returned: int = 0
    reserved: int = 0


@dataclass(slots=True)
class Waiter:
    """A request that waits for `tokens`, or for `least` of them.

    `granted` is set once they are reserved.
    """

    tokens: int
    least: int
    granted: int = 0
    served: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class BudgetAccount:
    """Account of one budget; all amounts are in tokens.

    `granted` is the grant in the store as of the last confirmed write.
    `unflushed` is spent but not yet written, `returning` is part of a write
    with unknown outcome, `recalled` is what a peer asked to give back, and
    `returned` counts what went back to the store. These are exact, whereas
    `pool`, `left` and `other_grants` are as old as the last read of the shard
    and `fleet_spend_rate` (tokens per second) is an estimate.
    """

    name: str
    granted: int = 0
    reserved: int = 0
    unflushed: int = 0
    returning: int = 0
    pool: int = 0
    left: int = 0
    viewed_at: float = 0
    fleet_spend_rate: float = 0
    other_grants: Mapping[str, int] = field(default_factory=dict)
    exists: bool | None = None
    is_exhausted: bool = False
    final_queries: int = 0
    recalled: int = 0
    returned: int = 0
    recalled_at: float = float('-inf')
    recall: asyncio.Task[Recalled] | None = None
    demand: DemandRate = field(default_factory=DemandRate)
    waiters: list[Waiter] = field(default_factory=list)

    @property
    def free(self) -> int:
        """Return the tokens of the grant that can be reserved."""
        return self.granted - self.reserved - self.unflushed - self.returning

    @property
    def is_idle(self) -> bool:
        """Return whether the account can be dropped without losing tokens."""
        return not (
            self.granted or self.reserved or self.unflushed or self.waiters
        )

    def try_reserve(self, tokens: int) -> bool:
        """Reserve `tokens`; return False if they are not free."""
        if tokens > self.free:
            return False
        self.reserved += tokens
        return True

    def cancel_waiter(self, waiter: Waiter) -> None:
        """Free the tokens of a waiter whose request ended."""
        self.reserved -= waiter.granted
        waiter.granted = 0

    def update_from_record(
        self, record: Mapping[str, Any] | None, holder: str, now: float
    ) -> None:
        """Update the grant and the views from a stored record, if it exists."""
        self.exists = record is not None
        if record is None:
            self.granted = 0
            self.pool = 0
            self.left = 0
            self.other_grants = {}
            return
        self.granted = record['grants'].get(holder, 0)
        self.pool = pool(record)
        self._update_spend_rate(record['prepaid'] - record['settled'], now)
        if self.pool >= POOL_RECOVERED_REQUESTS * self.demand.largest:
            self.is_exhausted = False
        self.other_grants = {
            other: tokens
            for other, tokens in record['grants'].items()
            if other != holder
        }

    def clear_grant(self) -> None:
        """Reset the account after this daemon's holder was closed."""
        self.granted = 0
        self.reserved = 0
        self.unflushed = 0
        self.returning = 0
        for waiter in self.waiters:
            waiter.granted = 0

    def serve_waiters(self) -> None:
        """Reserve tokens for waiting requests in the order of their arrival."""
        for waiter in self.waiters:
            tokens = min(waiter.tokens, self.free)
            if not waiter.granted and tokens >= waiter.least:
                self.reserved += tokens
                waiter.granted = tokens
                waiter.served.set()

    def grant_request(
        self, now: float, fleet: FleetView
    ) -> GrantRequest | None:
        """Return what to draw from the store, or None."""
        needs = self._needs()
        target = self._target(now)
        daemon_count = fleet.daemon_count()
        if self.is_scarce(now, daemon_count):
            is_hub = fleet.is_hub(self.name)
            target = self.free + self.pool if is_hub else 0
            daemon_count = 0
        elif self.free >= target / 2 and not needs:
            return None
        extra = max(0, round(target - self.free))
        if needs or (extra and self.pool > 0):
            return GrantRequest(tuple(needs), extra, daemon_count)
        return None

    def surplus(self, now: float, fleet: FleetView) -> int:
        """Return the free tokens that should go back to the store."""
        if self.free <= 0:
            return 0
        if self.recalled:
            return min(self.recalled, self.free)
        if self.waiters:
            return 0
        if self.is_scarce(now, fleet.daemon_count()):
            return 0 if fleet.is_hub(self.name) else self.free
        target = round(self._target(now))
        if self.free > 2 * target:
            return self.free - target
        return 0

    def is_scarce(self, now: float, daemon_count: int) -> bool:
        """Return whether only the hub should hold the remaining tokens.

        Spending since the last read is estimated from the average rate.
        """
        threshold = SCARCE_REQUESTS * daemon_count * self.demand.largest
        age = min(VIEW_AGE_MAX_S, max(0, now - self.viewed_at))
        left = self.left - self.fleet_spend_rate * age
        is_low = left < max(threshold, SCARCE_S * self.fleet_spend_rate)
        return self.is_exhausted or (self.exists is not None and is_low)

    def is_cold(self, now: float) -> bool:
        """Return whether the budget is rarely used and has no grant here."""
        return self.demand.requests(now) < COLD_REQUESTS and not self.granted

    def recallable(self, tokens: int, now: float, daemon_count: int) -> int:
        """Return the free tokens to return for a peer that needs `tokens`."""
        free = max(0, self.free)
        if self.is_scarce(now, daemon_count):
            return free
        return max(free // 2, min(free, tokens))

    def _target(self, now: float) -> float:
        return max(
            TARGET_S * self.demand.per_second(now),
            FIRST_TARGET_REQUESTS * self.demand.largest,
        )

    def _update_spend_rate(self, left: int, now: float) -> None:
        """Update the average rate at which all daemons spend the budget.

        Daemons write their entries in batches, hence the long average.
        """
        if self.viewed_at:
            age = max(0, now - self.viewed_at)
            spent = max(0, self.left - left)
            self.fleet_spend_rate *= math.exp(-age / SPEND_RATE_HORIZON_S)
            self.fleet_spend_rate += spent / SPEND_RATE_HORIZON_S
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
