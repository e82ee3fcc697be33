"""Choice of what the next write of a shard contains."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from oriolegauge.budget.budgetaccount import BudgetAccount
from oriolegauge.budget.fleetview import FleetView
from oriolegauge.budget.holdername import process_of
from oriolegauge.budget.shard import (
    Flush,
    Settlement,
    Want,
    apply_flush,
    close_holder,
    granted_tokens,
    pool,
)

LARGE_WANT_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class WritePlan:
    """The shard value to write and what it contains."""

    value: Mapping[str, Any]
    flush: Flush | None
    closed: Mapping[str, frozenset[int]]
    processes: frozenset[str] = frozenset()
    is_satisfying: bool = True


class WritePlanner:
    """Combine closures, entries and grant adjustments into one value."""

    def __init__(
        self,
        *,
        accounts: Mapping[str, BudgetAccount],
        closures: Mapping[str, Mapping[int, Settlement]],
        closing: set[str],
        fleet: FleetView,
        clock: Callable[[], float],
    ) -> None:
        """Plan from containers that the shard log keeps up to date."""
        self._accounts = accounts
        self._closures = closures
        self._closing = closing
        self._fleet = fleet
        self._clock = clock

    def plan(
        self,
        stored: Mapping[str, Any],
        flush: Flush,
        *,
        is_finishing: bool,
        is_sign_due: bool,
    ) -> WritePlan:
        """Return the plan; its flush is None when nothing has to be written.

        `flush` has the entries and the next position.
        """
        processes = frozenset(self._closing)
        shard, closed = self._close_holders(stored)
        if is_finishing:
            shard = close_holder(shard, flush.holder, flush.settlements)
            return WritePlan(shard, None, closed, processes)
        wanted = self._wanted()
        granted = {
            budget: granted_tokens(want, pool(shard['budgets'][budget]))
            for budget, want in wanted.items()
            if budget in shard['budgets']
        }
        is_satisfying = all(
            granted.get(budget, 0) >= sum(need for need, _ in want.needs)
            for budget, want in wanted.items()
        )
        returned = self.surplus()
        has_changes = flush.settlements or returned or any(granted.values())
        if not has_changes and not is_sign_due:
            return WritePlan(shard, None, closed, processes, is_satisfying)
        flush = replace(flush, wanted=wanted, returned=returned)
        return WritePlan(
            apply_flush(shard, flush), flush, closed, processes, is_satisfying
        )

    def surplus(self) -> dict[str, int]:
        """Return the tokens to give back, by budget."""
        now = self._clock()
        surplus = {
            name: account.surplus(now, self._fleet)
            for name, account in self._accounts.items()
        }
        return {name: tokens for name, tokens in surplus.items() if tokens}

    def has_large_want(self) -> bool:
        """Return whether a draw would add a quarter to a grant or more.

        Tokens that are still in the pool cannot be spent in an outage.
        """
        return any(
            granted_tokens(want, self._accounts[budget].pool)
            > LARGE_WANT_SHARE * self._accounts[budget].free
            for budget, want in self._wanted().items()
        )

    def _wanted(self) -> dict[str, Want]:
        now = self._clock()
        wants = {
            name: account.want(now, self._fleet)
            for name, account in self._accounts.items()
        }
        return {name: want for name, want in wants.items() if want}

    def _close_holders(
        self, shard: Mapping[str, Any]
    ) -> tuple[Mapping[str, Any], dict[str, frozenset[int]]]:
        closed = {}
        for holder in self._holders_to_close(shard):
            entries = self._closures.get(holder, {})
            shard = close_holder(shard, holder, entries.values())
            closed[holder] = frozenset(entries)
        return shard, closed

    def _holders_to_close(self, shard: Mapping[str, Any]) -> list[str]:
        in_closing = [
            holder
            for holder in shard['positions']
            if holder not in self._closures
            and process_of(holder) in self._closing
        ]
        return [*self._closures, *in_closing]
