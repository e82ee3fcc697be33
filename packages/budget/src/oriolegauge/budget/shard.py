"""Pure functions that update the stored value of a budget shard.

A shard holds the budgets of several teams and is written with optimistic
locking. Positions of log entries make a repeated write harmless.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from oriolegauge.budget.errors import (
    BudgetUnknownError,
    HolderClosedError,
    ShardInvariantError,
)
from oriolegauge.budget.settledkeys import SettledKeys
from oriolegauge.core.rendezvous import shard_of

CLOSED_HOLDERS_MAX = 1_000
"""Closed holders kept per shard; late entries of older ones stay unbilled.

At 663 restarts a day in the whole fleet this is more than a day of closures;
late entries arrive within 900 s.
"""

TOP_UPS_MAX = 20
"""Top-up ids kept per budget to detect a retried top-up.

283 budgets with 20 ids of 45 bytes take a quarter of the 1 MB value limit.
"""


@dataclass(frozen=True, slots=True)
class Settlement:
    """Entry in a holder's log: the billed tokens of one request.

    A pooled settlement has no reservation in the holder's grant and is paid
    from the pool, as far as the pool suffices. A keyed one is billed once per
    team and request id.
    """

    position: int
    budget: str
    request_id: str
    tokens: int
    keyed: bool
    pooled: bool = False


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """Request tokens from the pool: `needs` of requests, then `target` to hold.

    A need is the pair of the tokens and the minimum of a waiting request; with
    less than the minimum nothing is granted for it. The target is limited to
    half of the remaining pool divided by `daemon_count`, the number of live
    daemons. A count of 0 stands for the hub of a scarce budget, which may
    take the whole pool.
    """

    needs: Sequence[tuple[int, int]] = ()
    target: int = 0
    daemon_count: int = 1


@dataclass(frozen=True, slots=True)
class Flush:
    """One write of a holder: log entries and grant changes, in tokens.

    `confirmed` is the last position that the holder knows to be in the store.
    """

    holder: str
    last_position: int
    settlements: Sequence[Settlement] = ()
    requested: Mapping[str, GrantRequest] = field(default_factory=dict)
    returned: Mapping[str, int] = field(default_factory=dict)
    confirmed: int = 0


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
    updated = _copy(shard or empty_shard())
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


def apply_top_up(
    shard: Mapping[str, Any], budget: str, top_up_id: str, tokens: int
) -> dict[str, Any]:
    """Return the shard with the top-up added once; raise BudgetUnknownError."""
    updated = _copy(shard)
    if budget not in updated['budgets']:
        raise BudgetUnknownError(f'no budget {budget}')
    record = _copy_record(updated, budget)
    if top_up_id not in record['top_ups']:
        top_ups = {**record['top_ups'], top_up_id: tokens}
        record['top_ups'] = dict(list(top_ups.items())[-TOP_UPS_MAX:])
        record['prepaid'] += tokens
    return updated


def pool(record: Mapping[str, Any]) -> int:
    """Return the pool: tokens that are neither settled nor granted."""
    return (
        record['prepaid'] - record['settled'] - sum(record['grants'].values())
    )


def is_closed(shard: Mapping[str, Any], holder: str, confirmed: int) -> bool:
    """Return whether a holder with the given confirmed position was closed.

    A stored position below the confirmed one means that the holder was closed
    and that its closure was dropped from the bounded list since.
    """
    return (
        holder in shard['closed']
        or shard['positions'].get(holder, 0) < confirmed
    )


def apply_flush(shard: Mapping[str, Any], flush: Flush) -> dict[str, Any]:
    """Return the shard after the flush; raise HolderClosedError if closed."""
    if is_closed(shard, flush.holder, flush.confirmed):
        raise HolderClosedError(f'holder {flush.holder} is closed')
    applied = shard['positions'].get(flush.holder, 0)
    if flush.last_position <= applied:
        return dict(shard)
    updated = _copy(shard)
    keys = SettledKeys(updated)
    for settlement in flush.settlements:
        if settlement.position > applied:
            _settle(updated, flush.holder, settlement, keys)
    updated['positions'][flush.holder] = flush.last_position
    for budget, tokens in flush.returned.items():
        _add_grant(updated, flush.holder, budget, -tokens)
    for budget, grant_request in flush.requested.items():
        if budget in updated['budgets']:
            tokens = granted_tokens(
                grant_request, pool(updated['budgets'][budget])
            )
            _add_grant(updated, flush.holder, budget, tokens)
    _check(updated)
    return updated


def granted_tokens(grant_request: GrantRequest, free: int) -> int:
    """Return how many of the `free` pool tokens the request gets."""
    granted = 0
    for need, least in grant_request.needs:
        if granted + least <= free:
            granted += min(need, free - granted)
    share = free - granted
    if grant_request.daemon_count:
        share //= 2 * grant_request.daemon_count
    return granted + max(0, min(grant_request.target, share))


def close_holder(
    shard: Mapping[str, Any], holder: str, settlements: Iterable[Settlement]
) -> Mapping[str, Any]:
    """Return the shard with the holder's grants freed and entries merged.

    Entries after the stored position are billed once each, in any number of
    calls: from the holder's grants in the call that closes it, from the pool
    in later calls. What the pool cannot pay is counted as unbilled. If nothing
    changes, as for a holder without a position, return the shard itself.
    """
    late = unmerged(shard, holder, settlements)
    if holder not in shard['positions'] and not late:
        return shard
    updated = _copy(shard)
    if holder in updated['closed']:
        closure = dict(updated['closed'][holder])
    else:
        closure = {
            'number': _next_number(updated['closed']),
            'position': updated['positions'].pop(holder),
            'merged': [],
        }
    keys = SettledKeys(updated)
    for settlement in late:
        _settle(updated, holder, settlement, keys)
    closure['merged'] = sorted(
        {*closure['merged'], *(one.position for one in late)}
    )
    _free_grants(updated, holder)
    updated['closed'][holder] = closure
    _forget_oldest(updated['closed'])
    _check(updated)
    return updated


def unmerged(
    shard: Mapping[str, Any], holder: str, settlements: Iterable[Settlement]
) -> list[Settlement]:
    """Return the entries of a holder that are not in the shard, in order.

    For a closed holder these are its late entries. For a holder without a
    position in the shard there are none, because its entries cannot be told
    from ones that were billed before.
    """
    closure = shard['closed'].get(holder)
    if closure is not None:
        applied = closure['position']
        merged = set(closure['merged'])
    elif holder in shard['positions']:
        applied = shard['positions'][holder]
        merged = set()
    else:
        return []
    found = {
        one.position: one
        for one in settlements
        if one.position > applied and one.position not in merged
    }
    return [found[position] for position in sorted(found)]


def _settle(
    shard: dict[str, Any],
    holder: str,
    settlement: Settlement,
    keys: SettledKeys,
) -> None:
    """Bill the settlement; what cannot be paid is counted as unbilled."""
    if settlement.budget not in shard['budgets']:
        return
    record = _copy_record(shard, settlement.budget)
    if settlement.keyed and not keys.add(record['team'], settlement.request_id):
        return
    granted = record['grants'].get(holder, 0)
    from_grant = 0 if settlement.pooled else min(granted, settlement.tokens)
    billed = from_grant + min(
        settlement.tokens - from_grant, max(0, pool(record))
    )
    record['settled'] += billed
    if from_grant:
        _add_grant(shard, holder, settlement.budget, -from_grant)
    if billed < settlement.tokens:
        unbilled = record.get('unbilled', 0) + settlement.tokens - billed
        shard['budgets'][settlement.budget]['unbilled'] = unbilled


def _add_grant(
    shard: dict[str, Any], holder: str, budget: str, tokens: int
) -> None:
    if budget not in shard['budgets']:
        return
    grants = _copy_record(shard, budget)['grants']
    granted = max(0, grants.pop(holder, 0) + tokens)
    if granted:
        grants[holder] = granted


def _free_grants(shard: dict[str, Any], holder: str) -> None:
    for budget, record in shard['budgets'].items():
        if holder in record['grants']:
            _copy_record(shard, budget)['grants'].pop(holder)


def _next_number(closed: Mapping[str, Any]) -> int:
    return 1 + max((one['number'] for one in closed.values()), default=0)


def _forget_oldest(closed: dict[str, Any]) -> None:
    excess = len(closed) - CLOSED_HOLDERS_MAX
    if excess > 0:
        by_age = sorted(closed, key=lambda one: closed[one]['number'])
        for holder in by_age[:excess]:
            closed.pop(holder)


def _copy(shard: Mapping[str, Any]) -> dict[str, Any]:
    """Copy the containers of the shard, but not the records of budgets."""
    return {
        'budgets': dict(shard['budgets']),
        'positions': dict(shard['positions']),
        'closed': dict(shard['closed']),
        'settled_keys': list(shard['settled_keys']),
    }


def _copy_record(shard: dict[str, Any], budget: str) -> dict[str, Any]:
    record = dict(shard['budgets'][budget])
    record['grants'] = dict(record['grants'])
    shard['budgets'][budget] = record
    return record


def _check(shard: Mapping[str, Any]) -> None:
    for budget, record in shard['budgets'].items():
        if pool(record) < 0 or min(record['grants'].values(), default=0) < 0:
            raise ShardInvariantError(f'budget {budget} would be overspent')
