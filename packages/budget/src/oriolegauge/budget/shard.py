"""Pure updates of a budget shard object."""

import copy
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.budget.errors import BudgetUnknownError, HolderClosedError
from oriolegauge.core.rendezvous import shard_of

SETTLED_KEYS_MAX = 20_000


@dataclass(frozen=True, slots=True)
class Settlement:
    """Record the billed tokens of one request in a holder's log."""

    position: int
    budget: str
    request_id: str
    tokens: int
    keyed: bool


@dataclass(frozen=True, slots=True)
class Flush:
    """Carry a holder's log entries and its grant adjustments, in tokens."""

    holder: str
    last_position: int
    settlements: Sequence[Settlement] = ()
    wanted: Mapping[str, int] = field(default_factory=dict)
    returned: Mapping[str, int] = field(default_factory=dict)


def shard_key(budget: str, shard_count: int) -> str:
    """Return the store key of the shard that holds the budget."""
    team = budget.partition('/')[0]
    return f'budgets/{shard_of(team, shard_count)}'


def empty_shard() -> dict[str, Any]:
    """Return the value of a shard without budgets."""
    return {'budgets': {}, 'positions': {}, 'closed': {}, 'settled_keys': []}


def create_budget(
    shard: Mapping[str, Any], budget: str, prepaid: int
) -> dict[str, Any]:
    """Return the shard with a new budget of `prepaid` tokens."""
    updated = copy.deepcopy(dict(shard)) or empty_shard()
    updated['budgets'].setdefault(
        budget,
        {
            'team': budget.partition('/')[0],
            'prepaid': prepaid,
            'settled': 0,
            'grants': {},
            'top_ups': {},
        },
    )
    return updated


def top_up(
    shard: Mapping[str, Any], budget: str, top_up_id: str, tokens: int
) -> dict[str, Any]:
    """Return the shard with the top-up added once."""
    updated = copy.deepcopy(dict(shard))
    record = updated['budgets'].get(budget)
    if record is None:
        raise BudgetUnknownError(f'no budget {budget}')
    if top_up_id not in record['top_ups']:
        record['top_ups'][top_up_id] = tokens
        record['prepaid'] += tokens
    return updated


def pool(record: Mapping[str, Any]) -> int:
    """Return the tokens of a budget that are neither settled nor granted."""
    return (
        record['prepaid'] - record['settled'] - sum(record['grants'].values())
    )


def apply_flush(shard: Mapping[str, Any], flush: Flush) -> dict[str, Any]:
    """Return the shard after the flush; raise HolderClosedError if closed."""
    if flush.holder in shard['closed']:
        raise HolderClosedError(f'holder {flush.holder} is closed')
    updated = copy.deepcopy(dict(shard))
    applied = updated['positions'].get(flush.holder, 0)
    for settlement in flush.settlements:
        if settlement.position > applied:
            _settle(updated, flush.holder, settlement)
    updated['positions'][flush.holder] = flush.last_position
    for budget, tokens in flush.returned.items():
        grants = updated['budgets'][budget]['grants']
        grants[flush.holder] = max(0, grants.get(flush.holder, 0) - tokens)
    for budget, tokens in flush.wanted.items():
        _grant(updated, flush.holder, budget, tokens)
    return updated


def _settle(shard: dict[str, Any], holder: str, settlement: Settlement) -> None:
    record = shard['budgets'][settlement.budget]
    if settlement.keyed:
        if settlement.request_id in shard['settled_keys']:
            return
        shard['settled_keys'].append(settlement.request_id)
        del shard['settled_keys'][:-SETTLED_KEYS_MAX]
    record['grants'][holder] -= settlement.tokens
    record['settled'] += settlement.tokens


def _grant(
    shard: dict[str, Any], holder: str, budget: str, tokens: int
) -> None:
    record = shard['budgets'].get(budget)
    if record is None:
        return
    granted = min(tokens, max(0, pool(record)))
    if granted:
        grants = record['grants']
        grants[holder] = grants.get(holder, 0) + granted
