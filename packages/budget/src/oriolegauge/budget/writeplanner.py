"""Plan what the next write of a shard contains.

The plan combines all pending changes, so that one write to the store is enough.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from oriolegauge.budget.budgetaccount import BudgetAccount
from oriolegauge.budget.fleetview import FleetView
from oriolegauge.budget.holdername import process_of
from oriolegauge.budget.shard import (
    Flush,
    GrantRequest,
    Settlement,
    apply_flush,
    close_holder,
    granted_tokens,
    pool,
)

LARGE_REQUEST_SHARE = 0.25
"""Share of the free grant above which a draw is written without waiting."""


@dataclass(frozen=True, slots=True)
class WritePlan:
    """The shard value to write and the changes in it.

    `closed` maps closed holders to the positions of their merged entries.
    `meets_needs` tells whether all waiting requests get their tokens.
    """

    value: Mapping[str, Any]
    flush: Flush | None
    closed: Mapping[str, frozenset[int]]
    processes: frozenset[str] = frozenset()
    meets_needs: bool = True


class WritePlanner:
    """Combine closures, log entries and grant changes into one value."""

    def __init__(
        self,
        *,
        accounts: Mapping[str, BudgetAccount],
        pending_closures: Mapping[str, Mapping[int, Settlement]],
        closing_processes: set[str],
        fleet: FleetView,
        clock: Callable[[], float],
    ) -> None:
        """Plan from containers that the shard log updates in place."""
        self._accounts = accounts
        self._pending_closures = pending_closures
        self._closing_processes = closing_processes
        self._fleet = fleet
        self._clock = clock

    def plan(
        self,
        stored: Mapping[str, Any],
        flush: Flush,
        *,
        is_finishing: bool,
        is_renewal_due: bool,
    ) -> WritePlan:
        """Return the plan; its flush is None if this holder writes nothing.

        `flush` contains the entries and the next position.
        """
        processes = frozenset(self._closing_processes)
        shard, closed = self._close_holders(stored)
        if is_finishing:
            shard = close_holder(shard, flush.holder, flush.settlements)
            return WritePlan(shard, None, closed, processes)
        requested = self._requested()
        granted = {
            budget: granted_tokens(
                grant_request, pool(shard['budgets'][budget])
            )
            for budget, grant_request in requested.items()
            if budget in shard['budgets']
        }
        meets_needs = all(
            granted.get(budget, 0)
            >= sum(need for need, _ in grant_request.needs)
            for budget, grant_request in requested.items()
        )
        returned = self.surplus()
        has_changes = flush.settlements or returned or any(granted.values())
        if not has_changes and not is_renewal_due:
            return WritePlan(shard, None, closed, processes, meets_needs)
        flush = replace(flush, requested=requested, returned=returned)
        return WritePlan(
            apply_flush(shard, flush), flush, closed, processes, meets_needs
        )

    def surplus(self) -> dict[str, int]:
        """Return the tokens to return to the pool, by budget."""
        now = self._clock()
        surplus = {
            name: account.surplus(now, self._fleet)
            for name, account in self._accounts.items()
        }
        return {name: tokens for name, tokens in surplus.items() if tokens}

    def has_large_grant_request(self) -> bool:
        """Return whether a draw would add more than a quarter to a grant.

        Such a draw is urgent, because tokens that are still in the pool
        cannot be spent in a store outage.
        """
        return any(
            granted_tokens(grant_request, self._accounts[budget].pool)
            > LARGE_REQUEST_SHARE * self._accounts[budget].free
            for budget, grant_request in self._requested().items()
        )

    def _requested(self) -> dict[str, GrantRequest]:
        now = self._clock()
        grant_requests = {
            name: account.grant_request(now, self._fleet)
            for name, account in self._accounts.items()
        }
        return {
            name: grant_request
            for name, grant_request in grant_requests.items()
            if grant_request
        }

    def _close_holders(
        self, shard: Mapping[str, Any]
    ) -> tuple[Mapping[str, Any], dict[str, frozenset[int]]]:
        closed = {}
        for holder in self._holders_to_close(shard):
            entries = self._pending_closures.get(holder, {})
            shard = close_holder(shard, holder, entries.values())
            closed[holder] = frozenset(entries)
        return shard, closed

    def _holders_to_close(self, shard: Mapping[str, Any]) -> list[str]:
        in_closing = [
            holder
            for holder in shard['positions']
            if holder not in self._pending_closures
            and process_of(holder) in self._closing_processes
        ]
        return [*self._pending_closures, *in_closing]
