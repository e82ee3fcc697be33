"""Write the reference pages that follow from the code."""

import json
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter

from oriolegauge.config import (
    DaemonSettings,
    Limits,
    Operators,
    PeerSettings,
    PeerTlsSettings,
    Servers,
    Services,
    Team,
    TlsSettings,
)
from oriolegauge.config.subtrees import (
    CallerKey,
    EngineEntry,
    OperatorEntry,
    QueueLengths,
    Service,
)
from oriolegauge.core.resultcode import HTTP_STATUS, ResultCode

DOCS = Path(__file__).parent
UNITS = (
    ('_unix_s', 'Unix seconds'),
    ('_s', 'seconds'),
    ('_bytes', 'bytes'),
    ('_tokens', 'tokens'),
    ('tokens_per_call', 'tokens'),
    ('_share', 'share'),
)
SETTINGS = (
    ('Settings of a daemon', DaemonSettings),
    ('Members of `peers`', PeerSettings),
    ('`caller_tls` and `admin_tls`', TlsSettings),
    ('`peer_tls`', PeerTlsSettings),
)
SUBTREES = (
    ('`config/teams/<team>`', Team),
    ('Members of `keys` in `config/teams/<team>`', CallerKey),
    ('`config/servers`', Servers),
    ('Members of `engines` in `config/servers`', EngineEntry),
    ('`config/services`', Services),
    ('Members of `services` in `config/services`', Service),
    ('`config/limits`', Limits),
    ('`queue_lengths` in `config/limits`', QueueLengths),
    ('`config/operators`', Operators),
    ('Members of `operators` in `config/operators`', OperatorEntry),
)
MEANINGS: Mapping[ResultCode, str] = {
    ResultCode.OK: 'Done.',
    ResultCode.USAGE: 'The arguments of the command are wrong.',
    ResultCode.INVALID_REQUEST: 'The request is malformed.',
    ResultCode.UNAUTHENTICATED: 'The key or token is unknown or expired.',
    ResultCode.FORBIDDEN: 'The key or token lacks the right.',
    ResultCode.NOT_FOUND: 'No such route, model, service, team or object.',
    ResultCode.BODY_TOO_LARGE: 'The request body is over the limit.',
    ResultCode.KEY_REUSED: 'The idempotency key came with another body.',
    ResultCode.ANSWER_EXPIRED: 'The answer was kept no longer; it is not '
    'billed again.',
    ResultCode.TOO_MANY_CONNECTIONS: 'The daemon has too many connections.',
    ResultCode.BUDGET_EXHAUSTED: 'The prepaid tokens do not pay for it.',
    ResultCode.BUDGET_UNKNOWN: 'No such budget.',
    ResultCode.HOLDER_CLOSED: "The daemon's grants were closed by others.",
    ResultCode.QUEUE_FULL: 'The queue of the priority class is full.',
    ResultCode.DEADLINE_UNREACHABLE: 'The deadline cannot be met.',
    ResultCode.DRAINING: 'The daemon drains; another one takes the request.',
    ResultCode.NO_SERVER: 'No backend server may take the request now.',
    ResultCode.QUARANTINED: 'The request crashed backend servers.',
    ResultCode.STARTING: 'The daemon does not hold the configuration yet.',
    ResultCode.SERVER_FAILED: 'The backend server failed.',
    ResultCode.OUTCOME_UNKNOWN: 'Non-idempotent work may have run.',
    ResultCode.ANSWER_INCOMPLETE: 'The answer ended early.',
    ResultCode.RETRY_BUDGET_SPENT: 'Too many requests were retried lately.',
    ResultCode.STORE_UNAVAILABLE: 'The store did not apply the call.',
    ResultCode.STORE_CONFLICT: 'Someone else changed the same place first; '
    'nothing of this change is lost or applied.',
    ResultCode.STORE_ANSWER_LOST: 'It is unknown whether the store applied '
    'the change; the same command may be given again.',
    ResultCode.STORE_RATE_LIMITED: 'The store refused the call for its rate.',
    ResultCode.CONFIG_INVALID: 'The configuration does not validate.',
    ResultCode.CONFIG_STALE: 'The configuration may be out of date.',
    ResultCode.SETTINGS_INVALID: 'The settings file does not validate.',
    ResultCode.PEER_UNREACHABLE: 'The daemon does not answer.',
    ResultCode.PEER_REJECTED: 'The daemon refused the call.',
    ResultCode.INTERNAL: 'A fault of the daemon or tool.',
}
SETTINGS_INTRO = """\
# Settings and configuration

This page is written by `docs/generate.py`.

A daemon reads one settings file, JSON with comments (JSON5), and checks it
whole: `oriolegauged --settings FILE --check`. A value of another type, an
unknown name, a name with another unit and an unsafe combination are refused
with file, line and name. Times are in seconds, sizes in bytes and prices in
tokens, as the end of each name says. [Example](example-settings.json5).

Refused combinations:

- equal ports, and a peer with a name or address that is already in use;
- a non-loopback address without `admin_tls`;
- a non-loopback address with neither `caller_tls` nor
  `caller_tls_ended_by_balancer`;
- daemons on non-loopback addresses without `peer_tls`;
- host names in place of IP addresses, and addresses of more than one host;
- `flush_period_s` longer than `max_request_s`, and `max_peer_message_bytes`
  smaller than `max_body_bytes`.
"""
SUBTREES_INTRO = """
# Configuration tree

The subtrees are objects in the store, which the
[command-line tool](command-line.md) changes. Each is validated and applied
whole, and a lower version is never applied. Where both have a value, the lower
of `config/limits` and of the settings of the host holds for
`max_request_s` and `max_body_bytes`.
"""
CODES_INTRO = """\
# Result codes

This page is written by `docs/generate.py`.

Refusals carry the number and name; the command-line tool exits with the number.
"""


def settings_page() -> str:
    """Return the reference of settings and configuration."""
    sections = [
        SETTINGS_INTRO,
        *(_section(*row) for row in SETTINGS),
        SUBTREES_INTRO,
        *(_section(*row) for row in SUBTREES),
    ]
    return '\n'.join(sections)


def result_codes_page() -> str:
    """Return the reference of result codes."""
    rows = [
        f'| {int(code)} | `{code.name.lower()}` | '
        f'{HTTP_STATUS.get(code, "-")} | {int(code)} | {MEANINGS[code]} |'
        for code in ResultCode
    ]
    head = '| code | name | HTTP status | exit code | meaning |'
    return '\n'.join((CODES_INTRO, head, '|---|---|---|---|---|', *rows, ''))


def pages() -> dict[Path, str]:
    """Return the text of each generated page by its path."""
    return {
        DOCS / 'settings.md': settings_page(),
        DOCS / 'result-codes.md': result_codes_page(),
    }


def _section(title: str, part: type) -> str:
    schema = TypeAdapter(part).json_schema()
    rows = list(_rows(schema))
    head = '| name | type | unit | default | range | meaning |'
    return '\n'.join(
        (f'## {title}', '', head, '|---|---|---|---|---|---|', *rows, '')
    )


def _rows(schema: Mapping[str, Any]) -> Iterator[str]:
    required = schema.get('required', [])
    for name, field in schema['properties'].items():
        cells = (
            f'`{name}`',
            _type(field),
            _unit(name),
            'required' if name in required else _default(field),
            _range(field),
            field.get('description', ''),
        )
        yield f'| {" | ".join(cells)} |'


def _type(field: Mapping[str, Any]) -> str:
    if 'anyOf' in field:
        return ' or '.join(map(_type, field['anyOf']))
    if '$ref' in field:
        name = field['$ref'].rpartition('/')[2]
        return 'string' if name == 'Role' else 'object'
    if 'enum' in field:
        return ', '.join(f'`{value}`' for value in field['enum'])
    if field['type'] == 'array':
        return f'list of {_type(field["items"])}'
    return str(field['type'])


def _unit(name: str) -> str:
    for ending, unit in UNITS:
        if name.endswith(ending):
            return unit
    return ''


def _default(field: Mapping[str, Any]) -> str:
    default = field.get('default')
    if default is None:
        return 'none'
    return f'`{json.dumps(default)}`'


def _range(field: Mapping[str, Any]) -> str:
    parts = [field, *field.get('anyOf', [])]
    bounds = (
        ('minimum', 'at least'),
        ('exclusiveMinimum', 'above'),
        ('maximum', 'at most'),
    )
    return ', '.join(
        f'{word} {part[bound]}'
        for part in parts
        for bound, word in bounds
        if bound in part
    )


def main() -> None:
    """Write the pages."""
    for path, text in pages().items():
        path.write_text(text)


if __name__ == '__main__':
    main()
