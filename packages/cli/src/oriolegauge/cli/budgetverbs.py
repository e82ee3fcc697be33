"""Verbs on prepaid budgets."""

import uuid
from collections.abc import Iterator, Mapping
from typing import Any

from oriolegauge.budget import (
    BudgetUnknownError,
    apply_top_up,
    create_budget,
    shard_key,
)
from oriolegauge.cli.errors import EditConflictError, UsageError
from oriolegauge.cli.operator import Operator, Update
from oriolegauge.cli.session import Session
from oriolegauge.cli.teamverbs import must_exist, split_budget
from oriolegauge.config.configtree import TEAM_PREFIX
from oriolegauge.core.errors import NotFoundError

Shard = Mapping[str, Any]


class BudgetVerbs:
    """Create, show and top up budgets; show bills."""

    def __init__(self, session: Session) -> None:
        """Use the session."""
        self._session = session

    def create(
        self, budget: str, *, tokens: int, top_up_id: str = ''
    ) -> dict[str, Any]:
        """Create a prepaid budget.

        :param budget: name of the budget, TEAM/NAME
        :param tokens: prepaid tokens
        :param top_up_id: id of the payment; a repeated call counts once
        """
        payment = _payment(tokens, top_up_id)

        def create(shard: Shard) -> dict[str, Any]:
            if budget in shard.get('budgets', {}):
                raise EditConflictError(f'budget {budget} exists')
            # The amount is entered as a top-up so that its id tells after a
            # lost answer whether this call created the budget.
            empty = create_budget(shard, budget, 0)
            return apply_top_up(empty, budget, payment, tokens)

        return self._pay(budget, payment, tokens, create)

    def top_up(
        self, budget: str, *, tokens: int, top_up_id: str = ''
    ) -> dict[str, Any]:
        """Add prepaid tokens to a budget.

        :param budget: name of the budget, TEAM/NAME
        :param tokens: tokens to add
        :param top_up_id: id of the payment; a repeated call counts once
        """
        payment = _payment(tokens, top_up_id)

        def add(shard: Shard) -> dict[str, Any]:
            if budget not in shard.get('budgets', {}):
                raise BudgetUnknownError(f'no budget {budget}')
            return apply_top_up(shard, budget, payment, tokens)

        return self._pay(budget, payment, tokens, add)

    def show_all(self, team: str = '') -> list[dict[str, Any]]:
        """List budgets with their tokens.

        :param team: only the budgets of this team
        """
        if team:
            return self.bill(team)
        shards = self._session.run(
            lambda operator: operator.list_objects('budgets/')
        )
        return sorted(
            (row for shard in shards for row in budget_rows(shard.value)),
            key=lambda row: row['budget'],
        )

    def show(self, budget: str) -> dict[str, Any]:
        """Show a budget with its grants and top-ups.

        :param budget: name of the budget, TEAM/NAME
        """
        record = self._shard(budget).get('budgets', {}).get(budget)
        if record is None:
            raise NotFoundError(f'no budget {budget}')
        return {'budget': budget, **record}

    def bill(self, team: str) -> list[dict[str, Any]]:
        """Show prepaid, settled, granted and free tokens of a team's budgets.

        :param team: name of the team
        """
        shard = self._shard(f'{team}/')
        return [row for row in budget_rows(shard) if row['team'] == team]

    def _shard(self, budget: str) -> Shard:
        key = shard_key(budget, self._session.options.budget_shards)
        return self._session.run(lambda operator: operator.read(key)).value

    def _pay(
        self, budget: str, payment: str, tokens: int, change: Any
    ) -> dict[str, Any]:
        team, _ = split_budget(budget)

        def done(shard: Shard) -> bool:
            record = shard.get('budgets', {}).get(budget, {})
            known = record.get('top_ups', {}).get(payment)
            if known not in {None, tokens}:
                raise EditConflictError(
                    f'top-up {payment} exists with {known} tokens'
                )
            return known is not None

        update = Update(
            key=shard_key(budget, self._session.options.budget_shards),
            change=change,
            done=done,
            name=budget,
            change_id=payment,
        )

        async def pay(operator: Operator) -> Shard:
            found = await operator.read(TEAM_PREFIX + team)
            must_exist(found.value)
            return (await operator.update(update)).value

        record = self._session.run(pay)['budgets'][budget]
        return {
            'budget': budget,
            'top_up_id': payment,
            'prepaid': record['prepaid'],
        }


def budget_rows(shard: Shard) -> Iterator[dict[str, Any]]:
    """Yield the sums of each budget of a shard, in tokens."""
    for name, record in sorted(shard.get('budgets', {}).items()):
        granted = sum(record['grants'].values())
        yield {
            'budget': name,
            'team': record['team'],
            'prepaid': record['prepaid'],
            'settled': record['settled'],
            'granted': granted,
            'free': record['prepaid'] - record['settled'] - granted,
        }


def _payment(tokens: int, top_up_id: str) -> str:
    if tokens < 1:
        raise UsageError('tokens must be positive')
    return top_up_id or uuid.uuid4().hex
