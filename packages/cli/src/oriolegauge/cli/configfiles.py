"""Files that hold subtrees of the configuration.

A file holds one subtree or maps keys to subtrees. All subtrees are validated
before any is applied.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import json5

from oriolegauge.cli.operator import editable_part
from oriolegauge.config import ConfigInvalidError, parse_subtree
from oriolegauge.config.configtree import CONFIG_PREFIX
from oriolegauge.core.errors import NotFoundError

SUFFIXES = frozenset(('.json', '.json5'))
BASE_VERSION = 'base_version'


@dataclass(frozen=True, slots=True)
class TargetSubtree:
    """Hold a subtree from a file that the store should hold.

    With `base_version`, it is applied only to that version of the object.
    """

    key: str
    value: dict[str, Any]
    base_version: int | None


def full_key(key: str) -> str:
    """Return the store key of a subtree such as `teams/cafes`."""
    return key if key.startswith(CONFIG_PREFIX) else CONFIG_PREFIX + key


def read_json5(path: Path) -> Any:
    """Return the content of a JSON5 file.

    Raise NotFoundError without the file, ConfigInvalidError if it is invalid.
    """
    try:
        return json5.loads(
            path.read_text(encoding='utf-8'), allow_duplicate_keys=False
        )
    except FileNotFoundError as error:
        raise NotFoundError(str(error)) from error
    except (OSError, ValueError) as error:
        raise ConfigInvalidError(f'{path}: {error}') from error


def load_targets(source: Path) -> list[TargetSubtree]:
    """Return the subtrees of a directory or file, validated as a whole.

    A directory holds one file per subtree, for example `teams/cafes.json`. A
    single file maps keys such as `teams/cafes` to subtrees.
    """
    if source.is_dir():
        found = {
            str(path.relative_to(source).with_suffix('')): read_json5(path)
            for path in sorted(source.rglob('*'))
            if path.suffix in SUFFIXES
        }
    else:
        found = read_json5(source)
    if not isinstance(found, Mapping) or not found:
        raise ConfigInvalidError(
            f'{source}: file or directory holds no subtrees'
        )
    return _parse_targets(found)


def _parse_targets(found: Mapping[str, Any]) -> list[TargetSubtree]:
    targets = []
    errors = []
    for name, tree in found.items():
        try:
            targets.append(_parse_target(full_key(name), tree))
        except ConfigInvalidError as error:
            errors.append(error.message)
    if errors:
        raise ConfigInvalidError('\n'.join(errors))
    return targets


def _parse_target(key: str, tree: Any) -> TargetSubtree:
    if not isinstance(tree, dict):
        raise ConfigInvalidError(f'{key}: subtree is not a JSON object')
    value = editable_part(tree)
    base_version = value.pop(BASE_VERSION, None)
    if not isinstance(base_version, int | None):
        raise ConfigInvalidError(f'{key}: {BASE_VERSION} is not an integer')
    parse_subtree(key, value)
    return TargetSubtree(key, value, base_version)
