"""Compare ways to handle writes whose store answers are lost."""

from contextlib import ExitStack
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from bench.budgetpolicies import Grants
from bench.budgetworkload import Simulation, Workload
from bench.figure import Figure
from oriolegauge.budget import shardlog, writeplanner
from oriolegauge.budget.shard import Flush, apply_flush
from oriolegauge.budget.shardlog import ShardLog

SEEDS = (1, 2, 3)
REQUESTS = 5_000
BUDGETS = 4
MEAN_SPENT = 585
LOST_ANSWER_SHARE = 0.3
WORKLOAD = Workload(
    'lost_answers',
    prepaid=int(REQUESTS * MEAN_SPENT * 0.8 / BUDGETS),
    requests=REQUESTS,
    rate=100.0,
    budgets=BUDGETS,
    lost_answer_share=LOST_ANSWER_SHARE,
)


@dataclass(slots=True)
class Outcome:
    """Means of one policy over all seeds, in tokens and per requests."""

    overspend: float = 0
    stranded: float = 0
    misbilled: float = 0
    false_refusals: float = 0
    store_calls: float = 0


class ChargedTwice(Grants):
    """Reserve twice the tokens, as each charge may be applied twice."""

    async def reserve(
        self,
        daemon: str,
        budget: str,
        request_id: str,
        tokens: int,
        minimum: int,
    ) -> tuple[int, Any] | None:
        found = await super().reserve(
            daemon, budget, request_id, 2 * tokens, 2 * minimum
        )
        return (found[0] // 2, found[1]) if found else None


def run() -> list[Figure]:
    """Compare a position per origin with guessing and charging twice."""
    ours = measure(Grants, ())
    figures = []
    for name, policy, patches in (
        ('guess', Grants, _guess_patches()),
        ('charge_twice', ChargedTwice, _resend_patches()),
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
            _add(total, policy_class(), Simulation(WORKLOAD, seed))
    return total


def _add(total: Outcome, policy: Grants, simulation: Simulation) -> None:
    tally = simulation.run(policy)
    spent = sum(tally.spent.values())
    share = len(SEEDS)
    total.overspend += tally.overspend / share
    total.stranded += max(0, BUDGETS * WORKLOAD.prepaid - spent) / share
    total.misbilled += abs(simulation.billed - spent) / share
    total.false_refusals += tally.false_refusals_per_10k / share
    total.store_calls += 1e3 * policy.store_calls / tally.requests / share


def _guess_patches() -> tuple[Any, ...]:
    return (*_without_positions(), _resolve_with(_guess))


def _resend_patches() -> tuple[Any, ...]:
    return (*_without_positions(), _resolve_with(_resend))


def _resolve_with(resolve: Any) -> Any:
    return mock.patch.object(ShardLog, '_resolve', resolve)


def _without_positions() -> tuple[Any, ...]:
    return (
        mock.patch.object(
            shardlog, 'apply_flush', _apply_without_position_check
        ),
        mock.patch.object(
            writeplanner, 'apply_flush', _apply_without_position_check
        ),
    )


def _apply_without_position_check(shard: Any, flush: Flush) -> Any:
    positions = {**shard['positions']}
    positions.pop(flush.holder, None)
    unchecked = {**shard, 'positions': positions}
    return apply_flush(unchecked, replace(flush, confirmed=0))


async def _guess(log: ShardLog, stored: Any, sealed: Any) -> Any:
    """Treat the flush as applied if the settled total grew enough."""
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


async def _resend(log: ShardLog, stored: Any, sealed: Any) -> Any:
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
