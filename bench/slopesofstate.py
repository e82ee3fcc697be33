"""Slopes of memory and of object sizes."""

import functools
import random
from collections.abc import Callable
from typing import Any

import orjson

from bench.slope import Slope, fit, memory_bytes
from oriolegauge.admission import ConcurrencyLimit
from oriolegauge.budget.budgetaccount import BudgetAccount
from oriolegauge.budget.journal import Journal
from oriolegauge.budget.messages import JournalAppend, JournalEntry
from oriolegauge.budget.shard import Settlement
from oriolegauge.config import ConfigTree
from oriolegauge.ledger import RequestLedger
from oriolegauge.membership import MemberTable
from oriolegauge.platform import StoredObject
from oriolegauge.routing import Router
from oriolegauge.wire import Envelope, Sender, decode, encode
from oriolegauge.wire.messages import (
    ConfigVersion,
    Heard,
    Heartbeat,
    ServerInFlight,
)

# Names and numbers of a real fleet don't follow each other; regular ones would
# deflate better than real ones.
_DIGITS = random.Random(1)
INCARNATIONS = [f'{_DIGITS.getrandbits(32):08x}' for _ in range(3_000)]
TOKENS = [_DIGITS.randrange(1_000, 100_000) for _ in range(3_000)]
REQUEST_IDS = [f'{_DIGITS.getrandbits(128):032x}' for _ in range(3_000)]
SENDER = Sender('daemon-001', '5f3a9c01')
ANSWER = bytes(1_000)
KEYS_PER_TEAM = 20
TRACED = 'tracemalloc, what stays allocated'


def slopes() -> list[Slope]:
    """Return the slopes of memory, messages and store objects."""
    return [*_memory(), *_heartbeat_memory(), *_messages(), *_objects()]


def heartbeat(*, versions: int, servers: int, heard: int) -> Heartbeat:
    """Return a heartbeat with that many rows of each kind."""
    return Heartbeat(
        member=SENDER.name,
        incarnation=SENDER.incarnation,
        zone='zone-a',
        state='serving',
        config_versions=tuple(
            ConfigVersion(f'config/teams/team-{number:03}', TOKENS[number])
            for number in range(versions)
        ),
        in_flight=tuple(
            ServerInFlight(f'engine-{number:04}', 8, TOKENS[number])
            for number in range(servers)
        ),
        queue_lengths=(3, 20, 100),
        heard=tuple(
            Heard(
                f'daemon-{number:03}',
                INCARNATIONS[number],
                TOKENS[number] % 500,
            )
            for number in range(heard)
        ),
        store_reached_age_ms=250,
    )


def frame(message: Any) -> bytes:
    """Return the bytes of a message in its envelope."""
    return encode(Envelope(message_id=2**50, sender=SENDER, message=message))


def shard_value(
    *, budgets: int = 0, holders: int = 0, keys: int = 0
) -> dict[str, Any]:
    """Return a shard with `holders` grants in its first budget."""
    names = [f'daemon-{number:03}/{number:08x}' for number in range(holders)]
    rows = {
        f'team-001/budget-{number:04}': {
            'team': 'team-001',
            'prepaid': 10_000_000,
            'settled': 1_234_567,
            'grants': dict.fromkeys(names, 5_000) if number == 0 else {},
            'top_ups': {f'payment-{number:08}': 10_000_000},
        }
        for number in range(budgets)
    }
    return {
        'budgets': rows,
        'positions': dict.fromkeys(names, 123456),
        'closed': {},
        'settled_keys': [f'{number:016}' for number in range(keys)],
    }


def _memory() -> list[Slope]:
    return [
        _traced(
            'budget_account_bytes', (500, 2_000, 8_000), _accounts, 'account'
        ),
        _traced(
            'request_record_bytes', (500, 2_000, 8_000), _records, 'record'
        ),
        _traced('tombstone_bytes', (12_000, 20_000, 40_000), _records, 'id'),
        _traced('journal_copy_bytes', (500, 2_000, 8_000), _copies, 'copy'),
        _traced('config_object_bytes', (50, 200, 800), _config, 'team object'),
        _traced('config_key_bytes', (20, 100, 500), _keys, 'caller key'),
        _traced('server_bytes', (100, 500, 2_500), _servers, 'server'),
        _traced('member_bytes', (50, 200, 700), _members, 'member'),
        _traced(
            'request_part_bytes', (100, 400, 1_600), _streamed, 'part of 200 B'
        ),
        _traced(
            'shard_held_bytes_per_budget',
            (10, 100, 1_000),
            lambda x: orjson.loads(orjson.dumps(shard_value(budgets=x))),
            'budget',
        ),
        _traced(
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
            how=f'{TRACED}; table of N members that each report N',
        ),
    ]


def _traced(
    name: str, xs: tuple[int, ...], build: Callable[[int], Any], item: str
) -> Slope:
    values = [memory_bytes(lambda count=count: build(count)) for count in xs]
    return fit(name, xs, values, unit='bytes', item=item, how=TRACED)


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


def _team(number: int, keys: int) -> dict[str, Any]:
    return {
        'priority': 'normal',
        'models': ['toaster-7b'],
        'keys': {
            f'{number * keys + key:064x}': {'budget': f'b-{key}'}
            for key in range(keys)
        },
    }


def engines_value(count: int) -> dict[str, Any]:
    """Return the value of `config/servers` with that many engines."""
    return {
        f'engine-{number:04}': {
            'url': f'http://10.0.{number // 250}.{number % 250}:8000',
            'zone': 'zone-a',
            'models': ['toaster-7b'],
        }
        for number in range(count)
    }


def _config(count: int) -> ConfigTree:
    tree = ConfigTree()
    for number in range(count):
        value = _team(number, KEYS_PER_TEAM)
        key = f'config/teams/team-{number:03}'
        tree.apply(StoredObject(key, number + 1, value))
    return tree


def _keys(count: int) -> ConfigTree:
    tree = ConfigTree()
    tree.apply(StoredObject('config/teams/team-001', 1, _team(1, count)))
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
    return table_of(count, heard=0)


def _pairs(count: int) -> MemberTable:
    return table_of(count, heard=count)


def table_of(count: int, *, heard: int) -> MemberTable:
    """Return a table that heard `count` members, each with `heard` rows."""
    table = MemberTable(name='self', incarnation='0', zone='zone-a', now=0)
    rows = tuple(
        Heard(f'daemon-{number:03}', f'{number:08x}', 100 + number)
        for number in range(heard)
    )
    for number in range(count):
        beat = Heartbeat(
            member=f'daemon-{number:03}',
            incarnation=f'{number:08x}',
            zone='zone-a',
            state='serving',
            heard=rows,
        )
        table.observe(beat, 0.1)
    return table


def _heartbeat_memory() -> list[Slope]:
    """Return what one received heartbeat holds in memory, per row."""
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
            how=f'{TRACED}; a decoded heartbeat',
        )
        for kind, xs in _ROWS.items()
    ]


# Messages up to 16 kB are deflated, longer ones are not; a line through both
# would fit neither.
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
            _sized(
                f'heartbeat_{form}_bytes_per_{kind}',
                xs,
                lambda x, kind=kind: _frame_of(kind, x),
                f'row of {kind}',
                f'length of the encoded envelope, {form}',
            )
            for form, rows in (('deflated', DEFLATED), ('plain', PLAIN))
            for kind, xs in rows.items()
        ),
        _sized(
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
        _sized(
            'shard_bytes_per_budget',
            (10, 100, 500, 1_000),
            lambda x: orjson.dumps(shard_value(budgets=x)),
            'budget',
            how,
        ),
        _sized(
            'shard_bytes_per_holder',
            (1, 50, 200, 700),
            lambda x: orjson.dumps(shard_value(budgets=1, holders=x)),
            'holder with one grant',
            how,
        ),
        _sized(
            'shard_bytes_per_key',
            (100, 1_000, 5_000, 20_000),
            lambda x: orjson.dumps(shard_value(keys=x)),
            'settled key',
            how,
        ),
        _sized(
            'team_object_bytes_per_key',
            (2, 20, 100, 500),
            lambda x: orjson.dumps(_team(1, x)),
            'caller key',
            how,
        ),
        _sized(
            'servers_object_bytes_per_server',
            (6, 100, 500, 2_500),
            lambda x: orjson.dumps({'engines': engines_value(x)}),
            'server',
            how,
        ),
        _sized(
            'intent_bytes',
            (10, 100, 500, 2_000),
            lambda x: orjson.dumps(intents_value(x)),
            'intent',
            how,
        ),
    ]


def intents_value(count: int) -> dict[str, list[Any]]:
    """Return the entries of an intents object."""
    return {
        f'team-001/{number:032x}': [
            'daemon-001/5f3a9c01',
            number,
            'ran',
            200,
            1_790_000_000,
            f'{number:064x}',
        ]
        for number in range(count)
    }


def _sized(
    name: str,
    xs: tuple[int, ...],
    make: Callable[[int], bytes],
    item: str,
    how: str,
) -> Slope:
    values = [len(make(x)) for x in xs]
    return fit(name, xs, values, unit='bytes', item=item, how=how)
