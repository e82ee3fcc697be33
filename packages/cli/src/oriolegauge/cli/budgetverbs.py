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
from oriolegauge.cli.teamverbs import require_team, split_budget
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
        :param top_up_id: id of the payment; a call repeated with it counts once
        """
        payment_id = _payment_id(tokens, top_up_id)

        def create(shard: Shard) -> dict[str, Any]:
            if budget in shard.get('budgets', {}):
                raise EditConflictError(f'budget {budget} already exists')
            # The tokens are recorded as a top-up. If the answer of the store
            # is lost, its id shows whether this call created the budget.
            empty = create_budget(shard, budget, 0)
            return apply_top_up(empty, budget, payment_id, tokens)

        return self._apply_payment(budget, payment_id, tokens, create)

    def top_up(
        self, budget: str, *, tokens: int, top_up_id: str = ''
    ) -> dict[str, Any]:
        """Add prepaid tokens to a budget.

        :param budget: name of the budget, TEAM/NAME
        :param tokens: tokens to add
        :param top_up_id: id of the payment; a call repeated with it counts once
        """
        payment_id = _payment_id(tokens, top_up_id)

        def add(shard: Shard) -> dict[str, Any]:
            if budget not in shard.get('budgets', {}):
                raise BudgetUnknownError(f'no budget {budget}')
            return apply_top_up(shard, budget, payment_id, tokens)

        return self._apply_payment(budget, payment_id, tokens, add)

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

    def _apply_payment(
        self, budget: str, payment_id: str, tokens: int, change: Any
    ) -> dict[str, Any]:
        team, _ = split_budget(budget)

        def is_applied(shard: Shard) -> bool:
            record = shard.get('budgets', {}).get(budget, {})
            credited = record.get('top_ups', {}).get(payment_id)
            if credited not in {None, tokens}:
                raise EditConflictError(
                    f'top-up {payment_id} already exists with {credited} tokens'
                )
            return credited is not None

        update = Update(
            key=shard_key(budget, self._session.options.budget_shards),
            change=change,
            is_applied=is_applied,
            budget=budget,
            change_id=payment_id,
        )

        async def update_shard(operator: Operator) -> Shard:
            found = await operator.read(TEAM_PREFIX + team)
            require_team(found.value)
            return (await operator.update(update)).value

        record = self._session.run(update_shard)['budgets'][budget]
        return {
            'budget': budget,
            'top_up_id': payment_id,
            'prepaid': record['prepaid'],
        }


def budget_rows(shard: Shard) -> Iterator[dict[str, Any]]:
    """Yield the token counts of each budget of a shard."""
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


def _payment_id(tokens: int, top_up_id: str) -> str:
    if tokens < 1:
        raise UsageError('tokens must be positive')
    return top_up_id or uuid.uuid4().hex
