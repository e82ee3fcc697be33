"""Verbs that read and change subtrees of the configuration."""

import asyncio
import json
import os
import shlex
import subprocess
import sys
import tempfile
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from oriolegauge.cli.configfiles import (
    TargetSubtree,
    full_key,
    load_targets,
    read_json5,
)
from oriolegauge.cli.errors import EditConflictError, UsageError
from oriolegauge.cli.history import history_key
from oriolegauge.cli.merge import diff
from oriolegauge.cli.operator import Edit, Operator, editable_part
from oriolegauge.cli.session import Session
from oriolegauge.config import ConfigInvalidError, parse_subtree
from oriolegauge.config.configtree import CONFIG_PREFIX
from oriolegauge.core.errors import NotFoundError
from oriolegauge.objectstore import ObjectStore, StoredObject

Row = dict[str, Any]


class ConfigVerbs:
    """Read and change subtrees as JSON."""

    def __init__(self, session: Session) -> None:
        """Use the session."""
        self._session = session

    def get(self, key: str = '') -> Row:
        """Show a subtree, or all of them.

        :param key: subtree, for example teams/cafes
        """
        if key:
            return editable_part(self._read(key).value)
        found = self._session.run(
            lambda operator: operator.list_objects(CONFIG_PREFIX)
        )
        return {stored.key: editable_part(stored.value) for stored in found}

    def set(self, key: str, path: str, value: str) -> Row:
        """Set one value in a subtree.

        :param key: subtree, for example limits
        :param path: names of nested members, separated by dots
        :param value: new value as JSON; text that is not JSON becomes a string
        """
        parts = path.split('.')
        parsed = _json_or_text(value)
        stored = self._session.run(
            lambda operator: operator.change(
                full_key(key), lambda tree: _replaced(tree, parts, parsed)
            )
        )
        return {'key': stored.key, 'version': stored.version}

    def edit(self, key: str) -> Row:
        """Open a subtree in $EDITOR and write the result to the store.

        :param key: subtree, for example servers
        """
        seen = self._read(key)
        before = editable_part(seen.value)
        with tempfile.NamedTemporaryFile(
            'w', prefix='oriolegauge-', suffix='.json5', delete=False
        ) as draft:
            draft.write(f'{json.dumps(before, indent=2)}\n')
        path = Path(draft.name)
        _open_editor(path)
        try:
            stored = self._put_draft(seen, before, path)
        except Exception:
            sys.stderr.write(f'the draft is kept in {path}\n')
            raise
        path.unlink()
        return {'key': stored.key, 'version': stored.version}

    def diff(self, source: Path) -> list[Row]:
        """Show what a file or directory would change.

        :param source: file with subtrees by key, or directory of files
        """
        targets = load_targets(source)

        async def compare(operator: Operator) -> list[Row]:
            seen = await _read_all(operator, targets)
            return [
                {'key': target.key, **place.describe()}
                for target in targets
                for place in diff(
                    editable_part(seen[target.key].value), target.value
                )
            ]

        return self._session.run(compare)

    def apply(self, source: Path) -> list[Row]:
        """Write the subtrees of a file or directory to the store.

        All are validated before the first is written. Subtrees that are not
        in the files do not change.

        :param source: file with subtrees by key, or directory of files
        """
        targets = load_targets(source)
        return self._session.run(lambda operator: apply_all(operator, targets))

    def republish(self, key: str) -> Row:
        """Write a subtree again without a change, to raise its version.

        Use it after a restored backup, when daemons hold a higher version.

        :param key: subtree, for example teams/cafes
        """
        stored = self._session.run(
            lambda operator: operator.republish(full_key(key))
        )
        return {'key': stored.key, 'version': stored.version}

    def history(self, key: str) -> list[Row]:
        """Show the last 50 changes of a subtree or budget.

        :param key: subtree, or budgets/TEAM/NAME
        """
        name = key if key.startswith('budgets/') else full_key(key)
        stored = self._session.run(
            lambda operator: operator.read(history_key(name))
        )
        return list(stored.value.get('entries', []))

    def watch(self, *, prefix: str = '', count: int = 0) -> None:
        """Print each change as a line of JSON until interrupted.

        :param prefix: only keys below this, for example teams
        :param count: stop after this many changes; 0 means no limit
        """
        self._session.run_with_store(
            lambda store: _print_changes(store, full_key(prefix), count)
        )

    def _read(self, key: str) -> StoredObject:
        stored = self._session.run(
            lambda operator: operator.read(full_key(key))
        )
        if stored.version == 0:
            parse_subtree(stored.key, {})
        return stored

    def _put_draft(
        self, seen: StoredObject, before: Row, path: Path
    ) -> StoredObject:
        after = read_json5(path)
        if not isinstance(after, Mapping):
            raise ConfigInvalidError(f'{path}: content is not a JSON object')
        edit = Edit(key=seen.key, patch=diff(before, editable_part(after)))
        return self._session.run(lambda operator: operator.edit(edit, seen))


async def apply_all(
    operator: Operator, targets: list[TargetSubtree]
) -> list[Row]:
    """Apply subtrees one after another.

    The message of a conflict names those that were applied before it.
    """
    seen = await _read_all(operator, targets)
    for target in targets:
        if target.base_version not in {None, seen[target.key].version}:
            raise EditConflictError(
                f'{target.key} has version {seen[target.key].version}, but '
                f'the file is for {target.base_version}; nothing was applied'
            )
    results: list[Row] = []
    for target in targets:
        try:
            results.append(await _apply_one(operator, target, seen[target.key]))
        except EditConflictError as error:
            done = ', '.join(result['key'] for result in results) or 'none'
            raise EditConflictError(
                f'{target.key}: {error.message}; applied before it: {done}'
            ) from error
    return results


async def _apply_one(
    operator: Operator, target: TargetSubtree, seen: StoredObject
) -> Row:
    patch = diff(editable_part(seen.value), target.value)
    stored = await operator.edit(Edit(key=target.key, patch=patch), seen)
    return {
        'key': target.key,
        'changed_places': len(patch),
        'version': stored.version,
    }


async def _read_all(
    operator: Operator, targets: list[TargetSubtree]
) -> dict[str, StoredObject]:
    return {target.key: await operator.read(target.key) for target in targets}


async def _print_changes(store: ObjectStore, prefix: str, count: int) -> None:
    listed = await store.list_objects(prefix)
    after = max((stored.version for stored in listed), default=0)
    printed = 0
    async for stored in store.watch(prefix, after):
        changes = stored.value.get('changes', [{}])
        row = {
            'key': stored.key,
            'version': stored.version,
            'author': changes[-1].get('author') if changes else None,
            'value': editable_part(stored.value),
        }
        sys.stdout.write(f'{json.dumps(row)}\n')
        sys.stdout.flush()
        printed += 1
        if printed == count:
            return
        await asyncio.sleep(0)


def _replaced(tree: Row, parts: list[str], value: Any) -> Row:
    name, rest = parts[0], parts[1:]
    if not rest:
        return {**tree, name: value}
    child = tree.get(name, {})
    if not isinstance(child, dict):
        raise NotFoundError(f'member {name} is not a JSON object')
    return {**tree, name: _replaced(child, rest, value)}


def _json_or_text(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _open_editor(path: Path) -> None:
    editor = shlex.split(os.environ.get('EDITOR', 'vi'))
    run: Callable[..., Any] = subprocess.run
    try:
        done = run([*editor, str(path)], check=False)
    except OSError as error:
        raise UsageError(f'EDITOR could not be started: {error}') from error
    if done.returncode:
        raise UsageError(
            f'EDITOR exited with an error; the draft is kept in {path}'
        )
