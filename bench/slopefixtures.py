"""Build messages, stored objects and tables of a given size."""

import random
from typing import Any

from oriolegauge.membership import MemberTable
from oriolegauge.wire import Envelope, Sender, encode
from oriolegauge.wire.messages import (
    ConfigVersion,
    Heard,
    Heartbeat,
    ServerInFlight,
)

# Identifiers and numbers of a real fleet are irregular; sequential ones would
# compress better.
_DIGITS = random.Random(1)
INCARNATIONS = [f'{_DIGITS.getrandbits(32):08x}' for _ in range(3_000)]
TOKENS = [_DIGITS.randrange(1_000, 100_000) for _ in range(3_000)]
REQUEST_IDS = [f'{_DIGITS.getrandbits(128):032x}' for _ in range(3_000)]
SENDER = Sender('daemon-001', '5f3a9c01')


def heartbeat(*, versions: int, servers: int, heard: int) -> Heartbeat:
    """Return a heartbeat with the given number of rows of each kind."""
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


def team_value(number: int, keys: int) -> dict[str, Any]:
    """Return the value of a team object with that many caller keys."""
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


def member_table(count: int, *, heard: int) -> MemberTable:
    """Return a table of `count` members that each report `heard` peers."""
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
