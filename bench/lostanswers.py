"""Compare ways to resolve lost store answers on a paused clock."""

from contextlib import ExitStack
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from bench.budgetpolicies import Grants
from bench.budgetworkload import Workload, World
from bench.figure import Figure
from oriolegauge.budget import shardlog, writeplanner
from oriolegauge.budget.shard import Flush, apply_flush
from oriolegauge.budget.shardlog import ShardLog

SEEDS = (1, 2, 3)
REQUESTS = 5_000
BUDGETS = 4
MEAN_SPENT = 585
LOSS = 0.3
WORKLOAD = Workload(
    'lost_answers',
    prepaid=int(REQUESTS * MEAN_SPENT * 0.8 / BUDGETS),
    requests=REQUESTS,
    rate=100.0,
    budgets=BUDGETS,
    loss=LOSS,
)


@dataclass(slots=True)
class Outcome:
    """Sum what the runs of one way showed, in tokens and per requests."""

    overspend: float = 0
    stranded: float = 0
    misbilled: float = 0
    false_refusals: float = 0
    store_calls: float = 0


class ChargedTwice(Grants):
    """Set aside twice the tokens, as each charge may be applied twice."""

    async def reserve(
        self, daemon: str, budget: str, request_id: str, tokens: int, least: int
    ) -> tuple[int, Any] | None:
        found = await super().reserve(
            daemon, budget, request_id, 2 * tokens, 2 * least
        )
        return (found[0] // 2, found[1]) if found else None


def run() -> list[Figure]:
    """Return position per origin against guessing and charging twice."""
    ours = measure(Grants, ())
    figures = []
    for name, policy, patches in (
        ('guess', Grants, _guessing()),
        ('charge_twice', ChargedTwice, _repeating()),
    ):
        other = measure(policy, patches)
        figures += [
            Figure(
                f'lost_answers.{field}.{name}',
                getattr(ours, field),
                getattr(other, field),
                unit,
            )
            for field, unit in (
                ('overspend', 'tokens'),
                ('stranded', 'tokens'),
                ('misbilled', 'tokens'),
                ('false_refusals', 'per_10k'),
                ('store_calls', 'per_1k'),
            )
        ]
    return figures


def measure(policy_class: type[Grants], patches: tuple[Any, ...]) -> Outcome:
    """Return the mean outcome over the seeds."""
    total = Outcome()
    with ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        for seed in SEEDS:
            _add(total, policy_class(), World(WORKLOAD, seed))
    return total


def _add(total: Outcome, policy: Grants, world: World) -> None:
    tally = world.run(policy)
    spent = sum(tally.spent.values())
    share = len(SEEDS)
    total.overspend += tally.overspend / share
    total.stranded += max(0, BUDGETS * WORKLOAD.prepaid - spent) / share
    total.misbilled += abs(world.billed - spent) / share
    total.false_refusals += tally.false_per_10k / share
    total.store_calls += 1e3 * policy.store_calls / tally.requests / share


def _guessing() -> tuple[Any, ...]:
    return (*_without_positions(), _resolve_with(_guess))


def _repeating() -> tuple[Any, ...]:
    return (*_without_positions(), _resolve_with(_send_again))


def _resolve_with(resolve: Any) -> Any:
    return mock.patch.object(ShardLog, '_resolve', resolve)


def _without_positions() -> tuple[Any, ...]:
    return (
        mock.patch.object(shardlog, 'apply_flush', _apply_blindly),
        mock.patch.object(writeplanner, 'apply_flush', _apply_blindly),
    )


def _apply_blindly(shard: Any, flush: Flush) -> Any:
    positions = {**shard['positions']}
    positions.pop(flush.holder, None)
    blind = {**shard, 'positions': positions}
    return apply_flush(blind, replace(flush, confirmed=0))


async def _guess(log: ShardLog, stored: Any, sealed: Any) -> Any:
    """Take the flush as applied if the settled total has grown enough."""
    before = log.stored.value['budgets'] if log.stored else {}
    grown = all(
        stored.value['budgets'][budget]['settled']
        >= before.get(budget, {'settled': 0})['settled'] + tokens
        for budget, tokens in _tokens(sealed.flush).items()
    )
    log._clear_unconfirmed()
    if grown and stored.version != sealed.version:
        log._confirm(stored, sealed.flush, sealed.sent_at)
    return stored


async def _send_again(log: ShardLog, stored: Any, sealed: Any) -> Any:
    log._clear_unconfirmed()
    return stored


def _tokens(flush: Flush) -> dict[str, int]:
    tokens: dict[str, int] = {}
    for one in flush.settlements:
        tokens[one.budget] = tokens.get(one.budget, 0) + one.tokens
    return tokens


if __name__ == '__main__':
    for figure in run():
        print(figure.line())
