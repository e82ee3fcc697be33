"""Verbs of the command-line tool."""

import asyncio
import os
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
from oriolegauge.budget import apply_top_up, create_budget, shard_key
from oriolegauge.cli.operator import Operator
from oriolegauge.cli.output import show
from oriolegauge.config import hash_key, new_key
from oriolegauge.config.configtree import (
    SERVERS_KEY,
    SERVICES_KEY,
    TEAM_PREFIX,
)
from oriolegauge.platform.httpobjectstore import HttpObjectStore

STORE_VARIABLE = 'ORIOLEGAUGE_STORE'
SHARDS_VARIABLE = 'ORIOLEGAUGE_BUDGET_SHARDS'


def team_create(team: str, *, priority: str = 'normal') -> None:
    """Create a team with its own subtree."""
    _run(
        lambda operator: operator.update_config(
            TEAM_PREFIX + team,
            lambda tree: {'keys': {}, **tree, 'priority': priority},
        )
    )


def budget_create(budget: str, *, tokens: int) -> None:
    """Create a prepaid budget, named TEAM/NAME."""
    _run(
        lambda operator: operator.update(
            shard_key(budget, _shards()),
            lambda shard: create_budget(shard, budget, tokens),
        )
    )


def budget_top_up(budget: str, *, tokens: int) -> None:
    """Add prepaid tokens to a budget."""
    top_up_id = uuid.uuid4().hex
    _run(
        lambda operator: operator.update(
            shard_key(budget, _shards()),
            lambda shard: apply_top_up(shard, budget, top_up_id, tokens),
        )
    )


def key_create(budget: str) -> None:
    """Create a caller key for a budget and print it once."""
    team, _, name = budget.partition('/')
    key = new_key(team)
    _run(
        lambda operator: operator.update_config(
            TEAM_PREFIX + team,
            lambda tree: {
                **tree,
                'keys': {
                    **tree.get('keys', {}),
                    hash_key(key): {'budget': name},
                },
            },
        )
    )
    show({'key': key})


def engine_add(
    name: str, *, url: str, models: list[str], zone: str = 'a'
) -> None:
    """Add or replace a model engine."""
    entry = {'url': url, 'zone': zone, 'models': models}
    _run(
        lambda operator: operator.update_config(
            SERVERS_KEY,
            lambda tree: {'engines': {**tree.get('engines', {}), name: entry}},
        )
    )


def service_add(
    name: str, *, urls: list[str], tokens_per_call: int = 1
) -> None:
    """Add or replace a plain service; each URL is written NAME=URL."""
    named = dict(url.split('=', 1) for url in urls)
    entry = {'urls': named, 'tokens_per_call': tokens_per_call}
    _run(
        lambda operator: operator.update_config(
            SERVICES_KEY,
            lambda tree: {
                'services': {**tree.get('services', {}), name: entry}
            },
        )
    )


def bill(team: str) -> None:
    """Show prepaid, settled, granted and free tokens of a team's budgets."""
    shard = _run(
        lambda operator: operator.read(shard_key(f'{team}/', _shards()))
    )
    rows = []
    for name, record in shard.get('budgets', {}).items():
        if record['team'] != team:
            continue
        granted = sum(record['grants'].values())
        rows.append(
            {
                'budget': name,
                'prepaid': record['prepaid'],
                'settled': record['settled'],
                'granted': granted,
                'free': record['prepaid'] - record['settled'] - granted,
            }
        )
    show(rows)


def _shards() -> int:
    return int(os.environ.get(SHARDS_VARIABLE, '1'))


def _run(call: Callable[[Operator], Awaitable[Any]]) -> Any:
    return asyncio.run(_with_store(call))


async def _with_store(call: Callable[[Operator], Awaitable[Any]]) -> Any:
    url = os.environ.get(STORE_VARIABLE, 'http://127.0.0.1:7000')
    async with aiohttp.ClientSession() as session:
        return await call(Operator(HttpObjectStore(url=url, session=session)))
