"""Settings file of one daemon: JSON with comments."""

import re
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import json5
import orjson
from pydantic import TypeAdapter, ValidationError

from oriolegauge.config.daemonsettings import (
    DaemonSettings,
    PeerSettings,
    PeerTlsSettings,
    TlsSettings,
)
from oriolegauge.config.errors import SettingsInvalidError
from oriolegauge.config.location import MemberPath, line_numbers, nearest_line
from oriolegauge.config.settingschecks import Problem, unsafe_combinations

UNIT = re.compile('_(s|ms|us|min|h|bytes|kb|mb|gb|tokens)$')
UNIT_NAMES: Mapping[str, str] = {
    's': 'seconds',
    'bytes': 'bytes',
    'tokens': 'tokens',
}
_PARTS = (DaemonSettings, PeerSettings, TlsSettings, PeerTlsSettings)
_FIELDS = frozenset(
    name for part in _PARTS for name in part.__dataclass_fields__
)
_ADAPTER = TypeAdapter(DaemonSettings)


def load_settings(path: Path) -> DaemonSettings:
    """Read the file; raise SettingsInvalidError with all its problems."""
    try:
        source = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalidError(f'{path}: {error}') from error
    return parse_settings(source, source_name=str(path))


def parse_settings(source: str, *, source_name: str) -> DaemonSettings:
    """Return the settings in a text; errors start with `source_name`."""
    try:
        tree = json5.loads(source, allow_duplicate_keys=False)
    except ValueError as error:
        raise SettingsInvalidError(f'{source_name}: {error}') from error
    problems = []
    try:
        settings = _ADAPTER.validate_json(orjson.dumps(tree))
    except ValidationError as error:
        problems = list(_problems(error))
    else:
        problems = list(unsafe_combinations(settings))
    if problems:
        raise SettingsInvalidError(_describe(source, source_name, problems))
    return settings


def _describe(source: str, source_name: str, problems: list[Problem]) -> str:
    lines = line_numbers(source)
    return '\n'.join(
        f'{source_name}:{nearest_line(lines, problem.path)}: '
        f'{_dotted(problem.path)}: {problem.message}'
        for problem in problems
    )


def _problems(error: ValidationError) -> Iterator[Problem]:
    for row in error.errors(include_url=False):
        path = row['loc']
        yield Problem(path, _message(path, row))


def _message(path: MemberPath, row: Mapping[str, Any]) -> str:
    name = str(path[-1]) if path else ''
    match row['type']:
        case 'unexpected_keyword_argument' | 'extra_forbidden':
            return _unknown(name)
        case 'missing' | 'missing_argument':
            return 'is required'
    unit = UNIT.search(name)
    if unit and row['type'].endswith(('_type', '_parsing')):
        return f'{row["msg"]}, in {UNIT_NAMES[unit.group(1)]} without a unit'
    return str(row['msg'])


def _unknown(name: str) -> str:
    stem = UNIT.sub('', name)
    for known in sorted(_FIELDS):
        unit = UNIT.search(known)
        if unit and UNIT.sub('', known) == stem:
            return f'wrong unit; use {known}, in {UNIT_NAMES[unit.group(1)]}'
    return 'unknown setting'


def _dotted(path: MemberPath) -> str:
    return '.'.join(map(str, path)) or 'settings'
