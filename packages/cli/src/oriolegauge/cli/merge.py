"""Three-way merge of changes to JSON objects.

It lets operators change different parts of the same object at the same time.
"""

import copy
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from oriolegauge.cli.errors import EditConflictError

# Tables such as `keys` are direct members of the object. An entry of a table is
# created or removed as a whole. A missing table counts as empty, so that two
# operators who both add its first entry do not conflict.
TABLE_DEPTH = 1


class Missing(Enum):
    """Mark a member that does not exist."""

    MISSING = 'missing'


MISSING = Missing.MISSING
Path = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PathChange:
    """Change the value at one path of an object from `old` to `new`."""

    path: Path
    old: Any
    new: Any

    def describe(self) -> dict[str, Any]:
        """Return the change as JSON, without a side that does not exist."""
        row = {'path': '.'.join(self.path)}
        sides = {'old': self.old, 'new': self.new}
        return row | {
            name: side for name, side in sides.items() if side is not MISSING
        }


Patch = tuple[PathChange, ...]


def diff(base: Mapping[str, Any], target: Mapping[str, Any]) -> Patch:
    """Return the minimal changes that turn `base` into `target`."""
    return tuple(_differences((), dict(base), dict(target)))


def merge(current: Mapping[str, Any], patch: Patch) -> dict[str, Any]:
    """Return `current` with the patch applied.

    Raise EditConflictError if a path holds neither the old nor the new value.
    """
    merged = copy.deepcopy(dict(current))
    for change in patch:
        _apply(merged, change)
    return merged


def _differences(path: Path, old: Any, new: Any) -> Iterator[PathChange]:
    if old is MISSING and isinstance(new, dict) and len(path) == TABLE_DEPTH:
        if not new:
            yield PathChange(path, old, new)
        old = {}
    if not (isinstance(old, dict) and isinstance(new, dict)):
        if not _same(old, new):
            yield PathChange(path, old, new)
        return
    for name in sorted({*old, *new}):
        yield from _differences(
            (*path, name), old.get(name, MISSING), new.get(name, MISSING)
        )


def _same(left: Any, right: Any) -> bool:
    # 1 and true are equal in Python but differ in a configuration.
    both = (left, right)
    return left == right and len({isinstance(side, bool) for side in both}) == 1


def _apply(tree: dict[str, Any], change: PathChange) -> None:
    parent = tree
    for name in change.path[:-1]:
        child = parent.get(name)
        if child is None and len(change.path) == TABLE_DEPTH + 1:
            child = parent.setdefault(name, {})
        if not isinstance(child, dict):
            raise _conflict(change)
        parent = child
    name = change.path[-1]
    current = parent.get(name, MISSING)
    if _same(current, change.new):
        return
    if not _same(current, change.old):
        raise _conflict(change)
    if change.new is MISSING:
        del parent[name]
    else:
        parent[name] = copy.deepcopy(change.new)


def _conflict(change: PathChange) -> EditConflictError:
    return EditConflictError(
        f'{".".join(change.path)} was changed by another operator; '
        'read it again'
    )
