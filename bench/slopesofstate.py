"""Measure how memory, messages and stored objects grow."""

import functools
import random
from collections.abc import Callable
from typing import Any

import orjson

from bench.slope import Slope, fit, memory_bytes
from bench.slopefixtures import (
    REQUEST_IDS,
    engines_value,
    frame,
    heartbeat,
    intents_value,
    member_table,
    shard_value,
    team_value,
)
from oriolegauge.admission import ConcurrencyLimit
from oriolegauge.budget.budgetaccount import BudgetAccount
from oriolegauge.budget.journal import Journal
from oriolegauge.budget.messages import JournalAppend, JournalEntry
from oriolegauge.budget.shard import Settlement
from oriolegauge.config import ConfigTree
from oriolegauge.ledger import RequestLedger
from oriolegauge.membership import MemberTable
from oriolegauge.objectstore import StoredObject
from oriolegauge.routing import Router
from oriolegauge.wire import decode

ANSWER = bytes(1_000)
KEYS_PER_TEAM = 20
MEMORY_METHOD = 'tracemalloc, what stays allocated'


def slopes() -> list[Slope]:
    """Return the slopes of memory, messages and store objects."""
    return [*_memory(), *_heartbeat_memory(), *_messages(), *_objects()]


def _memory() -> list[Slope]:
    return [
        _memory_slope(
            'budget_account_bytes', (500, 2_000, 8_000), _accounts, 'account'
        ),
        _memory_slope(
            'request_record_bytes', (500, 2_000, 8_000), _records, 'record'
        ),
        _memory_slope(
            'tombstone_bytes', (12_000, 20_000, 40_000), _records, 'id'
        ),
        _memory_slope(
            'journal_copy_bytes', (500, 2_000, 8_000), _copies, 'copy'
        ),
        _memory_slope(
            'config_object_bytes', (50, 200, 800), _config, 'team object'
        ),
        _memory_slope('config_key_bytes', (20, 100, 500), _keys, 'caller key'),
        _memory_slope('server_bytes', (100, 500, 2_500), _servers, 'server'),
        _memory_slope('member_bytes', (50, 200, 700), _members, 'member'),
        _memory_slope(
            'request_part_bytes', (100, 400, 1_600), _streamed, 'part of 200 B'
        ),
        _memory_slope(
            'shard_held_bytes_per_budget',
            (10, 100, 1_000),
            lambda x: orjson.loads(orjson.dumps(shard_value(budgets=x))),
            'budget',
        ),
        _memory_slope(
            'shard_held_bytes_per_key',
            (1_000, 5_000, 20_000),
            lambda x: orjson.loads(orjson.dumps(shard_value(keys=x))),
            'settled key',
        ),
        fit(
            'member_pair_bytes',
            [count * count for count in (50, 100, 200, 300, 400)],
            [
                memory_bytes(lambda count=count: _pairs(count))
                for count in (50, 100, 200, 300, 400)
            ],
            unit='bytes',
            item='pair of members',
            how=f'{MEMORY_METHOD}; table of N members that each report N',
        ),
    ]


def _memory_slope(
    name: str, xs: tuple[int, ...], build: Callable[[int], Any], item: str
) -> Slope:
    values = [memory_bytes(lambda count=count: build(count)) for count in xs]
    return fit(name, xs, values, unit='bytes', item=item, how=MEMORY_METHOD)


def _accounts(count: int) -> dict[str, BudgetAccount]:
    made = {}
    for number in range(count):
        name = f'team-{number % 990:03}/budget-{number:06}'
        made[name] = BudgetAccount(name)
        made[name].demand.note(400, 1.0)
    return made


def _records(count: int) -> RequestLedger:
    ledger = RequestLedger()
    for number in range(count):
        opened = ledger.open(f'team-001/{number:032x}', f'{number:064x}', 1.0)
        opened.record.start(200, {'Content-Type': 'application/json'})
        opened.record.append(ANSWER[:-1] + number.to_bytes(8, 'big')[-1:])
        opened.record.finish(None, 1.0)
    return ledger


def _streamed(parts: int) -> RequestLedger:
    ledger = RequestLedger()
    record = ledger.open('team-001/stream', f'{0:064x}', 1.0).record
    for number in range(parts):
        record.append(f'{number:0200}'.encode())
    return ledger


def _copies(count: int) -> Journal:
    journal = Journal(shard_count=64)
    for number in range(count):
        settlement = Settlement(
            number, f'team-{number % 990:03}/main', f'{number:032x}', 400, True
        )
        entry = JournalEntry(f'daemon-{number % 9}/5f3a9c01', settlement)
        journal.append(JournalAppend(origin='daemon-1', entries=(entry,)), 1.0)
    return journal


def _config(count: int) -> ConfigTree:
    tree = ConfigTree()
    for number in range(count):
        value = team_value(number, KEYS_PER_TEAM)
        key = f'config/teams/team-{number:03}'
        tree.apply(StoredObject(key, number + 1, value))
    return tree


def _keys(count: int) -> ConfigTree:
    tree = ConfigTree()
    tree.apply(StoredObject('config/teams/team-001', 1, team_value(1, count)))
    return tree


def _servers(count: int) -> tuple[Router, dict[str, ConcurrencyLimit]]:
    router = Router(zone='zone-a', rng=random.Random(1))
    limits = {}
    for number in range(count):
        name = f'engine-{number:04}'
        router.started(name, 256, 1.0)
        router.finished(name, True, 2.0, tokens=256)
        router.peer_load(name, 4_000)
        limits[name] = ConcurrencyLimit()
    return router, limits


def _members(count: int) -> MemberTable:
    return member_table(count, heard=0)


def _pairs(count: int) -> MemberTable:
    return member_table(count, heard=count)


def _heartbeat_memory() -> list[Slope]:
    """Return the memory of one received heartbeat, per kind of row."""
    return [
        fit(
            f'heartbeat_held_bytes_per_{kind}',
            xs,
            [
                memory_bytes(functools.partial(decode, _frame_of(kind, x)))
                for x in xs
            ],
            unit='bytes',
            item=f'row of {kind}',
            how=f'{MEMORY_METHOD}; a decoded heartbeat',
        )
        for kind, xs in _ROWS.items()
    ]


# Messages up to 16 kB are compressed (deflate), longer ones are not, so each
# range gets its own line.
DEFLATED = {
    'versions': (10, 50, 100, 250),
    'servers': (9, 50, 100, 250),
    'heard': (8, 50, 100, 250),
}
PLAIN = {
    'versions': (400, 600, 800, 1_000),
    'servers': (700, 1_000, 1_500, 2_500),
    'heard': (400, 500, 600, 700),
}
_ROWS = {
    'versions': (10, 100, 400, 1_000),
    'servers': (9, 100, 500, 2_500),
    'heard': (8, 50, 200, 700),
}


def _frame_of(kind: str, rows: int) -> bytes:
    counts = {'versions': 0, 'servers': 0, 'heard': 0, kind: rows}
    return frame(heartbeat(**counts))


def _messages() -> list[Slope]:
    return [
        *(
            _size_slope(
                f'heartbeat_{form}_bytes_per_{kind}',
                xs,
                lambda x, kind=kind: _frame_of(kind, x),
                f'row of {kind}',
                f'length of the encoded envelope, {form}',
            )
            for form, rows in (('deflated', DEFLATED), ('plain', PLAIN))
            for kind, xs in rows.items()
        ),
        _size_slope(
            'journal_append_bytes',
            (1, 10, 50, 100),
            _append_frame,
            'entry',
            'length of the encoded envelope',
        ),
    ]


def _append_frame(count: int) -> bytes:
    entries = tuple(
        JournalEntry(
            'daemon-001/5f3a9c01',
            Settlement(number, 'team-001/main', REQUEST_IDS[number], 400, True),
        )
        for number in range(count)
    )
    return frame(JournalAppend(origin='daemon-001/5f3a9c01', entries=entries))


def _objects() -> list[Slope]:
    how = 'length of the JSON value'
    return [
        _size_slope(
            'shard_bytes_per_budget',
            (10, 100, 500, 1_000),
            lambda x: orjson.dumps(shard_value(budgets=x)),
            'budget',
            how,
        ),
        _size_slope(
            'shard_bytes_per_holder',
            (1, 50, 200, 700),
            lambda x: orjson.dumps(shard_value(budgets=1, holders=x)),
            'holder with one grant',
            how,
        ),
        _size_slope(
            'shard_bytes_per_key',
            (100, 1_000, 5_000, 20_000),
            lambda x: orjson.dumps(shard_value(keys=x)),
            'settled key',
            how,
        ),
        _size_slope(
            'team_object_bytes_per_key',
            (2, 20, 100, 500),
            lambda x: orjson.dumps(team_value(1, x)),
            'caller key',
            how,
        ),
        _size_slope(
            'servers_object_bytes_per_server',
            (6, 100, 500, 2_500),
            lambda x: orjson.dumps({'engines': engines_value(x)}),
            'server',
            how,
        ),
        _size_slope(
            'intent_bytes',
            (10, 100, 500, 2_000),
            lambda x: orjson.dumps(intents_value(x)),
            'intent',
            how,
        ),
    ]


def _size_slope(
    name: str,
    xs: tuple[int, ...],
    make: Callable[[int], bytes],
    item: str,
    how: str,
) -> Slope:
    values = [len(make(x)) for x in xs]
    return fit(name, xs, values, unit='bytes', item=item, how=how)
