"""Settings file of one daemon: JSON with comments."""

import re
from collections.abc import Iterator, Mapping
from pathlib import Path as FilePath
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
from oriolegauge.config.location import Path, line_numbers, nearest_line
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


def load_settings(path: FilePath) -> DaemonSettings:
    """Read the file; raise SettingsInvalidError with each wrong place."""
    try:
        source = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalidError(f'{path}: {error}') from error
    return parse_settings(source, place=str(path))


def parse_settings(source: str, *, place: str) -> DaemonSettings:
    """Check settings from a text; `place` names it in errors."""
    try:
        tree = json5.loads(source, allow_duplicate_keys=False)
    except ValueError as error:
        raise SettingsInvalidError(f'{place}: {error}') from error
    problems = []
    try:
        settings = _ADAPTER.validate_json(orjson.dumps(tree))
    except ValidationError as error:
        problems = list(_problems(error))
    else:
        problems = list(unsafe_combinations(settings))
    if problems:
        raise SettingsInvalidError(_describe(source, place, problems))
    return settings


def _describe(source: str, place: str, problems: list[Problem]) -> str:
    lines = line_numbers(source)
    return '\n'.join(
        f'{place}:{nearest_line(lines, problem.path)}: '
        f'{_dotted(problem.path)}: {problem.message}'
        for problem in problems
    )


def _problems(error: ValidationError) -> Iterator[Problem]:
    for row in error.errors(include_url=False):
        path = row['loc']
        yield Problem(path, _message(path, row))


def _message(path: Path, row: Mapping[str, Any]) -> str:
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


def _dotted(path: Path) -> str:
    return '.'.join(map(str, path)) or 'settings'
